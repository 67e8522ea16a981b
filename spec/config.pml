/*
 * Configuration versions (docs/design.md, section 13).
 *
 * Three operators confirm two plans, and two of them confirm the same plan concurrently. Each confirmation reads the
 * head record and replaces it by compare-and-swap. Calls to the store may take effect late or be lost, or their
 * responses may be lost. A plan may be rejected. Trimming rewrites the head without a new version.
 */
#define PLANS 2
#define OPERATORS 3
#define MAX_IN_FLIGHT 2
#define MAX_ATTEMPTS 2
/* The number of newest audit entries that the head holds; older ones move to segments. */
#define KEPT_ENTRIES 1

/* Always false; each assertion includes the variable of its property, so that its text names the property. */
bool D1_applied_once, D2_not_run_is_true, D3_stale_refused, D4_rejected_stays_out;
bool D5_applied_is_true;

mtype = { SWAPPED, CONFLICT, UNKNOWN };

/* The head: revision, version, plan of its audit entry, plans of audit entries in segments, rejected plans. */
byte revision, version;
byte audit_plan;  /* the plan of the newest audit entry, plus 1; a single one, since KEPT_ENTRIES is 1 */
bool in_segment[PLANS];
bool rejected[PLANS];
/* The status in the record of the plan itself, which only REJECT_IN_PLAN_RECORD uses. */
bool marked_rejected[PLANS];
/* The version that each plan is based on, plus 1; 0 until the plan is made. */
byte plan_base[PLANS];

typedef Call { bool in_flight; byte expect; byte base; byte plan };
Call calls[OPERATORS * MAX_IN_FLIGHT];
byte awaited[OPERATORS];
mtype response[OPERATORS];

/* Ghost state. */
byte applied[PLANS];
bool reported_not_run[PLANS], reported_rejected[PLANS];

inline execute(c) {
  if
  :: calls[c].expect == revision ->
     assert(applied[calls[c].plan] == 0 || D1_applied_once);
     assert(!reported_not_run[calls[c].plan] || D2_not_run_is_true);
     assert(calls[c].base == version || D3_stale_refused);
     assert(!reported_rejected[calls[c].plan] || D4_rejected_stays_out);
     applied[calls[c].plan]++;
     if
     :: audit_plan != 0 -> in_segment[audit_plan - 1] = true
     :: else -> skip
     fi;
     audit_plan = calls[c].plan + 1;
     revision++; version++;
     result = SWAPPED
  :: else -> result = CONFLICT
  fi
}

inline remove_call(c) {
  calls[c].in_flight = false; calls[c].expect = 0; calls[c].base = 0; calls[c].plan = 0;
  if
  :: awaited[c / MAX_IN_FLIGHT] == c % MAX_IN_FLIGHT + 1 -> awaited[c / MAX_IN_FLIGHT] = 0
  :: else -> skip
  fi
}

inline deliver(c) {
  d_step {
    calls[c].in_flight ->
    execute(c);
    if
    :: awaited[c / MAX_IN_FLIGHT] == c % MAX_IN_FLIGHT + 1 -> response[c / MAX_IN_FLIGHT] = result
    :: else -> skip
    fi;
    remove_call(c); result = 0
  }
}

inline lose_call(c) {
  d_step { calls[c].in_flight && awaited[c / MAX_IN_FLIGHT] != c % MAX_IN_FLIGHT + 1 -> remove_call(c) }
}

inline time_out(c) {
  d_step {
    calls[c].in_flight && awaited[c / MAX_IN_FLIGHT] == c % MAX_IN_FLIGHT + 1 ->
    response[c / MAX_IN_FLIGHT] = UNKNOWN; awaited[c / MAX_IN_FLIGHT] = 0
  }
}

active proctype network() {
  mtype result;
end:
  do
  :: deliver(0) :: deliver(1) :: deliver(2) :: deliver(3) :: deliver(4) :: deliver(5)
  :: lose_call(0) :: lose_call(1) :: lose_call(2) :: lose_call(3) :: lose_call(4) :: lose_call(5)
  :: time_out(0) :: time_out(1) :: time_out(2) :: time_out(3) :: time_out(4) :: time_out(5)
  od
}

#ifdef HISTORY_IN_HEAD_ONLY
#define WAS_APPLIED(p) (audit_plan == p + 1)
#else
#define WAS_APPLIED(p) (audit_plan == p + 1 || in_segment[p])
#endif
#ifdef REJECT_IN_PLAN_RECORD
#define IS_REJECTED(p) false
#else
#define IS_REJECTED(p) rejected[p]
#endif

proctype operator(byte me; byte plan) {
  byte base, attempts, call_index, read_revision;
  mtype outcome;
  d_step {
    if
    :: plan_base[plan] == 0 -> plan_base[plan] = version + 1
    :: else -> skip
    fi;
    base = plan_base[plan] - 1
  }
#ifdef REJECT_IN_PLAN_RECORD
  /* The plan's record is read once, before the attempts. */
  if
  :: marked_rejected[plan] -> goto done
  :: else -> skip
  fi;
#endif
retry:
  atomic {
    if
    :: attempts == MAX_ATTEMPTS -> goto done      /* gives up with the outcome unknown; another operator may retry */
    :: else -> attempts++
    fi;
    if
    :: WAS_APPLIED(plan) ->
       assert(applied[plan] == 1 || D5_applied_is_true);
       goto done
    :: else -> skip
    fi;
    if
    :: IS_REJECTED(plan) -> goto done
#ifndef NO_VERSION_CHECK
    :: version != base && !IS_REJECTED(plan) ->
       assert(applied[plan] == 0 || D2_not_run_is_true);
       reported_not_run[plan] = true;
       goto done
#endif
    :: else -> skip
    fi;
    read_revision = revision
  }
  atomic {
    (!calls[me * MAX_IN_FLIGHT].in_flight || !calls[me * MAX_IN_FLIGHT + 1].in_flight);
    call_index = (calls[me * MAX_IN_FLIGHT].in_flight -> me * MAX_IN_FLIGHT + 1 : me * MAX_IN_FLIGHT);
    calls[call_index].in_flight = true; calls[call_index].expect = read_revision;
    calls[call_index].base = base; calls[call_index].plan = plan;
    awaited[me] = call_index % MAX_IN_FLIGHT + 1;
    call_index = 0; read_revision = 0;
    response[me] != 0;
    outcome = response[me]; response[me] = 0;
    if
    :: outcome == SWAPPED ->
       assert(applied[plan] == 1 || D5_applied_is_true);
       outcome = 0; goto done
#ifdef UNKNOWN_IS_NOT_RUN
    :: outcome == UNKNOWN -> reported_not_run[plan] = true; outcome = 0; goto done
#endif
    :: else -> outcome = 0; goto retry
    fi
  }
done: skip
}

/* Rejects plan 0 by a compare-and-swap of the head, which orders the rejection against confirmations of the plan. */
active proctype rejecter() {
  byte read_revision;
#ifdef REJECT_IN_PLAN_RECORD
end:
  atomic {
    !WAS_APPLIED(0) -> marked_rejected[0] = true; reported_rejected[0] = true
  }
#else
end_start:
  atomic { !WAS_APPLIED(0) -> read_revision = revision }
end:
  atomic {
    read_revision == revision -> revision++; rejected[0] = true; reported_rejected[0] = true
  }
#endif
}

/* Trimming accepted work from the head changes its revision but not its version. */
active proctype trimmer() {
end:
  atomic { revision < 2 -> revision++ }
}

init {
  atomic { run operator(0, 0); run operator(1, 0); run operator(2, 1) }
}
