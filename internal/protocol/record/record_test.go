package record

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/controllertest"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

func sampleSnapshot() *model.JournalSnapshot {
	job := model.Job{
		ID: "scoring", Team: "t", Kind: "k", Tasks: 9, Declared: model.Resources{CPUMillis: 500}, RunTime: time.Minute,
		FinishBy: time.Unix(1_800_000_000, 5).UTC(), Exclusive: true, Urgent: true,
	}
	id := func(i uint32) model.TaskID { return model.TaskID{Job: "scoring", Index: i} }
	return &model.JournalSnapshot{
		Shard: 3, Epoch: 4, Sequence: 99, HeadRevision: 12,
		Jobs: []model.JobState{{
			Delegation: model.Delegation{Job: job, First: 2, Count: 7, Shard: 3}, FinishedCount: 1, ResumedVersion: 8,
			Tasks: []model.Task{
				{ID: id(2)},
				{ID: id(3)},
				{ID: id(4)},
				{ID: id(6)},
				{
					ID: id(7), Phase: model.PhaseAssigned, Attempt: 3, Worker: "w", Reserved: model.Resources{MemoryBytes: 5},
					Checkpoint: "c", Failures: 2, FailedOn: []model.WorkerID{"w", "v"}, ListRevision: 6,
				},
				{ID: id(8)},
			},
		}},
		Claims:       []model.ClaimRecord{{Kind: model.ClaimTaken, Key: model.KeyHash{1}, RequestID: "r", UnixSeconds: 7}},
		TransfersOut: []model.Transfer{{ID: "x", From: 3, To: 4, Job: job, Tasks: []model.Task{{ID: id(5), Attempt: 1}}}},
		TransfersIn:  []string{"y"},
	}
}

func sampleEntry() *model.JournalEntry {
	snapshot := sampleSnapshot()
	return &model.JournalEntry{
		Shard: 3, Epoch: 4, Sequence: 5, WriteID: "e-1-4-5", Claims: snapshot.Claims,
		Tasks: []model.TaskRecord{
			{Kind: model.RecordAccepted, Task: model.TaskID{Job: "scoring", Index: 2}, Delegation: &snapshot.Jobs[0].Delegation},
			{
				Kind: model.RecordAssigned, Task: model.TaskID{Job: "scoring", Index: 2}, Attempt: 1, Worker: "w",
				Resources: model.Resources{CPUMillis: 500, MemoryBytes: 1 << 30}, ListRevision: 9, Checkpoint: "c",
			},
			{Kind: model.RecordFailed, Task: model.TaskID{Job: "scoring", Index: 2}, Attempt: 1, Worker: "w", Message: "m"},
			{Kind: model.RecordDropped, Task: model.TaskID{Job: "old"}, HeadRevision: 11, Version: 3},
			{Kind: model.RecordTransferOut, Transfer: &snapshot.TransfersOut[0]},
		},
	}
}

// Guards against a field of a journal record that is lost when the record is encoded and decoded.
func TestJournalRecordRoundTrip(t *testing.T) {
	for key, value := range map[string]any{model.LogKey(3, 5): sampleEntry(), model.SnapshotKey(3): sampleSnapshot()} {
		encoded, err := Encode(key, value)
		assert.NilError(t, err)
		decoded, err := Decode(key, encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, value)
		old, err := encodeEnvelope(key, value)
		assert.NilError(t, err)
		decoded, err = Decode(key, old)
		assert.NilError(t, err, "journal records in JSON, as earlier versions wrote them, must decode")
		assert.DeepEqual(t, decoded, value)
	}
}

// Guards against a short record that expands to more tasks than fit in memory, against malformed records, and against a
// record of another key.
func TestDecodeRejectsInvalidJournalRecords(t *testing.T) {
	key := model.SnapshotKey(3)
	for name, encoded := range map[string]string{
		"range":         "jb1\x2a\x07\x1a\x05\x10\xff\xff\xff\x7f",
		"unknown field": "jb1\xf8\x07\x01",
		"truncated":     "jb1\x2a\x07",
		"name":          "jb1\x2a\x04\x0a\x02\x0a\x00\x2a\x08\x0a\x06\x0a\x04\x08\x09\x10\x09",
	} {
		_, err := Decode(key, []byte(encoded))
		assert.Assert(t, err != nil, name)
	}
	encoded, err := Encode(key, sampleSnapshot())
	assert.NilError(t, err)
	_, err = Decode(model.KeyHead, encoded)
	assert.Assert(t, err != nil)
}

// Guards against a panic on any record in the store, and against a record that changes when it is encoded again.
func FuzzDecode(f *testing.F) {
	keys := []string{model.KeyHead, model.LogKey(1, 1), model.SnapshotKey(1), model.OwnerKey(1), model.PlanKey("p"), "x"}
	entry, err := Encode(model.LogKey(3, 5), sampleEntry())
	assert.NilError(f, err)
	snapshot, err := Encode(model.SnapshotKey(3), sampleSnapshot())
	assert.NilError(f, err)
	head, err := Encode(model.KeyHead, &model.Head{Cancels: []model.JobID{"j"}})
	assert.NilError(f, err)
	f.Add(1, entry)
	f.Add(2, snapshot)
	f.Add(0, head)
	f.Fuzz(func(t *testing.T, which int, encoded []byte) {
		key := keys[uint(which)%uint(len(keys))]
		value, err := Decode(key, encoded)
		if err != nil {
			return
		}
		reencoded, err := Encode(key, value)
		if err != nil {
			return
		}
		decoded, err := Decode(key, reencoded)
		assert.NilError(t, err)
		reencodedTwice, err := Encode(key, decoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, reencodedTwice, reencoded)
	})
}

// Guards against journal records that exceed the budget of 29 KB/s of a node, the VM of an entry. The test measures the
// records that a simulated run writes, with ids as long as those of the platform, and scales them to 2,200 records per
// second on 6 entries.
func TestJournalFitsNodeByteBudget(t *testing.T) {
	w := controllertest.New(1)
	size := model.Resources{CPUMillis: 1000, MemoryBytes: 1 << 30}
	w.Build(controllertest.Topology{
		DataCentres: []model.DataCentre{"catania"}, Entries: 1, Workers: 17,
		Capacity: model.Resources{CPUMillis: 16_000, MemoryBytes: 60 << 30},
	})
	var delegations []model.Delegation
	for i := range 30 {
		job := model.Job{
			ID: model.JobID(fmt.Sprintf("video-scoring-%06d", i)), Team: "default", Kind: "video-scoring", Tasks: 60, Declared: size,
			RunTime: time.Duration(9+i%5) * time.Second,
		}
		delegations = append(delegations, model.Delegation{Job: job, Count: 60})
	}
	records, entryBytes, snapshotBytes, jsonBytes := 0, 0, 0, 0
	w.Store.ObserveWrite = func(key string, value any) {
		encoded, err := Encode(key, value)
		assert.NilError(t, err)
		plainJSON, err := json.Marshal(value)
		assert.NilError(t, err)
		switch v := value.(type) {
		case *model.JournalEntry:
			records += len(v.Tasks)
			entryBytes += len(encoded)
		case *model.JournalSnapshot:
			snapshotBytes += len(encoded)
		default:
			return
		}
		jsonBytes += len(plainJSON)
	}
	w.Put(model.KeyHead, &model.Head{
		Config: model.Config{Version: 1, ShardsPerDataCentre: 1}, Delegations: delegations,
	})
	w.Run(90 * time.Second)
	const recordsPerSecond, nodes = 2200, 6
	perNode := func(bytes int) int { return bytes * recordsPerSecond / nodes / records }
	t.Logf("%d records: %d bytes each in entries, %d in snapshots; per node %d bytes/s, as JSON %d bytes/s",
		records, entryBytes/records, snapshotBytes/records, perNode(entryBytes+snapshotBytes), perNode(jsonBytes))
	assert.Assert(t, perNode(entryBytes+snapshotBytes) <= 29<<10)
}
