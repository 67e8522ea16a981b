// Package claim obtains the idempotency claims of keyed requests from the owner of their claim shard, which is this
// entry (jujubearch process) or another.
//
// Guarantee: Claim returns without an error only after the owner has answered. After an error, a claim that the owner
// may have recorded is released in the background, with retries for up to settleTimeout.
package claim

import (
	"context"
	"sync"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/claim"
	"github.com/jujubearch/jujubearch/internal/coordination/ownership"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
	"github.com/jujubearch/jujubearch/internal/transport/control"
	"github.com/jujubearch/jujubearch/internal/transport/peer"
)

const (
	// callTimeout bounds one call to an owner.
	callTimeout = 2 * time.Second
	// retryDelay is the pause between two calls. After a shard has moved, its new owner is known one heartbeat later.
	retryDelay = 100 * time.Millisecond
	// settleTimeout bounds the time for which a settlement is retried.
	settleTimeout = 30 * time.Second
)

// Peers calls the claim owners in other entries.
type Peers interface {
	Claim(ctx context.Context, address string, shard model.ShardID, r claim.Request) (claim.Decision, error)
	Settle(
		ctx context.Context, address string, shard model.ShardID, r claim.Request, notRun bool,
		response *claim.StoredResponse,
	) error
}

// Service requests claims from their owners and settles them.
type Service struct {
	actor       *control.Actor
	peers       Peers
	ctx         context.Context
	cancel      context.CancelFunc
	settlements sync.WaitGroup

	mu     sync.Mutex
	closed bool
}

// NewService returns a service. Close or Abort ends its background settlements.
func NewService(actor *control.Actor, peers Peers) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{actor: actor, peers: peers, ctx: ctx, cancel: cancel}
}

// Close waits for background settlements until the context ends, and then abandons the rest.
func (s *Service) Close(ctx context.Context) {
	s.refuseSettlements()
	done := make(chan struct{})
	go func() {
		s.settlements.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	s.cancel()
	<-done
}

// Abort abandons all background settlements.
func (s *Service) Abort() {
	s.refuseSettlements()
	s.cancel()
	s.settlements.Wait()
}

// refuseSettlements makes Settle ignore further calls, so that the settlements in progress can be waited for.
func (s *Service) refuseSettlements() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// addSettlement counts a settlement, or returns false once the service is closing.
func (s *Service) addSettlement() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.settlements.Add(1)
	}
	return !s.closed
}

// Claim requests the claim, with retries until the context ends. An error carries verdict NotRun.
func (s *Service) Claim(ctx context.Context, r claim.Request) (claim.Decision, error) {
	var lastErr error
	for {
		decision, err := s.claimOnce(ctx, r)
		if err == nil {
			return decision, nil
		}
		lastErr = err
		select {
		case <-time.After(retryDelay):
			continue
		case <-ctx.Done():
		}
		s.Settle(r, true, nil)
		return claim.Decision{}, verdict.NotRunError("the idempotency key could not be claimed", lastErr)
	}
}

func (s *Service) claimOnce(ctx context.Context, r claim.Request) (claim.Decision, error) {
	shard, owner, err := s.ownerOf(r.Key)
	if err != nil {
		return claim.Decision{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if owner.Local {
		return peer.RequestClaim(ctx, s.actor, shard, r)
	}
	return s.peers.Claim(ctx, owner.Address, shard, r)
}

func (s *Service) ownerOf(key model.KeyHash) (model.ShardID, snapshot.ClaimOwner, error) {
	view := s.actor.Snapshot()
	layout := ownership.Layout{
		DataCentres: view.DataCentres, ShardsPerDataCentre: view.Config.ShardsPerDataCentre,
		ClaimShards: view.Config.ClaimShards,
	}
	shard, ok := layout.ClaimShardOfKey(key)
	if !ok {
		return 0, snapshot.ClaimOwner{}, verdict.NotRunError("no claim shards are configured", nil)
	}
	index := uint32(shard) - layout.WorkerShards()
	if int(index) >= len(view.ClaimOwners) || view.ClaimOwners[index].Owner == "" {
		return 0, snapshot.ClaimOwner{}, verdict.NotRunError("the claim shard has no owner", nil)
	}
	return shard, view.ClaimOwners[index], nil
}

// Settle reports to the owner how a request ended. It returns at once and retries the call in the background until the
// owner has recorded the result or settleTimeout has passed. A claim that is never settled counts as running until its
// retention ends. After Close or Abort nothing is reported, as after a crash of the process.
func (s *Service) Settle(r claim.Request, notRun bool,
	response *claim.StoredResponse,
) {
	if !s.addSettlement() {
		return
	}
	go func() {
		defer s.settlements.Done()
		ctx, cancel := context.WithTimeout(s.ctx, settleTimeout)
		defer cancel()
		for s.settleOnce(ctx, r, notRun, response) != nil {
			select {
			case <-time.After(retryDelay):
			case <-ctx.Done():
				return
			}
		}
	}()
}

func (s *Service) settleOnce(ctx context.Context, r claim.Request, notRun bool,
	response *claim.StoredResponse,
) error {
	shard, owner, err := s.ownerOf(r.Key)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if owner.Local {
		return peer.SettleClaim(ctx, s.actor, shard, r, notRun, response)
	}
	return s.peers.Settle(ctx, owner.Address, shard, r, notRun, response)
}
