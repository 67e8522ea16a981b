/*
 * Capacity of one worker (docs/design.md, section 5 and guarantee P1): two tasks are assigned through the journal and
 * started on a worker that has capacity for one.
 *
 * A proposed assignment reserves capacity from the moment it is queued. Only a committed release frees a reservation,
 * and a release follows the stop of the task. The worker itself refuses starts beyond its capacity (W3); this protects
 * it while two owners act at the same time.
 */
#define TASKS 2
#define CAPACITY 1

/* Always false; each assertion includes the variable of its property, so that its text names the property. */
bool P1_reserved, P1_running;

byte sealed_epoch = 1;
/* Committed assignments, and tasks running on the worker. */
bool assigned[TASKS], running[TASKS];
bool start_in_flight[TASKS];
byte worker_epoch = 1;
byte start_epoch[TASKS];

#define RESERVED (assigned[0] + assigned[1])
#define RUNNING (running[0] + running[1])

#ifdef NO_WORKER_CHECK
#define HAS_CAPACITY true
#else
#define HAS_CAPACITY (RUNNING < CAPACITY)
#endif
#ifdef PROPOSALS_NOT_COUNTED
#define COUNTED (known_assigned[0] + known_assigned[1])
#else
#define COUNTED (known_assigned[0] + known_assigned[1] + proposed[0] + proposed[1])
#endif

inline start(t) {
  d_step {
    start_in_flight[t] ->
    if
    :: start_epoch[t] >= worker_epoch && !running[t] && HAS_CAPACITY ->
       running[t] = true; assert(RUNNING <= CAPACITY || P1_running)
    :: else -> skip
    fi;
    start_in_flight[t] = false; start_epoch[t] = 0
  }
}

active proctype worker() {
end:
  do
  :: start(0) :: start(1)
  od
}

proctype owner(byte epoch) {
  bool known_assigned[TASKS];  /* committed assignments that this owner knows */
  bool proposed[TASKS];        /* proposed assignments that are not yet committed */
  d_step {
    if
    :: epoch > sealed_epoch -> sealed_epoch = epoch
    :: else -> skip
    fi;
    known_assigned[0] = assigned[0]; known_assigned[1] = assigned[1]
  }
end:
  do
  :: d_step { !known_assigned[0] && !proposed[0] && COUNTED < CAPACITY -> proposed[0] = true }
  :: d_step { !known_assigned[1] && !proposed[1] && COUNTED < CAPACITY -> proposed[1] = true }
  :: atomic { proposed[0] && sealed_epoch == epoch -> proposed[0] = false; known_assigned[0] = true; assigned[0] = true;
       assert(RESERVED <= CAPACITY || P1_reserved) }
  :: atomic { proposed[1] && sealed_epoch == epoch -> proposed[1] = false; known_assigned[1] = true; assigned[1] = true;
       assert(RESERVED <= CAPACITY || P1_reserved) }
  :: atomic { known_assigned[0] && !start_in_flight[0] -> start_in_flight[0] = true; start_epoch[0] = epoch }
  :: atomic { known_assigned[1] && !start_in_flight[1] -> start_in_flight[1] = true; start_epoch[1] = epoch }
  /* The stop and then the release. The worker adopts the epoch of the stop and refuses orders of earlier epochs. */
  :: atomic { known_assigned[0] && epoch >= worker_epoch -> worker_epoch = epoch; running[0] = false;
       if
       :: sealed_epoch == epoch -> known_assigned[0] = false; assigned[0] = false
       :: else -> skip
       fi }
  :: atomic { known_assigned[1] && epoch >= worker_epoch -> worker_epoch = epoch; running[1] = false;
       if
       :: sealed_epoch == epoch -> known_assigned[1] = false; assigned[1] = false
       :: else -> skip
       fi }
  od
}

init { atomic { run owner(1); run owner(2) } }
