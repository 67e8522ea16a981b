// Package peer is the RPC server and client (connect-go) between entries, the jujubearch processes, and loads the
// certificates of mutual TLS between them.
//
// Guarantees: handlers pass each call to the control actor and decide nothing themselves; messages above a fixed size
// are rejected.
package peer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/coordination/limit"
	"github.com/jujubearch/jujubearch/internal/protocol/convert"
	"github.com/jujubearch/jujubearch/internal/protocol/peerpb"
	"github.com/jujubearch/jujubearch/internal/protocol/peerpb/peerpbconnect"
	"github.com/jujubearch/jujubearch/internal/protocol/record"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/transport/control"
)

// maxMessageBytes bounds a message between entries.
const maxMessageBytes = 1 << 20

// Server implements the peer service for other entries.
type Server struct {
	peerpbconnect.UnimplementedPeerServiceHandler

	actor *control.Actor
}

// NewServer returns a server that passes calls to the control actor.
func NewServer(actor *control.Actor) *Server { return &Server{actor: actor} }

// Handler returns the service's path prefix and its HTTP handler.
func (s *Server) Handler() (string, http.Handler) {
	return peerpbconnect.NewPeerServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes))
}

// Heartbeat implements peerpbconnect.PeerServiceHandler.
func (s *Server) Heartbeat(ctx context.Context, m *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	received := time.Now().UnixMicro()
	if err := s.actor.Send(ctx, controller.HeartbeatReceived{Heartbeat: convert.HeartbeatFromProto(m)}); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	view := s.actor.Snapshot()
	return &peerpb.HeartbeatResponse{
		EntryId: string(view.Entry), ConfigVersion: uint64(view.Config.Version), ReceivedMicros: received,
		SentMicros: time.Now().UnixMicro(),
	}, nil
}

// Head implements peerpbconnect.PeerServiceHandler.
func (s *Server) Head(ctx context.Context, _ *peerpb.HeadRequest) (*peerpb.HeadResponse, error) {
	stored, err := control.AskTyped[controller.StoredRecord](ctx, s.actor, func(to controller.ReplyTo) controller.Event {
		return controller.HeadRequested{ReplyTo: to}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	encoded, err := record.Encode(stored.Key, stored.Value)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return &peerpb.HeadResponse{Revision: uint64(stored.Revision), Value: encoded}, nil
}

// Loan implements peerpbconnect.PeerServiceHandler.
func (s *Server) Loan(ctx context.Context, m *peerpb.LoanRequest) (*peerpb.LoanResponse, error) {
	response, err := control.AskTyped[limit.Response](ctx, s.actor, func(to controller.ReplyTo) controller.Event {
		return controller.LoanRequested{ReplyTo: to, Request: convert.LoanRequestFromProto(m)}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return convert.LoanResponseToProto(response), nil
}

// Client is the RPC client for other entries.
type Client struct {
	http   *http.Client
	scheme string
}

// NewClient returns a client; scheme is http or https.
func NewClient(client *http.Client, scheme string) *Client {
	return &Client{http: client, scheme: scheme}
}

func (c *Client) service(address string) peerpbconnect.PeerServiceClient {
	return peerpbconnect.NewPeerServiceClient(c.http, c.scheme+"://"+address, connect.WithReadMaxBytes(maxMessageBytes))
}

// Heartbeat sends a heartbeat and returns the round-trip time without the peer's processing time.
func (c *Client) Heartbeat(ctx context.Context, address string, hb controller.SendHeartbeat) (time.Duration, error) {
	message := convert.HeartbeatToProto(hb.Heartbeat)
	sent := time.Now()
	message.SentMicros = sent.UnixMicro()
	response, err := c.service(address).Heartbeat(ctx, message)
	if err != nil {
		return 0, errors.Trace(err)
	}
	processing := time.Duration(response.GetSentMicros()-response.GetReceivedMicros()) * time.Microsecond
	return time.Since(sent) - processing, nil
}

// RequestLoan sends a slot loan request to another entry of the data centre.
func (c *Client) RequestLoan(ctx context.Context, address string, r limit.Request) (limit.Response, error) {
	response, err := c.service(address).Loan(ctx, convert.LoanRequestToProto(r))
	if err != nil {
		return limit.Response{}, errors.Trace(err)
	}
	return convert.LoanResponseFromProto(response), nil
}

// Head returns the newest head record (configuration and audit entries, model.Head) that a peer holds.
func (c *Client) Head(ctx context.Context, address string) (controller.StoredRecord, error) {
	response, err := c.service(address).Head(ctx, &peerpb.HeadRequest{})
	if err != nil {
		return controller.StoredRecord{}, errors.Trace(err)
	}
	value, err := record.Decode(model.KeyHead, response.GetValue())
	if err != nil {
		return controller.StoredRecord{}, errors.Trace(err)
	}
	return controller.StoredRecord{
		Key: model.KeyHead, Revision: model.Revision(response.GetRevision()), Value: value,
	}, nil
}
