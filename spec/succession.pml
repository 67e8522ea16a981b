/*
 * Successive leaders and the leases that they renew: who may take a run for gone, and when. One task, two workers, three
 * leaders, discrete time.
 *
 * A leader that the store does not confirm acts for BLIND, but its record ends after TTL, so that a successor may lead
 * beside it. Each leader reaches the store and the workers at any times or never. A run ends when the lease on its worker
 * has not been renewed for LEASE. A leader may resign; the next one then need not wait for it, but for the leaders before it.
 *
 * Faulty variants: RELEASE_UNCONFIRMED (the runs of an unreachable worker are placed again when the leases that this leader
 * has requested have ended, whether or not the store has confirmed it since), ACCOUNT_UNCONFIRMED (the same for a worker
 * that a new leader has never reached), GRACE_OF_LAST_LEADER (a leader after one that resigned waits for no other).
 */
#define TTL 1
#define BLIND 3
#define LEASE 2
#define END_OF_TIME 9
#define LEADERS 3
#define WORKERS 2

#define PICK_LEADER(i) if :: i = 0 :: i = 1 :: i = 2 fi
#define PICK_WORKER(w) if :: w = 0 :: w = 1 fi
#define STEP_OF_LEADER atomic { PICK_LEADER(i);
#define STEP_AT_WORKER atomic { PICK_LEADER(i); PICK_WORKER(w);
#define DONE i = 0; w = 0; grace = 0 }

/* It is set to the value of its property just before it is asserted, so that the assertion names the property. */
bool P2_single_place;

byte now;

/* Workers. */
bool running[WORKERS];
byte lease_end[WORKERS], epoch[WORKERS];
#define IS_RUNNING(w) (running[w] && now <= lease_end[w])

/* The commit record: the newest leader, whether it has resigned, and how long after the record was written a leader before
 * it may act. */
byte newest;
bool resigned;
byte recorded_grace;

/* Leaders. Place 2: no run is known. */
bool leading[LEADERS], accounted[6];
byte confirmed_at[LEADERS], predecessors_stop[LEADERS], place[LEADERS], requested_end[LEADERS];
#define OF(i, w) (2 * (i) + (w))
#define ACTS(i) (leading[i] && now <= confirmed_at[i] + BLIND)

#ifdef RELEASE_UNCONFIRMED
#define RELEASE_CONFIRMED(i, since) true
#else
#define RELEASE_CONFIRMED(i, since) (confirmed_at[i] > since)
#endif
#ifdef ACCOUNT_UNCONFIRMED
#define ACCOUNT_CONFIRMED(i, since) true
#else
#define ACCOUNT_CONFIRMED(i, since) (confirmed_at[i] > since)
#endif

inline start(i, w) {
  P2_single_place = !IS_RUNNING(0) && !IS_RUNNING(1); assert(P2_single_place);
  running[w] = true; lease_end[w] = now + LEASE; epoch[w] = i;
  requested_end[i] = now + LEASE; place[i] = w
}

/* Forgets what no longer matters, so that equal situations are equal states. */
inline forget_the_past() {
  for (w : 0 .. WORKERS - 1) {
    if :: !IS_RUNNING(w) -> running[w] = false; lease_end[w] = 0 :: else -> skip fi
  }
  for (i : 0 .. LEADERS - 1) {
    if
    :: leading[i] && !ACTS(i) && i == newest -> leading[i] = false
    :: !leading[i] && i < newest -> confirmed_at[i] = 0; predecessors_stop[i] = 0; place[i] = 0;
       requested_end[i] = 0; accounted[OF(i, 0)] = false; accounted[OF(i, 1)] = false
    :: else -> skip
    fi
  }
}

init {
  byte i, w, grace;
  /* Leader 0 leads and has started the task on worker 0. */
  d_step {
    leading[0] = true; accounted[OF(0, 0)] = true; accounted[OF(0, 1)] = true;
    running[0] = true; lease_end[0] = LEASE; requested_end[0] = LEASE
  }
end:
  do
  :: d_step { now < END_OF_TIME -> now++; forget_the_past(); i = 0; w = 0 }
  /* The store confirms a leader by a commit, which fails once another one is elected. */
  :: STEP_OF_LEADER
       if
       :: ACTS(i) && newest == i -> confirmed_at[i] = now
       :: ACTS(i) && newest != i -> leading[i] = false
       :: else -> skip
       fi; DONE
  /* A leader reaches a worker: it renews the lease there and learns what runs. */
  :: STEP_AT_WORKER
       if
       :: ACTS(i) && epoch[w] > i -> leading[i] = false
       :: ACTS(i) && epoch[w] <= i ->
          epoch[w] = i; accounted[OF(i, w)] = true;
          if
          :: IS_RUNNING(w) -> lease_end[w] = now + LEASE; requested_end[i] = now + LEASE; place[i] = w
          :: else -> if :: place[i] == w -> place[i] = 2; requested_end[i] = 0 :: else -> skip fi
          fi
       :: else -> skip
       fi; DONE
  /* It gives up the run of a worker on which it has not renewed the leases. */
  :: STEP_AT_WORKER
       if
       :: ACTS(i) && place[i] == w && now > requested_end[i] &&
          RELEASE_CONFIRMED(i, requested_end[i]) -> place[i] = 2; requested_end[i] = 0
       :: else -> skip
       fi; DONE
  /* It stops waiting for a worker that it has never reached. */
  :: STEP_AT_WORKER
       if
       :: ACTS(i) && !accounted[OF(i, w)] && now > predecessors_stop[i] + LEASE &&
          ACCOUNT_CONFIRMED(i, predecessors_stop[i] + LEASE) -> accounted[OF(i, w)] = true
       :: else -> skip
       fi; DONE
  /* It starts the task. */
  :: STEP_AT_WORKER
       if
       :: ACTS(i) && place[i] == 2 && accounted[OF(i, 0)] && accounted[OF(i, 1)] &&
          epoch[w] <= i && !IS_RUNNING(w) -> start(i, w)
       :: else -> skip
       fi; DONE
  /* It resigns. */
  :: STEP_OF_LEADER
       if
       :: ACTS(i) && newest == i -> leading[i] = false; resigned = true;
          recorded_grace = (predecessors_stop[i] > now -> predecessors_stop[i] - now : 0)
       :: else -> skip
       fi; DONE
  /* The next leader is elected after a resignation, or when the record of the last one has ended. */
  :: d_step { newest < LEADERS - 1 && (resigned || now > confirmed_at[newest] + TTL) ->
#ifdef GRACE_OF_LAST_LEADER
       grace = (resigned -> 0 : BLIND);
#else
       grace = (resigned -> recorded_grace : BLIND);
#endif
       newest++; resigned = false; recorded_grace = 0;
       leading[newest] = true; confirmed_at[newest] = now; predecessors_stop[newest] = now + grace; place[newest] = 2;
       grace = 0 }
  od
}
