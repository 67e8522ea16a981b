package placement

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Group is a set of pending tasks of one job that need the same resources.
type Group struct {
	Job *model.Job
	// Need is the reservation of one task.
	Need model.Resources
	// Remaining is the expected time until all tasks of the group have finished; 0 means unknown.
	Remaining time.Duration
	// Tasks holds the pending tasks in the order in which they should start.
	Tasks []model.Task
	// next is the index of the next task to place.
	next int
}

func (g *Group) isDone() bool { return g.next >= len(g.Tasks) }

// Team is the weight, quota and usage of a team.
type Team struct {
	Name   model.TeamName
	Weight float64
	// Quota limits what the team's tasks reserve; a zero field means no limit.
	Quota model.Resources
	// Used is what the team's tasks reserve now.
	Used model.Resources
}

// Queue returns pending tasks in the order in which they should be placed: urgent tasks, then service instances, then
// tasks near their deadline, then all others. A task is near its deadline if its slack is at most its remaining run
// time. Within each of the first three ranks, tasks with the least slack come first; of the others, those of the team
// with the smallest weighted dominant share. A Queue is used for one placement round. It is not safe for concurrent
// use.
type Queue struct {
	total       model.Resources
	teams       map[model.TeamName]*teamQueue
	prioritised []*Group
	fairShare   teamHeap
	// current is the group of the task that Next returned last.
	current *Group
	// quotaLimited holds the teams whose quota kept a task from being placed in this round.
	quotaLimited map[model.TeamName]bool
}

type teamQueue struct {
	Team
	weightedShare float64
	groups        []*Group
}

// NewQueue returns the queue of a placement round. Dominant shares are relative to the capacity total. Groups keep
// their order within a team.
func NewQueue(now time.Time, total model.Resources, teams []Team, groups []*Group) *Queue {
	q := &Queue{total: total, teams: make(map[model.TeamName]*teamQueue), quotaLimited: make(map[model.TeamName]bool)}
	for _, t := range teams {
		q.teams[t.Name] = &teamQueue{Team: t}
	}
	for _, g := range groups {
		team := q.teamByName(g.Job.Team)
		if rankOf(now, g) == rankFairShare {
			team.groups = append(team.groups, g)
			continue
		}
		q.prioritised = append(q.prioritised, g)
	}
	slices.SortStableFunc(q.prioritised, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(rankOf(now, a), rankOf(now, b)), cmp.Compare(slack(now, a), slack(now, b)))
	})
	q.buildHeap()
	return q
}

// teamByName returns a team; one that is not configured gets weight 1 and no quota.
func (q *Queue) teamByName(name model.TeamName) *teamQueue {
	t := q.teams[name]
	if t == nil {
		t = &teamQueue{Team: Team{Name: name, Weight: 1}}
		q.teams[name] = t
	}
	return t
}

// buildHeap computes the teams' shares and puts the teams with pending groups into the heap.
func (q *Queue) buildHeap() {
	for _, t := range q.teams {
		if t.Weight <= 0 {
			t.Weight = 1
		}
		t.weightedShare = t.Used.DominantShare(q.total) / t.Weight
		if len(t.groups) > 0 {
			q.fairShare = append(q.fairShare, t)
		}
	}
	heap.Init(&q.fairShare)
}

// rank is the priority of a group; lower ranks are placed first.
type rank int

const (
	rankUrgent rank = iota
	rankService
	rankDeadline
	rankFairShare
)

func rankOf(now time.Time, g *Group) rank {
	switch {
	case g.Job.Urgent:
		return rankUrgent
	case g.Job.Class == model.ClassService:
		return rankService
	case slack(now, g) <= g.Remaining:
		return rankDeadline
	}
	return rankFairShare
}

// slack is the time until the deadline minus the remaining run time. Without a deadline, it is the longest duration.
func slack(now time.Time, g *Group) time.Duration {
	if g.Job.FinishBy.IsZero() {
		return 1<<63 - 1
	}
	return g.Job.FinishBy.Sub(now) - g.Remaining
}

// Next returns the next task to place with its group, or false at the end of the round. The caller must call MarkPlaced
// or SkipGroup before it calls Next again.
func (q *Queue) Next() (*Group, model.Task, bool) {
	for len(q.prioritised) > 0 {
		if g := q.prioritised[0]; !g.isDone() && q.withinQuota(g) {
			q.current = g
			return g, g.Tasks[g.next], true
		}
		q.prioritised = q.prioritised[1:]
	}
	for len(q.fairShare) > 0 {
		t := q.fairShare[0]
		for len(t.groups) > 0 && (t.groups[0].isDone() || !q.withinQuota(t.groups[0])) {
			t.groups = t.groups[1:]
		}
		if len(t.groups) > 0 {
			q.current = t.groups[0]
			return q.current, q.current.Tasks[q.current.next], true
		}
		heap.Pop(&q.fairShare)
	}
	return nil, model.Task{}, false
}

// withinQuota reports whether one more task of the group stays within its team's quota.
func (q *Queue) withinQuota(g *Group) bool {
	t := q.teamByName(g.Job.Team)
	usedAfter := t.Used.Add(g.Need)
	if usedAfter.FitsIn(effectiveQuota(usedAfter, t.Quota)) {
		return true
	}
	q.quotaLimited[t.Name] = true
	return false
}

// MarkPlaced reports to the queue that the task returned by the last Next was placed.
func (q *Queue) MarkPlaced() {
	g := q.current
	g.next++
	t := q.teamByName(g.Job.Team)
	t.Used = t.Used.Add(g.Need)
	t.weightedShare = t.Used.DominantShare(q.total) / t.Weight
	// The share only grew, so the team's place in the heap can only move down.
	if i := slices.Index(q.fairShare, t); i >= 0 {
		heap.Fix(&q.fairShare, i)
	}
}

// SkipGroup leaves the remaining tasks of the group returned by the last Next to a later round, so that they don't
// block other groups.
func (q *Queue) SkipGroup() { q.current.next = len(q.current.Tasks) }

// QuotaLimitedTeams returns the teams whose quota kept a task from being placed, sorted by name.
func (q *Queue) QuotaLimitedTeams() []model.TeamName {
	names := make([]model.TeamName, 0, len(q.quotaLimited))
	for name := range q.quotaLimited {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// teamHeap is a min-heap of teams by weighted dominant share, then name.
type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }
func (h teamHeap) Less(i, j int) bool {
	if h[i].weightedShare != h[j].weightedShare {
		return h[i].weightedShare < h[j].weightedShare
	}
	return h[i].Name < h[j].Name
}
func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(*teamQueue)) }

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
