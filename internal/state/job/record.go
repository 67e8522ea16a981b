package job

import (
	"strconv"
	"strings"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Keys of the store.
const (
	KeyLeader = "lead/leader"
	// KeyCommit is rewritten by each commit of the leader. Each commit expects the revision of the one before, so that a
	// commit of a deposed leader, or one that reaches the store late, has no effect.
	KeyCommit   = "chain/commit"
	KeyRegistry = "chain/workers"
	// KeyInterference holds the interference between pairs of images that the leader has measured.
	KeyInterference = "chain/harm"
	PrefixLeader    = "lead/"
	PrefixCommit    = "chain/"
	PrefixJob       = "job/"
	PrefixProgress  = "progress/"
)

// Key returns the key of an accepted job.
func Key(id ID) string { return PrefixJob + string(id) }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id ID) string { return PrefixProgress + string(id) }

// IDOf returns the id of the job that a key of PrefixJob or PrefixProgress belongs to.
func IDOf(key string) ID {
	_, id, _ := strings.Cut(key, "/")
	return ID(id)
}

// Leadership is the record that names the leader, the entry that schedules. The creation revision of the record is the
// leader's epoch.
type Leadership struct {
	Entry       model.EntryID
	Incarnation model.Incarnation
	// Address is where the other entries reach the leader.
	Address string
}

// CommitRecord is the record that every commit of the leader rewrites.
type CommitRecord struct {
	// Incarnation is the incarnation of the leader.
	Incarnation model.Incarnation
	// Commit identifies the commit, so that the leader can tell after a lost response whether it took effect.
	Commit uint64
	// Resigned means that the leader has stopped sending orders.
	Resigned bool
	// PredecessorGrace is how long after this record was written a leader before this one may still act. It is unknown, and
	// GraceKnown false, in the records of releases that did not store it.
	PredecessorGrace time.Duration
	GraceKnown       bool
	// LeaseHorizon is how long after this record was written the leases may last that its writer has requested of workers,
	// MajorityHorizon how long after a time at which most workers of the registry had answered the writer. EarlierLeases is
	// how long after this record was written the leases of earlier leaders may last. All are 0 in the records of releases
	// that did not bound leases.
	LeaseHorizon, MajorityHorizon, EarlierLeases time.Duration
	// EarlierMajority is how long after this record was written leases of earlier leaders may last unless half of the workers of
	// the registry have answered a successor. It is 0 once they have answered the writer, or the writer has changed the registry.
	EarlierMajority time.Duration
}

// Tombstone is the record under the key of a job that was cancelled before it was stored. A write of the job that is still
// on its way to the store expects that the key does not exist, so that it has no effect.
type Tombstone struct{ ID ID }

// TaskKey identifies a task within its job.
type TaskKey struct {
	Occurrence int
	Step       int
	Index      int
}

// Key returns the key of the task within its job.
func (t Task) Key() TaskKey { return TaskKey{t.Occurrence, t.Step, t.Index} }

// TaskProgress is the state of one task that must survive a change of leader.
type TaskProgress struct {
	Done bool
	// FailedRuns lists the runs that failed, so that a failure that a worker reports again is counted once.
	FailedRuns []RunNumber
	Checkpoint Checkpoint
	// Crashes is the number of crashes of workers that are charged to the task, QuickCrashes that of those soon after its
	// start.
	Crashes      int
	QuickCrashes int
}

// IsZero reports whether there is nothing to store.
func (p *TaskProgress) IsZero() bool {
	return !p.Done && len(p.FailedRuns) == 0 && p.Crashes == 0 && p.Checkpoint == ""
}

// Registry lists the workers that may be running tasks. A worker gets starts only after its id is committed, so that a
// new leader knows every worker whose runs it must find out.
type Registry struct{ Workers []RegisteredWorker }

// RegisteredWorker is a worker of the registry.
type RegisteredWorker struct {
	ID      model.WorkerID
	Address string
	// Boot is the newest boot that was known when the registry was written; 0 if none was.
	Boot BootID
	// NoMoreStarts means that no more starts are sent to the worker; Runs then lists the tasks that may still run on it, or
	// whose ends there are not committed.
	NoMoreStarts bool
	Runs         []Task
}

// Interference is the interference that a leader has measured between images that share workers. It spares a new leader
// from repeating the measurements at the expense of serving tasks; correctness does not depend on it.
type Interference struct{ Pairs []InterferencePair }

// InterferencePair is the interference of one pair of images: how much headroom the serving image loses when the
// best-effort image uses all processors of a worker (Slope), and the standard error of that estimate (StdError).
type InterferencePair struct {
	Serving, BestEffort string
	Slope, StdError     float64
}

// Progress is the state of a job that must survive a change of leader, apart from the job's description.
type Progress struct {
	Job   ID
	Phase Phase
	// Opened is the number of occurrences of a recurring job that have been opened. Unfinished are those of them with tasks
	// left, in ascending order; the tasks of the others are done. Opened is 0 in the records of releases that listed each
	// task of each occurrence in Tasks, and for jobs that do not recur.
	Opened     int
	Unfinished []int
	// Tasks holds the tasks that are done, have failed or have a checkpoint. It is empty in a final phase.
	Tasks map[TaskKey]TaskProgress
}

// Record is a decoded record of the store; Value is nil when the key does not exist or Err is set.
type Record struct {
	Key      string
	Revision model.Revision
	Value    any
	Err      error
}

// Put is a record to write.
type Put struct {
	Key   string
	Value any
	Lease model.LeaseID
}

// Expectation is a condition of a transaction; revision 0 means that the key does not exist.
type Expectation struct {
	Key      string
	Revision model.Revision
}

// Transaction is a set of writes that the store applies atomically, and only if all conditions in Expect hold.
type Transaction struct {
	Expect []Expectation
	Puts   []Put
	Delete []string
}

// ParseTask parses the result of Task.String.
func ParseTask(name string) (Task, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return Task{}, false
	}
	var numbers [3]int
	for i, text := range parts[1:] {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return Task{}, false
		}
		numbers[i] = n
	}
	return Task{Job: ID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, true
}

// MaxKeyBytes is the length of the longest key that the store takes.
const MaxKeyBytes = 200

// MaxIDBytes is the length of the longest job id: the keys of the job and of its progress contain it.
const MaxIDBytes = MaxKeyBytes - len(PrefixProgress)

// MaxTransactionRows is the number of expectations, puts and deletions that the store takes in one transaction.
const MaxTransactionRows = 32
