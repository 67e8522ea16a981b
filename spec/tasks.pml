/*
 * Life cycle of one exclusive task (docs/design.md, section 5): start, evict, resume and cancel through the journal.
 *
 * The journal has the guarantees of journal.pml: its history is linear, and an owner commits only until a successor has
 * sealed it. Owner 1 may be paused at any time and continue after owner 2 has taken over. Orders to workers may be
 * delayed or lost, or their responses may be lost. Workers may refuse starts for lack of capacity, stop a run at any
 * time (its lease ends), restart and lose all their state, and leave the VM list after they have stopped.
 *
 * All delays are modelled as delays of an order or its response: an owner runs atomically from one response to the next
 * order.
 */
#define WORKERS 2
#define OWNERS 2
#define MAX_IN_FLIGHT 2
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif
/* The maximum number of orders whose response an owner does not wait for. */
#ifndef TIMEOUTS
#define TIMEOUTS 2
#endif

/* Always false; each assertion includes the variable of its property, so that its text names the property. */
bool P2_single_place, P3_resume_once, P3_resume_checkpoint, C1_not_assigned_after_cancel;

mtype = { FENCE, START, STOP, INSPECT, OK, STOPPED, REFUSED_EPOCH, REFUSED_ATTEMPT, REFUSED_CAPACITY,
  REFUSED_INCARNATION, UNKNOWN };

/* State of the journal. */
byte sealed_epoch = 1;
bool assigned, cancelled;
byte attempt, place, checkpoint;

/*
 * Workers: the highest epoch and attempt seen, the attempt that runs, the stopped attempt whose checkpoint is kept, the
 * incarnation, and whether the worker has left the VM list.
 */
typedef Worker {
  byte epoch; byte highest_attempt; byte running_attempt; byte stopped_attempt; byte incarnation; bool gone
};
Worker worker[WORKERS];
byte restarts, timeouts;

typedef Order { bool in_flight; mtype kind; byte epoch; byte worker; byte attempt; byte checkpoint; byte incarnation };
Order orders[OWNERS * MAX_IN_FLIGHT];
byte awaited[OWNERS];
/*
 * A response: the outcome, the attempt that runs, the checkpoint of the stopped attempt, and the incarnation. The
 * checkpoint of an attempt is represented by the number of the attempt.
 */
typedef Response { mtype kind; byte running_attempt; byte checkpoint; byte incarnation };
Response response[OWNERS];

/* Ghost state: the number of starts of each attempt, and the checkpoint with which each attempt was assigned. */
byte starts[ATTEMPTS + 1];
byte assigned_checkpoint[ATTEMPTS + 1];

#define TARGET worker[orders[c].worker]
#define ORDER orders[c]

inline do_start(c) {
  starts[ORDER.attempt]++;
  assert(starts[ORDER.attempt] == 1 || P3_resume_once);
  assert(ORDER.checkpoint == assigned_checkpoint[ORDER.attempt] || P3_resume_checkpoint);
  TARGET.running_attempt = ORDER.attempt; TARGET.highest_attempt = ORDER.attempt; TARGET.stopped_attempt = 0;
  assert(worker[0].running_attempt == 0 || worker[1].running_attempt == 0 || P2_single_place)
}

inline do_stop(c) {
  if
  :: TARGET.running_attempt == ORDER.attempt ->
     TARGET.stopped_attempt = TARGET.running_attempt; TARGET.running_attempt = 0
  :: else -> skip
  fi;
#ifndef STOP_NOT_SEEN
  /* A start of this attempt that arrives later is refused. */
  if
  :: TARGET.highest_attempt < ORDER.attempt -> TARGET.highest_attempt = ORDER.attempt
  :: else -> skip
  fi;
#endif
  stopped_checkpoint = (TARGET.stopped_attempt == ORDER.attempt -> ORDER.attempt : 0);
  result = STOPPED
}

#ifdef NO_FENCING
#define STALE(c) false
#else
#define STALE(c) (ORDER.epoch < TARGET.epoch)
#endif
#ifdef NO_INCARNATION
#define OTHER_INCARNATION(c) false
#else
#define OTHER_INCARNATION(c) (ORDER.kind != FENCE && ORDER.incarnation != TARGET.incarnation)
#endif
#ifdef NO_ATTEMPT_CHECK
#define ATTEMPT_SEEN(c) (TARGET.running_attempt == ORDER.attempt)
#else
#define ATTEMPT_SEEN(c) (ORDER.attempt <= TARGET.highest_attempt)
#endif

inline execute(c) {
  stopped_checkpoint = 0;
  if
  :: STALE(c) -> result = REFUSED_EPOCH
  :: !STALE(c) && OTHER_INCARNATION(c) -> result = REFUSED_INCARNATION
  :: !STALE(c) && !OTHER_INCARNATION(c) && ORDER.kind == FENCE -> TARGET.epoch = ORDER.epoch; result = OK
  :: !STALE(c) && !OTHER_INCARNATION(c) && ORDER.kind == INSPECT -> result = OK
  :: !STALE(c) && !OTHER_INCARNATION(c) && ORDER.kind == STOP -> do_stop(c)
  :: !STALE(c) && !OTHER_INCARNATION(c) && ORDER.kind == START && ATTEMPT_SEEN(c) -> result = REFUSED_ATTEMPT
  :: !STALE(c) && !OTHER_INCARNATION(c) && ORDER.kind == START && !ATTEMPT_SEEN(c) -> do_start(c); result = OK
  fi
}

inline remove_order(c) {
  ORDER.in_flight = false; ORDER.kind = 0; ORDER.epoch = 0; ORDER.worker = 0; ORDER.attempt = 0;
  ORDER.checkpoint = 0; ORDER.incarnation = 0;
  if
  :: awaited[c / MAX_IN_FLIGHT] == c % MAX_IN_FLIGHT + 1 -> awaited[c / MAX_IN_FLIGHT] = 0
  :: else -> skip
  fi
}

inline respond(c) {
  if
  :: awaited[c / MAX_IN_FLIGHT] == c % MAX_IN_FLIGHT + 1 ->
     response[c / MAX_IN_FLIGHT].kind = result; response[c / MAX_IN_FLIGHT].running_attempt = TARGET.running_attempt;
     response[c / MAX_IN_FLIGHT].checkpoint = stopped_checkpoint;
     response[c / MAX_IN_FLIGHT].incarnation = TARGET.incarnation
  :: else -> skip
  fi;
  remove_order(c); result = 0; stopped_checkpoint = 0
}

inline deliver(c) { d_step { ORDER.in_flight && !TARGET.gone -> execute(c); respond(c) } }

/* Orders to a VM that is gone get no response. */
inline unreachable(c) {
  d_step { ORDER.in_flight && TARGET.gone -> result = UNKNOWN; stopped_checkpoint = 0; respond(c) }
}

/* The worker lacks capacity at the moment. */
inline refuse(c) {
  d_step {
    ORDER.in_flight && ORDER.kind == START && !TARGET.gone && !STALE(c) && !OTHER_INCARNATION(c) && !ATTEMPT_SEEN(c) ->
#ifndef REFUSAL_NOT_SEEN
    TARGET.highest_attempt = ORDER.attempt;
#endif
    result = REFUSED_CAPACITY;
    respond(c)
  }
}

inline lose_order(c) {
  d_step { ORDER.in_flight && awaited[c / MAX_IN_FLIGHT] != c % MAX_IN_FLIGHT + 1 -> remove_order(c) }
}

inline time_out(c) {
  d_step {
    ORDER.in_flight && timeouts < TIMEOUTS && awaited[c / MAX_IN_FLIGHT] == c % MAX_IN_FLIGHT + 1 ->
    timeouts++;
    response[c / MAX_IN_FLIGHT].kind = UNKNOWN; awaited[c / MAX_IN_FLIGHT] = 0
  }
}

active proctype network() {
  mtype result; byte stopped_checkpoint;
end:
  do
  :: deliver(0) :: deliver(1) :: deliver(2) :: deliver(3)
  :: refuse(0) :: refuse(1) :: refuse(2) :: refuse(3)
  :: unreachable(0) :: unreachable(1) :: unreachable(2) :: unreachable(3)
  :: lose_order(0) :: lose_order(1) :: lose_order(2) :: lose_order(3)
  :: time_out(0) :: time_out(1) :: time_out(2) :: time_out(3)
  od
}

inline expire_lease(w) {
  d_step {
    worker[w].running_attempt != 0 ->
    worker[w].stopped_attempt = worker[w].running_attempt; worker[w].running_attempt = 0
  }
}

/* The worker restarts and loses its epoch, attempts and runs. */
inline restart(w) {
  d_step {
    restarts < RESTARTS && !worker[w].gone ->
    restarts++; worker[w].incarnation++;
    worker[w].running_attempt = 0; worker[w].stopped_attempt = 0; worker[w].epoch = 0; worker[w].highest_attempt = 0
  }
}

inline leave_list(w) {
  d_step {
    !worker[0].gone && !worker[1].gone ->
    worker[w].gone = true; worker[w].running_attempt = 0; worker[w].stopped_attempt = 0
  }
}

active proctype platform() {
end:
  do
  :: expire_lease(0) :: expire_lease(1)
  :: restart(0) :: restart(1)
  :: leave_list(0) :: leave_list(1)
  od
}

inline send(k, w, a, ck) {
  (!orders[me * MAX_IN_FLIGHT].in_flight || !orders[me * MAX_IN_FLIGHT + 1].in_flight);
  order_index = (orders[me * MAX_IN_FLIGHT].in_flight -> me * MAX_IN_FLIGHT + 1 : me * MAX_IN_FLIGHT);
  orders[order_index].in_flight = true; orders[order_index].kind = k; orders[order_index].epoch = me + 1;
  orders[order_index].worker = w; orders[order_index].attempt = a; orders[order_index].checkpoint = ck;
  orders[order_index].incarnation = known_incarnation[w];
  awaited[me] = order_index % MAX_IN_FLIGHT + 1;
  order_index = 0;
  response[me].kind != 0;
  outcome = response[me].kind; reported_run = response[me].running_attempt;
  reported_checkpoint = response[me].checkpoint; reported_incarnation = response[me].incarnation;
  response[me].kind = 0; response[me].running_attempt = 0; response[me].checkpoint = 0; response[me].incarnation = 0
}

/* An owner ends when its journal write finds that a successor has sealed the journal. */
#define DEPOSED (sealed_epoch != me + 1)

inline commit_release(ck) {
  if
  :: DEPOSED -> goto deposed
  :: else -> skip
  fi;
  known_assigned = false; assigned = false;
  if
  :: ck != 0 -> known_checkpoint = ck; checkpoint = ck
  :: else -> skip
  fi
}

inline commit_assign(w) {
  if
  :: DEPOSED -> goto deposed
  :: else -> skip
  fi;
  assert(!cancelled || C1_not_assigned_after_cancel);
  known_assigned = true; known_attempt++; known_place = w;
  assigned = true; attempt = known_attempt; place = w;
  assigned_checkpoint[known_attempt] = checkpoint
}

proctype owner(byte me) {
  bool known_assigned, known_cancelled;
  byte known_attempt, known_place, known_checkpoint, order_index;
  byte reported_run, reported_checkpoint, reported_incarnation;
  bool fenced[WORKERS];
  byte known_incarnation[WORKERS];
  mtype outcome;
atomic {
  skip;
end_waiting:
  (me == 0 || sealed_epoch == 1);
  if
  :: me == 1 -> sealed_epoch = 2
  :: else -> skip
  fi;
  known_assigned = assigned; known_cancelled = cancelled;
  known_attempt = attempt; known_place = place; known_checkpoint = checkpoint;

choose:
  outcome = 0; reported_run = 0; reported_checkpoint = 0; reported_incarnation = 0;
end_choose:
  if
  :: !fenced[0] && !worker[0].gone -> known_incarnation[0] = 0; send(FENCE, 0, 0, 0); goto fence_0
  :: !fenced[1] && !worker[1].gone -> known_incarnation[1] = 0; send(FENCE, 1, 0, 0); goto fence_1
  :: !known_assigned && !known_cancelled && known_attempt < ATTEMPTS && fenced[0] -> commit_assign(0); goto start
  :: !known_assigned && !known_cancelled && known_attempt < ATTEMPTS && fenced[1] -> commit_assign(1); goto start
#ifdef CANCEL_NOT_CHECKED
  :: !known_assigned && known_cancelled && known_attempt < ATTEMPTS && fenced[0] -> commit_assign(0); goto start
#endif
  :: known_assigned && fenced[known_place] -> goto start      /* repeats the start in the same incarnation */
  :: known_assigned && fenced[known_place] -> goto stop
#ifdef INVENTORY_ANY_TIME
  :: known_assigned && fenced[known_place] -> goto inspect
#endif
  :: known_assigned && worker[known_place].gone -> commit_release(0); goto choose
  :: !known_cancelled ->
     if
     :: DEPOSED -> goto deposed
     :: else -> known_cancelled = true; cancelled = true; goto choose
     fi
  fi;

fence_0:
  if
  :: outcome == OK -> fenced[0] = true; known_incarnation[0] = reported_incarnation
  :: outcome == REFUSED_EPOCH -> goto deposed
  :: else -> goto choose
  fi;
  if
  :: known_assigned && known_place == 0 && reported_run != known_attempt -> commit_release(0)
  :: else -> skip
  fi;
  goto choose;

fence_1:
  if
  :: outcome == OK -> fenced[1] = true; known_incarnation[1] = reported_incarnation
  :: outcome == REFUSED_EPOCH -> goto deposed
  :: else -> goto choose
  fi;
  if
  :: known_assigned && known_place == 1 && reported_run != known_attempt -> commit_release(0)
  :: else -> skip
  fi;
  goto choose;

start:
  send(START, known_place, known_attempt, known_checkpoint);
  if
  :: outcome == REFUSED_EPOCH -> goto deposed
  :: outcome == REFUSED_INCARNATION -> fenced[known_place] = false
  :: outcome == REFUSED_CAPACITY -> commit_release(0)
  :: outcome == REFUSED_ATTEMPT && reported_run != known_attempt -> commit_release(0)
  :: else -> skip
  fi;
  goto choose;

stop:
#ifdef RELEASE_BEFORE_STOP
  commit_release(0);
#endif
  send(STOP, known_place, known_attempt, 0);
  if
  :: outcome == REFUSED_EPOCH -> goto deposed
  :: outcome == REFUSED_INCARNATION -> fenced[known_place] = false
#ifndef RELEASE_BEFORE_STOP
#ifdef CHECKPOINT_DROPPED
  :: outcome == STOPPED -> checkpoint = reported_checkpoint; commit_release(0)
#else
  :: outcome == STOPPED -> commit_release(reported_checkpoint)
#endif
#endif
  :: else -> skip
  fi;
  goto choose;

#ifdef INVENTORY_ANY_TIME
inspect:
  send(INSPECT, known_place, 0, 0);
  if
  :: outcome == OK && reported_run != known_attempt -> commit_release(0)
  :: else -> skip
  fi;
  goto choose;
#endif

deposed:
  skip
}
}

init { atomic { run owner(0); run owner(1) } }
