/*
 * An evicted task resumes once the faults stop (docs/design.md, section 5): the liveness part of P3, under weak
 * fairness.
 *
 * A task is assigned to a worker and is evicted once. At most LOSSES orders or responses are lost, and the owner crashes
 * and is succeeded at most TAKEOVERS times. The owner repeats orders that may have been lost: it sends stops until one
 * is confirmed, releases the task, assigns it again, and sends starts until one is confirmed.
 */
#define LOSSES 3
#define TAKEOVERS 2

mtype = { ASSIGNED, RELEASED, RESUMED };

mtype phase = ASSIGNED;  /* state of the journal */
bool evicting;           /* kept in the owner's memory only */
bool running = true;     /* state of the worker: it runs attempt 1, then attempt 2 */
byte attempt = 1, highest_attempt = 1;
byte losses, takeovers;

active proctype operator() { evicting = true }

/* The owner may crash at any step and loses all state that is not in the journal. */
active proctype fault() {
end:
  do
  :: d_step { takeovers < TAKEOVERS && phase == ASSIGNED -> takeovers++; evicting = false }
  od
}

/* The guard requests the eviction again after a crash. It never ends, so every execution is infinite. */
active proctype guard() {
  do
#ifdef EVICTION_FORGOTTEN
  :: evicting -> skip
  :: !evicting -> skip
#else
  :: phase == ASSIGNED && !evicting -> evicting = true
  :: else -> skip
#endif
  od
}

active proctype owner() {
end:
  do
  :: phase == ASSIGNED && evicting ->
     /* The stop takes effect and its response arrives; it takes effect and its response is lost; or it is lost. */
     if
     :: d_step { running = false; phase = RELEASED }
     :: d_step { losses < LOSSES -> losses++; running = false }
     :: d_step { losses < LOSSES -> losses++ }
     fi
  :: d_step { phase == RELEASED && attempt == 1 -> attempt = 2 }
  :: phase == RELEASED && attempt == 2 ->
     if
     :: d_step { running = true; highest_attempt = 2; phase = RESUMED }
     :: d_step { losses < LOSSES -> losses++; running = true; highest_attempt = 2 }
     :: d_step { losses < LOSSES -> losses++ }
#ifdef START_SENT_ONCE
     :: d_step { losses < LOSSES -> losses++; phase = RESUMED }
#endif
     fi
  od
}

#ifdef LIVE
ltl P3_evicted_work_resumes { <> [] (phase == RESUMED && running && attempt == 2) }
#endif
