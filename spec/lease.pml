/* The lease for orders: two VMs, one keyed record, conditional appends, lost and late answers.
 *
 * Time is a counter; a VM may stand still while it runs on. The record's offset tells two records apart.
 * Checked: two VMs never may order at once. Rules (taken out by -D...):
 *   conditionalAppend  an append lands only at the offset that its sender saw (NO_CONDITION)
 *   stopBeforeEnd      a holder stops ordering one margin before its lease may be taken over (NO_MARGIN)
 *   countFromSend      a renewal counts from when it was sent (NO_FROM_SEND)
 *   dateByOffset       a try without an answer counts only if its own offset is found (NO_BY_OFFSET)
 *   waitUnchanged      a lease is taken over only after it stood unchanged for its duration (NO_WAIT)
 */
#define DURATION 3
#define MARGIN 1
#define HORIZON 9
#define NONE 255

byte now = 0;

/* ---- the log: newest record, and where the partition ends ---- */
byte holder = NONE;
byte offset = NONE;
byte end = 0;

/* ---- an append that the store carries out later ---- */
bool late = false;
byte lateBy, lateAt;

/* ---- what each VM believes ---- */
bool held[2];
byte renewedAt[2];

#ifdef NO_MARGIN
#define UNTIL(i) (renewedAt[i] + DURATION + MARGIN)
#else
#define UNTIL(i) (renewedAt[i] + DURATION - MARGIN)
#endif
#define mayOrder(i) (held[i] && now < UNTIL(i))

#ifdef NO_CONDITION
#define fits(at) (true)
#else
#define fits(at) (end == at)
#endif

inline land(by, at) {
  holder = by;
  offset = end;
  end++;
}

active proctype clock() {
stop:
  do
  :: now < HORIZON -> now++
  :: now >= HORIZON -> break
  od
}

active proctype store() {
stop:
  do
  :: atomic { late && fits(lateAt) -> land(lateBy, lateAt); late = false }
  :: atomic { late && !fits(lateAt) -> late = false }
  :: now >= HORIZON -> break
  od
}

active [2] proctype vm() {
  byte me = _pid - 2;
  byte known = 0, seen = NONE, firstSeen = 0, sentAt, at, tries = 0;
  byte triedOffset = NONE, triedAt = 0, lastTry = 0;
  bool fresh = false;
stop:
  do
  :: now >= HORIZON || tries >= 3 -> break
  :: atomic {
       /* Reads the newest record. */
       now < HORIZON ->
       if
       :: seen != offset || !fresh -> firstSeen = (seen == offset && firstSeen != 0 -> firstSeen : now); seen = offset
       :: else
       fi;
       known = end;
       fresh = true;
       if
       :: holder == me ->
          held[me] = true;
#ifdef NO_BY_OFFSET
          renewedAt[me] = (lastTry > renewedAt[me] -> lastTry : renewedAt[me])
#else
          if
          :: triedOffset == offset && triedAt > renewedAt[me] -> renewedAt[me] = triedAt
          :: else
          fi
#endif
       :: else -> held[me] = false
       fi;
       assert(!(mayOrder(0) && mayOrder(1)))
     }
  :: atomic {
       /* Renews, or takes a lease over that is free or old. */
#ifdef NO_WAIT
       fresh ->
#else
       fresh && (held[me] || holder == NONE || now >= firstSeen + DURATION + 1) ->
#endif
       sentAt = now;
       at = known;
       tries++
     };
     if
     :: atomic {
          fits(at) ->
          land(me, at);
          held[me] = true;
#ifdef NO_FROM_SEND
          renewedAt[me] = now;
#else
          renewedAt[me] = sentAt;
#endif
          known = end;
          seen = offset;
          firstSeen = sentAt;
          triedOffset = NONE;
          assert(!(mayOrder(0) && mayOrder(1)))
        }
     :: atomic { end != at -> fresh = false }                     /* conflict */
     :: atomic {
          /* The answer is lost, or the call; in the first case the record lies there. */
          if
          :: fits(at) -> land(me, at)
          :: !late -> late = true; lateBy = me; lateAt = at
          :: skip
          fi;
          if
          :: triedOffset != at -> triedOffset = at; triedAt = sentAt
          :: else
          fi;
          lastTry = sentAt;
          fresh = false
        }
     fi
  od
}
