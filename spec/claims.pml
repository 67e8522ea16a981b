/*
 * Claims on the idempotency keys of requests that must not run twice (docs/design.md, section 7).
 *
 * Three requests claim one key: a caller's request through entry 0, and its retries through entry 1 and again entry 0.
 * The owner of the claim shard records the claim in its journal (journal.pml). The ownership may change once, and the
 * old owner may continue with the state that it knows. Messages to the owner may be delayed or lost, or their responses
 * may be lost, and the claiming entry may crash between the grant and the end of the request.
 */
#define REQUESTS 3
#define MAX_IN_FLIGHT 2
#ifndef TIMEOUTS
#define TIMEOUTS 2
#endif

/* Always false; each assertion includes the variable of its property, so that its text names the property. */
bool P6_at_most_once, P5_not_run_did_not_run;

mtype = { CLAIM, RELEASE, DONE, GRANTED, HELD, REFUSED, UNKNOWN, CRASH };

/* State of the journal: the request that holds the key, plus 1, and whether that request has ended. */
byte holder;
bool ended;
byte closed_requests;  /* requests that have ended, or whose entry has crashed */
/* The epoch of the owner that the journal accepts, and the holder that the deposed owner knows. */
byte owner_epoch = 1;
byte stale_holder;

typedef Message { bool in_flight; mtype kind; byte epoch };
Message messages[REQUESTS * MAX_IN_FLIGHT];
byte awaited[REQUESTS];
mtype response[REQUESTS];
byte timeouts;
/* Requests that were given up as not run; the owner refuses later claims of them. */
bool abandoned[REQUESTS];

/* Ghost state. */
byte runs;
bool reported_not_run[REQUESTS];
bool sent[REQUESTS];

#define REQUESTER (c / MAX_IN_FLIGHT)
#define MSG messages[c]

/* The owner grants a claim once its record is committed. A deposed owner can't commit. */
inline do_claim(c) {
  if
#ifdef GRANT_BEFORE_COMMIT
  :: MSG.epoch < owner_epoch && stale_holder == 0 -> result = GRANTED
#endif
  /* The holder that the deposed owner knows was committed before the takeover. */
  :: MSG.epoch < owner_epoch && stale_holder == REQUESTER + 1 -> result = GRANTED
  :: MSG.epoch < owner_epoch && stale_holder != REQUESTER + 1 -> result = REFUSED
  :: MSG.epoch == owner_epoch && holder == REQUESTER + 1 && !ended -> result = GRANTED
  :: MSG.epoch == owner_epoch && holder == 0 && abandoned[REQUESTER] -> result = REFUSED
#ifdef DROPPED_WHEN_FULL
  :: MSG.epoch == owner_epoch && holder != 0 && holder != REQUESTER + 1 ->
     holder = REQUESTER + 1; ended = false; result = GRANTED
#endif
  :: MSG.epoch == owner_epoch && holder == 0 && !abandoned[REQUESTER] ->
     holder = REQUESTER + 1; ended = false; result = GRANTED
  :: MSG.epoch == owner_epoch && holder != 0 && (holder != REQUESTER + 1 || ended) -> result = HELD
  fi
}

inline do_release(c) {
  if
  :: MSG.epoch < owner_epoch -> result = REFUSED
#ifdef RELEASE_WITHOUT_REQUEST
  :: MSG.epoch == owner_epoch && holder != 0 && !ended -> holder = 0; result = GRANTED
#endif
  :: MSG.epoch == owner_epoch && holder == REQUESTER + 1 && !ended ->
     holder = 0; abandoned[REQUESTER] = true; result = GRANTED
  :: MSG.epoch == owner_epoch && !(holder == REQUESTER + 1 && !ended) -> abandoned[REQUESTER] = true; result = GRANTED
  fi
}

inline do_done(c) {
  if
  :: MSG.epoch < owner_epoch -> result = REFUSED
  :: MSG.epoch == owner_epoch ->
     if
     :: holder == REQUESTER + 1 -> ended = true
     :: else -> skip
     fi;
     result = GRANTED
  fi
}

inline remove_message(c) {
  MSG.in_flight = false; MSG.kind = 0; MSG.epoch = 0;
  if
  :: awaited[REQUESTER] == c % MAX_IN_FLIGHT + 1 -> awaited[REQUESTER] = 0
  :: else -> skip
  fi
}

inline deliver(c) {
  d_step {
    MSG.in_flight ->
    if
    :: MSG.kind == CLAIM -> do_claim(c)
    :: MSG.kind == RELEASE -> do_release(c)
    :: MSG.kind == DONE -> do_done(c)
    fi;
    if
    :: awaited[REQUESTER] == c % MAX_IN_FLIGHT + 1 -> response[REQUESTER] = result
    :: else -> skip
    fi;
    remove_message(c); result = 0
  }
}

inline lose_message(c) { d_step { MSG.in_flight && awaited[REQUESTER] != c % MAX_IN_FLIGHT + 1 -> remove_message(c) } }

inline time_out(c) {
  d_step {
    MSG.in_flight && timeouts < TIMEOUTS && awaited[REQUESTER] == c % MAX_IN_FLIGHT + 1 ->
    timeouts++; response[REQUESTER] = UNKNOWN; awaited[REQUESTER] = 0
  }
}

active proctype network() {
  mtype result;
end:
  do
  :: deliver(0) :: deliver(1) :: deliver(2) :: deliver(3) :: deliver(4) :: deliver(5)
  :: lose_message(0) :: lose_message(1) :: lose_message(2) :: lose_message(3) :: lose_message(4) :: lose_message(5)
  :: time_out(0) :: time_out(1) :: time_out(2) :: time_out(3) :: time_out(4) :: time_out(5)
  od
}

/* A successor takes over the claim shard. Messages with epoch 1 may still reach the old owner. */
active proctype takeover() {
  d_step { owner_epoch == 1 -> stale_holder = holder; owner_epoch = 2;
    /* Abandoned requests are kept in the owner's memory only, not in the journal. */
    abandoned[0] = false; abandoned[1] = false; abandoned[2] = false }
}

/* A claim expires after its retention period, when no caller retries the key any more. */
active proctype retention() {
end:
#ifdef EXPIRES_EARLY
  d_step { ended -> holder = 0; ended = false }
#else
  d_step { ended && closed_requests == REQUESTS -> holder = 0; ended = false }
#endif
}

inline send(k) {
  (!messages[me * MAX_IN_FLIGHT].in_flight || !messages[me * MAX_IN_FLIGHT + 1].in_flight);
  message_index = (messages[me * MAX_IN_FLIGHT].in_flight -> me * MAX_IN_FLIGHT + 1 : me * MAX_IN_FLIGHT);
  messages[message_index].in_flight = true; messages[message_index].kind = k;
  /* The claiming entry may still use the old owner. */
  if
  :: messages[message_index].epoch = owner_epoch
  :: owner_epoch == 2 -> messages[message_index].epoch = 1
  fi;
  awaited[me] = message_index % MAX_IN_FLIGHT + 1;
  message_index = 0;
  response[me] != 0;
  outcome = response[me]; response[me] = 0
}

proctype request(byte me) {
  byte message_index, attempts;
  mtype outcome;
atomic {
  skip;
claim:
  send(CLAIM);
  if
#ifdef SEND_ON_UNKNOWN
  :: outcome == GRANTED || outcome == UNKNOWN -> skip
#else
  :: outcome == GRANTED -> skip
  :: outcome == UNKNOWN && attempts == 0 -> attempts++; goto claim          /* the same request id */
  :: outcome == UNKNOWN && attempts > 0 -> reported_not_run[me] = true; attempts = 0; goto release
#endif
  :: outcome == HELD -> goto done                       /* may-have-run */
  :: outcome == REFUSED -> reported_not_run[me] = true; goto done
  fi;
  attempts = 0; outcome = 0;
}
  /* The entry may crash or be paused here. */
  if
  :: goto done
  :: skip
  fi;
  atomic {
    sent[me] = true;
    if
    :: runs++;                                       /* the upstream runs it; its response may be lost */
       assert(runs <= 1 || P6_at_most_once);
       assert(!reported_not_run[me] || P5_not_run_did_not_run);
       goto finished
#ifdef RETRY_AFTER_WRITE
    /* The connection breaks after the request was written, and the HTTP client sends the request again. */
    :: runs = runs + 2;
       assert(runs <= 1 || P6_at_most_once);
       goto finished
#endif
#ifdef LOST_RESPONSE_IS_NOT_RUN
    :: runs++; reported_not_run[me] = true;
       assert(!(reported_not_run[me] && runs == 1) || P5_not_run_did_not_run);
       goto finished
#endif
#ifdef RELEASE_ON_LOST_RESPONSE
    :: runs++;
       assert(runs <= 1 || P6_at_most_once);
       goto release
#endif
    :: reported_not_run[me] = true; goto release        /* proved not run: no instance accepted it */
    fi
  }
finished:
  atomic {
    send(DONE);
    outcome = 0; goto done
  }
release:
  atomic {
    send(RELEASE);
    if
    :: outcome == UNKNOWN && attempts < 2 -> attempts++; outcome = 0; goto release
    :: else -> outcome = 0; attempts = 0
    fi
  }
done:
  closed_requests++
}

init { atomic { run request(0); run request(1); run request(2) } }
