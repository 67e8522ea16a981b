package limit

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// seatState is the state of this entry's own seat.
type seatState struct {
	// held is set once the seat may be used, except for the withheld instances.
	held     bool
	withheld map[model.InstanceID]bool
	// claimResponded is set once the entry with the next seat has answered the claim.
	claimResponded bool
	// claimAnsweredBy is the incarnation of that entry that answered a claim last.
	claimAnsweredBy model.Incarnation
	// unclean is set when requests of the seat's last process may still run.
	unclean bool
	// waitUntil is the time until which requests of the next seat's last process may still run on this seat.
	waitUntil time.Time
	// withheldUntil is the time until which the withheld instances stay withheld, whatever a new process of the next
	// seat answers.
	withheldUntil time.Time
	// handedOver is set once the seat is handed over; this process never uses it again. handedOverTo is the incarnation
	// that the seat was handed over to.
	handedOver   bool
	handedOverTo model.Incarnation
}

func (l *Limits) nextSeat() uint32 { return (l.settings.Seat + 1) % l.settings.Seats }

func (l *Limits) previousSeat() uint32 {
	return (l.settings.Seat + l.settings.Seats - 1) % l.settings.Seats
}

// SeatHeld reports whether the own seat may be used for all instances.
func (l *Limits) SeatHeld() bool { return l.seat.held && len(l.seat.withheld) == 0 }

// RecordMessage records a message from a peer. A new incarnation voids the loans of the old one.
func (l *Limits) RecordMessage(now time.Time, id model.EntryID, incarnation model.Incarnation, seat uint32) {
	p := l.peer(id)
	if p == nil || incarnation < p.incarnation {
		return
	}
	if incarnation > p.incarnation {
		l.forgetIncarnation(p)
		p.incarnation = incarnation
	}
	p.seat = seat
	p.lastHeard = now
	// A VM list without a live process is older than the process.
	p.absentSince = time.Time{}
}

// forgetIncarnation drops the state of a peer's process that a new one replaces, except for how the old one ended.
func (l *Limits) forgetIncarnation(p *peer) {
	switch p.incarnation {
	case 0:
		p.unclean = l.settings.WaitIfUnknown
	case p.handedOverBy:
		p.unclean = false
	default:
		p.unclean = true
	}
	l.voidLoans(p)
	p.lastReceivedSequence = 0
}

// voidLoans drops the slots borrowed from a lender and makes this entry ignore a response in flight. Slots lent to the
// old process stay lent until the loans expire, because its requests may still run.
func (l *Limits) voidLoans(p *peer) {
	for _, id := range l.sortedIDs {
		i := l.instances[id]
		delete(i.borrowed, p.entry)
		l.applyLimit(i)
	}
	p.sequence++
	p.inFlight = false
	p.answeredDemands = nil
}

// SetListed records whether the newest VM list contains a peer's VM.
func (l *Limits) SetListed(now time.Time, id model.EntryID, listed bool) {
	p := l.peer(id)
	switch {
	case p == nil:
	case listed:
		p.wasListed = true
		p.absentSince = time.Time{}
	case p.absentSince.IsZero():
		p.absentSince, p.absentUntil = now, now
	default:
		p.absentUntil = now
	}
}

// isGone reports whether the peer has been absent from the VM list for so long that its last request has ended. A
// single list is not enough: it may be older than a new process of the peer.
func (l *Limits) isGone(p *peer) bool {
	return !p.absentSince.IsZero() && p.absentUntil.Sub(p.absentSince) >= withClockMargin(l.settings.MaxRequestDuration)
}

// updateSeat starts to use the own seat once no other process can use it, continues the return of the previous seat,
// and takes the previous seat over once its holder is gone.
func (l *Limits) updateSeat(now time.Time) {
	if !l.seat.held && !l.seat.handedOver && l.mayUseSeat(now) {
		l.seat.held = true
	}
	if l.holdsPrevious && l.returning {
		l.returnSeat()
	}
	if p := l.peerWithSeat(l.previousSeat()); p != nil && l.mayTakeOver(p) {
		l.takeOver(p)
	}
}

// mayUseSeat reports whether no other process can use the own seat. Only the entry with the next seat ever takes it
// over. A peer that is not on the VM list has stopped; a peer that is listed but silent may be using the seat. The
// seat's last process ended before this one started, so its requests have ended MaxRequestDuration after this process's
// start.
func (l *Limits) mayUseSeat(now time.Time) bool {
	longest := withClockMargin(l.settings.MaxRequestDuration)
	if l.seat.claimResponded {
		return !now.Before(l.seat.waitUntil) && (!l.seat.unclean || now.Sub(l.started) >= longest)
	}
	for _, p := range l.peers {
		// A peer that has sent no message yet may have any seat.
		if p.seat != l.nextSeat() && p.seat != l.settings.Seats {
			continue
		}
		if !l.isGone(p) {
			return false
		}
	}
	return now.Sub(l.started) >= longest
}

func (l *Limits) peerWithSeat(seat uint32) *peer {
	if l.settings.Seats < 2 {
		return nil
	}
	for _, p := range l.peers {
		if p.seat == seat {
			return p
		}
	}
	return nil
}

// mayTakeOver reports whether the holder of the previous seat is gone and its last request has ended.
func (l *Limits) mayTakeOver(p *peer) bool {
	return !l.holdsPrevious && !l.draining && p.wasListed && l.isGone(p)
}

func (l *Limits) takeOver(p *peer) {
	l.holdsPrevious = true
	l.returning = false
	clear(l.returned)
	l.voidLoans(p)
}

// returnSeat returns the previous seat one instance at a time, each as soon as its use fits the lower limits.
func (l *Limits) returnSeat() {
	done := true
	for id, i := range l.instances {
		if !l.returned[id] && l.applyLimit(i) <= l.ownLimit(i) && i.Limiter.BorrowedInUse() <= i.Limiter.BorrowedLimit() {
			l.returned[id] = true
		}
		done = done && l.returned[id]
	}
	if done {
		l.holdsPrevious, l.returning = false, false
		clear(l.returned)
	}
}

// answerClaim answers the claim of the previous seat by its new process.
func (l *Limits) answerClaim(now time.Time, p *peer, r *Response) {
	if p.seat != l.previousSeat() {
		return
	}
	r.Unclean = p.unclean
	if l.settings.WaitIfUnknown {
		r.Wait = max(0, withClockMargin(l.settings.MaxRequestDuration)-now.Sub(l.started))
	}
	if !l.holdsPrevious {
		return
	}
	l.returning = true
	l.returnSeat()
	for _, id := range l.sortedIDs {
		if l.holdsPrevious && !l.returned[id] {
			r.Held = append(r.Held, id)
		}
	}
}

// applyClaimResponse applies the answer to a claim of the own seat. If the next seat's process died while it still held
// instances of this seat, its successor does not know of them: they stay withheld until the last request of the dead
// process has ended.
func (l *Limits) applyClaimResponse(now time.Time, p *peer, r Response) {
	if p.seat != l.nextSeat() || l.seat.handedOver {
		return
	}
	if len(l.seat.withheld) > 0 && l.seat.claimAnsweredBy != r.Incarnation {
		l.seat.withheldUntil = now.Add(withClockMargin(l.settings.MaxRequestDuration))
	}
	l.seat.claimAnsweredBy = r.Incarnation
	if now.Before(l.seat.withheldUntil) {
		return
	}
	l.seat.claimResponded = true
	l.seat.unclean = r.Unclean
	l.seat.waitUntil = now.Add(withClockMargin(r.Wait))
	l.seat.withheld = make(map[model.InstanceID]bool)
	for _, id := range r.Held {
		l.seat.withheld[id] = true
	}
}

// acceptHandOver takes over the seat of a process that hands it over.
func (l *Limits) acceptHandOver(p *peer) {
	p.handedOverBy = p.incarnation
	p.unclean = false
	if p.seat == l.previousSeat() && !l.holdsPrevious && !l.draining {
		l.takeOver(p)
	}
}

// tryHandOver reports whether a request to a peer hands the seat over, and gives the seat up for good in that case. The
// seat must be unused, with no loans of it to anyone but the receiver. A hand-over is repeated only to the same
// process: that process may have started to use the seat, and its successor can't know about it.
func (l *Limits) tryHandOver(p *peer) bool {
	if !l.leaving || p.seat != l.nextSeat() || l.holdsPrevious {
		return false
	}
	if l.seat.handedOver {
		return !l.handOverAccepted && l.seat.handedOverTo == p.incarnation
	}
	if !l.isSeatUnused(p) {
		return false
	}
	l.seat.handedOver, l.seat.handedOverTo = true, p.incarnation
	l.seat.held = false
	for _, i := range l.instances {
		l.applyLimit(i)
	}
	return true
}

func (l *Limits) isSeatUnused(receiver *peer) bool {
	if !l.SeatHeld() {
		return false
	}
	for _, i := range l.instances {
		if i.Limiter.SetLimit(0) > 0 || i.Limiter.BorrowedInUse() > 0 {
			return false
		}
		for b := range i.lent {
			if b != receiver.borrower() {
				return false
			}
		}
	}
	return true
}

// HandOverDone reports whether a peer has accepted the seat, or there is no peer to accept it.
func (l *Limits) HandOverDone() bool { return len(l.peers) == 0 || l.handOverAccepted }

// StartHandOver starts to hand the seat over to the entry with the next seat; no request may start afterwards.
func (l *Limits) StartHandOver() {
	l.draining = true
	l.leaving = true
}

// StartDraining makes the entry lend all slots that it does not use.
func (l *Limits) StartDraining() { l.draining = true }
