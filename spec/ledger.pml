/* The ledger of one worker's memory, over a change of owner, with orders that arrive late, lost or overtaken.
 *
 * The engine has room for one of two items and ignores fencing numbers. Checked: its memory is never
 * overcommitted. Rules (taken out by -D...):
 *   intentBeforeOrder  an order is sent after its intent was read back as valid (NO_INTENT)
 *   keepUnanswered     an unanswered load keeps its reservation through its unload (NO_KEEP)
 *   freshReport        memory is freed only on a report that is newer than the load's arrival (NO_FRESH)
 *   capacityCheck      an intent is valid only if the memory is free (NO_CAPACITY)
 */
#define NONE 255

/* The worker's first owner is node 0; once its session is expired, node 1 owns the worker. */
bool expired = false;
#define isOwner(n) ((n == 0 && !expired) || (n == 1 && expired))

/* ---- ledger: which item holds the engine's only place ---- */
byte reserved = NONE;         /* item */
bool openCopy = false;        /* a copy of its load order may still arrive */
bool unloading = false;

/* ---- engine ---- */
byte held = NONE;
bool arrived[2];              /* the load of item i has arrived since it was reserved */
bool overcommitted = false;
chan orders = [2] of { byte, byte };   /* kind, item; unordered: late orders overtake */
#define LOAD 1
#define UNLOAD 2

/* An older report that may still be shown. */
byte oldHeld = NONE;
bool oldArrived[2];

inline arrive(kind, item) {
  if
  :: kind == LOAD ->
    if
    :: held == NONE -> held = item
    :: held == item -> skip
    :: else -> overcommitted = true; assert(false)   /* memory overcommitted */
    fi;
    arrived[item] = true
  :: kind == UNLOAD && held == item -> held = NONE
  :: else -> skip
  fi
}

active proctype engine() {
  byte kind, item;
end:
  do
  :: orders ?? [LOAD, 0] -> d_step { orders ?? LOAD, 0; arrive(LOAD, 0) }
  :: orders ?? [LOAD, 1] -> d_step { orders ?? LOAD, 1; arrive(LOAD, 1) }
  :: orders ?? [UNLOAD, 0] -> d_step { orders ?? UNLOAD, 0; arrive(UNLOAD, 0) }
  :: orders ?? [UNLOAD, 1] -> d_step { orders ?? UNLOAD, 1; arrive(UNLOAD, 1) }
  :: len(orders) > 0 && orders ?? [UNLOAD, 0] -> orders ?? UNLOAD, 0     /* lost */
  :: !(oldHeld == held && oldArrived[0] == arrived[0] && oldArrived[1] == arrived[1]) ->
    d_step { oldHeld = held; oldArrived[0] = arrived[0]; oldArrived[1] = arrived[1] }
  od
}

active proctype expiry() {
  expired = true
}

/* Appends a load intent for `item`; valid only for the owner and if the place is free. */
inline intent(item, n, valid) {
  atomic {
    valid = false;
    if
#ifndef NO_CAPACITY
    :: isOwner(n) && reserved == NONE ->
#else
    :: isOwner(n) ->
#endif
      reserved = item; openCopy = true; unloading = false; arrived[item] = false; oldArrived[item] = false; valid = true
    :: else -> skip
    fi
  }
}

#define shownHeld (old -> oldHeld : held)
#define shownArrived(i) (old -> oldArrived[i] : arrived[i])

/* Frees the place if a report allows it. `old`: the report is the older one. */
inline resolve(old) {
  if
  :: reserved != NONE && openCopy && shownArrived(reserved) -> openCopy = false
#ifdef NO_KEEP
  :: reserved != NONE && unloading && shownHeld != reserved -> reserved = NONE; unloading = false; openCopy = false
#else
#ifdef NO_FRESH
  :: reserved != NONE && unloading && !openCopy && shownHeld != reserved -> reserved = NONE; unloading = false
#else
  :: reserved != NONE && unloading && !openCopy && shownHeld != reserved && shownArrived(reserved) -> reserved = NONE; unloading = false
#endif
#endif
  :: else -> skip
  fi
}

/* The owner's round: one of the things that decideOrders may do. Node `n` acts only while it is the owner. */
proctype owner(byte n; byte item) {
  bool valid = false;
  byte rounds = 0;
end:
  do
  :: rounds < 5 ->
    rounds++;
    if
    :: true ->                                           /* announce a load, then send it */
#ifdef NO_INTENT
      if :: nfull(orders) -> orders ! LOAD, item :: full(orders) -> skip fi;
#endif
      intent(item, n, valid);
      if
      :: valid && nfull(orders) -> orders ! LOAD, item
      :: true -> skip
      fi
    :: atomic { reserved != NONE && !unloading && isOwner(n) -> unloading = true };
      if
      :: nfull(orders) && reserved != NONE -> orders ! UNLOAD, reserved
      :: true -> skip
      fi
    :: atomic { isOwner(n) -> resolve(false) }
    :: atomic { isOwner(n) -> resolve(true) }
    fi
  :: rounds == 5 -> break
  od
}

init {
  atomic { run owner(0, 0); run owner(1, 1) }
}
