package peer

import (
	"context"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/protocol/peerpb"
	"github.com/jujubearch/jujubearch/internal/protocol/peerpb/peerpbconnect"
	"github.com/jujubearch/jujubearch/internal/transport/control"
)

// maxStatusBytes bounds a status response, which lists the tasks of all shards of an entry.
const maxStatusBytes = 64 << 20

// StatusServer reports the status of this entry to other entries.
type StatusServer struct{ actor *control.Actor }

// NewStatusServer returns a server that reads the status from the control actor.
func NewStatusServer(actor *control.Actor) *StatusServer { return &StatusServer{actor: actor} }

// Handler returns the service's path prefix and its HTTP handler.
func (s *StatusServer) Handler() (string, http.Handler) {
	return peerpbconnect.NewStatusServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes))
}

// Status implements peerpbconnect.StatusServiceHandler.
func (s *StatusServer) Status(ctx context.Context, _ *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	status, err := s.actor.Status(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	encoded, err := json.Marshal(status)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return &peerpb.StatusResponse{Status: encoded}, nil
}

// Status returns the status of a peer.
func (c *Client) Status(ctx context.Context, address string) (controller.Status, error) {
	client := peerpbconnect.NewStatusServiceClient(
		c.http, c.scheme+"://"+address, connect.WithReadMaxBytes(maxStatusBytes),
	)
	response, err := client.Status(ctx, &peerpb.StatusRequest{})
	if err != nil {
		return controller.Status{}, errors.Trace(err)
	}
	var status controller.Status
	if err := json.Unmarshal(response.GetStatus(), &status); err != nil {
		return controller.Status{}, errors.Annotate(err, "decode the peer's status")
	}
	return status, nil
}
