package journal

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubearch/jujubearch/internal/state/fixedseed"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

func TestMain(m *testing.M) { fixedseed.Run(m) }

// storedValue is the value of a key in the simulated store.
type storedValue struct {
	revision model.Revision
	entry    *model.JournalEntry
	snapshot model.Sequence
}

// sentCall is a store call in flight; it may take effect after its writer has timed out.
type sentCall struct {
	sender *writer
	call   Call
}

// writer is a process that owns or has owned the shard.
type writer struct {
	name    string
	epoch   model.Epoch
	journal *Journal
	// readState and readEpoch are what the writer read before it replaced the ownership record.
	readState   map[string]storedValue
	readEpoch   model.Epoch
	awaitedCall *sentCall
	replayed    []model.JournalEntry
	commits     map[Ticket]int
}

// simulation consists of a store with compare-and-swap and the writers that use it.
type simulation struct {
	now      time.Time
	store    map[string]storedValue
	revision model.Revision
	epoch    model.Epoch
	writers  []*writer
	inFlight []*sentCall
	// history holds the write ids of the entries that took effect, by sequence number.
	history     []string
	lastEpoch   model.Epoch
	recordCount int
	writerCount int
}

func newSimulation() *simulation {
	sim := &simulation{now: time.Unix(1_000_000, 0), store: make(map[string]storedValue)}
	for range 2 {
		sim.writers = append(sim.writers, sim.newWriter())
	}
	return sim
}

func (sim *simulation) newWriter() *writer {
	sim.writerCount++
	return &writer{name: fmt.Sprintf("p%d", sim.writerCount), commits: make(map[Ticket]int)}
}

func (sim *simulation) readStore(w *writer) {
	w.readState = make(map[string]storedValue)
	for key, value := range sim.store {
		w.readState[key] = value
	}
	w.readEpoch = sim.epoch
}

// takeOver replaces the ownership record and starts a journal, unless the record has changed since it was read.
func (sim *simulation) takeOver(t *rapid.T, w *writer) {
	if w.readState == nil || w.readEpoch != sim.epoch {
		return
	}
	sim.epoch++
	w.epoch, w.awaitedCall, w.replayed, w.commits = sim.epoch, nil, nil, make(map[Ticket]int)
	w.journal = New(7, w.epoch, w.name, rand.New(rand.NewPCG(1, uint64(w.epoch))))
	var slots []LoadedSlot
	var snapshot *model.JournalSnapshot
	var revision model.Revision
	for key, value := range w.readState {
		if key == model.SnapshotKey(7) {
			snapshot, revision = &model.JournalSnapshot{Sequence: value.snapshot}, value.revision
		} else {
			slots = append(slots, LoadedSlot{Revision: value.revision, Entry: *value.entry})
		}
	}
	w.readState = nil
	entries, err := w.journal.Load(snapshot, revision, slots)
	if err != nil {
		t.Fatalf("committed entries can't be replayed: %v", err)
	}
	sim.checkReplay(t, w, entries)
}

// checkReplay checks that the entries that a writer regards as committed are those in the store's history.
func (sim *simulation) checkReplay(t *rapid.T, w *writer, entries []model.JournalEntry) {
	for _, e := range entries {
		if int(e.Sequence) > len(sim.history) || sim.history[e.Sequence-1] != e.WriteID {
			t.Fatalf("%s takes write %s for entry %d, which differs from the store's history", w.name, e.WriteID, e.Sequence)
		}
	}
	w.replayed = append(w.replayed, entries...)
}

func (sim *simulation) issueCall(w *writer) {
	if w.journal == nil || w.awaitedCall != nil {
		return
	}
	if call, ok := w.journal.NextCall(sim.now); ok {
		w.awaitedCall = &sentCall{sender: w, call: call}
		sim.inFlight = append(sim.inFlight, w.awaitedCall)
	}
}

func (sim *simulation) execute(t *rapid.T, c Call) Outcome {
	current := sim.store[c.Key]
	out := Outcome{Revision: current.revision, Entry: current.entry, SnapshotSequence: current.snapshot}
	isWrite := c.Kind == CallWriteEntry || c.Kind == CallWriteSnapshot
	if !isWrite || current.revision != c.Expect {
		return out
	}
	sim.revision++
	next := storedValue{revision: sim.revision, snapshot: c.Sequence}
	if c.Kind == CallWriteEntry {
		entry := c.Entry
		next = storedValue{revision: sim.revision, entry: &entry}
		sim.commitEntry(t, entry)
	}
	sim.store[c.Key] = next
	return Outcome{Swapped: true, Revision: sim.revision}
}

func (sim *simulation) commitEntry(t *rapid.T, e model.JournalEntry) {
	if int(e.Sequence) != len(sim.history)+1 {
		t.Fatalf("entry %d of epoch %d takes effect after entry %d", e.Sequence, e.Epoch, len(sim.history))
	}
	if e.Epoch < sim.lastEpoch {
		t.Fatalf("entry %d of epoch %d takes effect after the seal of epoch %d", e.Sequence, e.Epoch, sim.lastEpoch)
	}
	sim.lastEpoch = e.Epoch
	sim.history = append(sim.history, e.WriteID)
}

// deliver executes a call in flight; its writer gets the response if it still waits and the response is not lost.
func (sim *simulation) deliver(t *rapid.T, index int, isLost bool) {
	sent := sim.inFlight[index]
	sim.inFlight = append(sim.inFlight[:index:index], sim.inFlight[index+1:]...)
	out := sim.execute(t, sent.call)
	if sent.sender.awaitedCall != sent {
		return
	}
	sent.sender.awaitedCall = nil
	if isLost {
		out = Outcome{Unknown: true}
	}
	sim.complete(t, sent.sender, out)
}

func (sim *simulation) complete(t *rapid.T, w *writer, out Outcome) {
	result := w.journal.HandleOutcome(sim.now, out)
	sim.checkReplay(t, w, result.Committed)
	for _, ticket := range result.Tickets {
		w.commits[ticket]++
		if w.commits[ticket] > 1 {
			t.Fatalf("append %d of %s was committed twice", ticket, w.name)
		}
	}
}

// timeOut makes a writer stop waiting; its call stays in flight.
func (sim *simulation) timeOut(t *rapid.T, w *writer) {
	if w.awaitedCall == nil {
		return
	}
	w.awaitedCall = nil
	sim.complete(t, w, Outcome{Unknown: true})
}

func (sim *simulation) appendRecord(w *writer) {
	if w.journal == nil {
		return
	}
	sim.recordCount++
	record := model.TaskRecord{
		Kind: model.RecordCancelled, Task: model.TaskID{Job: model.JobID(fmt.Sprint(sim.recordCount))},
	}
	_, _ = w.journal.Append([]model.TaskRecord{record}, nil)
}

// commitBurst commits up to n entries without a fault, so that the log wraps around.
func (sim *simulation) commitBurst(t *rapid.T, w *writer, n int) {
	if w.journal == nil || w.awaitedCall != nil {
		return
	}
	for range n {
		sim.appendRecord(w)
		sim.now = sim.now.Add(time.Minute)
		sim.issueCall(w)
		if w.awaitedCall == nil {
			return
		}
		sim.deliver(t, len(sim.inFlight)-1, false)
	}
}

// Guards against writers whose views of the history diverge when writers pause, calls take effect late or responses are
// lost.
func TestWritersNeverDiverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		pick := rapid.IntRange(0, 1)
		t.Repeat(map[string]func(*rapid.T){
			"list":      func(t *rapid.T) { sim.readStore(sim.writers[pick.Draw(t, "writer")]) },
			"take over": func(t *rapid.T) { sim.takeOver(t, sim.writers[pick.Draw(t, "writer")]) },
			"append":    func(t *rapid.T) { sim.appendRecord(sim.writers[pick.Draw(t, "writer")]) },
			"issue":     func(t *rapid.T) { sim.issueCall(sim.writers[pick.Draw(t, "writer")]) },
			"give up":   func(t *rapid.T) { sim.timeOut(t, sim.writers[pick.Draw(t, "writer")]) },
			"wait": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 10_000).Draw(t, "ms")) * time.Millisecond)
			},
			"burst": func(t *rapid.T) {
				sim.commitBurst(t, sim.writers[pick.Draw(t, "writer")], rapid.IntRange(1, 2*SlotCount).Draw(t, "entries"))
			},
			"deliver": func(t *rapid.T) {
				if len(sim.inFlight) == 0 {
					t.Skip("nothing in flight")
				}
				sim.deliver(t, rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "call"), rapid.Bool().Draw(t, "lost"))
			},
			"die": func(t *rapid.T) { sim.writers[pick.Draw(t, "writer")] = sim.newWriter() },
		})
	})
}
