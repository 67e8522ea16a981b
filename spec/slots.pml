/*
 * Loans of an instance's request slots between seats, that is between the entries that share the instance
 * (docs/design.md, section 8), and the limiter that counts the slots in use.
 *
 * Seats 0 and 1 own BASE slots each. Seat 0 may lend one slot: it lowers its limit, waits until its use is within the
 * lowered limit, and only then sends the loan. Messages may be delayed or lost. Time is a counter; a loan lasts
 * DURATION. A borrower that restarts loses its record of the loan.
 *
 * A loan ends DURATION after the time at which the borrower sent its request for the loan (with LOAN_FROM_ARRIVAL,
 * after the arrival of the loan, with a message delay that the lender assumes to be at most ASSUMED_DELAY). The lender
 * takes the slot back when it is returned, or DURATION after the loan was sent.
 *
 * A request starts on a borrowed slot only if its deadline is before the end of the loan, so it ends within the loan.
 */
#define BASE 1
#define DURATION 2
#define ASSUMED_DELAY 1
#define MAX_TIME 7

/* Always false; each assertion includes the variable of its property, so that its text names the property. */
bool S1_slot_limit;

byte now;
byte in_use[2];        /* requests running on the instance, by seat */
byte limit0 = BASE;    /* the limit of seat 0 */
byte lent_until;       /* seat 0: when the loan ends; 0 for none */
byte borrowed_until;   /* seat 1: the borrowed slot may be used before this time; 0 for none */
byte requested_at;     /* seat 1: when it requested a loan, plus 1; 0 for no open request */
bool borrowed_in_use;  /* seat 1 runs a request on the borrowed slot */

bool request_in_flight; byte request_time;
bool loan_in_flight; byte loan_time;
bool return_in_flight; byte return_id;
byte loan_id;  /* seat 0: the request that its newest loan answers, plus 1 */

#define CHECK_LIMIT assert(in_use[0] + in_use[1] <= 2 * BASE || S1_slot_limit)

/* A request on a borrowed slot ends before the loan does, so time does not reach the end of the loan while it runs. */
active proctype clock() {
end:
  do
  :: d_step { now < MAX_TIME && !(borrowed_in_use && now + 1 >= borrowed_until) -> now++;
       if
       :: borrowed_until != 0 && now >= borrowed_until -> borrowed_until = 0
       :: else -> skip
       fi }
  od
}

/* Traffic of seat 0: TryAcquire reads the limit and the use, and then changes the use by compare-and-swap. */
proctype traffic_0() {
  byte seen_use;
end:
  do
#ifdef LIMIT_APART_FROM_USE
  /* The limit and the use are separate words, so the limit may be lowered between the check and the swap. */
  :: atomic { in_use[0] < limit0 -> seen_use = in_use[0] }
     if
     :: d_step { in_use[0] == seen_use -> in_use[0]++; CHECK_LIMIT }
     :: in_use[0] != seen_use
     fi;
     seen_use = 0
#else
  :: d_step { in_use[0] < limit0 -> in_use[0]++; CHECK_LIMIT }
#endif
  :: d_step { in_use[0] > 0 -> in_use[0]-- }
  od
}

active proctype lender() {
  byte request_sent_at;
end:
  do
  :: atomic { request_in_flight && lent_until == 0 ->
       request_sent_at = request_time; request_in_flight = false; request_time = 0;
#ifndef LEND_BEFORE_LOWER
       limit0 = BASE - 1
#endif
     }
     /* The lender waits until its use is within the lowered limit. */
     atomic {
#ifndef LEND_BEFORE_LOWER
       in_use[0] <= BASE - 1;
#endif
       loan_in_flight = true; loan_time = request_sent_at; loan_id = request_sent_at + 1; request_sent_at = 0;
#ifdef LOAN_FROM_ARRIVAL
       lent_until = now + DURATION + ASSUMED_DELAY
#else
       lent_until = now + DURATION
#endif
#ifdef LEND_BEFORE_LOWER
       ; skip
     }
     atomic { limit0 = BASE - 1
#endif
     }
  :: d_step { lent_until != 0 && now >= lent_until -> lent_until = 0; limit0 = BASE }
  :: d_step { return_in_flight -> return_in_flight = false;
       if
#ifdef RETURN_WITHOUT_ID
       :: lent_until != 0 -> lent_until = 0; limit0 = BASE
#else
       :: lent_until != 0 && return_id == loan_id -> lent_until = 0; limit0 = BASE
#endif
       :: else -> skip
       fi;
       return_id = 0 }
  od
}

active proctype borrower() {
  byte borrowed_loan_id;
end:
  do
  :: d_step { requested_at == 0 && borrowed_until == 0 && !request_in_flight ->
       requested_at = now + 1; request_in_flight = true; request_time = now }
  :: d_step { loan_in_flight && requested_at != 0 -> loan_in_flight = false;
       if
#ifdef LOAN_FROM_ARRIVAL
       :: true -> borrowed_until = now + DURATION; borrowed_loan_id = loan_time + 1
#else
       :: loan_time + 1 == requested_at && loan_time + DURATION > now ->
          borrowed_until = loan_time + DURATION; borrowed_loan_id = loan_time + 1
       :: else -> skip
#endif
       fi;
       loan_time = 0; requested_at = 0 }
  :: d_step { requested_at != 0 && now >= requested_at -> requested_at = 0 }      /* gives up, and may request again */
  :: d_step { loan_in_flight -> loan_in_flight = false; loan_time = 0 }           /* lost, or no longer requested */
  :: d_step { request_in_flight -> request_in_flight = false; request_time = 0 }  /* lost */
  :: d_step { borrowed_until != 0 && !borrowed_in_use && !return_in_flight ->                /* returns the slot */
       borrowed_until = 0; return_in_flight = true; return_id = borrowed_loan_id }
  /* Requests start and end on the seat's own slot and on the borrowed one. */
  :: d_step { in_use[1] - borrowed_in_use < BASE -> in_use[1]++; CHECK_LIMIT }
  :: d_step { borrowed_until > now + 1 && !borrowed_in_use -> borrowed_in_use = true; in_use[1]++; CHECK_LIMIT }
  :: d_step { borrowed_in_use -> borrowed_in_use = false; in_use[1]-- }
  :: d_step { in_use[1] - borrowed_in_use > 0 -> in_use[1]-- }
  od
}

init { atomic { run traffic_0(); run traffic_0() } }
