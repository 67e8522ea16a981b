package convert

import (
	"github.com/jujubearch/jujubearch/internal/coordination/membership"
	"github.com/jujubearch/jujubearch/internal/protocol/peerpb"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// HeartbeatToProto converts a heartbeat. It leaves the timestamps unset; the transport fills them in.
func HeartbeatToProto(hb membership.Heartbeat) *peerpb.HeartbeatRequest {
	message := &peerpb.HeartbeatRequest{
		EntryId: string(hb.Entry), Incarnation: uint64(hb.Incarnation), DataCentre: string(hb.DataCentre),
		Seat: hb.Seat, Draining: hb.Draining, ConfigVersion: uint64(hb.ConfigVersion),
		HeadRevision: uint64(hb.HeadRevision), ReachableWorkers: hb.Workers,
	}
	for _, id := range hb.Heard {
		message.HeardPeers = append(message.HeardPeers, string(id))
	}
	for _, id := range hb.Shards {
		message.OwnedShards = append(message.OwnedShards, uint32(id))
	}
	for name, free := range hb.FreeSlots {
		message.Rooms = append(message.Rooms, &peerpb.ServiceRoom{Service: string(name), FreeSlots: free})
	}
	return message
}

// HeartbeatFromProto converts a heartbeat, without its timestamps.
func HeartbeatFromProto(m *peerpb.HeartbeatRequest) membership.Heartbeat {
	hb := membership.Heartbeat{
		Entry: model.EntryID(m.GetEntryId()), Incarnation: model.Incarnation(m.GetIncarnation()),
		DataCentre: model.DataCentre(m.GetDataCentre()), Seat: m.GetSeat(), Draining: m.GetDraining(),
		ConfigVersion: model.Version(m.GetConfigVersion()), HeadRevision: model.Revision(m.GetHeadRevision()),
		Workers: m.GetReachableWorkers(), FreeSlots: make(map[model.ServiceName]uint32),
	}
	for _, id := range m.GetHeardPeers() {
		hb.Heard = append(hb.Heard, model.EntryID(id))
	}
	for _, id := range m.GetOwnedShards() {
		hb.Shards = append(hb.Shards, model.ShardID(id))
	}
	for _, room := range m.GetRooms() {
		hb.FreeSlots[model.ServiceName(room.GetService())] = room.GetFreeSlots()
	}
	return hb
}
