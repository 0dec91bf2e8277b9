/* Requests that may not be repeated: at most one run of one key over two nodes and one log.
 *
 * Each node gets two requests with one key. A copy of an append
 * may land late; a node may give up and say `not_run`, or die. Rules (taken out by -D...):
 *   beginBeforeSend        a request is sent only after its begin was read back (NO_BEGIN_FIRST)
 *   firstBeginWins         a begin is valid only if the key is free (NO_FIRST_WINS)
 *   noRerunAfterOpenBegin  an open begin of a dead node is not run again (NO_OPEN_CHECK)
 *   voidRefused            a begin whose request was refused is taken back (NO_VOID)
 *   voidNamesTry           a void takes back only the try that it names (NO_TOKEN)
 *   dropRepeats            a record below one of its writer's in the log has no effect (NO_DROP)
 */
#define NODES 2

#define BEGIN 1
#define VOID 2
#define END 3

/* Replayed state after all of the log, kept as records land: the log's order alone decides. */
bool taken = false;
byte owner = 0, ownerTry = 0;
bool ended = false;
byte lastNumber[NODES];
byte number[NODES];
bool won[4];      /* node * 2 + try: its begin was valid */
bool lost[4];     /* its begin was read back as not valid */

byte runs = 0;
bool refused[4];  /* the caller was told not_run */
bool dead[NODES];

/* One record reaches the log and gets its verdict. */
inline land(k, n, t, num) {
  d_step {
    if
#ifndef NO_DROP
    :: num <= lastNumber[n] -> skip
#endif
    :: else ->
      lastNumber[n] = num;
      if
      :: k == BEGIN ->
        if
#ifndef NO_FIRST_WINS
        :: taken -> lost[n * 2 + t] = true
#endif
        :: else -> taken = true; owner = n; ownerTry = t; ended = false; won[n * 2 + t] = true
        fi
      :: k == VOID ->
        if
#ifndef NO_TOKEN
        :: taken && owner == n && ownerTry == t && !ended -> taken = false
#else
        :: taken && owner == n && !ended -> taken = false
#endif
        :: else -> skip
        fi
      :: k == END ->
        if
        :: taken && owner == n && ownerTry == t -> ended = true
        :: else -> skip
        fi
      fi
    fi
  }
}

chan late = [1] of { byte, byte, byte, byte };

active proctype network() {
  byte k, n, t, num;
end:
  do
  :: late ? k, n, t, num -> land(k, n, t, num)
  od
}

/* Runs try `t` of node `n`; the service counts it. */
inline send(n, t) {
  atomic {
    runs++;
    assert(runs <= 1);             /* no second run */
    assert(!refused[n * 2 + t])    /* a refusal that says `not_run` is true */
  }
}

/* A node appends one record at a time, so its records land in the order of their numbers; copies may land late. */
inline append(k, n, t) {
  atomic {
    number[n]++;
    land(k, n, t, number[n]);
    if
    :: nfull(late) -> late ! k, n, t, number[n]
    :: true -> skip
    fi
  }
}

/* One request with the key. A repeat of a taken key is answered from the record, not run. */
proctype request(byte n; byte t) {
  if
  :: dead[n] -> goto done
#ifndef NO_OPEN_CHECK
  :: taken -> goto done
#else
  :: taken && ended -> goto done
  :: taken && !ended && !dead[owner] -> goto done
  :: taken && !ended && dead[owner] -> send(n, t); goto done
#endif
  :: !taken && !dead[n] -> skip
  fi;
#ifdef NO_BEGIN_FIRST
  send(n, t);
#endif
  append(BEGIN, n, t);
  if
  :: dead[n] -> skip
  :: true -> dead[n] = true
  :: !dead[n] ->                             /* no verdict in time: refuse, and take the begin back */
    refused[n * 2 + t] = true;
#ifndef NO_VOID
    append(VOID, n, t)
#endif
  :: !dead[n] && won[n * 2 + t] ->
#ifndef NO_BEGIN_FIRST
    send(n, t);
#endif
    if
    :: !dead[n] -> append(END, n, t)
    :: true -> dead[n] = true
    fi
  :: lost[n * 2 + t] -> skip
  fi;
done:
  skip
}

init {
  atomic { run request(0, 0); run request(0, 1); run request(1, 0); run request(1, 1) }
}

/* After all is at rest no refused begin holds the key: its repeat would be told `unknown` for ever. */
active proctype monitor() {
end:
  timeout -> assert(dead[0] || dead[1] || !taken || !refused[owner * 2 + ownerTry])
}
