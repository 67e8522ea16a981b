package placement

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

const (
	// historyRetention is how long the task mixes of a worker are kept. Reports arrive with a smaller delay.
	historyRetention = 5 * time.Minute
	// maxHistoryEntries bounds the entries kept for one worker.
	maxHistoryEntries = 256
)

// MixHistory records the task mix of each worker over time, so that a delayed measurement is attributed to the tasks
// that were running when it was taken. It is not safe for concurrent use.
type MixHistory struct {
	workers map[model.WorkerID][]historyEntry
}

// historyEntry is the task mix of a worker from a point in time until the next entry.
type historyEntry struct {
	since time.Time
	mix   Mix
}

// NewMixHistory returns an empty history.
func NewMixHistory() *MixHistory {
	return &MixHistory{workers: make(map[model.WorkerID][]historyEntry)}
}

// Record stores the worker's task mix from now on.
func (h *MixHistory) Record(now time.Time, id model.WorkerID, mix Mix) {
	entries := h.workers[id]
	if n := len(entries); n > 0 && slices.Equal(entries[n-1].mix, mix) {
		return
	}
	dropped := 0
	for dropped+1 < len(entries) &&
		(now.Sub(entries[dropped+1].since) > historyRetention || len(entries)-dropped >= maxHistoryEntries) {
		dropped++
	}
	h.workers[id] = append(slices.Delete(entries, 0, dropped), historyEntry{since: now, mix: slices.Clone(mix)})
}

// Forget removes a worker's history.
func (h *MixHistory) Forget(id model.WorkerID) { delete(h.workers, id) }

// Average returns the worker's task mix averaged over time between from and to, or false if the history does not reach
// back to from.
func (h *MixHistory) Average(id model.WorkerID, from, to time.Time) (Mix, bool) {
	entries := h.workers[id]
	if len(entries) == 0 || entries[0].since.After(from) || !from.Before(to) {
		return nil, false
	}
	var mix Mix
	length := to.Sub(from).Seconds()
	for i, entry := range entries {
		end := to
		if i+1 < len(entries) && entries[i+1].since.Before(to) {
			end = entries[i+1].since
		}
		start := entry.since
		if start.Before(from) {
			start = from
		}
		fraction := end.Sub(start).Seconds() / length
		if fraction <= 0 {
			continue
		}
		for _, e := range entry.mix {
			mix = mix.Add(e.Kind, fraction*e.Weight)
		}
	}
	return mix, true
}
