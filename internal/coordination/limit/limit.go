// Package limit divides the slots of each upstream instance between the entries of one data centre.
//
// The entries of a data centre are numbered, and an entry's number is its seat. The seats form a ring: seat 0 is the
// next one after the last. Each seat owns a fixed base share of the slots of every instance. An entry that needs more
// slots borrows them from its peers, which in this package are the other entries of its data centre. An entry that
// shuts down hands its seat over to the entry with the next seat. That entry also takes over the seat of an entry whose
// VM has been removed. A process that starts claims its seat, so that an entry that took it over returns it.
//
// Guarantee: for each instance, the slots that all live entries may use plus the requests still running beyond them
// never exceed the instance's slots. This holds when messages are lost, delayed, duplicated or reordered, when
// processes pause or restart, and for clocks whose rates are within 1% of true time. It relies on every request ending
// by its deadline and within Settings.MaxRequestDuration of its start.
//
// Loans are requested by the borrower. The borrower counts the duration of a loan from the time at which it sent the
// request. The lender counts a longer duration from a later time, its answer, so that no bound on message delay is
// needed.
package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
)

const (
	// LoanDuration is the time for which a grant is valid. It exceeds the default request timeout of 10 s, since a
	// request may take a borrowed slot only if it ends within the loan.
	LoanDuration = 15 * time.Second
	// RenewInterval is the time between two requests that a borrower sends to a lender to renew its loans.
	RenewInterval = time.Second
	// RequestInterval is the shortest time between two requests to one peer.
	RequestInterval = 250 * time.Millisecond
	// DefaultMaxRequestDuration is the default maximum run time of a request.
	DefaultMaxRequestDuration = 30 * time.Second
	// PeerSilenceTimeout is the time without a message after which a peer is not asked for loans.
	PeerSilenceTimeout = 1500 * time.Millisecond
	// marginPercent covers two clocks that differ from true time by 1% in opposite directions.
	marginPercent = 3
	// spareSlots is the number of unused slots that a lender retains, so that its next request starts at once.
	spareSlots = 1
	// peakDecay is the time after which the recorded peak use falls by one slot.
	peakDecay = time.Second
)

// withClockMargin lengthens a duration by the margin for clocks that run at different rates.
func withClockMargin(d time.Duration) time.Duration { return d + d*marginPercent/100 }

// Settings are the settings of an entry's seat, fixed while the process runs.
type Settings struct {
	Entry       model.EntryID
	Incarnation model.Incarnation
	Seat        uint32
	Seats       uint32
	// MaxRequestDuration is the maximum run time of a request; 0 means DefaultMaxRequestDuration.
	MaxRequestDuration time.Duration
	// WaitIfUnknown makes an entry wait for MaxRequestDuration before it uses its seat when the peer that answers the
	// claim has just started itself and can't tell how the seat's last process ended. Without WaitIfUnknown, seats are
	// used at once on the first start of a data centre.
	WaitIfUnknown bool
}

// Instance is an upstream instance in the data centre of this entry.
type Instance struct {
	ID      model.InstanceID
	Slots   uint32
	Limiter *snapshot.InstanceLimiter
}

// Demand is a borrower's demand for slots of one instance.
type Demand struct {
	Instance model.InstanceID
	// Keep is the number of the receiver's slots that the sender uses or may use.
	Keep uint32
	// Want is the number of the receiver's slots that the sender would like to use.
	Want uint32
}

// Request is a message to a peer about its slots and the seats.
type Request struct {
	From        model.EntryID
	Incarnation model.Incarnation
	Seat        uint32
	// To is the newest incarnation of the receiver that the sender knows; 0 means unknown.
	To       model.Incarnation
	Sequence uint64
	// ClaimSeat asks for permission to use the sender's own seat.
	ClaimSeat bool
	// HandOver gives the sender's seat to the receiver; the sender has stopped using it.
	HandOver bool
	Demands  []Demand
}

// Grant is the number of slots that a borrower may use.
type Grant struct {
	Instance model.InstanceID
	Slots    uint32
}

// Response answers a Request.
type Response struct {
	Incarnation model.Incarnation
	Seat        uint32
	Sequence    uint64
	// Refused means that nothing in the request was applied.
	Refused bool
	// Unclean means that requests of the last process of the claimed seat may still run.
	Unclean bool
	// Wait is the time for which requests of the responder's own last process may still run on the claimed seat.
	Wait time.Duration
	// Held lists the instances whose share of the claimed seat the responder still uses.
	Held []model.InstanceID
	// Duration is the duration of the grants, counted from the sending of the request.
	Duration time.Duration
	Grants   []Grant
}

// Outgoing is a request with its destination.
type Outgoing struct {
	To      model.EntryID
	Request Request
}

// commitment is a number of slots that a borrower may use until a time on the lender's clock.
type commitment struct {
	slots   uint32
	expires time.Time
}

// borrower identifies a process, not an entry: slots lent to the entry's previous process may still be in use.
type borrower struct {
	entry       model.EntryID
	incarnation model.Incarnation
}

// loan is a number of slots borrowed until a time on the borrower's clock.
type loan struct {
	slots uint32
	until time.Time
}

type instance struct {
	Instance
	peak     uint32
	peakAt   time.Time
	lent     map[borrower][]commitment
	borrowed map[model.EntryID]loan
	// removed is set once the instance is no longer on the list of instances; its loans expire.
	removed bool
}

type peer struct {
	entry       model.EntryID
	seat        uint32
	incarnation model.Incarnation
	lastHeard   time.Time
	// handedOverBy is the incarnation that handed its seat over; 0 means none.
	handedOverBy model.Incarnation
	// unclean is set when requests of the peer's previous process may still run.
	unclean bool
	// absentSince is the time of the first VM list without the peer since its last message; zero while it is listed.
	// absentUntil is the time of the newest list without it.
	absentSince time.Time
	absentUntil time.Time
	// wasListed is set once the peer has been on the VM list.
	wasListed bool

	// sequence, sentAt and inFlight belong to the newest request of this entry to the peer.
	sequence uint64
	sentAt   time.Time
	inFlight bool
	// lastRequest is the newest request; answeredDemands are the demands in the newest one that was answered.
	lastRequest     Request
	answeredDemands []Demand
	// lastReceivedSequence is the highest sequence number received from the peer's current incarnation.
	lastReceivedSequence uint64
}

// Limits is the state of one entry: its seat, its loans and the limits that it sets on the limiters of instances. It is
// not safe for concurrent use; only the limiters are shared with traffic goroutines.
type Limits struct {
	settings  Settings
	started   time.Time
	peers     []*peer
	instances map[model.InstanceID]*instance
	sortedIDs []model.InstanceID
	seat      seatState
	// holdsPrevious is set while this entry also uses the previous seat, which it took over. returned lists the
	// instances whose share of it has been returned to the seat's new process.
	holdsPrevious bool
	returned      map[model.InstanceID]bool
	// returning is set once the new process of the previous seat has claimed the seat.
	returning bool
	// draining makes the entry lend all unused slots and leaving makes it hand the seat over. handOverAccepted is set
	// once a peer has answered the hand-over.
	draining         bool
	leaving          bool
	handOverAccepted bool
}

// New returns the limits of an entry; peers are the other entries of the data centre.
func New(now time.Time, s Settings, peers []model.EntryID) *Limits {
	if s.MaxRequestDuration == 0 {
		s.MaxRequestDuration = DefaultMaxRequestDuration
	}
	l := &Limits{
		settings: s, started: now, instances: make(map[model.InstanceID]*instance),
		returned: make(map[model.InstanceID]bool),
	}
	for _, id := range peers {
		l.peers = append(l.peers, &peer{entry: id, seat: s.Seats})
	}
	if s.Seats == 1 || len(peers) == 0 {
		l.seat.held = true
	}
	return l
}

// Share returns the part of total that belongs to a seat. The shares of all seats add up to total.
func Share(total, seat, seats uint32) uint32 {
	if seats == 0 {
		return total
	}
	share := total / seats
	if seat < total%seats {
		share++
	}
	return share
}

func (l *Limits) peer(id model.EntryID) *peer {
	for _, p := range l.peers {
		if p.entry == id {
			return p
		}
	}
	return nil
}

// Update replaces the list of instances and applies the limits to their limiters.
func (l *Limits) Update(now time.Time, list []Instance) {
	for _, i := range l.instances {
		i.removed = true
	}
	for _, in := range list {
		known := l.instances[in.ID]
		if known == nil {
			known = &instance{lent: make(map[borrower][]commitment), borrowed: make(map[model.EntryID]loan)}
			l.instances[in.ID] = known
		}
		known.Instance = in
		known.removed = false
	}
	l.sortedIDs = l.sortedIDs[:0]
	for id, i := range l.instances {
		if i.removed && len(i.lent) == 0 && len(i.borrowed) == 0 && i.Limiter.InUse() == 0 {
			delete(l.instances, id)
			continue
		}
		l.sortedIDs = append(l.sortedIDs, id)
	}
	slices.Sort(l.sortedIDs)
	l.Step(now)
}

// Step expires loans and commitments, updates the seat and applies the limits to the limiters.
func (l *Limits) Step(now time.Time) {
	l.updateSeat(now)
	for _, id := range l.sortedIDs {
		i := l.instances[id]
		i.expire(now)
		i.updatePeak(now)
		l.applyLimit(i)
	}
}

// applyLimit sets the limits of an instance's limiter and returns the number of own slots in use at that moment.
func (l *Limits) applyLimit(i *instance) int32 {
	i.applyBorrowed()
	return i.Limiter.SetLimit(l.ownLimit(i))
}

// ownLimit returns the base slots less those lent. After a take-over of the previous seat, requests on slots borrowed
// from that seat also count until they end. The result is negative while more slots are lent than the seats have.
func (l *Limits) ownLimit(i *instance) int32 {
	limit := int32(l.baseSlots(i)) - int32(i.lentSlots())
	if l.holdsPrevious {
		limit -= max(0, i.Limiter.BorrowedInUse()-i.Limiter.BorrowedLimit())
	}
	if l.leaving {
		limit = min(limit, 0)
	}
	return limit
}

// baseSlots returns the number of slots of an instance that belong to the seats held by this entry.
func (l *Limits) baseSlots(i *instance) uint32 {
	var slots uint32
	if l.seat.held && !l.seat.withheld[i.ID] {
		slots += Share(i.Slots, l.settings.Seat, l.settings.Seats)
	}
	if l.holdsPrevious && !l.returning {
		slots += Share(i.Slots, l.previousSeat(), l.settings.Seats)
	}
	return slots
}

// lentSlots returns the number of slots that all borrowers together may use.
func (i *instance) lentSlots() uint32 {
	var total uint32
	for _, commitments := range i.lent {
		total += maxSlots(commitments)
	}
	return total
}

func maxSlots(commitments []commitment) uint32 {
	if len(commitments) == 0 {
		return 0
	}
	return slices.MaxFunc(commitments, func(a, b commitment) int { return cmp.Compare(a.slots, b.slots) }).slots
}

func (i *instance) expire(now time.Time) {
	for b, commitments := range i.lent {
		commitments = slices.DeleteFunc(commitments, func(c commitment) bool { return !now.Before(c.expires) })
		i.lent[b] = commitments
		if len(commitments) == 0 {
			delete(i.lent, b)
		}
	}
	for lender, borrowed := range i.borrowed {
		if !now.Before(borrowed.until) {
			delete(i.borrowed, lender)
		}
	}
}

// updatePeak tracks the peak use, which decays slowly so that short gaps in the load don't end a loan.
func (i *instance) updatePeak(now time.Time) {
	inUse := uint32(i.Limiter.InUse())
	if inUse >= i.peak {
		i.peak, i.peakAt = inUse, now
		return
	}
	if now.Sub(i.peakAt) >= peakDecay {
		i.peak--
		i.peakAt = now
	}
}

// applyBorrowed sets the number of borrowed slots and the earliest end of the loans, because a request can't choose its
// lender.
func (i *instance) applyBorrowed() {
	var slots uint32
	var until time.Time
	for _, borrowed := range i.borrowed {
		slots += borrowed.slots
		if until.IsZero() || borrowed.until.Before(until) {
			until = borrowed.until
		}
	}
	i.Limiter.SetBorrowed(int32(slots), until)
}
