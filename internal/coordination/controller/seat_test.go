package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Guards against an instance whose gate never reopens after a restart with the same VM id, and against new requests to
// an instance that the VM list marks as leaving.
func TestGateFollowsLeavingInstances(t *testing.T) {
	c := newTestController("a")
	c.head.head.Config.Services = []model.Service{{Name: "matcher", Slots: 8}}
	vm := model.VM{ID: "u", DataCentre: "lju-a", Role: model.RoleUpstream, Service: "matcher"}
	now, revision := testTime, uint64(0)
	list := func(leaving bool) {
		now, revision = now.Add(time.Second), revision+1
		vm.Leaving = leaving
		c.Step(now, VMsListed{List: model.VMList{Revision: revision, VMs: []model.VM{vm}}})
	}
	list(false)
	gate := c.gates["u"]
	// Traffic closed the gate after a response announced the departure; the list lags behind.
	gate.Close()
	for range int(gateReopenDelay / time.Second) {
		list(false)
		assert.Assert(t, gate.IsClosed())
	}
	list(false)
	assert.Assert(t, !gate.IsClosed())
	for range 60 {
		list(true)
		assert.Assert(t, gate.IsClosed())
	}
}
