/* Followers of a store that returns from older copies, and the fencing numbers
 * of its lease.
 *
 * A store of two objects, an upstream that reads the store, and a follower that
 * reads the upstream or the store. Each change of the store has a new content.
 * Bounds: WRITES changes, RETURNS returns from a copy that is taken at any
 * time; the store may forget its history at any time. LEASE has two nodes that
 * take the lease instead, each with a condition that may be of an earlier era;
 * their clocks differ.
 * Assumed: clocks differ by less than an era lifts the epochs, and the store
 * executes no conditional write in a later era than it was sent in.
 * Checked: a node that has the store's era and revision has its objects; the
 * era of a node never falls; with LEASE, each new holder has a higher epoch
 * than all before, lost ones too. */
#ifndef WRITES
#define WRITES 3
#endif
#ifndef RETURNS
#define RETURNS 2
#endif

#ifndef LEASE

#define K 2

typedef Feed {
  byte era;
  byte rev;        /* 0: nothing has been read */
  byte content[K]; /* 0: the object doesn't exist */
  byte changed[K]; /* revision of the last change, deletions included */
  byte history;    /* changes after this revision are known */
  byte gapFrom;    /* followers within the gap may know unseen objects */
  byte gapTo;
}

Feed store, copy, upstream, follower;
byte writes, returns, contents;

#define CURRENT(n) (n.era == store.era && n.rev == store.rev)
#define CHECK(n)                                                               \
  assert(!CURRENT(n) || (n.content[0] == store.content[0] &&                 \
                         n.content[1] == store.content[1]))

inline set(n, m, k)
{
  n.content[k] = m.content[k];
  n.changed[k] = m.changed[k]
}

inline list(n, m)
{
  assert(m.era >= n.era);
#ifdef NO_GAP
#else
  if
  :: n.rev != 0 && n.era == m.era && m.rev > n.rev ->
    if
    :: n.gapTo > n.history -> n.history = n.gapTo
    :: else
    fi;
    n.gapFrom = n.rev;
    n.gapTo = m.rev
  :: else
  fi;
#endif
  if
#ifndef NO_RESET
  :: n.era != m.era -> n.history = m.rev; n.gapFrom = 0; n.gapTo = 0
#endif
  :: n.rev == 0 -> n.history = m.rev
  :: else
  fi;
  k = 0;
  do
  :: k < K ->
    if
    :: m.content[k] == 0 && n.content[k] != 0 ->
      n.content[k] = 0;
      n.changed[k] = m.rev
    :: m.content[k] != 0 -> set(n, m, k)
    :: m.content[k] == 0 && n.content[k] == 0 && n.era != m.era ->
      n.changed[k] = 0 /* a change of an earlier era precedes all others */
    :: else
    fi;
    k++
  :: else -> break
  od;
  n.era = m.era;
  n.rev = m.rev
}

/* Applies what changed in m after the revision of n. */
inline changes(n, m)
{
  k = 0;
  do
  :: k < K ->
    if
    :: m.changed[k] > n.rev -> set(n, m, k)
    :: else
    fi;
    k++
  :: else -> break
  od;
  if
  :: m.rev > n.rev -> n.rev = m.rev
  :: else
  fi
}

#ifdef NO_ERA
#define SAME_ERA(n, m) true
#else
#define SAME_ERA(n, m) (n.era == m.era)
#endif

#define IN_GAP(n, m) (n.rev > m.gapFrom && n.rev < m.gapTo)

inline read(n, m)
{
  if
  :: n.rev != 0 && SAME_ERA(n, m) && n.rev >= m.history && !IN_GAP(n, m) ->
#ifdef NO_ERA
    n.era = m.era;
#endif
    changes(n, m)
  :: else ->
    if
#ifndef OLDER_UPSTREAM
    :: m.era < n.era
#endif
    :: else -> list(n, m)
    fi
  fi
}

active proctype Store()
{
  byte k;
  store.rev = 1;
  copy.rev = 1;
end:
  do
  :: atomic {
       writes < WRITES ->
       writes++;
       select(k : 0..1);
       store.rev++;
       store.changed[k] = store.rev;
       if
       :: store.content[k] != 0 -> store.content[k] = 0
       :: contents++; store.content[k] = contents
       fi;
       k = 0
     }
  :: atomic { returns < RETURNS && writes < WRITES ->
              d_step {
                copy.rev = store.rev;
                copy.content[0] = store.content[0];
                copy.content[1] = store.content[1];
                copy.changed[0] = store.changed[0];
                copy.changed[1] = store.changed[1]
              } }
  :: atomic { returns < RETURNS && writes > 0 ->
              d_step {
                returns++;
                store.era++;
                store.rev = copy.rev;
                store.content[0] = copy.content[0];
                store.content[1] = copy.content[1];
                store.changed[0] = copy.changed[0];
                store.changed[1] = copy.changed[1];
                store.history = 0
              } }
  :: atomic { store.history < store.rev -> store.history = store.rev }
  od
}

active proctype Upstream()
{
  byte k;
end:
  do
  :: atomic { store.rev > 0 && !CURRENT(upstream) ->
              read(upstream, store); CHECK(upstream); k = 0 }
  od
}

active proctype Follower()
{
  byte k;
end:
  do
  :: atomic { upstream.rev > 0 &&
              (upstream.era != follower.era || upstream.rev != follower.rev) ->
              read(follower, upstream); CHECK(follower); k = 0 }
  :: atomic { store.rev > 0 && !CURRENT(follower) ->
              read(follower, store); CHECK(follower); k = 0 }
  od
}

#else

/* The epochs that an era adds exceed the difference of the clocks. */
#define LIFT 8
#define SKEW 4

byte era, rev = 1;
byte leaseRev, leaseEpoch;         /* 0: there is no lease */
byte copyRev = 1, copyLeaseRev, copyLeaseEpoch;
byte returns, takes, now;
byte highest; /* epoch of any holder so far */

active[2] proctype Node()
{
  byte seenEra, seenRev, seenEpoch, epoch, wall;
  bool known;
end:
  do
  :: atomic { takes < WRITES -> /* reads the lease */
              seenEra = era; seenRev = leaseRev; known = true;
              if
              :: leaseEpoch > seenEpoch -> seenEpoch = leaseEpoch
              :: else
              fi }
  :: atomic { takes < WRITES && known -> /* writes it on the condition seen */
              known = false;
              takes++;
              now++;
              wall = now + (_pid % 2) * SKEW;
#ifndef NO_LIFT
              wall = wall + seenEra * LIFT;
#endif
              epoch = (wall > seenEpoch -> wall : seenEpoch + 1);
              if
#ifdef ANY_ERA
              :: seenRev == leaseRev ->
#else
              :: seenRev == leaseRev && seenEra == era ->
#endif
                rev++; leaseRev = rev; leaseEpoch = epoch;
                assert(epoch > highest);
                highest = epoch;
                seenEpoch = epoch
              :: else
              fi;
              epoch = 0; wall = 0 }
  od
}

active proctype Returns()
{
end:
  do
  :: atomic { returns < RETURNS ->
              copyRev = rev; copyLeaseRev = leaseRev;
              copyLeaseEpoch = leaseEpoch }
  :: atomic { returns < RETURNS ->
              returns++; era++; rev = copyRev; leaseRev = copyLeaseRev;
              leaseEpoch = copyLeaseEpoch }
  od
}

#endif
