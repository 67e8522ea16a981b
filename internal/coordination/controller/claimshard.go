package controller

import (
	"slices"

	"github.com/jujubearch/jujubearch/internal/coordination/journal"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// appendClaims queues claim records. It calls onCommitted with nil once they are committed, or with an error of verdict
// MayHaveRun if the shard is lost before. If appendClaims itself returns an error, nothing was queued.
func (c *Controller) appendClaims(s *shard, records []model.ClaimRecord, onCommitted func(error)) error {
	if !s.isActive() {
		return verdict.NotRunError("the shard is not active on this entry", nil)
	}
	ticket, err := s.journal.Append(nil, records)
	if err != nil {
		return err
	}
	s.appendCallbacks[ticket] = onCommitted
	return nil
}

func (s *shard) completeAppends(tickets []journal.Ticket) {
	for _, ticket := range tickets {
		if onCommitted := s.appendCallbacks[ticket]; onCommitted != nil {
			delete(s.appendCallbacks, ticket)
			onCommitted(nil)
		}
	}
}

// failAppends reports all uncommitted appends as having an unknown outcome, in the order in which they were queued.
func (s *shard) failAppends() {
	tickets := make([]journal.Ticket, 0, len(s.appendCallbacks))
	for ticket := range s.appendCallbacks {
		tickets = append(tickets, ticket)
	}
	slices.Sort(tickets)
	for _, ticket := range tickets {
		onCommitted := s.appendCallbacks[ticket]
		delete(s.appendCallbacks, ticket)
		onCommitted(verdict.MayHaveRunError("ownership of the shard was lost", nil))
	}
}
