package dispatch

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// unansweredStart is a start of which a copy got no answer. The copy may be carried out until maxOrderDelay has passed.
type unansweredStart struct {
	run job.Run
	at  time.Time
}

// addUnanswered records that a copy of a start got no answer.
func (w *worker) addUnanswered(now time.Time, run job.Run) {
	w.unanswered = slices.DeleteFunc(w.unanswered, func(u unansweredStart) bool {
		return u.run == run || now.Sub(u.at) > maxOrderDelay
	})
	w.unanswered = append(w.unanswered, unansweredStart{run, now})
}

// stopUnansweredStarts stops the runs on a worker that has restarted of which a copy of the start may still be carried out
// there: the new boot does not know that they have run or were stopped. Those that have not ended count as gone only
// once the stop is confirmed.
func (d *Dispatcher) stopUnansweredStarts(now time.Time, w *worker) {
	for _, u := range w.unanswered {
		r := w.runs[u.run]
		switch {
		case now.Sub(u.at) > maxOrderDelay:
		case r == nil:
			d.emit(Stop{Target: d.targetOf(w), Run: u.run})
		case r.phase != starting:
			r.phase, r.confirmedAt, r.stopConfirmed = stopping, time.Time{}, false
			d.sendStop(r)
		}
	}
}
