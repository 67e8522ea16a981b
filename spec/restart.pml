/*
 * Leases of a worker that restarts under its id, in discrete time. A late order to its earlier boot may be carried out by the
 * next one, whose clock starts anew, so that the lease in it lasts longer than the leader reckons. The leader loses contact
 * with the worker for good at some time, and releases the run there once all leases have ended by what it knows.
 */
#define MAX_LEASE 3
#define REQUESTED 2
#define MAX_DELAY 4
#define END 16
#define LATER(a, b) ((a) > (b) -> (a) : (b))
#define EARLIER(a, b) ((a) < (b) -> (a) : (b))

bool P2_single_place;
/* The worker: its boot, when that began on the leader's clock, the highest fence that it has seen, and the end of its lease. */
byte now, boot, born, seen, lease_end;
bool running, cut;
/* The late order, a hold to boot 0. */
bool late;
byte late_fence, late_deadline, late_sent;
/* The leader: the boot that it knows, the fence of its orders, and its bound of all leases. */
byte known_boot, fence, bound;
bool fenced = true;

active proctype world() {
  do
  :: atomic { now < END -> now++; if :: now >= lease_end -> running = false :: else fi }
  /* An order to boot 0 is sent that is carried out late. */
  :: atomic { !late && late_sent == 0 && known_boot == 0 && !cut && now > 0 ->
       late = true; late_fence = fence; late_sent = now; late_deadline = now + REQUESTED }
  :: atomic { late && now <= late_sent + MAX_DELAY ->
       late = false;
       if
       :: late_fence >= seen ->
          seen = late_fence;
          lease_end = LATER(lease_end, EARLIER(now + MAX_LEASE, born + late_deadline))
       :: else
       fi }
  :: atomic { boot < 1 && now > 0 -> boot++; born = now; seen = 0; running = false; lease_end = now }
  :: atomic { !cut -> cut = true }
  /* A hold and its answer. */
  :: atomic { !cut && fence >= seen ->
       seen = fence;
       if
       :: known_boot != boot ->
          known_boot = boot; bound = now + MAX_LEASE;
#ifndef SAME_FENCE
          fence++; fenced = false
#endif
       :: known_boot == boot && !fenced -> fenced = true; bound = now + MAX_LEASE
       :: known_boot == boot && fenced ->
          lease_end = LATER(lease_end, now + REQUESTED); bound = LATER(bound, now + REQUESTED)
       fi }
  /* A task starts on the new boot. */
  :: atomic { !cut && known_boot == 1 && boot == 1 && !running && lease_end > now &&
#ifdef START_BEFORE_FENCE
       true
#else
       fenced
#endif
       -> running = true }
  :: atomic { cut && known_boot == 1 && now > bound -> assert(!running || P2_single_place); break }
  :: atomic { now == END -> break }
  od
}
