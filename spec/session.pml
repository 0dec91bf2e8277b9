/* One session: its holder, its expiry by a watcher, and clock drift between the two.
 *
 * Time is a counter. It may advance while a process makes no step, which models a pause. The holder's clock may be one tick
 * behind. Checked: when an expiry takes effect, the holder has stopped acting.
 * Rules (each is disabled by the define in parentheses):
 *   leaseMargin            a holder stops one margin before its TTL ends (NO_MARGIN)
 *   countFromRequestStart  the TTL counts from the start of the renewal request (NO_FROM_START)
 *   expiryNamesRenewal     an expiry is void after a later renewal (NO_NAMED)
 */
/* Times in ticks. */
#define TTL 3
#define MARGIN 2
#define DRIFT 1
#define HORIZON 12      /* the clock stops here, which keeps the state space finite */

byte now = 0;

/* Session of node 0, as recorded in the log. */
bool expired = false;
byte lastSeen = 0;            /* number of the newest renewal in the log */
byte seenAt = 0;              /* time at which that renewal reached the log */

/* Node 0's own view of its lease: the time from which the TTL of its newest confirmed renewal counts. */
byte confirmedStart = 0;

#ifdef NO_MARGIN
#define DEADLINE (confirmedStart + TTL)
#else
#define DEADLINE (confirmedStart + TTL - MARGIN)
#endif
/* The holder's clock is DRIFT ticks behind. */
#define mayAct (now < DEADLINE + DRIFT)

active proctype clock() {
end:
  do
  :: now < HORIZON -> now++
  od
}

/* Node 0 renews its session, at most twice. A renewal reaches the log some time after its request starts, and is read back after
 * that. */
active proctype holder() {
  byte start, renewals = 0;
end:
  do
  :: now < HORIZON && !expired && renewals < 2 ->
    start = now;
    renewals++;
    if
    :: skip                                        /* the request is lost */
    :: atomic { !expired -> lastSeen = renewals; seenAt = now };
       atomic {
         !expired ->
#ifdef NO_FROM_START
         confirmedStart = now
#else
         confirmedStart = start
#endif
       }
    :: expired -> break
    fi
  :: expired || renewals == 2 -> break
  od
}

/* Node 1 watches the session of node 0 and expires it after one TTL without a renewal. */
active proctype watcher() {
  byte knownRenewal, silentSince;
end:
  do
  :: now < HORIZON && !expired ->
    atomic { knownRenewal = lastSeen; silentSince = now };
    if
    :: now >= silentSince + TTL && knownRenewal == lastSeen ->
      /* The append may take any time; the expiry takes effect when it reaches the log. */
      if
#ifndef NO_NAMED
      :: atomic { lastSeen == knownRenewal -> expired = true; assert(!mayAct) }   /* the holder has stopped acting */
      :: lastSeen != knownRenewal -> skip
#else
      :: atomic { true -> expired = true; assert(!mayAct) }
#endif
      fi
    :: lastSeen != knownRenewal -> skip
    :: now >= HORIZON -> break
    fi
  :: expired || now >= HORIZON -> break
  od
}

