/* Requests with an idempotency key: two nodes that share one log run one key at most once.
 *
 * Each node receives two requests with the same key. A duplicate of an append may reach the log late. A node may answer
 * `not_run` before it knows the verdict on its begin, or it may crash. Checked: the key runs at most once, and never for a
 * request that was answered `not_run`; without a crash, no refused begin holds the key for ever.
 * Rules (each is disabled by the define in parentheses):
 *   beginBeforeSend        a request is sent only after its begin was read back (NO_BEGIN_FIRST)
 *   firstBeginWins         a begin is applied only if the key is free (NO_FIRST_WINS)
 *   noRerunAfterOpenBegin  an open begin of a crashed node is not run again (NO_OPEN_CHECK)
 *   voidRefused            a begin whose request was refused is voided (NO_VOID)
 *   voidNamesAttempt       a void applies only to the attempt that it names (NO_TOKEN)
 *   dropDuplicates         a record has no effect if the log holds one of the same writer with the same or a higher
 *                          number (NO_DROP)
 */
#define NODES 2

#define BEGIN 1
#define VOID 2
#define END 3

/* Replayed state, updated as each record reaches the log. It depends only on the order of records in the log. */
bool keyTaken = false;             /* a begin holds the key */
byte owner = 0, ownerAttempt = 0;  /* node and attempt of that begin */
bool ended = false;                /* the end of that attempt is recorded */
byte appliedNumber[NODES];  /* number of the newest applied record of each node */
byte sentNumber[NODES];     /* number of the newest record that each node sent */
bool beginApplied[4];   /* by node * 2 + attempt */
bool beginRejected[4];  /* by node * 2 + attempt */

byte runs = 0;          /* how many times the key ran */
bool refused[4];        /* by node * 2 + attempt: the caller was answered not_run */
bool crashed[NODES];

/* Adds one record to the log and applies it. */
inline addToLog(kind, node, attempt, recordNumber) {
  d_step {
    if
#ifndef NO_DROP
    :: recordNumber <= appliedNumber[node] -> skip
#endif
    :: else ->
      appliedNumber[node] = recordNumber;
      if
      :: kind == BEGIN ->
        if
#ifndef NO_FIRST_WINS
        :: keyTaken -> beginRejected[node * 2 + attempt] = true
#endif
        :: else -> keyTaken = true; owner = node; ownerAttempt = attempt; ended = false; beginApplied[node * 2 + attempt] = true
        fi
      :: kind == VOID ->
        if
#ifndef NO_TOKEN
        :: keyTaken && owner == node && ownerAttempt == attempt && !ended -> keyTaken = false
#else
        :: keyTaken && owner == node && !ended -> keyTaken = false
#endif
        :: else -> skip
        fi
      :: kind == END ->
        if
        :: keyTaken && owner == node && ownerAttempt == attempt -> ended = true
        :: else -> skip
        fi
      fi
    fi
  }
}

/* Duplicates of records that reach the log late, one at a time. */
chan lateRecords = [1] of { byte, byte, byte, byte };

active proctype lateAppends() {
  byte kind, node, attempt, recordNumber;
end:
  do
  :: lateRecords ? kind, node, attempt, recordNumber -> addToLog(kind, node, attempt, recordNumber)
  od
}

/* Sends one attempt to the service, which runs it. */
inline sendToService(node, attempt) {
  atomic {
    runs++;
    assert(runs <= 1);                      /* the key runs at most once */
    assert(!refused[node * 2 + attempt])    /* a request answered `not_run` does not run */
  }
}

/* A node appends one record at a time, so its records reach the log in the order of their numbers. Duplicates of a record may
 * follow late. */
inline append(kind, node, attempt) {
  atomic {
    sentNumber[node]++;
    addToLog(kind, node, attempt, sentNumber[node]);
    if
    :: nfull(lateRecords) -> lateRecords ! kind, node, attempt, sentNumber[node]
    :: true -> skip
    fi
  }
}

/* One request with the key. If the key is taken, the request is answered from the recorded state and not run. */
proctype request(byte node; byte attempt) {
  if
  :: crashed[node] -> goto done
#ifndef NO_OPEN_CHECK
  :: keyTaken -> goto done
#else
  :: keyTaken && ended -> goto done
  :: keyTaken && !ended && !crashed[owner] -> goto done
  :: keyTaken && !ended && crashed[owner] -> sendToService(node, attempt); goto done
#endif
  :: !keyTaken && !crashed[node] -> skip
  fi;
#ifdef NO_BEGIN_FIRST
  sendToService(node, attempt);
#endif
  append(BEGIN, node, attempt);
  if
  :: crashed[node] -> skip
  :: true -> crashed[node] = true
  :: !crashed[node] ->                     /* no verdict before the timeout: refuse the request and void its begin */
    refused[node * 2 + attempt] = true;
#ifndef NO_VOID
    append(VOID, node, attempt)
#endif
  :: !crashed[node] && beginApplied[node * 2 + attempt] ->
#ifndef NO_BEGIN_FIRST
    sendToService(node, attempt);
#endif
    if
    :: !crashed[node] -> append(END, node, attempt)
    :: true -> crashed[node] = true
    fi
  :: beginRejected[node * 2 + attempt] -> skip
  fi;
done:
  skip
}

init {
  atomic { run request(0, 0); run request(0, 1); run request(1, 0); run request(1, 1) }
}

/* At the end no refused begin holds the key. Otherwise every retry would be answered `unknown` for ever. */
active proctype monitor() {
end:
  timeout -> assert(crashed[0] || crashed[1] || !keyTaken || !refused[owner * 2 + ownerAttempt])
}
