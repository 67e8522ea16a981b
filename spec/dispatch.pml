/*
 * The leader's protocol of docs/platform.md: starts are not journaled, run numbers carry the epoch, and a successor starts
 * a task only when each worker of the registry is accounted for. One task, two workers, two leaders.
 *
 * Orders may be carried out late, and leader 1 goes on after leader 2 was elected until its time without the store's word
 * is over. A lease of leader 1 has ended for sure some time after that; orders of leader 1 that arrive later are refused.
 * Ends are kept by a worker until they are acknowledged, and count unless the lease ended before anybody noted them.
 * Leader 1 may be lost at any time.
 *
 * Wrong variants: NO_FENCING (a worker obeys any epoch), START_UNACCOUNTED (a successor does not wait for workers),
 * NO_REGISTRY (a worker gets starts before it is registered), RELEASE_ON_SILENCE (a silent worker's runs are placed again
 * before their leases have ended), ACK_BEFORE_COMMIT (ends are acknowledged before their progress is stored),
 * STOP_IS_GONE (a run counts as gone when its stop was sent, and not when its worker shows that it is).
 */
#define W 2
#define PICK(w) if :: w = 0 :: w = 1 fi

bool P2_single_place, P3_done_once;

/* Workers. */
byte fence[W];          /* the highest epoch seen */
byte running[W];        /* the epoch of the run that is here; 0 for none */
byte highest[W];        /* the epoch of the highest run that was stopped or has ended here */
bool listed[W];         /* an end that was not acknowledged */

/* What lasts in the store. */
bool registered[W], stored_done;
byte elected = 1;       /* the newest epoch that the store has granted */

/* The task has ended, which no store and no leader may know yet. */
bool ever_done;

/* Starts on their way, by leader and worker; each may be carried out as long as it is on its way. */
bool flying[6];         /* 2 * epoch + worker */
#define FLYING(e, w) flying[2 * (e) + (w)]

#ifdef NO_FENCING
#define OBEYS_1(w) true
#else
#define OBEYS_1(w) (fence[w] <= 1)
#endif
#ifdef START_UNACCOUNTED
#define ALL_ACCOUNTED true
#else
#define ALL_ACCOUNTED ((accounted[0] || !registered[0]) && (accounted[1] || !registered[1]))
#endif

bool blind_over;        /* leader 1 gives no orders any more */
bool leases_over;       /* no lease that leader 1 gave is in force, and its orders come too late */

active proctype environment() {
  byte w;
end:
  do
  :: elected == 2 && !blind_over -> blind_over = true
  /* The ends of the leases; what still runs there is killed before. */
  :: d_step { blind_over && !leases_over -> leases_over = true;
       w = 0;
       do
       :: w < W ->
          if
          :: fence[w] < 2 ->
             if :: running[w] == 1 -> running[w] = 0 :: else -> skip fi;
             /* An end that nobody noted before the lease ended does not count. */
             if :: listed[w] && !stored_done -> listed[w] = false; ever_done = false :: else -> skip fi
          :: else -> skip
          fi;
          w++
       :: else -> break
       od }
  /* A start is carried out, or lost. */
  :: PICK(w);
     d_step {
       if
       :: FLYING(1, w) ->
          if
          :: !leases_over && highest[w] < 1 && running[w] == 0 && OBEYS_1(w) ->
             P2_single_place = (running[1 - w] == 0); assert(P2_single_place);
             P3_done_once = !(ever_done); assert(P3_done_once);
             running[w] = 1; fence[w] = (fence[w] > 1 -> fence[w] : 1)
          :: else -> skip
          fi
       :: else -> skip
       fi }
  :: PICK(w); FLYING(1, w) = false
  :: PICK(w);
     d_step {
       if
       :: FLYING(2, w) && highest[w] < 2 && running[w] == 0 ->
          P2_single_place = (running[1 - w] == 0); assert(P2_single_place);
          P3_done_once = !(ever_done); assert(P3_done_once);
          running[w] = 2; fence[w] = 2; FLYING(2, w) = false
       :: else -> skip
       fi }
  /* The run ends. */
  :: PICK(w);
     d_step {
       if
       :: running[w] != 0 -> highest[w] = (running[w] > highest[w] -> running[w] : highest[w]);
          running[w] = 0; listed[w] = true; ever_done = true
       :: else -> skip
       fi }
  od
}

/* Leader 1 starts the task once, and may move it away from a worker. */
active proctype leader_1() {
  byte at, next;
  bool done, stopped;
  PICK(at);
#ifndef NO_REGISTRY
  if
  :: d_step { elected == 1 -> registered[at] = true }
  :: elected == 2 -> goto finished
  fi;
#endif
  if
  :: !blind_over -> FLYING(1, at) = true
  :: else -> goto finished
  fi;
  do
  /* An end is seen, stored and acknowledged, in this order. */
  :: d_step { !done && fence[at] <= 1 && listed[at] && !blind_over -> done = true }
#ifdef ACK_BEFORE_COMMIT
  :: d_step { done && listed[at] && fence[at] <= 1 -> listed[at] = false }
#else
  :: d_step { done && stored_done && listed[at] && fence[at] <= 1 -> listed[at] = false }
#endif
  :: d_step { done && elected == 1 -> stored_done = true }
  /* The task moves: its stop is answered, and an inventory shows that the run is gone. */
  :: d_step { !done && !stopped && !blind_over && fence[at] <= 1 && !listed[at] ->
       highest[at] = 1; stopped = true;
     }
#ifdef STOP_IS_GONE
  :: atomic { stopped && !done && !blind_over && registered[1 - at] -> FLYING(1, 1 - at) = true; goto finished }
#else
  :: atomic { stopped && !done && !blind_over && fence[at] <= 1 && running[at] == 0 && !listed[at] && registered[1 - at] ->
       FLYING(1, 1 - at) = true; at = 1 - at; stopped = false }
#endif
  :: d_step { stopped && running[at] == 1 && fence[at] <= 1 -> running[at] = 0 }
  :: atomic { elected == 1 -> registered[1 - at] = true }
  /* It is lost, or gives up. */
  :: goto finished
  od;
finished:
  skip
}

active proctype leader_2() {
  bool accounted[W], done;
  byte w, at = 2;
  /* The election fences the commits of leader 1. */
  d_step { elected = 2; done = stored_done };
  do
  /* An inventory under the new epoch; a worker may be out of reach for ever. */
  :: PICK(w);
     d_step { accounted[w] = true;
       if :: fence[w] < 2 -> fence[w] = 2 :: else -> skip fi;
       if :: listed[w] -> done = true :: else -> skip fi;
       if :: running[w] != 0 -> at = w :: else -> skip fi }
#ifdef RELEASE_ON_SILENCE
  :: PICK(w); d_step { if :: blind_over -> accounted[w] = true :: else -> skip fi }
#else
  :: PICK(w); d_step { if :: blind_over && leases_over -> accounted[w] = true :: else -> skip fi }
#endif
  :: d_step { at < 2 && listed[at] -> done = true }
  /* A start on a worker that has answered under this epoch. */
  :: atomic { !done && at == 2 && ALL_ACCOUNTED ->
          if
          :: fence[0] == 2 -> at = 0; FLYING(2, at) = true
          :: fence[1] == 2 -> at = 1; FLYING(2, at) = true
          :: else -> skip
          fi }
  :: break
  od
}
