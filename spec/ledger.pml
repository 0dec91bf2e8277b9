/* The ledger of one worker's memory during a change of owner. Orders may be delayed, lost or reordered.
 *
 * The engine has memory for one of two items and ignores fencing numbers. Checked: its memory is never overcommitted.
 * Rules (each is disabled by the define in parentheses):
 *   intentBeforeOrder    a load order is sent only after its intent was read back as applied (NO_INTENT)
 *   keepUnansweredLoads  a load without an answer keeps its reservation, even after an unload (NO_KEEP)
 *   freshReport          memory is freed only by a report that was made after the load had arrived (NO_FRESH)
 *   capacityCheck        an intent is applied only if the memory is free (NO_CAPACITY)
 */
#define NONE 255

/* The worker's first owner is node 0; once its session is expired, node 1 owns the worker. */
bool expired = false;
#define isOwner(n) ((n == 0 && !expired) || (n == 1 && expired))

/* Ledger: the item for which the engine's memory is reserved. */
byte reservedItem = NONE;
bool openCopy = false;         /* a copy of its load order may still arrive */
bool unloading = false;        /* an unload of the item was decided; its memory is still reserved */

/* Engine. */
byte heldItem = NONE;          /* item in the engine's memory */
bool arrived[2];               /* the load of item i has arrived since the item was reserved */
bool overcommitted = false;
chan orders = [2] of { byte, byte };   /* kind, item; delivered in any order */
#define LOAD 1
#define UNLOAD 2

/* An older report that the owner may still receive. */
byte olderHeldItem = NONE;
bool olderArrived[2];

/* The engine carries out an order. */
inline deliver(kind, item) {
  if
  :: kind == LOAD ->
    if
    :: heldItem == NONE -> heldItem = item
    :: heldItem == item -> skip
    :: else -> overcommitted = true; assert(false)   /* memory is overcommitted */
    fi;
    arrived[item] = true
  :: kind == UNLOAD && heldItem == item -> heldItem = NONE
  :: else -> skip
  fi
}

active proctype engine() {
  byte kind, item;
end:
  do
  :: orders ?? [LOAD, 0] -> d_step { orders ?? LOAD, 0; deliver(LOAD, 0) }
  :: orders ?? [LOAD, 1] -> d_step { orders ?? LOAD, 1; deliver(LOAD, 1) }
  :: orders ?? [UNLOAD, 0] -> d_step { orders ?? UNLOAD, 0; deliver(UNLOAD, 0) }
  :: orders ?? [UNLOAD, 1] -> d_step { orders ?? UNLOAD, 1; deliver(UNLOAD, 1) }
  :: len(orders) > 0 && orders ?? [UNLOAD, 0] -> orders ?? UNLOAD, 0     /* lost; `owner` may also skip sending an order */
  :: !(olderHeldItem == heldItem && olderArrived[0] == arrived[0] && olderArrived[1] == arrived[1]) ->
    d_step { olderHeldItem = heldItem; olderArrived[0] = arrived[0]; olderArrived[1] = arrived[1] }
  od
}

/* The session of node 0 expires, at any time. */
active proctype expiry() {
  expired = true
}

/* Appends a load intent for `item`. Applied only if node `n` is the owner and the memory is free. */
inline appendLoadIntent(item, n, applied) {
  atomic {
    applied = false;
    if
#ifndef NO_CAPACITY
    :: isOwner(n) && reservedItem == NONE ->
#else
    :: isOwner(n) ->
#endif
      reservedItem = item; openCopy = true; unloading = false; arrived[item] = false; olderArrived[item] = false; applied = true
    :: else -> skip
    fi
  }
}

#define reportedItem (useOlder -> olderHeldItem : heldItem)
#define reportedArrival(i) (useOlder -> olderArrived[i] : arrived[i])

/* Resolves the open copy, or frees the memory, if the current or the older report allows it. */
inline resolveFromReport(useOlder) {
  if
  :: reservedItem != NONE && openCopy && reportedArrival(reservedItem) -> openCopy = false
#ifdef NO_KEEP
  :: reservedItem != NONE && unloading && reportedItem != reservedItem -> reservedItem = NONE; unloading = false; openCopy = false
#else
#ifdef NO_FRESH
  :: reservedItem != NONE && unloading && !openCopy && reportedItem != reservedItem -> reservedItem = NONE; unloading = false
#else
  :: reservedItem != NONE && unloading && !openCopy && reportedItem != reservedItem && reportedArrival(reservedItem) -> reservedItem = NONE; unloading = false
#endif
#endif
  :: else -> skip
  fi
}

/* Rounds of an owner, at most five. Each performs one of the operations that decideOrders may choose. The ledger changes
 * only while node `n` is the owner; an order may be sent after that. */
proctype owner(byte n; byte item) {
  bool applied = false;
  byte rounds = 0;
end:
  do
  :: rounds < 5 ->
    rounds++;
    if
    :: true ->                                           /* append a load intent, then send the order */
#ifdef NO_INTENT
      if :: nfull(orders) -> orders ! LOAD, item :: full(orders) -> skip fi;
#endif
      appendLoadIntent(item, n, applied);
      if
      :: applied && nfull(orders) -> orders ! LOAD, item
      :: true -> skip
      fi
    :: atomic { reservedItem != NONE && !unloading && isOwner(n) -> unloading = true };
      if
      :: nfull(orders) && reservedItem != NONE -> orders ! UNLOAD, reservedItem
      :: true -> skip
      fi
    :: atomic { isOwner(n) -> resolveFromReport(false) }
    :: atomic { isOwner(n) -> resolveFromReport(true) }
    fi
  :: rounds == 5 -> break
  od
}

init {
  atomic { run owner(0, 0); run owner(1, 1) }
}
