package relay

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/protocol/inventory"
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb"
	"github.com/jujubearch/jujubearch/internal/state/job"
)

const (
	// measureInterval is the minimum time between two inventories of one worker with measurements. Workers measure over
	// half a second; inventories in between show only what has started or ended.
	measureInterval = 200 * time.Millisecond
	// checkpointInterval is the minimum time between two inventories with checkpoints. The leader needs them only if the
	// worker is lost.
	checkpointInterval = 2 * time.Second
)

// reporter reports the inventories of one worker as changes.
type reporter struct {
	encoder inventory.Encoder
	// reportedAt is when the last inventory arrived, measuredAt and savedAt when the last ones with measurements and with
	// checkpoints did.
	reportedAt, measuredAt, savedAt time.Time
}

func (r *reporter) encode(now time.Time, inv job.Inventory) *jobspb.Inventory {
	detail := inventory.Detail{
		Measurements: now.Sub(r.measuredAt) >= measureInterval, Checkpoints: now.Sub(r.savedAt) >= checkpointInterval,
	}
	if detail.Measurements {
		r.measuredAt = now
	}
	if detail.Checkpoints {
		r.savedAt = now
	}
	r.reportedAt = now
	return r.encoder.Encode(inv, detail)
}
