package controller

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/ownership"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
)

const (
	// headWatchTimeout is how long one watch waits for a change. The store counts each watch as a call.
	headWatchTimeout = 60 * time.Second
	// headRewatchDelay is the pause after a watch that returned early without a change. It is well within the 3 s in
	// which a change must be in force.
	headRewatchDelay = time.Second
	// trimInterval is the time between two attempts to remove accepted delegations from the head.
	trimInterval = time.Second
)

// headState is the head in force, where it came from, and the progress of reading and trimming it.
type headState struct {
	head     model.Head
	revision model.Revision
	source   snapshot.Source
	// inFlight is set while a get or watch is in flight.
	inFlight bool
	failures int
	// trimming is set while a write by trimHead is in flight.
	trimming bool
	// storeRevision is the revision after which the next watch starts.
	storeRevision model.Revision
	// loaded is set when a get has succeeded since the last failure, so that a watch may follow.
	loaded bool
	// requestedAt is when the get or watch in flight was sent.
	requestedAt time.Time
	// reportedReason and reportedRevision identify the unusable record that was logged last.
	reportedReason   string
	reportedRevision model.Revision
}

func (h *headState) copy() *model.Head {
	head := h.head
	return &head
}

// readHead keeps one get or watch of the head in flight.
func (c *Controller) readHead() {
	if c.head.inFlight {
		return
	}
	c.head.inFlight = true
	c.head.requestedAt = c.now
	call := StoreCall{Op: OpGet, Key: model.KeyHead}
	if c.head.loaded {
		call = StoreCall{Op: OpWatch, Key: model.KeyHead, After: c.head.storeRevision, TTL: headWatchTimeout}
	}
	c.callStore(call, c.onHeadRead)
}

func (c *Controller) onHeadRead(done StoreDone) {
	c.head.inFlight = false
	if done.Err != nil {
		c.head.failures++
		// The store may lose its history of changes in an outage and the watch would miss some, so a get comes first.
		c.head.loaded = false
		c.nextRun[timerHead] = c.now.Add(c.backoff(c.head.failures))
		return
	}
	wasWatch := c.head.loaded
	c.head.failures = 0
	c.head.loaded = true
	record, found := newestHead(done.Records)
	isNewer := found && record.Revision > c.head.storeRevision
	switch {
	case wasWatch && done.Revision < c.head.storeRevision:
		// The store was restored from an older backup. A watch from the old revision would miss all changes up to it.
		c.head.loaded = false
		c.head.storeRevision = 0
	case wasWatch:
		c.head.storeRevision = max(c.head.storeRevision, done.Revision, record.Revision)
	default:
		c.head.storeRevision = record.Revision
	}
	if found {
		c.handleHeadRecord(record, snapshot.SourceStore)
	}
	if wasWatch && !isNewer && c.now.Sub(c.head.requestedAt) < headWatchTimeout/2 {
		// The pause keeps watches that return early without a change from becoming a tight loop of store calls.
		c.nextRun[timerHead] = c.now.Add(headRewatchDelay)
		return
	}
	c.readHead()
}

// newestHead returns the head record with the highest revision; a watch may also return older ones.
func newestHead(records []StoredRecord) (StoredRecord, bool) {
	var newest StoredRecord
	found := false
	for _, r := range records {
		if r.Key == model.KeyHead && (!found || r.Revision > newest.Revision) {
			newest, found = r, true
		}
	}
	return newest, found
}

// handleHeadRecord applies a head record if it is newer than the one in force. An unusable record leaves the head in
// force as it is.
func (c *Controller) handleHeadRecord(record StoredRecord, source snapshot.Source) {
	head, ok := record.Value.(*model.Head)
	switch {
	case record.Err != nil:
		c.reportUnusableHead(record, record.Err.Error())
	case ok && head != nil && head.Config.Version < c.head.head.Config.Version:
		c.reportUnusableHead(record, "the record's version is below the version in force")
	case ok && head != nil:
		c.applyHead(*head, record.Revision, source)
	case c.head.revision != 0 && source == snapshot.SourceStore:
		c.reportUnusableHead(record, "the record was deleted")
	}
}

// reportUnusableHead logs that a record was not applied, once for each reason and revision.
func (c *Controller) reportUnusableHead(record StoredRecord, reason string) {
	if c.head.reportedReason == reason && c.head.reportedRevision == record.Revision {
		return
	}
	c.head.reportedReason, c.head.reportedRevision = reason, record.Revision
	c.notify(notice.ConfigRefused, Attr{Key: "key", Value: record.Key}, Attr{Key: "revision", Value: record.Revision},
		Attr{Key: "error", Value: reason})
}

// applyHead applies a head with a higher version regardless of its revision, because the revisions of a store that was
// restored from a backup start below the known one. Within one version, the higher revision wins.
func (c *Controller) applyHead(head model.Head, revision model.Revision, source snapshot.Source) {
	current := c.head.head.Config.Version
	isNewVersion := head.Config.Version > current
	if !isNewVersion && (head.Config.Version < current || revision <= c.head.revision) {
		if revision == c.head.revision && source == snapshot.SourceStore {
			c.head.source = source
		}
		return
	}
	c.head.head = head
	c.head.revision = revision
	c.head.source = source
	c.snapshotStale = true
	// This head may make the entry ready for requests, and the limiters must have their limits before that.
	c.updateLimits()
	if !isNewVersion {
		return
	}
	c.notify(notice.ConfigApplied, Attr{Key: "version", Value: head.Config.Version}, Attr{Key: "source", Value: source})
	c.broadcastHeartbeats()
}

func (c *Controller) handleHeadFetched(e HeadFetched) {
	if e.Err != nil {
		return
	}
	if c.head.failures > 0 && e.Head.Config.Version > c.head.head.Config.Version {
		c.notify(notice.ConfigFromPeer, Attr{Key: "peer", Value: e.Peer}, Attr{Key: "version", Value: e.Head.Config.Version})
	}
	c.applyHead(e.Head, e.Revision, snapshot.SourcePeer)
}

// isHeadBehind reports whether a peer's head is newer than that of this entry.
func (c *Controller) isHeadBehind(version model.Version, revision model.Revision) bool {
	current := c.head.head.Config.Version
	return version > current || (version == current && revision > c.head.revision)
}

func (c *Controller) layout() ownership.Layout {
	config := &c.head.head.Config
	return ownership.Layout{
		DataCentres:         c.settings.DataCentres,
		ShardsPerDataCentre: config.ShardsPerDataCentre,
		ClaimShards:         config.ClaimShards,
	}
}

// trimHead removes from the head the delegations that this entry's shards have accepted, and records in the head which
// of these shards have accepted its cancellations and resumptions.
func (c *Controller) trimHead() {
	if c.head.trimming || c.head.revision == 0 {
		return
	}
	head := c.head.head
	remaining := slices.DeleteFunc(slices.Clone(head.Delegations), c.isAccepted)
	isTrimmed := len(remaining) < len(head.Delegations)
	head.Delegations = remaining
	if settledChanged := c.recordSettled(&head); !settledChanged && !isTrimmed {
		return
	}
	c.head.trimming = true
	swap := StoreCall{Op: OpSwap, Key: model.KeyHead, Expect: c.head.revision, Value: &head}
	c.callStore(swap, func(done StoreDone) {
		c.head.trimming = false
		if done.Err == nil && done.Swapped {
			c.applyHead(head, done.Revision, c.head.source)
		} else if done.Err == nil {
			c.handleHeadRecord(done.Record(), snapshot.SourceStore)
		}
	})
}

func (c *Controller) isAccepted(d model.Delegation) bool {
	s := c.shards[d.Shard]
	return s != nil && s.isActive() && s.tasks.HasAccepted(d)
}
