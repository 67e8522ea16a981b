package convert

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/limit"
	"github.com/jujubearch/jujubearch/internal/protocol/peerpb"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// LoanRequestToProto converts a loan request that this entry sends.
func LoanRequestToProto(r limit.Request) *peerpb.LoanRequest {
	m := &peerpb.LoanRequest{
		EntryId: string(r.From), Incarnation: uint64(r.Incarnation), Seat: r.Seat, ToIncarnation: uint64(r.To),
		Sequence: r.Sequence, ClaimSeat: r.ClaimSeat, HandOver: r.HandOver,
	}
	for _, d := range r.Demands {
		m.Items = append(m.Items, &peerpb.LoanItem{Instance: string(d.Instance), Keep: d.Keep, Want: d.Want})
	}
	return m
}

// LoanRequestFromProto converts a loan request that this entry receives.
func LoanRequestFromProto(m *peerpb.LoanRequest) limit.Request {
	r := limit.Request{
		From: model.EntryID(m.GetEntryId()), Incarnation: model.Incarnation(m.GetIncarnation()), Seat: m.GetSeat(),
		To: model.Incarnation(m.GetToIncarnation()), Sequence: m.GetSequence(), ClaimSeat: m.GetClaimSeat(),
		HandOver: m.GetHandOver(),
	}
	for _, i := range m.GetItems() {
		r.Demands = append(r.Demands, limit.Demand{
			Instance: model.InstanceID(i.GetInstance()), Keep: i.GetKeep(), Want: i.GetWant(),
		})
	}
	return r
}

// LoanResponseToProto converts the response to a loan request. Wait is rounded up and Duration down to a millisecond,
// so that the receiver never waits for too short a time or uses a loan for too long.
func LoanResponseToProto(r limit.Response) *peerpb.LoanResponse {
	m := &peerpb.LoanResponse{
		Incarnation: uint64(r.Incarnation), Seat: r.Seat, Sequence: r.Sequence, Refused: r.Refused, Unclean: r.Unclean,
		WaitMilliseconds:     uint32((r.Wait + time.Millisecond - 1) / time.Millisecond),
		DurationMilliseconds: uint32(r.Duration / time.Millisecond),
	}
	for _, id := range r.Held {
		m.Held = append(m.Held, string(id))
	}
	for _, g := range r.Grants {
		m.Grants = append(m.Grants, &peerpb.LoanGrant{Instance: string(g.Instance), Slots: g.Slots})
	}
	return m
}

// LoanResponseFromProto converts the response to a loan request.
func LoanResponseFromProto(m *peerpb.LoanResponse) limit.Response {
	r := limit.Response{
		Incarnation: model.Incarnation(m.GetIncarnation()), Seat: m.GetSeat(), Sequence: m.GetSequence(),
		Refused: m.GetRefused(), Unclean: m.GetUnclean(), Wait: time.Duration(m.GetWaitMilliseconds()) * time.Millisecond,
		Duration: time.Duration(m.GetDurationMilliseconds()) * time.Millisecond,
	}
	for _, id := range m.GetHeld() {
		r.Held = append(r.Held, model.InstanceID(id))
	}
	for _, g := range m.GetGrants() {
		r.Grants = append(r.Grants, limit.Grant{Instance: model.InstanceID(g.GetInstance()), Slots: g.GetSlots()})
	}
	return r
}
