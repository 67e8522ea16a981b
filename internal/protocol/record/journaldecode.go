package record

import (
	"time"

	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/protocol/journalpb"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// journalDecoder decodes one record. It resolves positions in the names table of the record and keeps the first error.
type journalDecoder struct {
	names     []string
	taskCount int
	err       error
}

func (dec *journalDecoder) fail(format string, args ...any) {
	if dec.err == nil {
		dec.err = errors.Errorf(format, args...)
	}
}

func (dec *journalDecoder) name(number uint32) string {
	if number == 0 {
		return ""
	}
	if uint64(number) > uint64(len(dec.names)) {
		dec.fail("name %d is beyond the table of %d names", number, len(dec.names))
		return ""
	}
	return dec.names[number-1]
}

func (dec *journalDecoder) entry(m *journalpb.JournalEntry) *model.JournalEntry {
	entry := &model.JournalEntry{
		Shard: model.ShardID(m.GetShard()), Epoch: model.Epoch(m.GetEpoch()), Sequence: model.Sequence(m.GetSequence()),
		WriteID: m.GetWriteId(), Claims: dec.claims(m.GetClaims()),
	}
	for _, r := range m.GetTasks() {
		entry.Tasks = append(entry.Tasks, dec.record(r))
	}
	return entry
}

func (dec *journalDecoder) record(m *journalpb.TaskRecord) model.TaskRecord {
	r := model.TaskRecord{
		Kind: model.TaskRecordKind(m.GetKind()), Task: model.TaskID{
			Job: model.JobID(dec.name(m.GetJob())), Index: m.GetIndex(),
		},
		Attempt: model.Attempt(m.GetAttempt()), Worker: model.WorkerID(dec.name(m.GetWorker())),
		Resources: decodeResources(m.GetResources()), Checkpoint: dec.name(m.GetCheckpoint()),
		Message: dec.name(m.GetMessage()), ListRevision: m.GetListRevision(),
		HeadRevision: model.Revision(m.GetHeadRevision()), Version: model.Version(m.GetVersion()),
	}
	if kind := m.GetKind(); kind < uint32(model.RecordAccepted) || kind > uint32(model.RecordDropped) {
		dec.fail("unknown record kind %d", kind)
	}
	if m.GetDelegation() != nil {
		d := dec.delegation(m.GetDelegation())
		r.Delegation = &d
	}
	if r.Kind == model.RecordAccepted && r.Delegation == nil {
		dec.fail("a record of an accepted delegation has no delegation")
	}
	if m.GetTransfer() != nil {
		x := dec.transfer(m.GetTransfer())
		r.Transfer = &x
	}
	return r
}

func decodeResources(m *journalpb.Resources) model.Resources {
	return model.Resources{
		CPUMillis: m.GetCpuMillis(), MemoryBytes: m.GetMemoryBytes(), Accelerators: m.GetAccelerators(),
	}
}

func (dec *journalDecoder) delegation(m *journalpb.Delegation) model.Delegation {
	return model.Delegation{
		Job: dec.job(m.GetJob()), First: m.GetFirst(), Count: m.GetCount(), Shard: model.ShardID(m.GetShard()),
	}
}

func (dec *journalDecoder) job(m *journalpb.Job) model.Job {
	job := model.Job{
		ID: model.JobID(dec.name(m.GetId())), Team: model.TeamName(dec.name(m.GetTeam())),
		Class: model.TaskClass(m.GetClass()),
		Kind:  dec.name(m.GetKind()), Service: model.ServiceName(dec.name(m.GetService())), Tasks: m.GetTasks(),
		Declared: decodeResources(m.GetDeclared()), RunTime: time.Duration(m.GetRunTimeNanoseconds()),
		Exclusive: m.GetExclusive(), Urgent: m.GetUrgent(),
	}
	if at := m.GetFinishByUnixNanoseconds(); at != 0 {
		job.FinishBy = time.Unix(0, at).UTC()
	}
	if m.GetClass() > uint32(model.ClassService) {
		dec.fail("unknown task class %d", m.GetClass())
	}
	return job
}

func (dec *journalDecoder) transfer(m *journalpb.Transfer) model.Transfer {
	x := model.Transfer{
		ID: dec.name(m.GetId()), From: model.ShardID(m.GetFromShard()), To: model.ShardID(m.GetToShard()),
		Job: dec.job(m.GetJob()),
	}
	x.Tasks = dec.taskList(x.Job.ID, m.GetTasks())
	return x
}

func (dec *journalDecoder) taskList(job model.JobID, messages []*journalpb.Task) []model.Task {
	var tasks []model.Task
	for _, m := range messages {
		dec.taskCount += 1 + int(m.GetCount())
		if dec.taskCount > maxRecordTasks {
			dec.fail("the record has more than %d tasks", maxRecordTasks)
			return nil
		}
		tasks = append(tasks, dec.task(job, m))
		for i := range m.GetCount() {
			tasks = append(tasks, model.Task{ID: model.TaskID{Job: job, Index: m.GetIndex() + 1 + i}})
		}
	}
	return tasks
}

func (dec *journalDecoder) task(job model.JobID, m *journalpb.Task) model.Task {
	t := model.Task{
		ID: model.TaskID{Job: job, Index: m.GetIndex()}, Phase: model.TaskPhase(m.GetPhase()),
		Attempt: model.Attempt(m.GetAttempt()), Worker: model.WorkerID(dec.name(m.GetWorker())),
		Reserved: decodeResources(m.GetReserved()), Checkpoint: dec.name(m.GetCheckpoint()), Failures: m.GetFailures(),
		ListRevision: m.GetListRevision(),
	}
	if m.GetPhase() > uint32(model.PhaseCancelled) {
		dec.fail("unknown task phase %d", m.GetPhase())
	}
	for _, w := range m.GetFailedOn() {
		t.FailedOn = append(t.FailedOn, model.WorkerID(dec.name(w)))
	}
	return t
}

func (dec *journalDecoder) claims(messages []*journalpb.ClaimRecord) []model.ClaimRecord {
	var list []model.ClaimRecord
	for _, m := range messages {
		c := model.ClaimRecord{
			Kind: model.ClaimRecordKind(m.GetKind()), RequestID: m.GetRequestId(), UnixSeconds: m.GetUnixSeconds(),
		}
		if len(m.GetKey()) != len(c.Key) || len(m.GetFingerprint()) != len(c.Fingerprint) {
			dec.fail("claim with a key of %d bytes and a fingerprint of %d bytes", len(m.GetKey()), len(m.GetFingerprint()))
			return nil
		}
		if kind := m.GetKind(); kind < uint32(model.ClaimTaken) || kind > uint32(model.ClaimReleased) {
			dec.fail("unknown claim kind %d", kind)
		}
		copy(c.Key[:], m.GetKey())
		copy(c.Fingerprint[:], m.GetFingerprint())
		list = append(list, c)
	}
	return list
}

func (dec *journalDecoder) snapshot(m *journalpb.JournalSnapshot) *model.JournalSnapshot {
	s := &model.JournalSnapshot{
		Shard: model.ShardID(m.GetShard()), Epoch: model.Epoch(m.GetEpoch()), Sequence: model.Sequence(m.GetSequence()),
		Claims: dec.claims(m.GetClaims()), HeadRevision: model.Revision(m.GetHeadRevision()), TransfersIn: m.GetTransfersIn(),
	}
	for _, j := range m.GetJobs() {
		state := model.JobState{
			Delegation: dec.delegation(j.GetDelegation()), Cancelled: j.GetCancelled(), FinishedCount: j.GetFinishedCount(),
			ResumedVersion: model.Version(j.GetResumedVersion()),
		}
		state.Tasks = dec.taskList(state.Delegation.Job.ID, j.GetTasks())
		s.Jobs = append(s.Jobs, state)
	}
	for _, x := range m.GetTransfersOut() {
		s.TransfersOut = append(s.TransfersOut, dec.transfer(x))
	}
	return s
}
