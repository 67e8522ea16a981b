package snapshot

import "github.com/jujubearch/jujubearch/internal/state/model"

// Source says where the configuration in use came from.
type Source string

// Sources of configuration.
const (
	SourceNone  Source = "none"
	SourceStore Source = "store"
	SourcePeer  Source = "peer"
)

// Instance is an upstream instance in this entry's data centre.
type Instance struct {
	ID      model.InstanceID
	Address string
	Limiter *InstanceLimiter
	// Leaving means that the instance is about to stop and gets no new requests or connections.
	Leaving bool
	// Slot is the kind of slot that a request holds. It is set only in the copy of the Instance made for that request.
	Slot Slot
}

// Peer describes another entry for request forwarding.
type Peer struct {
	ID         model.EntryID
	Address    string
	DataCentre model.DataCentre
	Region     model.Region
	// Usable means that both entries consider each other alive and that the peer is not draining.
	Usable bool
	// RoundTripMicros is the smoothed round-trip time; 0 means unknown.
	RoundTripMicros int64
	// FreeSlots is the number of free slots of each service, from the peer's last heartbeat.
	FreeSlots map[model.ServiceName]uint32
}

// ClaimOwner is the owner of a claim shard.
type ClaimOwner struct {
	Owner model.EntryID
	// Address is empty if the owner is this entry.
	Address string
	Local   bool
}

// Snapshot is an immutable view of the control state. Readers must not modify its maps and slices.
type Snapshot struct {
	Entry      model.EntryID
	DataCentre model.DataCentre
	Region     model.Region
	// DataCentres lists the data centres of the installation, sorted.
	DataCentres []model.DataCentre
	Config      model.Config
	// HeadRevision is the store revision of the head that Config was read from.
	HeadRevision model.Revision
	Source       Source
	// Ready means that this entry accepts new requests.
	Ready    bool
	Draining bool
	// Instances lists the upstream instances of each service in this entry's data centre.
	Instances map[model.ServiceName][]Instance
	Peers     []Peer
	// ClaimOwners is indexed by claim shard; an empty Owner means that the owner is unknown.
	ClaimOwners []ClaimOwner
}
