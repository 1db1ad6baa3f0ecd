/* Claims for at-most-once requests: requests with one key, each on another
 * node, and one target. Checked: the target runs at most one of them, and a
 * request that was reported as "not run" never runs.
 * Faults: crashes and pauses between any two steps, lost responses of the create
 * and the delete, a create that is applied late, claims marked as ended by other
 * nodes, and the sweeper, which deletes old claims.
 * Assumed: the store is linearizable, the key contains its time, and a claim is
 * deleted by the sweeper only when its key is expired by every node's clock.
 * Variant PEERS: the claim is kept in the memory of a home peer and a backup.
 * CALM omits crashes, time and late creates, so that three requests can be
 * checked.
 * Mutants: NO_CLAIM, TRUST_LOST_CREATE, RELEASE_UNKNOWN, NO_NONCE, NO_KEY_AGE
 */
#ifndef NODES
#define NODES 2
#endif
#define NONE 255
#ifdef NO_KEY_AGE
#define MAY_SEND(aId) (!overdue[aId])
#else
#define MAY_SEND(aId) (!overdue[aId] && !keyExpired)
#endif

byte claimNonce = NONE;       /* nonce in the claim object */
byte phase = 0;               /* of the claim: 0 running, 1 ended (done or unknown) */
byte runs = 0;
bool overdue[NODES];          /* the deadline of the request has passed */
bool crashed[NODES];
bool keyExpired = false;      /* the key is older than the retention */
bool reportedNotRun[NODES];
bool ran[NODES];
bool lateCreate[NODES];       /* the create is in transit */

#ifdef PEERS
byte backup = NONE;
bool restartedHome = false;
bool restartedBackup = false;
#endif

inline createIfAbsent(aId, aOwns)
{
  atomic {
    aOwns = (claimNonce == NONE);
#ifdef PEERS
    aOwns = aOwns && (backup == NONE);
    if
    :: aOwns -> backup = aId
    :: else
    fi;
#endif
    if
    :: aOwns -> claimNonce = aId; phase = 0
    :: else
    fi
  }
}

inline deleteOwn(aId)
{
  atomic {
    if
#ifdef NO_NONCE
    :: true -> claimNonce = NONE
#else
    :: claimNonce == aId -> claimNonce = NONE
#endif
    :: else
    fi;
#ifdef PEERS
    if
    :: backup == aId -> backup = NONE
    :: else
    fi
#endif
  }
}

inline refuseNotRun(aId)
{
  atomic { assert(!ran[aId]); reportedNotRun[aId] = true }
}

inline execute(aId)
{
  atomic {
    assert(!reportedNotRun[aId]);
    runs++;
    ran[aId] = true;
    assert(runs <= 1)
  }
}

proctype Request(byte id)
{
  bool owns = false;
  bool gotResponse = false;

  /* create; the response arrives, or doesn't */
  if
  :: createIfAbsent(id, owns); gotResponse = true
  :: createIfAbsent(id, owns)                    /* response lost */
#ifndef CALM
  :: lateCreate[id] = true                       /* not applied yet */
#endif
  fi;

  if
  :: gotResponse
  :: !gotResponse ->
#ifdef TRUST_LOST_CREATE
     owns = true
#else
     if
     :: atomic { owns = (claimNonce == id) }     /* read back by the nonce */
        if
        :: owns
        :: !owns && claimNonce == NONE ->        /* nothing found */
           refuseNotRun(id); goto release
        :: else
        fi
     :: refuseNotRun(id); goto release           /* no response again */
     fi
#endif
  fi;

#ifdef NO_CLAIM
  owns = true;
#endif
  if
  :: owns
  :: else -> goto end                            /* duplicate or unknown */
  fi;

  /* interleavings model pauses between two steps */
  if
  :: atomic { MAY_SEND(id) ->                    /* check and send */
  if
  :: crashed[id] -> goto end
  :: !crashed[id] ->
     if
     :: execute(id); goto answered               /* response received */
     :: execute(id); goto outcomeUnknown         /* response lost */
     :: goto outcomeUnknown                      /* request lost in transit */
     :: refuseNotRun(id); goto release           /* connection refused */
     fi
  fi
     }
  :: !MAY_SEND(id) -> refuseNotRun(id); goto release
  fi;

answered:
  atomic {
    if
    :: !crashed[id] && claimNonce == id -> phase = 1
    :: else
    fi
  };
  goto end;

outcomeUnknown:
#ifdef RELEASE_UNKNOWN
  goto release;
#else
  atomic {
    if
    :: !crashed[id] && claimNonce == id -> phase = 1
    :: else
    fi
  };
  goto end;
#endif

release:
  if
  :: crashed[id]
  :: else -> deleteOwn(id)
  fi;
  if
  :: crashed[id]
  :: else -> deleteOwn(id)                       /* retried after a lost response */
  fi;

end:
  skip
}

/* A create without a response is applied late, or never. */
proctype Network(byte id)
{
  bool owns;
  if
  :: lateCreate[id] -> createIfAbsent(id, owns)
  :: true
  fi
}

/* Deadlines, crashes and the other nodes. */
proctype Environment()
{
  byte i = 0;
  do
  :: i < NODES ->
     if
     :: overdue[i] = true
     :: crashed[i] = true
     :: true
     fi;
     i++
  :: i == NODES -> break
  od;
  /* any node marks an overdue claim as ended; the sweeper deletes it */
  if
  :: atomic { claimNonce < NODES && overdue[claimNonce] -> phase = 1 }
  :: true
  fi;
  keyExpired = true;
  claimNonce = NONE
}

#ifdef PEERS
/* Peers restart one after the other and lose their state. */
proctype Restarts()
{
  if
  :: claimNonce = NONE; backup = NONE
  :: true
  fi
}
#endif

init
{
  atomic {
    run Request(0);
    run Request(1);
#if NODES > 2
    run Request(2);
#endif
#ifndef CALM
    run Network(0);
    run Network(1);
    run Environment()
#endif
#ifdef PEERS
    ; run Restarts()
#endif
  }
}
