/*
 * Shard ownership and journal (docs/design.md, sections 4 and 6).
 *
 * An entry takes over a shard in three calls: it lists the ownership record, the snapshot and the log slots, replaces
 * the ownership record by compare-and-swap, and seals the log. Two entries may try this concurrently: the store lease
 * decides only when a successor may begin, and a paused owner may continue at any time. Calls to the store may take
 * effect late or be lost, their responses may be lost, and entries may crash.
 *
 * The pair (seq, epoch) represents the revision of a slot: each pair is written at most once, so the content identifies
 * the revision. Each epoch has one writer, so the pair also represents the write id.
 *
 * All delays are modelled in the network: an entry runs atomically from one response to the next call.
 */
#ifndef ENTRIES
#define ENTRIES 2
#endif
#ifndef SLOTS
#define SLOTS 2
#endif
#ifndef MAXSEQ
#define MAXSEQ 4
#endif
#ifndef MAXEPOCH
#define MAXEPOCH 2
#endif
#define SNAPSHOT_EVERY 1
/* The maximum number of calls of one entry in flight: the awaited one, and one that the entry has given up. */
#define MAX_IN_FLIGHT 2

/* Always false; each assertion includes the variable of its property, so that its text names the property. */
bool J1_linear_history, J2_no_write_after_seal, J3_committed_is_in_store, J4_recoverable;

mtype = { OWNER, LOG, SNAPSHOT, SWAPPED, CONFLICT, UNKNOWN, CRASH };

typedef Pair { byte seq; byte epoch };
typedef Call { bool in_flight; mtype kind; Pair expect; Pair put };

/* The store. */
byte owner_epoch;
Pair slot[SLOTS];
Pair snapshot;

Call calls[ENTRIES * MAX_IN_FLIGHT];
/* The index of the call that an entry waits for, plus 1; 0 for none. */
byte awaited[ENTRIES];
/* The response to the awaited call of each entry, and the current content of the record that it wrote to. */
mtype response[ENTRIES];
Pair current[ENTRIES];

/* Ghost state: the last sequence number in the store, the epoch of each sequence number, the last epoch that sealed. */
byte last_seq;
byte epoch_of_seq[MAXSEQ + 1];
byte sealed_epoch;

#define SAME(a, b) (a.seq == b.seq && a.epoch == b.epoch)
#define COPY(to, from) to.seq = from.seq; to.epoch = from.epoch
#define CLEAR(p) p.seq = 0; p.epoch = 0

inline append_entry(c) {
  assert(calls[c].put.seq == last_seq + 1 || J1_linear_history);
  assert(calls[c].put.epoch >= sealed_epoch || J2_no_write_after_seal);
  last_seq = calls[c].put.seq;
  epoch_of_seq[last_seq] = calls[c].put.epoch;
  sealed_epoch = calls[c].put.epoch;
  COPY(slot[calls[c].put.seq % SLOTS], calls[c].put);
  assert(last_seq - snapshot.seq <= SLOTS || J4_recoverable)
}

inline execute(c) {
  if
  :: calls[c].kind == OWNER && owner_epoch == calls[c].expect.epoch ->
     owner_epoch = calls[c].put.epoch; result = SWAPPED
  :: calls[c].kind == LOG && SAME(slot[calls[c].put.seq % SLOTS], calls[c].expect) -> append_entry(c); result = SWAPPED
  :: calls[c].kind == SNAPSHOT && SAME(snapshot, calls[c].expect) -> COPY(snapshot, calls[c].put); result = SWAPPED
  :: else -> result = CONFLICT
  fi
}

inline read_current(c) {
  if
  :: calls[c].kind == LOG -> COPY(current[c / MAX_IN_FLIGHT], slot[calls[c].put.seq % SLOTS])
  :: calls[c].kind == SNAPSHOT -> COPY(current[c / MAX_IN_FLIGHT], snapshot)
  :: else -> skip
  fi
}

inline remove_call(c) {
  calls[c].in_flight = false; calls[c].kind = 0; CLEAR(calls[c].expect); CLEAR(calls[c].put);
  if
  :: awaited[c / MAX_IN_FLIGHT] == c % MAX_IN_FLIGHT + 1 -> awaited[c / MAX_IN_FLIGHT] = 0
  :: else -> skip
  fi
}

/* The call takes effect. The entry gets the response if it still waits for it. */
inline deliver(c) {
  d_step {
    calls[c].in_flight ->
    execute(c);
    if
    :: awaited[c / MAX_IN_FLIGHT] == c % MAX_IN_FLIGHT + 1 -> response[c / MAX_IN_FLIGHT] = result; read_current(c)
    :: else -> skip
    fi;
    remove_call(c);
    result = 0
  }
}

inline lose_call(c) {
  d_step { calls[c].in_flight && awaited[c / MAX_IN_FLIGHT] != c % MAX_IN_FLIGHT + 1 -> remove_call(c) }
}

/* The entry stops waiting, and the call stays in flight. The entry then reads the record back. */
inline time_out(c) {
  d_step {
    calls[c].in_flight && awaited[c / MAX_IN_FLIGHT] == c % MAX_IN_FLIGHT + 1 ->
    response[c / MAX_IN_FLIGHT] = UNKNOWN; read_current(c); awaited[c / MAX_IN_FLIGHT] = 0
  }
}

inline crash(e) { d_step { awaited[e] != 0 -> response[e] = CRASH; awaited[e] = 0 } }

active proctype network() {
  mtype result;
end:
  do
  :: deliver(0) :: deliver(1) :: deliver(2) :: deliver(3)
  :: lose_call(0) :: lose_call(1) :: lose_call(2) :: lose_call(3)
  :: time_out(0) :: time_out(1) :: time_out(2) :: time_out(3)
  :: crash(0) :: crash(1)
  od
}

/* Sends a call and waits for its response. Blocks while MAX_IN_FLIGHT calls are in flight. */
inline send(k, es, ee, ps, pe) {
  (!calls[me * MAX_IN_FLIGHT].in_flight || !calls[me * MAX_IN_FLIGHT + 1].in_flight);
  call_index = (calls[me * MAX_IN_FLIGHT].in_flight -> me * MAX_IN_FLIGHT + 1 : me * MAX_IN_FLIGHT);
  calls[call_index].in_flight = true; calls[call_index].kind = k;
  calls[call_index].expect.seq = es; calls[call_index].expect.epoch = ee;
  calls[call_index].put.seq = ps; calls[call_index].put.epoch = pe;
  awaited[me] = call_index % MAX_IN_FLIGHT + 1;
  call_index = 0;
  response[me] != 0;
  outcome = response[me];
  response[me] = 0
}

inline reset_state() {
  epoch = 0; next_seq = 0; is_sealed = false; outcome = 0; CLEAR(current[me]); CLEAR(known_snapshot);
  i = 0;
  do
  :: i < SLOTS -> CLEAR(known_log[i]); i++
  :: else -> break
  od;
  i = 0
}

inline skip_known_entries() {
  do
  :: known_log[next_seq % SLOTS].seq == next_seq -> next_seq++
  :: else -> break
  od
}

inline read_records() {
  COPY(known_snapshot, snapshot);
  i = 0;
  do
  :: i < SLOTS -> COPY(known_log[i], slot[i]); i++
  :: else -> break
  od;
  i = 0;
  next_seq = snapshot.seq + 1;
  skip_known_entries()
}

proctype entry(byte me) {
  byte epoch, next_seq, i, call_index;
  bool is_sealed;
  mtype outcome;
  Pair known_log[SLOTS];
  Pair known_snapshot;  /* the snapshot record as this entry knows it */
atomic {
  skip;
idle:
  reset_state();
end_idle:
  owner_epoch < MAXEPOCH;
  epoch = owner_epoch + 1;
#ifndef SWAP_BEFORE_LIST
  read_records();
#endif
  send(OWNER, 0, epoch - 1, 0, epoch);
  if
  :: outcome == SWAPPED -> skip
  :: else -> goto idle
  fi;
#ifdef SWAP_BEFORE_LIST
reload:
  read_records();
#endif
append_next:
  CLEAR(current[me]);
  outcome = 0;
end_full:
  if
  :: is_sealed && next_seq - known_snapshot.seq > SNAPSHOT_EVERY -> goto write_snapshot
  :: !(is_sealed && next_seq - known_snapshot.seq > SNAPSHOT_EVERY) && next_seq <= MAXSEQ -> goto write_entry
  fi;

write_entry:
  send(LOG, known_log[next_seq % SLOTS].seq, known_log[next_seq % SLOTS].epoch, next_seq, epoch);
  if
  :: outcome == SWAPPED -> goto committed
  :: outcome == CRASH -> goto idle
#ifdef UNKNOWN_IS_COMMITTED
  :: outcome == UNKNOWN -> goto committed
#endif
  :: else -> skip
  fi;
  if
  :: current[me].seq == next_seq && current[me].epoch == epoch -> goto committed
  :: SAME(current[me], known_log[next_seq % SLOTS]) -> CLEAR(current[me]); goto write_entry
  :: else -> skip
  fi;
  if
  :: is_sealed || current[me].epoch > epoch -> goto idle
#ifndef ADOPT_ANY_SEQUENCE
  /* The predecessor has overwritten the whole log since it was listed, so the state that was read is outdated. */
  :: !is_sealed && current[me].epoch <= epoch && current[me].seq != next_seq ->
     CLEAR(current[me]);
#ifdef SWAP_BEFORE_LIST
     goto reload
#else
     goto idle
#endif
#endif
  :: else -> skip
  fi;
  COPY(known_log[current[me].seq % SLOTS], current[me]);
  skip_known_entries();
  goto append_next;

committed:
  assert(epoch_of_seq[next_seq] == epoch || J3_committed_is_in_store);
  known_log[next_seq % SLOTS].seq = next_seq; known_log[next_seq % SLOTS].epoch = epoch;
  next_seq++;
  is_sealed = true;
  goto append_next;

write_snapshot:
#ifdef NO_SNAPSHOT
  known_snapshot.seq = next_seq - 1; known_snapshot.epoch = epoch;
  goto append_next;
#endif
  send(SNAPSHOT, known_snapshot.seq, known_snapshot.epoch, next_seq - 1, epoch);
  if
  :: outcome == SWAPPED -> known_snapshot.seq = next_seq - 1; known_snapshot.epoch = epoch
  :: outcome == CRASH -> goto idle
  :: else -> COPY(known_snapshot, current[me])
  fi;
  if
  :: known_snapshot.seq >= next_seq -> goto idle   /* the snapshot of a successor */
  :: else -> goto append_next
  fi
}
}

init { atomic { run entry(0); run entry(1) } }
