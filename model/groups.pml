/* Moving one VM between two groups of a fabric domain. Two members compete for
 * the domain's lease.
 *
 * Modelled: the lease with its epoch, acquired by the other member after a term
 * without renewal; one domain object written by compare and swap; orders that
 * are delayed, duplicated, lost or reordered; lost responses; members that pause
 * for any time between any two steps; VM statuses read by the lease holder and
 * by routers; routers that never read the domain object again and rely on probe
 * results alone. Time passes in ticks, at the same rate for all.
 *
 * Bounds: two members, two groups, one VM, two orders in transit, WRITES writes
 * of the object, EPOCHS epochs. Assumed: clocks run at the same rate; an engine
 * that ignores fencing numbers executes an order within DELAY ticks after the
 * sender checked its lease deadline.
 *
 * Checked: no router has fresh probe results of the VM serving both groups.
 *
 * IGNORED: engines execute any order. Mutants, each without one guard: NOFENCE,
 * EPOCHONLY (orders contain the epoch only), NOWAIT (no wait for probe results
 * to expire), NOACK (a free status counts without an accepted release before
 * it), NODELAY (no wait for the order delay). REACH asserts that the VM never
 * returns to its first group; it must fail, otherwise the model does nothing.
 */
#ifndef WRITES
#define WRITES 5
#endif
#define EPOCHS 2
#define BOUND 2
#define TERM 2
#define DELAY 2
#define SLOTS 2

#ifdef EPOCHONLY
#define NUMBER(m) viewEpoch[m]
#else
#define NUMBER(m) viewNumber[m]
#endif

/* The store. */
byte leaseEpoch = 1;
byte leaseHolder = 0;
byte leaseAge = 0;
byte writes = 0;          /* version of the domain object, and number of its orders */
byte epoch = 1;
byte group = 1;           /* of the VM, by the domain object */
bool retiring = false;

/* The engine and the routers. */
byte engineGroup = 1;     /* group that the engine serves, 0 for none */
byte highestNumber = 0;   /* highest fencing number accepted */
byte probeValidFor[3];    /* by group: ticks until all routers' probe results expire */

/* Orders in transit; a target of 0 releases the VM. */
bool used[SLOTS];
byte number[SLOTS];
byte target[SLOTS];
byte age[SLOTS];
byte sender[SLOTS];

/* The members. */
byte leaseLeft[2];            /* ticks until the lease deadline by the member's clock */
byte myEpoch[2];
byte viewWrites[2];
byte viewEpoch[2];
byte viewNumber[2];
byte viewGroup[2];
bool viewRetiring[2];
bool releaseAccepted[2];      /* a release order of the current view was accepted */
byte freeFor[2];              /* ticks since a status without a group, 9 for none */
byte orderDelayLeft[2];       /* ticks until no older order can be executed */

#define VIEW_IS_CURRENT (viewWrites[me] == writes)
#define LONG_FREE (freeFor[me] != 9 && freeFor[me] >= BOUND)

inline readObject()
{
  viewWrites[me] = writes;
  viewEpoch[me] = epoch;
  viewNumber[me] = writes;
  viewGroup[me] = group;
  if
  :: viewRetiring[me] != retiring -> orderDelayLeft[me] = DELAY + 1; releaseAccepted[me] = false; freeFor[me] = 9
  :: else
  fi;
  viewRetiring[me] = retiring
}

inline send(aGroup)
{
  if
  :: !used[0] -> used[0] = true; number[0] = NUMBER(me); target[0] = aGroup; age[0] = 0; sender[0] = me
  :: used[0] && !used[1] -> used[1] = true; number[1] = NUMBER(me); target[1] = aGroup; age[1] = 0; sender[1] = me
  :: else
  fi
}

proctype Member(byte me)
{
  do
  /* The lease. */
  :: atomic { leaseHolder == me && leaseLeft[me] > 0 && leaseEpoch == myEpoch[me] && leaseLeft[me] < TERM ->
       leaseLeft[me] = TERM; leaseAge = 0 }
  :: atomic { leaseHolder != me && leaseAge >= TERM && leaseEpoch < EPOCHS ->
       leaseEpoch++; leaseHolder = me; leaseAge = 0; myEpoch[me] = leaseEpoch;
       leaseLeft[me] = TERM; releaseAccepted[me] = false; freeFor[me] = 9; orderDelayLeft[me] = DELAY + 1;
       viewRetiring[me] = retiring; readObject() }
  /* The object; a view may be stale until the member reads it again. */
  :: atomic { leaseLeft[me] > 0 && !VIEW_IS_CURRENT -> readObject() }
  :: atomic { leaseLeft[me] > 0 && VIEW_IS_CURRENT && epoch < myEpoch[me] && writes < WRITES ->
       epoch = myEpoch[me]; writes++; readObject() }
  :: atomic { VIEW_IS_CURRENT && epoch == myEpoch[me] && group != 0 && !retiring && writes < WRITES ->
       /* no check of the deadline: the write of a paused holder may come late */
       retiring = true; writes++;
       if
       :: readObject()
       :: skip /* the response is lost */
       fi }
  :: atomic { leaseLeft[me] > 0 && VIEW_IS_CURRENT && epoch == myEpoch[me] && retiring && writes < WRITES &&
#ifndef NOWAIT
       LONG_FREE &&
#else
       freeFor[me] != 9 &&
#endif
#if defined(IGNORED) && !defined(NODELAY)
       orderDelayLeft[me] == 0 &&
#endif
       true ->
       group = 3 - group; retiring = false; writes++;
       readObject(); freeFor[me] = 9; releaseAccepted[me] = false }
  /* Orders, each after a check of the lease deadline. */
  :: atomic { leaseLeft[me] > 0 && viewEpoch[me] == myEpoch[me] && viewRetiring[me] -> send(0) }
  :: atomic { leaseLeft[me] > 0 && viewEpoch[me] == myEpoch[me] && !viewRetiring[me] && engineGroup != viewGroup[me] ->
       send(viewGroup[me]) }
  /* Status of the engine. */
  :: atomic { leaseLeft[me] > 0 && viewRetiring[me] && engineGroup != 0 && freeFor[me] != 9 -> freeFor[me] = 9 }
  :: atomic { leaseLeft[me] > 0 && viewRetiring[me] && engineGroup == 0 && freeFor[me] == 9 &&
#ifndef NOACK
       releaseAccepted[me] &&
#endif
#if defined(IGNORED) && !defined(NODELAY)
       orderDelayLeft[me] == 0 &&
#endif
       true ->
       freeFor[me] = 0 }
  od
}

/* Delivers, duplicates or loses the orders. */
proctype Network()
{
  byte i;
  do
  :: atomic {
       if
       :: used[0] -> i = 0
       :: used[1] -> i = 1
       fi;
       if
       :: true -> /* lost */
#if defined(IGNORED) || defined(NOFENCE)
       :: true ->
#else
       :: number[i] >= highestNumber ->
#endif
          highestNumber = (number[i] > highestNumber -> number[i] : highestNumber);
          engineGroup = target[i];
          if
          :: target[i] == 0 && viewRetiring[sender[i]] && number[i] == NUMBER(sender[i]) ->
             releaseAccepted[sender[i]] = true
          :: true /* the response is lost */
          fi
       fi;
       if
       :: used[i] = false; number[i] = 0; target[i] = 0; age[i] = 0; sender[i] = 0
       :: skip /* the order is delivered again */
       fi;
       i = 0 }
  od
}

proctype Routers()
{
  do
  :: atomic { engineGroup != 0 ->
       probeValidFor[engineGroup] = BOUND;
#ifdef REACH
       assert(!(engineGroup == 1 && writes >= 4));
#endif
       assert(!(probeValidFor[1] > 0 && probeValidFor[2] > 0)) }
  od
}

inline decrement(aTimer)
{
  if
  :: aTimer > 0 -> aTimer = aTimer - 1
  :: else
  fi
}

proctype Time()
{
  byte i;
  do
  :: atomic {
#ifdef IGNORED
       (!used[0] || age[0] < DELAY) && (!used[1] || age[1] < DELAY) ->
#else
       true ->
#endif
       decrement(probeValidFor[1]);
       decrement(probeValidFor[2]);
       decrement(leaseLeft[0]);
       decrement(leaseLeft[1]);
       decrement(orderDelayLeft[0]);
       decrement(orderDelayLeft[1]);
       if
       :: leaseAge < TERM -> leaseAge++
       :: else
       fi;
       for (i : 0 .. 1) {
         if
         :: freeFor[i] < BOUND -> freeFor[i]++
         :: else
         fi;
#ifdef IGNORED
         if
         :: used[i] -> age[i]++
         :: else
         fi
#endif
       }
       i = 0 }
  od
}

init
{
  atomic {
    probeValidFor[1] = BOUND;
    leaseLeft[0] = TERM;
    myEpoch[0] = 1;
    viewEpoch[0] = 1;
    viewGroup[0] = 1;
    freeFor[0] = 9;
    freeFor[1] = 9;
    orderDelayLeft[0] = DELAY + 1;
    run Member(0);
    run Member(1);
    run Network();
    run Routers();
    run Time()
  }
}
