package convert

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/membership"
	"github.com/jujubearch/jujubearch/internal/protocol/peerpb"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

const (
	// controlBudget is the documented bound on the control traffic of an entry's VM, in bytes per second.
	controlBudget = 29_000
	// framingBytes is the number of bytes that HTTP/2 adds to a request and its response: two HEADERS frames with
	// indexed fields, two DATA frames and the trailers, rounded up.
	framingBytes = 200
	// shardsAtTargetSize is the sum of 64 worker shards and 16 claim shards.
	shardsAtTargetSize = 80
)

// typicalHeartbeat returns a heartbeat of an installation of the target size, with names of realistic length.
func typicalHeartbeat(entries int) membership.Heartbeat {
	hb := membership.Heartbeat{
		Entry: "sicilia-ovest-01", Incarnation: 1_800_000_000_000_000, DataCentre: "sicilia-ovest-palermo", Seat: 1,
		ConfigVersion: 200_000, HeadRevision: 9_000_000, Workers: 30,
		FreeSlots: map[model.ServiceName]uint32{"banco-ordini": 400},
	}
	hb.Heard = []model.EntryID{"sicilia-ovest-02"}
	for i := range (shardsAtTargetSize + entries - 1) / entries {
		hb.Shards = append(hb.Shards, model.ShardID(i))
	}
	return hb
}

// Guards against heartbeats that exceed an entry's budget for control traffic, at the numbers of entries that the
// design page names.
func TestHeartbeatBytesStayInBudget(t *testing.T) {
	for _, entries := range []int{6, 12, 24, 37} {
		m := HeartbeatToProto(typicalHeartbeat(entries))
		m.SentMicros = 1_800_000_000_000_000
		response := &peerpb.HeartbeatResponse{
			EntryId: m.GetEntryId(), ConfigVersion: m.GetConfigVersion(), ReceivedMicros: m.GetSentMicros(),
			SentMicros: m.GetSentMicros(),
		}
		exchange := proto.Size(m) + proto.Size(response) + framingBytes
		// Each direction carries the entry's own requests and its responses to those of the peers. The entry in the
		// other seat of the data centre counts twice, since its heartbeats are twice as frequent.
		perSecond := exchange * (entries - 1 + 1) * int(time.Second/membership.HeartbeatInterval)
		t.Logf("%d entries: request %d bytes, %d bytes per second in each direction", entries, proto.Size(m), perSecond)
		if entries <= maxEntries {
			assert.Assert(t, perSecond <= controlBudget, "%d entries: %d bytes per second", entries, perSecond)
		}
	}
}

// maxEntries is the largest number of entries for which the design page states the budget.
const maxEntries = 37

// Guards against a panic on a heartbeat from a peer, and against one that changes in a round trip.
func FuzzHeartbeatFromProto(f *testing.F) {
	valid, err := proto.Marshal(HeartbeatToProto(typicalHeartbeat(6)))
	assert.NilError(f, err)
	f.Add(valid)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var m peerpb.HeartbeatRequest
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		decoded := HeartbeatFromProto(&m)
		assert.DeepEqual(t, HeartbeatFromProto(HeartbeatToProto(decoded)), decoded)
	})
}

// Guards against a panic on a loan message from a peer, and against one that changes in a round trip.
func FuzzLoanFromProto(f *testing.F) {
	f.Add([]byte("\x0a\x01a\x10\x01\x18\x01\x20\x02\x28\x03\x42\x07\x0a\x01i\x10\x01\x18\x02"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m peerpb.LoanRequest
		if proto.Unmarshal(data, &m) == nil {
			decoded := LoanRequestFromProto(&m)
			assert.DeepEqual(t, LoanRequestFromProto(LoanRequestToProto(decoded)), decoded)
		}
		var r peerpb.LoanResponse
		if proto.Unmarshal(data, &r) == nil {
			decoded := LoanResponseFromProto(&r)
			assert.DeepEqual(t, LoanResponseFromProto(LoanResponseToProto(decoded)), decoded)
		}
	})
}
