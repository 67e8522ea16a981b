package relay

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/protocol/inventory"
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb"
	"github.com/jujubearch/jujubearch/internal/state/job"
)

// measureInterval is the minimum time between two inventories of one worker with measurements. Workers measure over
// half a second; inventories in between show only what has started, ended or saved its progress.
const measureInterval = 350 * time.Millisecond

// reporter reports the inventories of one worker as changes.
type reporter struct {
	encoder inventory.Encoder
	// reportedAt is when the last inventory arrived, measuredAt when the last one with measurements did.
	reportedAt, measuredAt time.Time
}

func (r *reporter) encode(now time.Time, inv job.Inventory) *jobspb.Inventory {
	measured := now.Sub(r.measuredAt) >= measureInterval
	if measured {
		r.measuredAt = now
	}
	r.reportedAt = now
	return r.encoder.Encode(inv, measured)
}
