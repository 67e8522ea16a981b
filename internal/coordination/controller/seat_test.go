package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Guards against an instance whose limiter never reopens after a restart with the same VM id, and against new requests
// to an instance that the VM list marks as leaving.
func TestLimiterFollowsLeavingInstances(t *testing.T) {
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
	limiter := c.limiters["u"]
	// Traffic closed the limiter after a response announced the departure; the list lags behind.
	limiter.Close()
	for range int(limiterReopenDelay / time.Second) {
		list(false)
		assert.Assert(t, limiter.IsClosed())
	}
	list(false)
	assert.Assert(t, !limiter.IsClosed())
	for range 60 {
		list(true)
		assert.Assert(t, limiter.IsClosed())
	}
}
