/* One session: its holder, its expiry by a watcher, and clocks that run apart.
 *
 * Time is a counter; a process may stand still while it runs on (pause). The holder's clock may be one tick
 * behind. Checked: when an expiry takes effect, the holder has stopped acting. Rules (taken out by -D...):
 *   lapseMargin        a holder stops one margin before its TTL (NO_MARGIN)
 *   countFromStart     the TTL counts from the start of the renewal's request (NO_FROM_START)
 *   expiryNamesRenewal an expiry is void after a later renewal (NO_NAMED)
 */
#define TTL 3
#define MARGIN 2
#define DRIFT 1
#define HORIZON 12

byte now = 0;

/* ---- session of node 0, as the log shows it ---- */
bool expired = false;
byte lastSeen = 0;            /* number of its newest renewal in the log */
byte seenAt = 0;              /* when that renewal landed: what a watcher sees */

/* ---- node 0's own view ---- */
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

/* Node 0 renews. The request starts, lands some time later, and is read back some time after that. */
active proctype holder() {
  byte start, number = 0;
end:
  do
  :: now < HORIZON && !expired && number < 2 ->
    start = now;
    number++;
    if
    :: skip                                        /* lost */
    :: atomic { !expired -> lastSeen = number; seenAt = now };
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
  :: expired || number == 2 -> break
  od
}

/* Node 1 watches node 0's session and expires it after a TTL of silence. */
active proctype watcher() {
  byte known, since;
end:
  do
  :: now < HORIZON && !expired ->
    atomic { known = lastSeen; since = now };
    if
    :: now >= since + TTL && known == lastSeen ->
      /* The append may take any time; the log decides when it lands. */
      if
#ifndef NO_NAMED
      :: atomic { lastSeen == known -> expired = true; assert(!mayAct) }   /* the holder has stopped */
      :: lastSeen != known -> skip
#else
      :: atomic { true -> expired = true; assert(!mayAct) }
#endif
      fi
    :: lastSeen != known -> skip
    :: now >= HORIZON -> break
    fi
  :: expired || now >= HORIZON -> break
  od
}

