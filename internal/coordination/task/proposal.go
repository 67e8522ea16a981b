package task

import "github.com/jujubearch/jujubearch/internal/state/model"

// jobProposal identifies a queued record that concerns a job as a whole or one of its delegations.
type jobProposal struct {
	kind model.TaskRecordKind
	job  model.JobID
	// firstIndex is the first task index of the delegation, or 0 if the record has none.
	firstIndex uint32
}

// proposals holds the records that are queued for the journal and not yet committed.
type proposals struct {
	tasks map[model.TaskID]model.TaskRecord
	jobs  map[jobProposal]bool
	// reserved is what the queued assignments reserve on each worker.
	reserved map[model.WorkerID]model.Resources
}

func newProposals() proposals {
	return proposals{
		tasks: make(map[model.TaskID]model.TaskRecord), jobs: make(map[jobProposal]bool),
		reserved: make(map[model.WorkerID]model.Resources),
	}
}

func isAboutJob(kind model.TaskRecordKind) bool {
	switch kind {
	case model.RecordAccepted, model.RecordCancelled, model.RecordResumed, model.RecordDropped:
		return true
	default:
		return false
	}
}

func jobKey(r *model.TaskRecord) jobProposal {
	key := jobProposal{kind: r.Kind, job: r.Task.Job}
	if r.Delegation != nil {
		key.firstIndex = r.Delegation.First
	}
	return key
}

// remove drops the proposal for the task or job of a record, if there is one.
func (p *proposals) remove(r *model.TaskRecord) {
	if isAboutJob(r.Kind) {
		delete(p.jobs, jobKey(r))
		return
	}
	queued, found := p.tasks[r.Task]
	if !found {
		return
	}
	delete(p.tasks, r.Task)
	if queued.Kind == model.RecordAssigned {
		p.addReserved(queued.Worker, model.Resources{}.Sub(queued.Resources))
	}
}

func (p *proposals) addReserved(worker model.WorkerID, r model.Resources) {
	reserved := p.reserved[worker].Add(r)
	if reserved.IsZero() {
		delete(p.reserved, worker)
		return
	}
	p.reserved[worker] = reserved
}

// Propose registers a record that is being queued for the journal, so that no second one is queued for the same task or
// job before it is committed. It returns false if one is queued already.
func (s *Shard) Propose(r model.TaskRecord) bool {
	if isAboutJob(r.Kind) {
		key := jobKey(&r)
		if s.proposals.jobs[key] {
			return false
		}
		s.proposals.jobs[key] = true
		return true
	}
	if s.IsProposed(r.Task) {
		return false
	}
	s.proposals.tasks[r.Task] = r
	if r.Kind == model.RecordAssigned {
		s.proposals.addReserved(r.Worker, r.Resources)
	}
	return true
}

// DropProposal removes a proposal whose record the journal did not accept.
func (s *Shard) DropProposal(r model.TaskRecord) { s.proposals.remove(&r) }

// IsProposed reports whether a record of the task is queued.
func (s *Shard) IsProposed(id model.TaskID) bool {
	_, found := s.proposals.tasks[id]
	return found
}

// Proposals returns the queued records by task. The caller must not modify the map.
func (s *Shard) Proposals() map[model.TaskID]model.TaskRecord { return s.proposals.tasks }
