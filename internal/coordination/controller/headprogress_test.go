package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Guards against running a job again. An owner whose head is older than the job must not drop the job, because a newer
// head may still delegate it.
func TestJobIsNotDroppedUnderOlderHead(t *testing.T) {
	c := newTestController("a")
	c.now = testTime
	s := addActiveShard(c)
	id := model.NewJobID("sorting", 5)
	task := model.TaskID{Job: id}
	s.tasks.Apply(model.JournalEntry{Sequence: 1, Tasks: []model.TaskRecord{
		{
			Kind: model.RecordAccepted, Task: task,
			Delegation: &model.Delegation{Job: model.Job{ID: id, Tasks: 1}, Count: 1, Shard: s.id},
		},
		{Kind: model.RecordAssigned, Task: task, Attempt: 1, Worker: "w"},
		{Kind: model.RecordFinished, Task: task, Attempt: 1, Worker: "w"},
	}})
	assert.DeepEqual(t, s.tasks.EndedJobs(), []model.JobID{id})
	c.head.head.Config.Version = 4
	c.dropEndedJobs(s)
	assert.Equal(t, s.journal.Queued(), 0)
	c.now = c.now.Add(2 * dropInterval)
	c.head.head.Config.Version = 5
	c.dropEndedJobs(s)
	assert.Equal(t, s.journal.Queued(), 1)
}
