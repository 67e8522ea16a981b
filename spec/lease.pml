/*
 * Task leases and the renewal horizon (docs/design.md, section 5): an exclusive task on an unreachable worker is
 * assigned again only when no lease that its owner gave can still be valid.
 *
 * Time is a counter that may advance between any two steps, so every pause and delay is possible. Owner 1 extends the
 * lease to at most HORIZON after its last journal write. Owner 2 takes over and waits for HORIZON after it has sealed
 * the journal.
 *
 * An order carries the end of the lease as a time on the worker's clock, which the owner computes from the worker's
 * last report. With RELATIVE_LEASE, an order carries a duration that starts when the order arrives.
 */
#define HORIZON 2
#define MAX_TIME 8

/* Always false; each assertion includes the variable of its property, so that its text names the property. */
bool P2_single_place;

byte now;
byte sealed_at, sealed_epoch = 1;
bool running = true;  /* on the unreachable worker */
byte lease_end = HORIZON;
bool assigned_elsewhere;

/* One renewal in flight, with the lease end or, with RELATIVE_LEASE, the duration that it carries. */
bool renewal_in_flight;
byte renewal_value;

/* The worker stops its task when the lease ends (W4), in the same step in which time reaches the end. */
active proctype clock() {
end:
  do
  :: d_step {
       now < MAX_TIME ->
       now++;
       if
#ifndef NO_SELF_STOP
       :: running && now >= lease_end -> running = false
#endif
       :: else -> skip
       fi
     }
  od
}

active proctype owner_1() {
  byte last_write, new_lease_value;
end:
  do
  /* A journal write succeeds until a successor has sealed. The horizon starts at the time before the write was sent. */
  :: d_step { sealed_epoch == 1 -> last_write = now }
#ifdef HORIZON_FROM_SESSION
  /* Any response of the store counts, not only that to a journal write. */
  :: d_step { now > last_write -> last_write = now }
#endif
  :: atomic { !renewal_in_flight && now < last_write + HORIZON ->
#ifdef RELATIVE_LEASE
       new_lease_value = last_write + HORIZON - now
#else
       new_lease_value = last_write + HORIZON
#endif
     }
     /* The owner may be paused here. */
     d_step { renewal_in_flight = true; renewal_value = new_lease_value; new_lease_value = 0 }
  od
}

active proctype network() {
end:
  do
  :: d_step {
       renewal_in_flight -> renewal_in_flight = false;
       if
#ifdef RELATIVE_LEASE
       :: running -> lease_end = now + renewal_value
#else
       :: running && now < renewal_value && renewal_value > lease_end -> lease_end = renewal_value
#endif
       :: else -> skip
       fi;
       renewal_value = 0
     }
  :: d_step { renewal_in_flight -> renewal_in_flight = false; renewal_value = 0 }
  od
}

active proctype owner_2() {
  d_step { sealed_epoch = 2; sealed_at = now }
end:
#ifdef NO_WAIT
  d_step { true ->
#else
  d_step { now >= sealed_at + HORIZON ->
#endif
    assigned_elsewhere = true;
    assert(!running || P2_single_place)
  }
}
