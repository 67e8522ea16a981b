/*
 * The leader's protocol of docs/platform.md: starts are not journaled, run numbers contain the epoch, and a successor
 * starts a task only when each worker of the registry has sent an inventory or can't have running tasks any more. One
 * task, two workers, two leaders.
 *
 * Orders may be carried out late. After leader 2 is elected, leader 1 continues until its time limit without an answer
 * from the store has passed. Some time after that, all leases that leader 1 gave have ended, and workers refuse its
 * orders. A worker keeps the end of a run until it is acknowledged; an end counts unless the lease ended before it was
 * stored or reported to leader 2. Leader 1 may crash at any time.
 *
 * Faulty variants: NO_FENCING (a worker accepts orders of any epoch), START_UNACCOUNTED (a successor does not wait for
 * the workers), NO_REGISTRY (a worker gets starts before it is registered), RELEASE_ON_SILENCE (the runs of an
 * unresponsive worker are placed again before their leases have ended), ACK_BEFORE_COMMIT (ends are acknowledged before
 * their progress is stored), STOP_IS_GONE (a run counts as gone once its stop was sent, before the worker's inventory
 * shows it), IGNORE_INHERITED_LEASE (leader 2 places the run of an unresponsive worker again without waiting for the
 * leases that leader 1 has renewed there).
 */
#define WORKERS 2
#define PICK_WORKER(w) if :: w = 0 :: w = 1 fi

/* Each is set to the value of its property just before it is asserted, so that the assertion names the property. */
bool P2_single_place, P3_done_once;

/* Workers. */
byte highest_epoch[WORKERS];       /* the highest epoch seen in an order */
byte running_epoch[WORKERS];       /* the epoch of the run on the worker; 0 for none */
byte highest_run[WORKERS];         /* the highest epoch of a run that was stopped or has ended on the worker */
bool unacknowledged_end[WORKERS];  /* the worker lists the end of a run that was not acknowledged */

/* Persistent state in the store. */
bool registered[WORKERS], end_stored;
byte elected_epoch = 1;  /* the newest epoch that the store has granted */

/* The task has ended, whether or not the store or a leader knows it. */
bool ended;

/* Starts in flight, by leader and worker. A start may take effect at any time while it is in flight. */
bool start_in_flight[6];  /* index: 2 * epoch + worker */
#define START_IN_FLIGHT(e, w) start_in_flight[2 * (e) + (w)]

#ifdef NO_FENCING
#define ACCEPTS_EPOCH_1(w) true
#else
#define ACCEPTS_EPOCH_1(w) (highest_epoch[w] <= 1)
#endif
#ifdef START_UNACCOUNTED
#define ALL_ACCOUNTED true
#else
#define ALL_ACCOUNTED ((accounted[0] || !registered[0]) && (accounted[1] || !registered[1]))
#endif

bool orders_stopped;  /* leader 1 sends no more orders */
bool leases_expired;  /* all leases that leader 1 gave have ended, and workers refuse its orders as late */
bool inherited_lease_ended[WORKERS];  /* a run of leader 1 on a worker that leader 2 has fenced lost its lease */
bool renewed[WORKERS];                /* leader 2 renews the leases on the worker */

active proctype environment() {
  byte w;
end:
  do
  :: elected_epoch == 2 && !orders_stopped -> orders_stopped = true
  /* The leases end; a worker kills its run before its lease ends. */
  :: d_step { orders_stopped && !leases_expired -> leases_expired = true;
       w = 0;
       do
       :: w < WORKERS ->
          if
          :: highest_epoch[w] < 2 ->
             if :: running_epoch[w] == 1 -> running_epoch[w] = 0 :: else -> skip fi;
             /* An end that was neither stored nor reported to leader 2 before the lease ended does not count. */
             if
             :: unacknowledged_end[w] && !end_stored -> unacknowledged_end[w] = false; ended = false
             :: else -> skip
             fi
          :: else -> skip
          fi;
          w++
       :: else -> break
       od }
  /* The lease that leader 1 gave ends on a worker that leader 2 has fenced, but not renewed since. */
  :: PICK_WORKER(w);
     d_step {
       if
       :: highest_epoch[w] == 2 && !renewed[w] && running_epoch[w] != 2 && !inherited_lease_ended[w] ->
          inherited_lease_ended[w] = true;
          if :: running_epoch[w] == 1 -> running_epoch[w] = 0 :: else -> skip fi;
          if
          :: unacknowledged_end[w] && !end_stored -> unacknowledged_end[w] = false; ended = false
          :: else -> skip
          fi
       :: else -> skip
       fi }
  /* A start takes effect, or is lost. */
  :: PICK_WORKER(w);
     d_step {
       if
       :: START_IN_FLIGHT(1, w) ->
          if
          :: !leases_expired && highest_run[w] < 1 && running_epoch[w] == 0 && ACCEPTS_EPOCH_1(w) ->
             P2_single_place = (running_epoch[1 - w] == 0); assert(P2_single_place);
             P3_done_once = !(ended); assert(P3_done_once);
             running_epoch[w] = 1; highest_epoch[w] = (highest_epoch[w] > 1 -> highest_epoch[w] : 1)
          :: else -> skip
          fi
       :: else -> skip
       fi }
  :: PICK_WORKER(w); START_IN_FLIGHT(1, w) = false
  :: PICK_WORKER(w);
     d_step {
       if
       :: START_IN_FLIGHT(2, w) && highest_run[w] < 2 && running_epoch[w] == 0 ->
          P2_single_place = (running_epoch[1 - w] == 0); assert(P2_single_place);
          P3_done_once = !(ended); assert(P3_done_once);
          running_epoch[w] = 2; highest_epoch[w] = 2; START_IN_FLIGHT(2, w) = false
       :: else -> skip
       fi }
  /* The run ends. */
  :: PICK_WORKER(w);
     d_step {
       if
       :: running_epoch[w] != 0 ->
          highest_run[w] = (running_epoch[w] > highest_run[w] -> running_epoch[w] : highest_run[w]);
          running_epoch[w] = 0; unacknowledged_end[w] = true; ended = true
       :: else -> skip
       fi }
  od
}

/* Leader 1 starts the task and may move it to the other worker. */
active proctype leader_1() {
  byte place, next;
  bool end_known, stopped;
  PICK_WORKER(place);
#ifndef NO_REGISTRY
  if
  :: d_step { elected_epoch == 1 -> registered[place] = true }
  :: elected_epoch == 2 -> goto finished
  fi;
#endif
  if
  :: !orders_stopped -> START_IN_FLIGHT(1, place) = true
  :: else -> goto finished
  fi;
  do
  /* The leader learns of an end, stores it and acknowledges it, in this order. */
  :: d_step { !end_known && highest_epoch[place] <= 1 && unacknowledged_end[place] && !orders_stopped ->
       end_known = true }
#ifdef ACK_BEFORE_COMMIT
  :: d_step { end_known && unacknowledged_end[place] && highest_epoch[place] <= 1 -> unacknowledged_end[place] = false }
#else
  :: d_step { end_known && end_stored && unacknowledged_end[place] && highest_epoch[place] <= 1 ->
       unacknowledged_end[place] = false }
#endif
  :: d_step { end_known && elected_epoch == 1 -> end_stored = true }
  /* The leader moves the task once its stop was answered and an inventory shows that the run is gone. */
  :: d_step { !end_known && !stopped && !orders_stopped && highest_epoch[place] <= 1 && !unacknowledged_end[place] ->
       highest_run[place] = 1; stopped = true;
     }
#ifdef STOP_IS_GONE
  :: atomic { stopped && !end_known && !orders_stopped && registered[1 - place] ->
       START_IN_FLIGHT(1, 1 - place) = true; goto finished }
#else
  :: atomic { stopped && !end_known && !orders_stopped && highest_epoch[place] <= 1 && running_epoch[place] == 0 &&
       !unacknowledged_end[place] && registered[1 - place] ->
       START_IN_FLIGHT(1, 1 - place) = true; place = 1 - place; stopped = false }
#endif
  :: d_step { stopped && running_epoch[place] == 1 && highest_epoch[place] <= 1 -> running_epoch[place] = 0 }
  :: atomic { elected_epoch == 1 -> registered[1 - place] = true }
  /* The leader crashes or stops. */
  :: goto finished
  od;
finished:
  skip
}

active proctype leader_2() {
  bool accounted[WORKERS], end_known;
  bool started;
  byte w, place = 2;  /* place 2: no run is known */
  /* The election prevents further commits by leader 1. */
  d_step { elected_epoch = 2; end_known = end_stored };
  do
  /* A worker answers with its inventory and adopts the new epoch. A worker may also stay unreachable. */
  :: PICK_WORKER(w);
     d_step { accounted[w] = true;
       if :: highest_epoch[w] < 2 -> highest_epoch[w] = 2 :: else -> skip fi;
       if :: unacknowledged_end[w] -> end_known = true :: else -> skip fi;
       if :: running_epoch[w] != 0 -> place = w :: else -> skip fi }
#ifdef RELEASE_ON_SILENCE
  :: PICK_WORKER(w); d_step { if :: orders_stopped -> accounted[w] = true :: else -> skip fi }
#else
  :: PICK_WORKER(w); d_step { if :: orders_stopped && leases_expired -> accounted[w] = true :: else -> skip fi }
#endif
  :: d_step { place < 2 && unacknowledged_end[place] -> end_known = true }
  :: place < 2 && !started -> renewed[place] = true
  /* Leader 2 gives up the run of a worker that has stopped answering. */
#ifdef IGNORE_INHERITED_LEASE
  :: d_step { place < 2 && !started && !end_known && !renewed[place] -> place = 2 }
#else
  :: d_step { place < 2 && !started && !end_known && inherited_lease_ended[place] -> place = 2 }
#endif
  /* The leader starts the task on a worker that has adopted the new epoch. */
  :: atomic { !end_known && place == 2 && ALL_ACCOUNTED ->
          if
          :: highest_epoch[0] == 2 -> place = 0; started = true; START_IN_FLIGHT(2, place) = true
          :: highest_epoch[1] == 2 -> place = 1; started = true; START_IN_FLIGHT(2, place) = true
          :: else -> skip
          fi }
  :: break
  od
}
