package jobrecord

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

func drawJob(t *rapid.T) *job.Job {
	j := &job.Job{
		ID: job.ID(rapid.StringMatching(`[0-9a-f]{16}`).Draw(t, "id")), Queue: job.Queue(rapid.String().Draw(t, "queue")),
		Payload:  rapid.String().Draw(t, "payload"),
		Accepted: time.UnixMilli(rapid.Int64Range(0, 1<<45).Draw(t, "accepted")), Schedule: job.Schedule{First: time.UnixMilli(0)},
	}
	if rapid.Bool().Draw(t, "timed") {
		j.Schedule = job.Schedule{
			Times: rapid.IntRange(1, 9).Draw(t, "times"), First: time.UnixMilli(rapid.Int64Range(0, 1<<45).Draw(t, "first")),
			Interval: time.Duration(rapid.IntRange(1, 9000).Draw(t, "interval")) * time.Millisecond,
		}
	}
	if rapid.Bool().Draw(t, "routed") {
		j.Route = drawRoute(t, j.Queue)
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
		s := job.Step{
			Tasks:    rapid.IntRange(1, 50).Draw(t, "tasks"),
			Size:     model.Resources{CPUMillis: rapid.Int64Range(0, 1<<20).Draw(t, "cpu"), MemoryBytes: rapid.Int64Range(0, 1<<40).Draw(t, "memory")},
			Estimate: time.Duration(rapid.IntRange(0, 100_000).Draw(t, "estimate")) * time.Millisecond,
			Gang:     rapid.Bool().Draw(t, "gang"), LongRunning: rapid.Bool().Draw(t, "lasting"),
			BestEffort:        rapid.Bool().Draw(t, "fills"),
			Image:             rapid.String().Draw(t, "image"),
			TailLatencyTarget: time.Duration(rapid.IntRange(0, 1000).Draw(t, "tail")) * time.Millisecond,
		}
		if i > 0 && rapid.Bool().Draw(t, "waits") {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

func drawRoute(t *rapid.T, queue job.Queue) *job.AcceptedRoute {
	microseconds := func(label string) time.Duration {
		return time.Duration(rapid.IntRange(0, 1<<40).Draw(t, label)) * time.Microsecond
	}
	r := &job.AcceptedRoute{Version: model.Version(rapid.Uint64().Draw(t, "version")), Route: job.Route{
		Queue: queue, Service: model.ServiceName(rapid.String().Draw(t, "service")),
		Priority: rapid.IntRange(-9, 9).Draw(t, "priority"), Attempts: rapid.IntRange(-1, 9).Draw(t, "attempts"),
		Slack: rapid.Float64Range(-1, 100).Draw(t, "slack"), TargetLatency: microseconds("target"),
	}}
	if rapid.Bool().Draw(t, "advised") {
		r.Advice = &job.Advice{
			BaseServiceTime: microseconds("base"), ServiceTimePerWorker: microseconds("per worker"),
			PermitLifetime: microseconds("lifetime"),
		}
	}
	return r
}

// Guards against a field of a job that is lost or changes when the job is encoded and decoded.
func TestJobRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := drawJob(t)
		text, err := Encode(j)
		assert.NilError(t, err)
		decoded, err := Decode(job.Key(j.ID), text)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, j)
	})
}

// Guards against progress that a new leader decodes differently from what its predecessor encoded.
func TestProgressRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &job.Progress{Job: "0123456789abcdef", Tasks: make(map[job.TaskKey]job.TaskProgress)}
		for range rapid.IntRange(0, 40).Draw(t, "tasks") {
			key := job.TaskKey{Step: rapid.IntRange(0, 3).Draw(t, "step"), Index: rapid.IntRange(0, 20).Draw(t, "index")}
			if rapid.Bool().Draw(t, "done") {
				p.Tasks[key] = job.TaskProgress{Done: true}
				continue
			}
			p.Tasks[key] = job.TaskProgress{
				Crashes: rapid.IntRange(2, 4).Draw(t, "crashes"), QuickCrashes: rapid.IntRange(0, 2).Draw(t, "quick"),
				FailedRuns: []job.RunNumber{job.RunNumber(rapid.Uint64Range(1, 1<<52).Draw(t, "run"))},
				Checkpoint: job.Checkpoint(rapid.StringMatching(`[0-9a-f]{0,16}`).Draw(t, "saved")),
			}
		}
		text, err := Encode(p)
		assert.NilError(t, err)
		decoded, err := Decode(job.ProgressKey(p.Job), text)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, p)
	})
}

// Guards against a field that is lost when one of the other records is encoded and decoded.
func TestOtherRecordsRoundTrip(t *testing.T) {
	for key, record := range map[string]any{
		job.KeyLeader: &job.Leadership{Entry: "e", Incarnation: 1 << 50, Address: "127.0.0.1:1"},
		job.KeyCommit: &job.CommitRecord{Incarnation: 3, Commit: 9, Resigned: true},
		job.KeyRegistry: &job.Registry{Workers: []job.RegisteredWorker{
			{ID: "w", Address: "127.0.0.1:2", Boot: 1_800_000_000_000},
			{
				ID: "x", Address: "127.0.0.1:3", NoMoreStarts: true,
				Runs: []job.Task{{Job: "0123456789abcdef", Step: 1, Index: 4}},
			},
		}},
		job.KeyInterference: &job.Interference{Pairs: []job.InterferencePair{
			{Serving: "s", BestEffort: "f", Slope: 9.25, StdError: 0.5},
		}},
		job.Key("0123456789ab"):         &job.Tombstone{ID: "0123456789ab"},
		job.ProgressKey("0123456789ab"): &job.Progress{Job: "0123456789ab", Phase: job.Failed, Tasks: map[job.TaskKey]job.TaskProgress{}},
	} {
		text, err := Encode(record)
		assert.NilError(t, err)
		decoded, err := Decode(key, text)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, record)
	}
}

// Guards against a panic, and against an invalid job that decodes without an error.
func FuzzDecode(f *testing.F) {
	f.Add("job/0123456789abcdef", []byte(`{"queue":"q","steps":[{"n":4,"after":[0]}]}`))
	f.Add("job/0123456789abcdef", []byte(`{"queue":"q","steps":[{"n":-4}]}`))
	f.Add("job/0123456789abcdef", []byte(`{"queue":"q","steps":[{"n":4}],"route":{"version":3,"service":"s","slack":1.5,"advice":{"base_us":9}}}`))
	f.Add("job/0123456789abcdef", []byte(`{"queue":"q","steps":[{"n":4}],"route":{"version":-3}}`))
	f.Add("progress/0123456789abcdef", []byte(`{"done":[[0,0,5,1000000000]]}`))
	f.Add("progress/0123456789abcdef", []byte(`{"phase":"lost"}`))
	f.Add("chain/workers", []byte(`{"workers":{"a":1}}`))
	f.Add("chain/harm", []byte(`[{"serving":"s","filling":"","slope":1}]`))
	f.Add("lead/leader", []byte(`[`))
	f.Add("other", []byte(`{}`))
	f.Fuzz(func(t *testing.T, key string, text []byte) {
		record, err := Decode(key, text)
		if err != nil {
			assert.Assert(t, record == nil)
			return
		}
		if j, ok := record.(*job.Job); ok {
			assert.Equal(t, j.Validate(), "")
		}
	})
}

// Guards against the record of an earlier release that reads as if no leader before its writer could act any more, and
// against a time that gets shorter by being stored.
func TestCommitRecordSaysHowLongEarlierLeadersMayAct(t *testing.T) {
	decoded, err := Decode(job.KeyCommit, []byte(`{"incarnation":4,"commit":9,"resigned":true}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, &job.CommitRecord{Incarnation: 4, Commit: 9, Resigned: true})
	for stored, expected := range map[time.Duration]time.Duration{
		0: 0, time.Microsecond: time.Millisecond, 6 * time.Second: 6 * time.Second,
	} {
		text, err := Encode(&job.CommitRecord{Incarnation: 4, PredecessorGrace: stored, GraceKnown: true})
		assert.NilError(t, err)
		decoded, err := Decode(job.KeyCommit, text)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, &job.CommitRecord{Incarnation: 4, PredecessorGrace: expected, GraceKnown: true})
	}
	_, err = Decode(job.KeyCommit, []byte(`{"incarnation":4,"predecessor_grace":-1}`))
	assert.ErrorIs(t, err, ErrInvalid)
}

// Guards against stored progress that grows with the number of finished occurrences, and against losing an unfinished one.
func TestProgressOfRecurringJobStaysSmall(t *testing.T) {
	const opened = 72_000
	p := &job.Progress{Job: "0123456789abcdef", Opened: opened, Tasks: map[job.TaskKey]job.TaskProgress{}}
	for n := opened - job.MaxTasksPerStep; n < opened; n += 2 {
		p.Unfinished = append(p.Unfinished, n)
	}
	text, err := Encode(p)
	assert.NilError(t, err)
	assert.Assert(t, len(text) < MaxBytes/4, "%d bytes", len(text))
	decoded, err := Decode(job.ProgressKey(p.Job), text)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, p)
	for _, text := range []string{
		`{"opened":3,"unfinished":[[2,3]]}`, `{"opened":3,"unfinished":[[1,0]]}`, `{"opened":9,"unfinished":[[3,4],[4,5]]}`,
		`{"opened":-1,"unfinished":[[-2,-2]]}`, `{"opened":2000000000,"unfinished":[[0,1999999999]]}`,
	} {
		_, err := Decode(job.ProgressKey(p.Job), []byte(text))
		assert.ErrorIs(t, err, ErrInvalid, text)
	}
}

// Guards against records of earlier releases, which list each finished task of each occurrence, that can't be read.
func TestProgressOfEarlierReleaseIsRead(t *testing.T) {
	decoded, err := Decode(job.ProgressKey("a"), []byte(`{"done":[[0,0,0,1],[1,0,0,0]]}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, &job.Progress{Job: "a", Tasks: map[job.TaskKey]job.TaskProgress{
		{Occurrence: 0}: {Done: true}, {Occurrence: 0, Index: 1}: {Done: true}, {Occurrence: 1}: {Done: true},
	}})
}

// Guards against a successor that takes leases for ended too early because their bounds got lost in the store.
func TestCommitRecordKeepsTheBoundsOfLeases(t *testing.T) {
	record := &job.CommitRecord{
		Incarnation: 4, LeaseHorizon: 5500 * time.Millisecond, MajorityHorizon: 4 * time.Second, EarlierLeases: time.Second + 1,
		EarlierMajority: 7 * time.Second,
	}
	text, err := Encode(record)
	assert.NilError(t, err)
	decoded, err := Decode(job.KeyCommit, text)
	assert.NilError(t, err)
	record.EarlierLeases = 1001 * time.Millisecond
	assert.DeepEqual(t, decoded, record)
	for _, text := range []string{`{"lease_horizon":-1}`, `{"majority_horizon":-1}`, `{"earlier_leases":-5}`, `{"earlier_majority":-1}`} {
		_, err = Decode(job.KeyCommit, []byte(text))
		assert.ErrorIs(t, err, ErrInvalid, text)
	}
}

// Guards against jobs of earlier releases that can't be read, and against a stored route that gets a service or a version
// from nowhere.
func TestJobOfEarlierReleaseHasNoRoute(t *testing.T) {
	decoded, err := Decode(job.Key("a"), []byte(`{"queue":"q","steps":[{"n":4}],"accepted":7}`))
	assert.NilError(t, err)
	assert.Assert(t, decoded.(*job.Job).Route == nil)
}

// Guards against a record that grows with what a leader does not need, such as the path of a queue.
func TestStoredRouteIsSmall(t *testing.T) {
	j := &job.Job{ID: "0123456789abcdef", Queue: "q", Steps: []job.Step{{Tasks: 1}}}
	without, err := Encode(j)
	assert.NilError(t, err)
	j.Route = &job.AcceptedRoute{Version: 1234, Route: job.Route{
		Queue: "q", Host: "host.example", Prefix: strings.Repeat("/path", 1000), Service: "partner-matching", Priority: 2,
		Attempts: 4, Slack: 1.5, TargetLatency: 400 * time.Millisecond,
		Advice: &job.Advice{BaseServiceTime: time.Millisecond, ServiceTimePerWorker: time.Millisecond, PermitLifetime: time.Minute},
	}}
	with, err := Encode(j)
	assert.NilError(t, err)
	assert.Assert(t, len(with)-len(without) < 256, "%d bytes", len(with)-len(without))
}
