package controller

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/limit"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
)

func (c *Controller) newLimits() *limit.Limits {
	var localPeers []model.EntryID
	for _, p := range c.settings.Peers {
		if p.DataCentre == c.settings.DataCentre {
			localPeers = append(localPeers, p.ID)
		}
	}
	return limit.New(c.now, limit.Settings{
		Entry: c.settings.Entry, Incarnation: c.settings.Incarnation, Seat: c.settings.Seat, Seats: c.settings.Seats,
	}, localPeers)
}

// updateLimits passes the upstream instances of this data centre to the slot limits, and closes the limiters of
// instances that are leaving.
func (c *Controller) updateLimits() {
	var list []limit.Instance
	for _, vm := range c.vmList.VMs {
		service, ok := c.head.head.Config.Service(vm.Service)
		if !ok || vm.Role != model.RoleUpstream || vm.DataCentre != c.settings.DataCentre {
			continue
		}
		limiter := c.limiter(vm)
		c.updateLimiter(vm, limiter)
		list = append(list, limit.Instance{ID: model.InstanceID(vm.ID), Slots: service.Slots, Limiter: limiter})
	}
	c.limits.Update(c.now, list)
}

// limiterReopenDelay is how long the VM list must show an instance as not leaving before its closed limiter opens
// again. It exceeds the lag of the list and the time that a leaving instance takes to end.
const limiterReopenDelay = 30 * time.Second

// updateLimiter closes the limiter of a leaving instance. Traffic closes the limiter itself when a response of the
// instance announces its departure; that limiter opens again after the instance has restarted with the same VM id.
func (c *Controller) updateLimiter(vm model.VM, limiter *snapshot.InstanceLimiter) {
	id := model.InstanceID(vm.ID)
	if vm.Leaving {
		limiter.Close()
	}
	if vm.Leaving || !limiter.IsClosed() {
		delete(c.closedSince, id)
		return
	}
	since, seen := c.closedSince[id]
	switch {
	case !seen:
		c.closedSince[id] = c.now
	case c.now.Sub(since) >= limiterReopenDelay:
		limiter.Open()
		delete(c.closedSince, id)
	}
}

// updateListedEntries passes on to the membership table and the slot limits which entries are on the VM list. The id of
// an entry's VM is the entry's id.
func (c *Controller) updateListedEntries() {
	for _, p := range c.membership.Peers() {
		listed := slices.ContainsFunc(c.vmList.VMs, func(vm model.VM) bool { return vm.ID == model.VMID(p.ID) })
		c.membership.SetListed(p.ID, listed)
		if p.DataCentre == c.settings.DataCentre {
			c.limits.SetListed(c.now, p.ID, listed)
		}
	}
}

// sendLoanRequests sends the slot requests that are due to other entries of the data centre.
func (c *Controller) sendLoanRequests() {
	for _, out := range c.limits.DueRequests(c.now) {
		for _, p := range c.membership.Peers() {
			if p.ID == out.To {
				c.emit(SendLoan{Address: p.Address, Peer: p.ID, Request: out.Request})
			}
		}
	}
}

func (c *Controller) handleLoanRequested(e LoanRequested) {
	c.reply(e.ReplyTo, c.limits.HandleRequest(c.now, e.Request), nil)
}

func (c *Controller) handleLoanAnswered(e LoanAnswered) {
	c.limits.HandleResponse(c.now, e.Peer, e.Sequence, e.Response, e.Err == nil)
}
