package task

import (
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubearch/jujubearch/internal/state/fixedseed"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

func TestMain(m *testing.M) { fixedseed.Run(m) }

// drawRecord draws any record, valid in the current state or not: the state machine must tolerate whatever a journal
// can contain.
func drawRecord(t *rapid.T) model.TaskRecord {
	kind := rapid.SampledFrom([]model.TaskRecordKind{
		model.RecordAccepted, model.RecordAssigned, model.RecordAssigned, model.RecordAssigned, model.RecordReleased,
		model.RecordCheckpointed, model.RecordFinished, model.RecordFailed, model.RecordCancelled, model.RecordResumed,
		model.RecordDropped,
	}).Draw(t, "kind")
	job := model.JobID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "job"))
	r := model.TaskRecord{
		Kind: kind, Task: model.TaskID{Job: job, Index: rapid.Uint32Range(0, 3).Draw(t, "index")},
		Attempt: model.Attempt(rapid.Uint64Range(0, 4).Draw(t, "attempt")),
		Worker:  model.WorkerID(rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(t, "worker")),
	}
	switch kind {
	case model.RecordAccepted:
		r.Task.Index = 2 * rapid.Uint32Range(0, 1).Draw(t, "part")
		r.Delegation = &model.Delegation{Job: model.Job{ID: job, Tasks: 4}, First: r.Task.Index, Count: 2}
	case model.RecordCheckpointed, model.RecordReleased:
		r.Checkpoint = rapid.SampledFrom([]string{"", "c1", "c2"}).Draw(t, "checkpoint")
	case model.RecordResumed:
		r.Version = model.Version(rapid.Uint64Range(1, 3).Draw(t, "version"))
	case model.RecordDropped:
		r.HeadRevision = model.Revision(rapid.Uint64Range(1, 3).Draw(t, "revision"))
	default:
	}
	return r
}

// entries divides records into journal entries; a new entry starts at each i for which cuts[i] is true.
func entries(records []model.TaskRecord, cuts []bool) []model.JournalEntry {
	var all []model.JournalEntry
	for i, r := range records {
		if i == 0 || cuts[i] {
			all = append(all, model.JournalEntry{Sequence: model.Sequence(len(all) + 1)})
		}
		last := &all[len(all)-1]
		last.Tasks = append(last.Tasks, r)
	}
	return all
}

// replayed returns a new shard after all entries.
func replayed(all []model.JournalEntry) *Shard {
	s := NewShard(1)
	for _, e := range all {
		s.Apply(e)
	}
	return s
}

// Guards against the next owner of a shard reaching a different state than the previous one: the division of records
// into entries must not matter, and a snapshot plus the entries after it must give the same state as all entries.
func TestReplayReachesTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 60).Draw(t, "records")
		cuts := rapid.SliceOfN(rapid.Bool(), len(records), len(records)).Draw(t, "cuts")
		all := entries(records, cuts)
		expected := replayed(all).Snapshot()

		single := replayed(entries(records, make([]bool, len(records)))).Snapshot()
		single.Sequence = expected.Sequence
		assert.DeepEqual(t, single, expected)

		at := rapid.IntRange(0, len(all)).Draw(t, "snapshot")
		snapshot := replayed(all[:at]).Snapshot()
		restored := NewShard(1)
		restored.Restore(&snapshot)
		for _, e := range all[at:] {
			restored.Apply(e)
		}
		assert.DeepEqual(t, restored.Snapshot(), expected)
	})
}

// Guards against decreasing attempt numbers, a task that is placed twice, and tasks of a cancelled job that start
// again.
func TestAttemptsOnlyGrowAndCancelledWorkStaysStopped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewShard(1)
		highest := make(map[model.TaskID]model.Task)
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			r := drawRecord(t)
			s.Apply(model.JournalEntry{Sequence: model.Sequence(i + 1), Tasks: []model.TaskRecord{r}})
			if s.Job(r.Task.Job) == nil {
				// The job was dropped. Outside this test its id is never reused, since ids contain a version.
				maps.DeleteFunc(highest, func(id model.TaskID, _ model.Task) bool { return id.Job == r.Task.Job })
			}
			s.ForEach(func(job *Job, task model.Task) {
				before, known := highest[task.ID]
				if known && task.Attempt < before.Attempt {
					t.Fatalf("attempt of %s decreased from %d to %d", task.ID, before.Attempt, task.Attempt)
				}
				if known && task.Attempt == before.Attempt && !before.Phase.IsPlaced() && task.Phase.IsPlaced() {
					t.Fatalf("%s was placed again as attempt %d", task.ID, task.Attempt)
				}
				if job.Cancelled && !task.Phase.IsPlaced() {
					t.Fatalf("%s of a cancelled job is %s", task.ID, task.Phase)
				}
				if job.Cancelled && (!known || !before.Phase.IsPlaced()) {
					t.Fatalf("%s of a cancelled job was placed", task.ID)
				}
				highest[task.ID] = task
			})
		}
	})
}

// Guards against reserved resources in the index that differ from the sums over the tasks.
func TestReservationsMatchTheTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewShard(1)
		for i, r := range rapid.SliceOfN(rapid.Custom(drawRecord), 1, 60).Draw(t, "records") {
			r.Resources = model.Resources{CPUMillis: int64(r.Attempt) * 100}
			s.Apply(model.JournalEntry{Sequence: model.Sequence(i + 1), Tasks: []model.TaskRecord{r}})
		}
		sums := make(map[model.WorkerID]model.Resources)
		s.ForEach(func(_ *Job, task model.Task) {
			if task.Phase.IsPlaced() {
				sums[task.Worker] = sums[task.Worker].Add(task.Reserved)
			}
		})
		for i := range 3 {
			w := model.WorkerID(fmt.Sprintf("w%d", i+1))
			assert.Equal(t, s.Reserved(w), sums[w])
		}
	})
}
