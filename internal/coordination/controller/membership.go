package controller

import (
	"slices"

	"github.com/jujubearch/jujubearch/internal/coordination/membership"
	"github.com/jujubearch/jujubearch/internal/coordination/ownership"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// sessionState is this entry's session in the store.
type sessionState struct {
	lease model.LeaseID
	// held is set once the session record is written.
	held     bool
	inFlight bool
}

// sendRemoteHeartbeats sends heartbeats to the entries of other data centres.
func (c *Controller) sendRemoteHeartbeats() {
	c.sendHeartbeatsTo(func(p membership.State) bool { return p.DataCentre != c.settings.DataCentre })
}

// sendLocalHeartbeats sends heartbeats to the other entries of this data centre, which share slots with this one and
// need to detect a change sooner.
func (c *Controller) sendLocalHeartbeats() {
	c.sendHeartbeatsTo(func(p membership.State) bool { return p.DataCentre == c.settings.DataCentre })
}

// sendHeartbeatsTo sends heartbeats to the peers that include selects. Each one tells its receiver only whether this
// entry hears it: with complete lists, the traffic of an entry would grow with the square of the number of entries.
func (c *Controller) sendHeartbeatsTo(include func(membership.State) bool) {
	hb := c.heartbeat()
	heard := hb.Heard
	for _, p := range c.membership.Peers() {
		if !include(p) {
			continue
		}
		hb.Heard = nil
		if slices.Contains(heard, p.ID) {
			hb.Heard = []model.EntryID{p.ID}
		}
		c.emit(SendHeartbeat{Address: p.Address, Peer: p.ID, Heartbeat: hb})
	}
}

// broadcastHeartbeats sends heartbeats to all peers immediately instead of at the next interval.
func (c *Controller) broadcastHeartbeats() {
	c.sendRemoteHeartbeats()
	c.sendLocalHeartbeats()
}

func (c *Controller) heartbeat() membership.Heartbeat {
	return membership.Heartbeat{
		Entry: c.settings.Entry, Incarnation: c.settings.Incarnation, DataCentre: c.settings.DataCentre,
		Seat: c.settings.Seat, Draining: c.draining, ConfigVersion: c.head.head.Config.Version,
		HeadRevision: c.head.revision, Heard: c.membership.Heard(c.now), Shards: c.ownedShards(),
		Workers: c.usableWorkerCount(), FreeSlots: c.freeSlots(),
	}
}

func (c *Controller) handleHeartbeat(e HeartbeatReceived) {
	if c.membership.RecordHeartbeat(c.now, e.Heartbeat) {
		c.notify(notice.PeerReplaced, Attr{Key: "peer", Value: e.Heartbeat.Entry},
			Attr{Key: "incarnation", Value: e.Heartbeat.Incarnation})
	}
	c.limits.RecordMessage(c.now, e.Heartbeat.Entry, e.Heartbeat.Incarnation, e.Heartbeat.Seat)
	c.snapshotStale = true
	if !c.isHeadBehind(e.Heartbeat.ConfigVersion, e.Heartbeat.HeadRevision) {
		return
	}
	for _, p := range c.membership.Peers() {
		if p.ID == e.Heartbeat.Entry {
			c.emit(FetchHead{Address: p.Address, Peer: p.ID})
		}
	}
}

// renewSession creates the session or keeps it alive; without it, other entries would take over this entry's shards.
func (c *Controller) renewSession() {
	if c.session.inFlight || c.draining {
		return
	}
	c.session.inFlight = true
	if c.session.lease == 0 {
		c.callStore(StoreCall{Op: OpGrantLease, TTL: SessionTTL}, c.onLeaseGranted)
		return
	}
	c.callStore(StoreCall{Op: OpKeepAlive, Lease: c.session.lease}, c.onSessionRenewed)
}

func (c *Controller) onLeaseGranted(done StoreDone) {
	c.session.inFlight = false
	if done.Err != nil {
		return
	}
	c.session.lease = done.Lease
	c.writeSession(0)
}

func (c *Controller) writeSession(expect model.Revision) {
	c.session.inFlight = true
	record := model.Session{Entry: c.settings.Entry, Incarnation: c.settings.Incarnation}
	swap := StoreCall{
		Op: OpSwap, Key: model.SessionKey(c.settings.Entry), Expect: expect, Value: &record, Lease: c.session.lease,
	}
	c.callStore(swap, c.onSessionWritten)
}

func (c *Controller) onSessionWritten(done StoreDone) {
	c.session.inFlight = false
	if done.Err != nil {
		// The outcome is unknown; a new lease and another write resolve it.
		c.session.lease = 0
		return
	}
	if done.Swapped {
		c.session.held = true
		return
	}
	current, ok := done.Record().Value.(*model.Session)
	if ok && current.Incarnation > c.settings.Incarnation {
		c.session.lease = 0
		return
	}
	c.writeSession(done.Record().Revision)
}

func (c *Controller) onSessionRenewed(done StoreDone) {
	c.session.inFlight = false
	if done.Err == nil && !done.Alive {
		c.session = sessionState{}
	}
}

// ownerCandidates returns the candidates for owning shards: the peers that are alive and stable and, unless it drains,
// this entry.
func (c *Controller) ownerCandidates() []ownership.Candidate {
	var live []ownership.Candidate
	if !c.draining {
		live = append(live, ownership.Candidate{
			Entry: c.settings.Entry, DataCentre: c.settings.DataCentre, Region: c.settings.Region,
		})
	}
	for _, p := range c.membership.Peers() {
		if c.membership.IsPreferable(c.now, p.ID) {
			live = append(live, ownership.Candidate{Entry: p.ID, DataCentre: p.DataCentre, Region: p.Region})
		}
	}
	return live
}

// isOwnedByPeer reports whether a peer that may still be running has reported that it owns the shard.
func (c *Controller) isOwnedByPeer(id model.ShardID) bool {
	for _, p := range c.membership.Peers() {
		status := c.membership.Status(c.now, p.ID)
		if status == membership.StatusDead || status == membership.StatusUnknown || status == membership.StatusGone {
			continue
		}
		if slices.Contains(p.Last.Shards, id) {
			return true
		}
	}
	return false
}

func (c *Controller) startDrain() {
	if c.draining {
		return
	}
	c.draining = true
	c.snapshotStale = true
	c.notify(notice.ProcessDraining)
	c.limits.StartDraining()
	c.broadcastHeartbeats()
	c.releaseAll()
}
