package jobs

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/jujubearch/jujubearch/internal/coordination/scheduler"
	"github.com/jujubearch/jujubearch/internal/protocol/convert"
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb"
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb/jobspbconnect"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// minCompressBytes is the size from which responses between entries are compressed. Nearly all have some ten bytes.
const minCompressBytes = 4 << 10

// PeerServer serves the job RPCs that other entries send to the leader.
type PeerServer struct{ actor *ControlActor }

// NewPeerServer returns a server that passes requests to the control actor.
func NewPeerServer(actor *ControlActor) *PeerServer { return &PeerServer{actor: actor} }

// Handler returns the path and the handler of the RPC service.
func (s *PeerServer) Handler() (string, http.Handler) {
	return jobspbconnect.NewJobsServiceHandler(s, connect.WithCompressMinBytes(minCompressBytes))
}

// Inspect implements jobspbconnect.JobsServiceHandler.
func (s *PeerServer) Inspect(ctx context.Context, r *jobspb.InspectRequest) (*jobspb.InspectResponse, error) {
	reply, err := s.actor.Inspect(ctx, job.ID(r.GetJobId()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return &jobspb.InspectResponse{
		Leading: reply.Leading, Known: reply.Known, Phase: convert.PhaseToProto(reply.Phase),
	}, nil
}

// Pending implements jobspbconnect.JobsServiceHandler.
func (s *PeerServer) Pending(ctx context.Context, r *jobspb.PendingRequest) (*jobspb.PendingResponse, error) {
	reply, err := s.actor.Pending(ctx, job.Queue(r.GetQueue()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return &jobspb.PendingResponse{Leading: reply.Leading, Jobs: uint32(reply.Jobs)}, nil
}

// Cancel implements jobspbconnect.JobsServiceHandler.
func (s *PeerServer) Cancel(ctx context.Context, r *jobspb.CancelRequest) (*jobspb.CancelResponse, error) {
	reply, err := s.actor.Cancel(ctx, job.ID(r.GetJobId()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return &jobspb.CancelResponse{Lost: reply.NotLeader, Known: reply.Known}, nil
}

// PeerClient calls the leader. It needs an HTTP/1.1 client: a call whose context ends then closes its connection, so
// that a connection without responses is not reused.
type PeerClient struct{ client *http.Client }

// NewPeerClient returns a client for calls between entries.
func NewPeerClient(client *http.Client) *PeerClient { return &PeerClient{client: client} }

func (c *PeerClient) clientFor(address string) jobspbconnect.JobsServiceClient {
	return jobspbconnect.NewJobsServiceClient(c.client, "http://"+address)
}

// Inspect implements Leader.
func (c *PeerClient) Inspect(ctx context.Context, address string, id job.ID) (scheduler.Inspection, error) {
	r, err := c.clientFor(address).Inspect(ctx, &jobspb.InspectRequest{JobId: string(id)})
	if err != nil {
		return scheduler.Inspection{}, verdict.NotRunError("call to the leader failed", err)
	}
	return scheduler.Inspection{
		Leading: r.GetLeading(), Known: r.GetKnown(), Phase: convert.PhaseFromProto(r.GetPhase()),
	}, nil
}

// Pending implements Leader.
func (c *PeerClient) Pending(ctx context.Context, address string, queue job.Queue) (scheduler.PendingCount, error) {
	r, err := c.clientFor(address).Pending(ctx, &jobspb.PendingRequest{Queue: string(queue)})
	if err != nil {
		return scheduler.PendingCount{}, verdict.NotRunError("call to the leader failed", err)
	}
	return scheduler.PendingCount{Leading: r.GetLeading(), Jobs: int(r.GetJobs())}, nil
}

// Cancel implements Leader. After an error, the job may or may not have been cancelled.
func (c *PeerClient) Cancel(ctx context.Context, address string, id job.ID) (scheduler.CancelOutcome, error) {
	r, err := c.clientFor(address).Cancel(ctx, &jobspb.CancelRequest{JobId: string(id)})
	if err != nil {
		return scheduler.CancelOutcome{}, verdict.MayHaveRunError("call to the leader failed", err)
	}
	return scheduler.CancelOutcome{NotLeader: r.GetLost(), Known: r.GetKnown()}, nil
}
