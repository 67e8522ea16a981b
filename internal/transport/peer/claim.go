package peer

import (
	"context"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/coordination/claim"
	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/protocol/convert"
	"github.com/jujubearch/jujubearch/internal/protocol/peerpb"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/transport/control"
)

// Claim implements peerpbconnect.PeerServiceHandler.
func (s *Server) Claim(ctx context.Context, m *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	request, err := convert.ClaimRequestFromProto(m)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	decision, err := RequestClaim(ctx, s.actor, model.ShardID(m.GetShard()), request)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return convert.ClaimResponseToProto(decision), nil
}

// Settle implements peerpbconnect.PeerServiceHandler.
func (s *Server) Settle(ctx context.Context, m *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	request, err := convert.ClaimRequestFromProto(&peerpb.ClaimRequest{
		KeyHash: m.GetKeyHash(), Fingerprint: make([]byte, len(model.KeyHash{})), RequestId: m.GetRequestId(),
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	response := convert.StoredResponseFromProto(m.GetAnswer())
	if err := SettleClaim(ctx, s.actor, model.ShardID(m.GetShard()), request, m.GetNotRun(), response); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return &peerpb.SettleResponse{Recorded: true}, nil
}

// RequestClaim requests a claim from the control actor of this entry.
func RequestClaim(
	ctx context.Context, actor *control.Actor, shard model.ShardID, r claim.Request) (claim.Decision, error,
) {
	return control.AskTyped[claim.Decision](ctx, actor, func(to controller.ReplyTo) controller.Event {
		return controller.ClaimRequested{ReplyTo: to, Shard: shard, Request: r}
	})
}

// SettleClaim reports to the control actor of this entry how a claimed request ended.
func SettleClaim(
	ctx context.Context, actor *control.Actor, shard model.ShardID, r claim.Request, notRun bool,
	response *claim.StoredResponse,
) error {
	_, err := control.AskTyped[bool](ctx, actor, func(to controller.ReplyTo) controller.Event {
		return controller.ClaimSettled{ReplyTo: to, Shard: shard, Request: r, NotRun: notRun, Response: response}
	})
	return err
}

// Claim requests a claim from a peer.
func (c *Client) Claim(
	ctx context.Context, address string, shard model.ShardID, r claim.Request) (claim.Decision, error,
) {
	response, err := c.service(address).Claim(ctx, convert.ClaimRequestToProto(shard, r))
	if err != nil {
		return claim.Decision{}, errors.Trace(err)
	}
	return convert.ClaimResponseFromProto(response)
}

// Settle reports to a peer how a claimed request ended.
func (c *Client) Settle(
	ctx context.Context, address string, shard model.ShardID, r claim.Request, notRun bool,
	response *claim.StoredResponse,
) error {
	_, err := c.service(address).Settle(ctx, &peerpb.SettleRequest{
		KeyHash: r.Key[:], RequestId: r.RequestID, Shard: uint32(shard), NotRun: notRun,
		Answer: convert.StoredResponseToProto(response),
	})
	return errors.Trace(err)
}
