// Package membership keeps the status of each peer, derived from its heartbeats and the newest VM list. It does not
// guarantee that entries agree: a wrong status costs capacity or time, never safety.
package membership

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

const (
	// HeartbeatInterval is the time between two heartbeats to one peer.
	HeartbeatInterval = 500 * time.Millisecond
	// LocalHeartbeatInterval is the time between two heartbeats to a peer in the same data centre.
	LocalHeartbeatInterval = 250 * time.Millisecond
	// SuspectAfter is the time without a heartbeat after which a peer is suspect.
	SuspectAfter = 1500 * time.Millisecond
	// DeadAfter is the time without a heartbeat after which a peer is dead.
	DeadAfter = 5 * time.Second
	// A peer flaps if it changed between alive and not alive flapChanges times within flapWindow. It must then stay
	// alive for flapRecovery before it is preferred as an owner again, because each change moves shards twice.
	flapChanges  = 3
	flapWindow   = time.Minute
	flapRecovery = 10 * time.Second
)

// Status is the state of a peer as seen by this entry.
type Status uint8

// Statuses of peers.
const (
	StatusUnknown Status = iota
	StatusAlive
	StatusSuspect
	StatusDead
	StatusDraining
	// StatusGone means that the peer sends no heartbeats and is no longer on the VM list.
	StatusGone
)

var statusNames = [...]string{"unknown", "alive", "suspect", "dead", "draining", "gone"}

// String returns the status in lower case.
func (s Status) String() string { return statusNames[s] }

// Peer is a configured peer.
type Peer struct {
	ID         model.EntryID
	Address    string
	DataCentre model.DataCentre
	Region     model.Region
}

// Heartbeat is the state that an entry sends to its peers.
type Heartbeat struct {
	Entry         model.EntryID
	Incarnation   model.Incarnation
	DataCentre    model.DataCentre
	Seat          uint32
	Draining      bool
	ConfigVersion model.Version
	HeadRevision  model.Revision
	// Heard lists the entries whose heartbeats the sender received within SuspectAfter.
	Heard     []model.EntryID
	Shards    []model.ShardID
	Workers   uint32
	FreeSlots map[model.ServiceName]uint32
}

// State is the table's row for one peer.
type State struct {
	Peer
	Last     Heartbeat
	LastSeen time.Time
	// RoundTrip is the smoothed round-trip time; 0 means unknown.
	RoundTrip time.Duration

	wasListed    bool
	absent       bool
	wasAlive     bool
	wasEverAlive bool
	// statusChanges holds the newest times, at most flapChanges, at which the peer became alive or ceased to be alive.
	// flapRecovery counts from the last one.
	statusChanges []time.Time
}

// Table holds one row per configured peer.
type Table struct {
	self  model.EntryID
	peers []State
}

// NewTable returns a table of the configured peers.
func NewTable(self model.EntryID, peers []Peer) *Table {
	t := &Table{self: self}
	for _, p := range peers {
		t.peers = append(t.peers, State{Peer: p})
	}
	return t
}

// RecordHeartbeat records a heartbeat from a peer. It reports whether the peer is a new incarnation; heartbeats of an
// earlier incarnation are ignored.
func (t *Table) RecordHeartbeat(now time.Time, hb Heartbeat) bool {
	row := t.row(hb.Entry)
	if row == nil || hb.Incarnation < row.Last.Incarnation {
		return false
	}
	replaced := row.Last.Incarnation != 0 && hb.Incarnation > row.Last.Incarnation
	row.Last = hb
	row.LastSeen = now
	return replaced
}

// roundTripGain is the weight of a new sample in the smoothed round-trip time.
const roundTripGain = 0.2

// ObserveRoundTrip adds a sample of the round-trip time to a peer.
func (t *Table) ObserveRoundTrip(peer model.EntryID, sample time.Duration) {
	row := t.row(peer)
	if row == nil || sample <= 0 {
		return
	}
	if row.RoundTrip == 0 {
		row.RoundTrip = sample
		return
	}
	row.RoundTrip += time.Duration(roundTripGain * float64(sample-row.RoundTrip))
}

// Status returns the status of a peer at a time.
func (t *Table) Status(now time.Time, peer model.EntryID) Status {
	row := t.row(peer)
	switch {
	case row == nil || row.LastSeen.IsZero():
		return StatusUnknown
	case row.absent && now.Sub(row.LastSeen) > SuspectAfter:
		return StatusGone
	case now.Sub(row.LastSeen) > DeadAfter:
		return StatusDead
	case now.Sub(row.LastSeen) > SuspectAfter || !slices.Contains(row.Last.Heard, t.self):
		return StatusSuspect
	case row.Last.Draining:
		return StatusDraining
	}
	return StatusAlive
}

// SetListed records whether the newest VM list contains the peer's VM. A peer counts as absent only after it was listed
// once.
func (t *Table) SetListed(peer model.EntryID, listed bool) {
	row := t.row(peer)
	if row == nil {
		return
	}
	row.wasListed = row.wasListed || listed
	row.absent = row.wasListed && !listed
}

// Observe records changes of the peers' statuses; call it at each tick.
func (t *Table) Observe(now time.Time) {
	for i := range t.peers {
		row := &t.peers[i]
		alive := t.Status(now, row.ID) == StatusAlive
		if alive == row.wasAlive {
			continue
		}
		row.wasAlive = alive
		if !row.wasEverAlive {
			// Becoming alive for the first time does not count as a change.
			row.wasEverAlive = true
			continue
		}
		row.statusChanges = append(row.statusChanges, now)
		if len(row.statusChanges) > flapChanges {
			row.statusChanges = slices.Delete(row.statusChanges, 0, 1)
		}
	}
}

// IsPreferable reports whether a peer may be preferred as an owner of shards: it is alive and does not flap.
func (t *Table) IsPreferable(now time.Time, peer model.EntryID) bool {
	row := t.row(peer)
	if row == nil || t.Status(now, peer) != StatusAlive {
		return false
	}
	if len(row.statusChanges) < flapChanges || now.Sub(row.statusChanges[0]) > flapWindow {
		return true
	}
	return now.Sub(row.statusChanges[len(row.statusChanges)-1]) >= flapRecovery
}

// Heard lists the entries whose heartbeats were received within SuspectAfter.
func (t *Table) Heard(now time.Time) []model.EntryID {
	var heard []model.EntryID
	for _, p := range t.peers {
		if !p.LastSeen.IsZero() && now.Sub(p.LastSeen) <= SuspectAfter {
			heard = append(heard, p.ID)
		}
	}
	return heard
}

// Peers returns the rows in the order of the peers given to NewTable.
func (t *Table) Peers() []State { return slices.Clone(t.peers) }

func (t *Table) row(id model.EntryID) *State {
	for i := range t.peers {
		if t.peers[i].ID == id {
			return &t.peers[i]
		}
	}
	return nil
}
