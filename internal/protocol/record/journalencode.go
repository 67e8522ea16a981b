package record

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/protocol/journalpb"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// journalEncoder encodes one record and collects its names table.
type journalEncoder struct {
	names []string
	// numbers maps each name to its position in names, counted from 1.
	numbers map[string]uint32
}

// number returns the position of a name in the table, which it adds if necessary. The empty name has position 0.
func (enc *journalEncoder) number(name string) uint32 {
	if name == "" {
		return 0
	}
	if enc.numbers == nil {
		enc.numbers = make(map[string]uint32)
	}
	if n, found := enc.numbers[name]; found {
		return n
	}
	enc.names = append(enc.names, name)
	enc.numbers[name] = uint32(len(enc.names))
	return enc.numbers[name]
}

func (enc *journalEncoder) entry(e *model.JournalEntry) *journalpb.JournalEntry {
	m := &journalpb.JournalEntry{
		Shard: uint32(e.Shard), Epoch: uint64(e.Epoch), Sequence: uint64(e.Sequence), WriteId: e.WriteID,
		Claims: encodeClaims(e.Claims),
	}
	for i := range e.Tasks {
		m.Tasks = append(m.Tasks, enc.record(&e.Tasks[i]))
	}
	m.Names = enc.names
	return m
}

func (enc *journalEncoder) record(r *model.TaskRecord) *journalpb.TaskRecord {
	m := &journalpb.TaskRecord{
		Kind: uint32(r.Kind), Job: enc.number(string(r.Task.Job)), Index: r.Task.Index, Attempt: uint64(r.Attempt),
		Worker: enc.number(string(r.Worker)), Resources: encodeResources(r.Resources), Checkpoint: enc.number(r.Checkpoint),
		Message: enc.number(r.Message), ListRevision: r.ListRevision, HeadRevision: uint64(r.HeadRevision),
		Version: uint64(r.Version),
	}
	if r.Delegation != nil {
		m.Delegation = enc.delegation(r.Delegation)
	}
	if r.Transfer != nil {
		m.Transfer = enc.transfer(r.Transfer)
	}
	return m
}

func encodeResources(r model.Resources) *journalpb.Resources {
	if r.IsZero() {
		return nil
	}
	return &journalpb.Resources{CpuMillis: r.CPUMillis, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

func (enc *journalEncoder) delegation(d *model.Delegation) *journalpb.Delegation {
	return &journalpb.Delegation{Job: enc.job(&d.Job), First: d.First, Count: d.Count, Shard: uint32(d.Shard)}
}

func (enc *journalEncoder) job(j *model.Job) *journalpb.Job {
	m := &journalpb.Job{
		Id: enc.number(string(j.ID)), Team: enc.number(string(j.Team)), Class: uint32(j.Class), Kind: enc.number(j.Kind),
		Service: enc.number(string(j.Service)), Tasks: j.Tasks, Declared: encodeResources(j.Declared),
		RunTimeNanoseconds: int64(j.RunTime / time.Nanosecond), Exclusive: j.Exclusive, Urgent: j.Urgent,
	}
	if !j.FinishBy.IsZero() {
		m.FinishByUnixNanoseconds = j.FinishBy.UnixNano()
	}
	return m
}

func (enc *journalEncoder) transfer(x *model.Transfer) *journalpb.Transfer {
	return &journalpb.Transfer{
		Id: enc.number(x.ID), FromShard: uint32(x.From), ToShard: uint32(x.To), Job: enc.job(&x.Job),
		Tasks: enc.tasks(x.Tasks),
	}
}

// tasks encodes a run of consecutive tasks in their initial state as one message with a count.
func (enc *journalEncoder) tasks(list []model.Task) []*journalpb.Task {
	var messages []*journalpb.Task
	for i := 0; i < len(list); i++ {
		m := enc.task(&list[i])
		messages = append(messages, m)
		for isInitial(&list[i]) && i+1 < len(list) && isInitial(&list[i+1]) && list[i+1].ID.Index == list[i].ID.Index+1 {
			m.Count++
			i++
		}
	}
	return messages
}

// isInitial reports whether a task is pending and nothing but its id needs to be stored.
func isInitial(t *model.Task) bool {
	return t.Phase == model.PhasePending && t.Attempt == 0 && t.Checkpoint == "" && t.Failures == 0 && len(t.FailedOn) == 0
}

func (enc *journalEncoder) task(task *model.Task) *journalpb.Task {
	m := &journalpb.Task{
		Index: task.ID.Index, Phase: uint32(task.Phase), Attempt: uint64(task.Attempt),
		Worker: enc.number(string(task.Worker)), Reserved: encodeResources(task.Reserved),
		Checkpoint: enc.number(task.Checkpoint), Failures: task.Failures, ListRevision: task.ListRevision,
	}
	for _, w := range task.FailedOn {
		m.FailedOn = append(m.FailedOn, enc.number(string(w)))
	}
	return m
}

func encodeClaims(list []model.ClaimRecord) []*journalpb.ClaimRecord {
	messages := make([]*journalpb.ClaimRecord, 0, len(list))
	for _, c := range list {
		messages = append(messages, &journalpb.ClaimRecord{
			Kind: uint32(c.Kind), Key: c.Key[:], Fingerprint: c.Fingerprint[:], RequestId: c.RequestID,
			UnixSeconds: c.UnixSeconds,
		})
	}
	return messages
}

func (enc *journalEncoder) snapshot(s *model.JournalSnapshot) *journalpb.JournalSnapshot {
	m := &journalpb.JournalSnapshot{
		Shard: uint32(s.Shard), Epoch: uint64(s.Epoch), Sequence: uint64(s.Sequence), Claims: encodeClaims(s.Claims),
		HeadRevision: uint64(s.HeadRevision), TransfersIn: s.TransfersIn,
	}
	for i := range s.Jobs {
		j := &s.Jobs[i]
		m.Jobs = append(m.Jobs, &journalpb.JobState{
			Delegation: enc.delegation(&j.Delegation), Cancelled: j.Cancelled, Tasks: enc.tasks(j.Tasks),
			FinishedCount: j.FinishedCount, ResumedVersion: uint64(j.ResumedVersion),
		})
	}
	for i := range s.TransfersOut {
		m.TransfersOut = append(m.TransfersOut, enc.transfer(&s.TransfersOut[i]))
	}
	m.Names = enc.names
	return m
}
