// Package inventory encodes the successive inventories of a worker as changes. An Encoder at the relay, an entry that
// carries orders to workers, and a Decoder at the leader hold the same list of running tasks.
//
// Guarantees: a Decoder returns what the Encoder was given, except that measurements are rounded to whole numbers, that
// ends which an earlier inventory of the same boot contained are left out, and that percentages, measurements and
// checkpoints are repeated from an earlier inventory if Detail says so. A Decoder that lacks the inventory that a message
// refers to returns ErrUnknownBase and is not changed.
package inventory

import (
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/protocol/jobspb"
	"github.com/jujubearch/jujubearch/internal/state/job"
)

const (
	// ErrUnknownBase means that a message refers to an inventory that the decoder does not have.
	ErrUnknownBase = errors.ConstError("inventory refers to an unknown one")
	// ErrMalformed means that a message refers to runs that do not exist or has lists of different lengths.
	ErrMalformed = errors.ConstError("malformed inventory")
)

// maxEndKind is the highest value of job.EndKind.
const maxEndKind = uint32(job.EndGangTimeout)

// Encoder encodes the inventories of one worker. Its zero value encodes the first one completely.
type Encoder struct {
	number uint64
	rows   []job.RunningTask
	// complete is set if the next inventory must not refer to an earlier one.
	complete bool
	// boot is that of the last inventory, and lastEnd the highest sequence number of an end up to then.
	boot    job.BootID
	lastEnd int64
}

// Detail says which changes of runs that were listed before an inventory contains.
type Detail struct{ Measurements, Checkpoints bool }

// Reset makes the next inventory complete.
func (e *Encoder) Reset() { e.complete = true }

// Number returns the number of the last inventory.
func (e *Encoder) Number() uint64 { return e.number }

// Encode returns the message for an inventory.
func (e *Encoder) Encode(inv job.Inventory, detail Detail) *jobspb.Inventory {
	m := &jobspb.Inventory{Base: e.number, Boot: int64(inv.Boot), Unmeasured: !detail.Measurements, MoreEnds: inv.MoreEnds}
	if e.complete || inv.Boot != e.boot {
		e.rows, e.complete, e.boot, e.lastEnd, m.Base = nil, false, inv.Boot, 0, 0
	}
	e.number++
	m.Number = e.number
	current := make(map[job.Run]*job.RunningTask, len(inv.Running))
	for i := range inv.Running {
		current[inv.Running[i].Run] = &inv.Running[i]
	}
	kept := e.rows[:0]
	for i := range e.rows {
		row := e.rows[i]
		now := current[row.Run]
		if now == nil {
			m.Removed = append(m.Removed, uint32(i))
			continue
		}
		delete(current, row.Run)
		row = encodeChange(m, uint32(len(kept)), row, now, detail)
		kept = append(kept, row)
	}
	for i := range inv.Running {
		row := &inv.Running[i]
		if current[row.Run] != row {
			continue
		}
		m.Added = append(m.Added, &jobspb.RunningTask{
			Run: RunToProto(row.Run), Checkpoint: string(row.Checkpoint), Percent: uint32(max(row.Percent, 0)),
			Measurement: round(row.Measurement),
		})
		kept = append(kept, *row)
	}
	e.rows = kept
	for i := range inv.Ended {
		end := &inv.Ended[i]
		if end.Sequence <= e.lastEnd {
			continue
		}
		e.lastEnd = end.Sequence
		m.Ended = append(m.Ended, &jobspb.EndedTask{
			Run: RunToProto(end.Run), Sequence: end.Sequence, Kind: uint32(end.Kind), Checkpoint: string(end.Checkpoint),
		})
	}
	return m
}

// encodeChange adds what has changed of the run at a position, and returns the row as the decoder will have it.
func encodeChange(
	m *jobspb.Inventory, position uint32, row job.RunningTask, now *job.RunningTask, detail Detail,
) job.RunningTask {
	if detail.Measurements && (now.Percent != row.Percent || round(now.Measurement) != round(row.Measurement)) {
		m.Changed = append(m.Changed, position)
		m.Percents = append(m.Percents, uint32(max(now.Percent, 0)))
		m.Measurements = append(m.Measurements, round(now.Measurement))
		row.Percent, row.Measurement = now.Percent, now.Measurement
	}
	if detail.Checkpoints && now.Checkpoint != row.Checkpoint {
		m.Checkpoints = append(m.Checkpoints, &jobspb.CheckpointChange{
			Position: position, Checkpoint: string(now.Checkpoint),
		})
		row.Checkpoint = now.Checkpoint
	}
	return row
}

func round(measurement float64) uint32 {
	return uint32(min(max(math.Round(measurement), 0), math.MaxUint32))
}

// Decoder decodes the inventories of one worker. Its zero value accepts a complete one first.
type Decoder struct {
	number uint64
	rows   []job.RunningTask
}

// Number returns the number of the last inventory.
func (d *Decoder) Number() uint64 { return d.number }

// Decode returns the inventory that a message describes. The clock is the worker's, from the response to the hold.
func (d *Decoder) Decode(m *jobspb.Inventory, clock time.Duration) (job.Inventory, error) {
	if m.GetBase() != 0 && m.GetBase() != d.number {
		return job.Inventory{}, ErrUnknownBase
	}
	base := d.rows
	if m.GetBase() == 0 {
		base = nil
	}
	rows, err := applyChanges(base, m)
	if err != nil {
		return job.Inventory{}, err
	}
	inv := job.Inventory{
		Boot: job.BootID(m.GetBoot()), Clock: clock, Running: rows, Unmeasured: m.GetUnmeasured(), MoreEnds: m.GetMoreEnds(),
	}
	for _, end := range m.GetEnded() {
		if end.GetKind() > maxEndKind {
			return job.Inventory{}, errors.Annotatef(ErrMalformed, "kind of end %d", end.GetKind())
		}
		inv.Ended = append(inv.Ended, job.EndedTask{
			Run: RunFromProto(end.GetRun()), Sequence: end.GetSequence(), Kind: job.EndKind(end.GetKind()),
			Checkpoint: job.Checkpoint(end.GetCheckpoint()),
		})
	}
	d.number, d.rows = m.GetNumber(), rows
	return inv, nil
}

// applyChanges returns a new list of rows: the inventories that were returned before keep theirs.
func applyChanges(base []job.RunningTask, m *jobspb.Inventory) ([]job.RunningTask, error) {
	removed := m.GetRemoved()
	rows := make([]job.RunningTask, 0, len(base)+len(m.GetAdded()))
	for i := range base {
		if len(removed) > 0 && removed[0] == uint32(i) {
			removed = removed[1:]
			continue
		}
		rows = append(rows, base[i])
	}
	if len(removed) > 0 || len(m.GetPercents()) != len(m.GetChanged()) || len(m.GetMeasurements()) != len(m.GetChanged()) {
		return nil, errors.Annotate(ErrMalformed, "removed or changed runs")
	}
	for i, position := range m.GetChanged() {
		if int64(position) >= int64(len(rows)) {
			return nil, errors.Annotatef(ErrMalformed, "changed run %d of %d", position, len(rows))
		}
		rows[position].Percent = int(m.GetPercents()[i])
		rows[position].Measurement = float64(m.GetMeasurements()[i])
	}
	for _, c := range m.GetCheckpoints() {
		if int64(c.GetPosition()) >= int64(len(rows)) {
			return nil, errors.Annotatef(ErrMalformed, "checkpoint of run %d of %d", c.GetPosition(), len(rows))
		}
		rows[c.GetPosition()].Checkpoint = job.Checkpoint(c.GetCheckpoint())
	}
	for _, row := range m.GetAdded() {
		rows = append(rows, job.RunningTask{
			Run: RunFromProto(row.GetRun()), Checkpoint: job.Checkpoint(row.GetCheckpoint()),
			Percent: int(row.GetPercent()), Measurement: float64(row.GetMeasurement()),
		})
	}
	return rows, nil
}

// RunToProto converts a run.
func RunToProto(r job.Run) *jobspb.Run {
	return &jobspb.Run{
		JobId: string(r.Task.Job), Occurrence: uint32(r.Task.Occurrence), Step: uint32(r.Task.Step),
		Index: uint32(r.Task.Index), Number: uint64(r.Number),
	}
}

// RunFromProto converts a run.
func RunFromProto(m *jobspb.Run) job.Run {
	return job.Run{
		Task: job.Task{
			Job: job.ID(m.GetJobId()), Occurrence: int(m.GetOccurrence()), Step: int(m.GetStep()), Index: int(m.GetIndex()),
		},
		Number: job.RunNumber(m.GetNumber()),
	}
}
