package controller

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/limit"
	"github.com/jujubearch/jujubearch/internal/coordination/membership"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// Action is an operation that the transport layer performs for the controller. Its result, if any, returns as an Event.
type Action interface{ isAction() }

// StoreOp is the operation of a StoreCall.
type StoreOp uint8

// Operations of the store. OpSwap is a compare-and-swap by revision.
const (
	OpGet StoreOp = iota + 1
	OpList
	OpSwap
	OpWatch
	OpGrantLease
	OpKeepAlive
	OpRevokeLease
)

// Token matches a StoreDone to its StoreCall.
type Token uint64

// ReplyTo identifies the sender of an event that waits for a Reply.
type ReplyTo uint64

// StoreCall requests one store operation; the result returns as StoreDone.
type StoreCall struct {
	Token Token
	Op    StoreOp
	Key   string
	// Expect is the revision that a swap requires; 0 means that the key must not exist.
	Expect model.Revision
	// Value is a pointer to a type of package model; nil deletes the key.
	Value any
	Lease model.LeaseID
	// After is the store revision after which a watch starts.
	After model.Revision
	// TTL is the lifetime of a granted lease, or how long a watch waits for a change.
	TTL time.Duration
}

// SetTimer requests a TimerFired event after a delay shorter than TickInterval.
type SetTimer struct{ Delay time.Duration }

// SendOrders sends orders to a worker; the result returns as WorkerReported.
type SendOrders struct {
	// At is the time of the decision. Orders that could not be sent soon after it must not be sent at all, because a
	// lease counts from its arrival at the worker and would end later than this entry assumes.
	At      time.Time
	Worker  model.WorkerID
	Address string
	Shard   model.ShardID
	Epoch   model.Epoch
	Orders  []model.Order
}

// SendHeartbeat sends a heartbeat to a peer.
type SendHeartbeat struct {
	Address   string
	Peer      model.EntryID
	Heartbeat membership.Heartbeat
}

// FetchHead requests the newest head of a peer; the result returns as HeadFetched.
type FetchHead struct {
	Address string
	Peer    model.EntryID
}

// SendLoan sends a request for a loan of slots or about the seats to another entry of the data centre; the result
// returns as LoanAnswered.
type SendLoan struct {
	Address string
	Peer    model.EntryID
	Request limit.Request
}

// ListVMs requests the VM list; the result returns as VMsListed.
type ListVMs struct{}

// Reply answers the event that carried ReplyTo.
type Reply struct {
	To    ReplyTo
	Value any
	Err   error
}

// Notify writes a numbered event to the log.
type Notify struct {
	Code  notice.Code
	Attrs []Attr
}

// Attr is an attribute of a logged event.
type Attr = notice.Attr

func (StoreCall) isAction()     {}
func (SetTimer) isAction()      {}
func (SendOrders) isAction()    {}
func (SendHeartbeat) isAction() {}
func (FetchHead) isAction()     {}
func (SendLoan) isAction()      {}
func (ListVMs) isAction()       {}
func (Reply) isAction()         {}
func (Notify) isAction()        {}
