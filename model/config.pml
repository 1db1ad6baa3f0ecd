/* Acceptance and freshness of a configuration change, from version 0 to 1.
 *
 * Bounds: three members, min_members 2, one change, a freshness time F of 1
 * tick, TMAX ticks and QUESTIONS read requests in total. Any step may be
 * delayed without limit, which models pauses, slow messages and partitions; a
 * member may lose a response.
 * RESTART adds one restart of one member at any time.
 * Assumed: the store is linearizable, and clocks run at the same rate.
 * Checked: no member decides by version 0 alone after version 1 is accepted
 * (a restarted member that isn't registered yet: after F more ticks), and none
 * returns to a lower version. */
#define N 3
#define M 2
#define F 1
#ifndef TMAX
#define TMAX 2
#endif

#ifdef MUTANT_HEARD
#define CONTACT_LIFE (2 * F)
#else
#define CONTACT_LIFE F
#endif

/* The head object in the store. Its version: 0 idle, 1 pending, 2 decided. */
byte headVersion;
bool headAccepted;
byte acceptedAt;
byte now;

/* State of each member. Times are stored plus F, so that 0 is in the past. */
byte activeVersion[N];
byte knownVersion[N];
byte freshUntil[N] = F;
byte contactUntil[N * N];
bool restarted[N];
bool registered[N] = true;
bool restartUsed;
byte requestsSent; /* read requests so far */
#ifndef QUESTIONS
#define QUESTIONS 2
#endif

/* Distribution of the change: 0 not sent, 1 sent, 2 staged with the ack in
 * transit, 3 acked */
byte stage[N];
byte lastAck;

inline activate(i, aVersion)
{
  assert(aVersion >= activeVersion[i]);
  activeVersion[i] = aVersion
}

/* Applies a response: the higher store version wins, and the time until which
 * the state is fresh only increases. */
inline applyResponse(i, aVersion, aAccepted, aUntil)
{
#ifdef MUTANT_LOWER
  knownVersion[i] = aVersion;
  activate(i, aAccepted);
#else
  if
  :: aVersion > knownVersion[i] ->
    knownVersion[i] = aVersion;
    if
    :: aAccepted -> activate(i, 1)
    :: else
    fi
  :: else
  fi;
#endif
  if
  :: aUntil > freshUntil[i] -> freshUntil[i] = aUntil
  :: else
  fi
}

#define SELF(i) (registered[i] -> 1 : 0)
#define IN_CONTACT(i, j) ((contactUntil[(i) * N + (j)] > now) -> 1 : 0)
#define MEMBERS_IN_CONTACT(i) (SELF(i) + IN_CONTACT(i, ((i) + 1) % N) + \
                               IN_CONTACT(i, ((i) + 2) % N))
#define SERVES_OLD_VERSION(i) (activeVersion[i] == 0 && knownVersion[i] != 1 && \
                               (now < freshUntil[i] || MEMBERS_IN_CONTACT(i) >= M))

proctype Member(byte i)
{
  byte sentAt;
  byte peer;
  byte until;
  byte answerVersion;
  bool answerAccepted;
  bool peerCounts;

end_member:
  do
  :: atomic {
      SERVES_OLD_VERSION(i) && headAccepted &&
        (registered[i] || now >= acceptedAt + F) -> assert(false)
    }
  :: atomic { stage[i] == 1 -> applyResponse(i, 1, false, 0); stage[i] = 2 }
#ifdef RESTART
  :: atomic { /* a restart loses all state; the new incarnation isn't a contact */
      !restartUsed ->
      restartUsed = true;
      restarted[i] = true;
#ifndef MUTANT_RESTART
      registered[i] = false;
#endif
      activeVersion[i] = 0;
      knownVersion[i] = 0;
      freshUntil[i] = 0;
      contactUntil[i * N] = 0;
      contactUntil[i * N + 1] = 0;
      contactUntil[i * N + 2] = 0
    }
  :: atomic { /* registering ends with a read of the store */
      !registered[i] ->
      registered[i] = true;
      applyResponse(i, headVersion, headAccepted, now + F)
    }
#endif
  :: atomic { /* read the store */
      now < TMAX && requestsSent < QUESTIONS ->
      requestsSent++;
      sentAt = now
    };
    atomic { answerVersion = headVersion; answerAccepted = headAccepted };
    if
    :: atomic {
#ifdef MUTANT_BASIS
        applyResponse(i, answerVersion, answerAccepted, now + F);
#else
        applyResponse(i, answerVersion, answerAccepted, sentAt + F);
#endif
      }
    :: true
    fi;
    atomic { sentAt = 0; answerVersion = 0; answerAccepted = false }
  :: atomic { /* read from another member */
      now < TMAX && requestsSent < QUESTIONS ->
      requestsSent++;
      sentAt = now;
      if
      :: peer = (i + 1) % N
      :: peer = (i + 2) % N
      fi
    };
    atomic { /* its response: its state now, and the remaining freshness time */
      answerVersion = knownVersion[peer];
      answerAccepted = (activeVersion[peer] == 1);
      until = (freshUntil[peer] > now -> freshUntil[peer] - now : 0);
#ifdef MUTANT_RESTART
      peerCounts = true
#else
      peerCounts = !restarted[peer]
#endif
    };
    if
    :: atomic {
#ifdef MUTANT_PUSHED
        until = (until > 0 -> now + until : 0);
#else
        /* the receiver subtracts the whole time since it sent the request */
        until = (until > now - sentAt -> sentAt + until : 0);
#endif
        applyResponse(i, answerVersion, answerAccepted, until);
        if
        :: peerCounts -> contactUntil[i * N + peer] = sentAt + CONTACT_LIFE
        :: else
        fi
      }
    :: true
    fi;
    atomic {
      sentAt = 0; peer = 0; until = 0;
      answerVersion = 0; answerAccepted = false; peerCounts = false
    }
  od
}

#define UNACKED ((stage[0] != 3) + (stage[1] != 3) + (stage[2] != 3))

proctype Coordinator()
{
  atomic {
    headVersion = 1;
    lastAck = now;
    stage[0] = 1;
    stage[1] = 1;
    stage[2] = 1
  };
end_coordinator:
  do
  :: atomic { stage[0] == 2 -> stage[0] = 3; lastAck = now }
  :: atomic { stage[1] == 2 -> stage[1] = 3; lastAck = now }
  :: atomic { stage[2] == 2 -> stage[2] = 3; lastAck = now }
  :: atomic {
#ifdef MUTANT_SILENT
      UNACKED == 0 || now >= lastAck + F ->
#else
#ifdef MUTANT_NOWAIT
      UNACKED < M ->
#else
      UNACKED == 0 || (UNACKED < M && now >= lastAck + F) ->
#endif
#endif
      if
      :: headVersion == 1 ->
        headVersion = 2;
        headAccepted = true;
        acceptedAt = now
      :: else
      fi;
      break
    }
  od
}

/* Any member may clear a pending change, also one of a crashed coordinator. */
proctype Clearer()
{
end_clearer:
  atomic { headVersion == 1 -> headVersion = 2 }
}

proctype Time()
{
  do
  :: now < TMAX -> now++
  :: else -> break
  od
}

init
{
  atomic {
    run Time();
    run Coordinator();
    run Clearer();
    run Member(0);
    run Member(1);
    run Member(2)
  }
}
