package limit

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

func (p *peer) borrower() borrower { return borrower{entry: p.entry, incarnation: p.incarnation} }

// DueRequests returns the requests to send to peers now. The outcome of each must be passed to HandleResponse once.
func (l *Limits) DueRequests(now time.Time) []Outgoing {
	var out []Outgoing
	for _, p := range l.peers {
		if p.inFlight || now.Sub(p.sentAt) < RequestInterval {
			continue
		}
		if r, ok := l.request(now, p); ok {
			p.sequence++
			r.Sequence = p.sequence
			p.sentAt, p.inFlight, p.lastRequest = now, true, r
			out = append(out, Outgoing{To: p.entry, Request: r})
		}
	}
	return out
}

func (l *Limits) request(now time.Time, p *peer) (Request, bool) {
	r := Request{
		From: l.settings.Entry, Incarnation: l.settings.Incarnation, Seat: l.settings.Seat, To: p.incarnation,
		ClaimSeat: !l.SeatHeld() && !l.leaving && (p.seat == l.nextSeat() || p.incarnation == 0),
	}
	if p.incarnation == 0 || now.Sub(p.lastHeard) >= PeerSilenceTimeout {
		// A request without the receiver's incarnation carries no demands.
		r.To = 0
		return r, r.ClaimSeat
	}
	r.HandOver = l.tryHandOver(p)
	r.Demands = l.demands(p)
	due := !slices.Equal(r.Demands, p.answeredDemands) || hasUnmetDemand(r.Demands)
	if len(r.Demands) > 0 && now.Sub(p.sentAt) >= RenewInterval {
		due = true
	}
	return r, due || r.ClaimSeat || r.HandOver
}

// hasUnmetDemand reports whether the sender wants more slots of an instance than it has.
func hasUnmetDemand(demands []Demand) bool {
	return slices.ContainsFunc(demands, func(d Demand) bool { return d.Want > d.Keep })
}

// demands returns the demands for the instances of which this entry holds or wants slots of a peer.
func (l *Limits) demands(p *peer) []Demand {
	var demands []Demand
	for _, id := range l.sortedIDs {
		i := l.instances[id]
		demand := Demand{Instance: id, Keep: i.heldFrom(p.entry), Want: l.slotsWanted(i, p)}
		if demand.Keep > 0 || demand.Want > 0 {
			demands = append(demands, demand)
		}
	}
	return demands
}

// heldFrom returns the number of a lender's slots that are usable or may be in use. All borrowed slots in use count for
// every lender, since a request may outlast the loan of one lender but not that of another.
func (i *instance) heldFrom(lender model.EntryID) uint32 {
	return max(i.borrowed[lender].slots, uint32(i.Limiter.BorrowedInUse()))
}

// slotsWanted returns the number of slots to request from a lender. It grows by two as long as nearly all slots are in
// use.
func (l *Limits) slotsWanted(i *instance, p *peer) uint32 {
	if l.draining || i.removed || i.Limiter.IsClosed() || i.lentSlots() > 0 {
		return 0
	}
	total := uint32(i.Limiter.Limit())
	target := i.peak + 1
	if i.peak+1 >= total {
		target = total + 2
	}
	covered := l.baseSlots(i)
	for lender, borrowed := range i.borrowed {
		if lender != p.entry {
			covered += borrowed.slots
		}
	}
	if target <= covered {
		return 0
	}
	return min(target-covered, i.Slots)
}

// HandleRequest handles a peer's request and returns the response. It refuses a request that comes from an unknown
// entry or an old incarnation, is meant for another incarnation of this entry or has an old sequence number.
func (l *Limits) HandleRequest(now time.Time, r Request) Response {
	response := Response{
		Incarnation: l.settings.Incarnation, Seat: l.settings.Seat, Sequence: r.Sequence, Duration: LoanDuration,
	}
	p := l.peer(r.From)
	if p == nil || r.Incarnation < p.incarnation || (r.To != 0 && r.To != l.settings.Incarnation) {
		response.Refused = true
		return response
	}
	l.RecordMessage(now, r.From, r.Incarnation, r.Seat)
	if r.Sequence <= p.lastReceivedSequence {
		response.Refused = true
		return response
	}
	p.lastReceivedSequence = r.Sequence
	if r.ClaimSeat {
		l.answerClaim(now, p, &response)
	}
	if r.To == 0 {
		return response
	}
	if r.HandOver {
		l.acceptHandOver(p)
	}
	response.Grants = l.decideGrants(now, p, r.Demands)
	return response
}

// decideGrants decides how many slots of each instance to lend; demands is the borrower's complete list.
func (l *Limits) decideGrants(now time.Time, p *peer, demands []Demand) []Grant {
	wanted := make(map[model.InstanceID]Demand, len(demands))
	for _, demand := range demands {
		wanted[demand.Instance] = demand
	}
	var grants []Grant
	for _, id := range l.sortedIDs {
		i := l.instances[id]
		i.expire(now)
		demand := wanted[id]
		i.reduceLent(p.borrower(), demand.Keep)
		if slots := l.lend(now, i, p.borrower(), demand.Want); slots > 0 {
			grants = append(grants, Grant{Instance: id, Slots: slots})
		}
		l.applyLimit(i)
	}
	return grants
}

// reduceLent lowers the number of slots lent to the number that the borrower keeps.
func (i *instance) reduceLent(b borrower, keep uint32) {
	commitments := i.lent[b]
	if keep >= maxSlots(commitments) {
		return
	}
	if keep == 0 {
		delete(i.lent, b)
		return
	}
	last := commitments[0].expires
	for _, c := range commitments {
		if c.expires.After(last) {
			last = c.expires
		}
	}
	i.lent[b] = []commitment{{slots: keep, expires: last}}
}

// lend commits slots to a borrower and returns their number. It lowers the own limit first and lends only slots that
// are not in use at that moment.
func (l *Limits) lend(now time.Time, i *instance, b borrower, want uint32) uint32 {
	lentToOthers := i.lentSlots() - maxSlots(i.lent[b])
	available := int32(l.baseSlots(i)) - int32(lentToOthers) - int32(l.slotsToRetain(i))
	target := min(int32(want), available)
	if target <= 0 || i.removed || i.Limiter.IsClosed() {
		return 0
	}
	outstanding := int32(maxSlots(i.lent[b]))
	if target > outstanding {
		inUse := i.Limiter.SetLimit(min(i.Limiter.OwnLimit(), int32(l.baseSlots(i))-int32(lentToOthers)-target))
		target = min(target, int32(l.baseSlots(i))-int32(lentToOthers)-inUse)
		if target <= 0 {
			return 0
		}
	}
	granted := commitment{slots: uint32(target), expires: now.Add(withClockMargin(LoanDuration))}
	remaining := slices.DeleteFunc(i.lent[b], func(c commitment) bool { return c.slots <= granted.slots })
	i.lent[b] = append(remaining, granted)
	return granted.slots
}

// slotsToRetain returns the number of own slots that a lender does not lend.
func (l *Limits) slotsToRetain(i *instance) uint32 {
	if l.draining {
		return max(spareSlots, uint32(i.Limiter.OwnInUse()))
	}
	return i.peak + spareSlots
}

// HandleResponse handles the outcome of a request to a peer; ok is false when no response came.
func (l *Limits) HandleResponse(now time.Time, to model.EntryID, sequence uint64, r Response, ok bool) {
	p := l.peer(to)
	if p == nil || sequence != p.sequence || !p.inFlight {
		return
	}
	p.inFlight = false
	if !ok || r.Incarnation < p.incarnation {
		return
	}
	l.RecordMessage(now, to, r.Incarnation, r.Seat)
	if r.Refused || r.Sequence != sequence {
		return
	}
	if p.lastRequest.ClaimSeat {
		l.applyClaimResponse(now, p, r)
	}
	l.handOverAccepted = l.handOverAccepted || p.lastRequest.HandOver
	if p.lastRequest.To != r.Incarnation {
		return
	}
	p.answeredDemands = p.lastRequest.Demands
	l.applyGrants(now, p, r)
}

// applyGrants replaces the loans of a lender. Their duration counts from the sending of the request.
func (l *Limits) applyGrants(now time.Time, p *peer, r Response) {
	until := p.sentAt.Add(min(r.Duration, LoanDuration))
	slots := make(map[model.InstanceID]uint32, len(r.Grants))
	for _, g := range r.Grants {
		slots[g.Instance] = g.Slots
	}
	for _, id := range l.sortedIDs {
		i := l.instances[id]
		delete(i.borrowed, p.entry)
		if n := min(slots[id], i.Slots); n > 0 && now.Before(until) {
			i.borrowed[p.entry] = loan{slots: n, until: until}
		}
		l.applyLimit(i)
	}
}
