// Package platform defines the interfaces of the platform's services (store, VM list and workers) and implements them
// with connect-go clients.
//
// Guarantee: every error from a call's transport or service carries a verdict. It is NotRun only if dialling failed or
// the response has a code with which the services refuse a call before it takes effect; otherwise it is MayHaveRun.
package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/protocol/convert"
	"github.com/jujubearch/jujubearch/internal/protocol/platformpb"
	"github.com/jujubearch/jujubearch/internal/protocol/platformpb/platformpbconnect"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// maxResponseBytes bounds one response of a platform service. The largest hold the records of a shard or an inventory.
const maxResponseBytes = 64 << 20

// Record is a key of the store with its encoded value; revision 0 means that the key does not exist.
type Record struct {
	Key      string
	Value    []byte
	Revision model.Revision
	Deleted  bool
}

// Swap is a compare-and-swap of one key: it applies only if the key is at revision Expect.
type Swap struct {
	Key    string
	Expect model.Revision
	Value  []byte
	Lease  model.LeaseID
	Delete bool
}

// Store is the platform's key-value store.
type Store interface {
	Get(ctx context.Context, key string) (Record, error)
	List(ctx context.Context, prefix string) ([]Record, model.Revision, error)
	// CompareAndSwap reports whether the swap was applied. It returns the new record, or the current one on a conflict.
	CompareAndSwap(ctx context.Context, swap Swap) (bool, Record, error)
	// Watch waits up to wait for changes below prefix since revision after, and returns the changed records.
	Watch(ctx context.Context, prefix string, after model.Revision, wait time.Duration) ([]Record, model.Revision, error)
	GrantLease(ctx context.Context, ttl time.Duration) (model.LeaseID, error)
	KeepAlive(ctx context.Context, lease model.LeaseID) (bool, error)
	RevokeLease(ctx context.Context, lease model.LeaseID) error
}

// VMList is the platform's list of VMs.
type VMList interface {
	ListVMs(ctx context.Context) (model.VMList, error)
}

// Workers sends orders to the worker at an address.
type Workers interface {
	Apply(ctx context.Context, address string, shard model.ShardID, epoch model.Epoch, orders []model.Order) (model.WorkerReport, error)
}

// withVerdict adds a verdict to the error of a connect call. A dial error proves that the call was not sent.
func withVerdict(err error) error {
	if err == nil {
		return nil
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return verdict.NotRunError("connection failed", err)
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeResourceExhausted, connect.CodeUnimplemented, connect.CodeNotFound:
		return verdict.NotRunError("call refused", err)
	default:
		return verdict.MayHaveRunError("no response", err)
	}
}

// StoreClient implements Store over connect-go.
type StoreClient struct {
	client platformpbconnect.StoreServiceClient
}

// NewStore returns a client for the store at a base URL.
func NewStore(client *http.Client, url string) *StoreClient {
	return &StoreClient{platformpbconnect.NewStoreServiceClient(client, url, connect.WithReadMaxBytes(maxResponseBytes))}
}

// Get implements Store.
func (s *StoreClient) Get(ctx context.Context, key string) (Record, error) {
	response, err := s.client.Get(ctx, &platformpb.GetRequest{Key: key})
	if err != nil {
		return Record{}, withVerdict(err)
	}
	return recordFromProto(response.GetRecord()), nil
}

// List implements Store.
func (s *StoreClient) List(ctx context.Context, prefix string) ([]Record, model.Revision, error) {
	response, err := s.client.List(ctx, &platformpb.ListRequest{Prefix: prefix})
	if err != nil {
		return nil, 0, withVerdict(err)
	}
	return recordsFromProto(response.GetRecords()), model.Revision(response.GetRevision()), nil
}

// CompareAndSwap implements Store.
func (s *StoreClient) CompareAndSwap(ctx context.Context, swap Swap) (bool, Record, error) {
	response, err := s.client.CompareAndSwap(ctx, &platformpb.CompareAndSwapRequest{
		Key: swap.Key, ExpectRevision: uint64(swap.Expect), Value: swap.Value, LeaseId: uint64(swap.Lease),
		Delete: swap.Delete,
	})
	if err != nil {
		return false, Record{}, withVerdict(err)
	}
	if response.GetSwapped() {
		return true, Record{Key: swap.Key, Value: swap.Value, Revision: model.Revision(response.GetRevision())}, nil
	}
	return false, recordFromProto(response.GetRecord()), nil
}

// Watch implements Store.
func (s *StoreClient) Watch(
	ctx context.Context, prefix string, after model.Revision, wait time.Duration,
) ([]Record, model.Revision, error) {
	response, err := s.client.Watch(ctx, &platformpb.WatchRequest{
		Prefix: prefix, AfterRevision: uint64(after), WaitMilliseconds: uint32(wait.Milliseconds()),
	})
	if err != nil {
		return nil, 0, withVerdict(err)
	}
	return recordsFromProto(response.GetRecords()), model.Revision(response.GetRevision()), nil
}

// GrantLease implements Store.
func (s *StoreClient) GrantLease(ctx context.Context, ttl time.Duration) (model.LeaseID, error) {
	response, err := s.client.GrantLease(ctx, &platformpb.GrantLeaseRequest{TtlMilliseconds: uint32(ttl.Milliseconds())})
	if err != nil {
		return 0, withVerdict(err)
	}
	return model.LeaseID(response.GetLeaseId()), nil
}

// KeepAlive implements Store.
func (s *StoreClient) KeepAlive(ctx context.Context, lease model.LeaseID) (bool, error) {
	response, err := s.client.KeepAlive(ctx, &platformpb.KeepAliveRequest{LeaseId: uint64(lease)})
	if err != nil {
		return false, withVerdict(err)
	}
	return response.GetAlive(), nil
}

// RevokeLease implements Store.
func (s *StoreClient) RevokeLease(ctx context.Context, lease model.LeaseID) error {
	_, err := s.client.RevokeLease(ctx, &platformpb.RevokeLeaseRequest{LeaseId: uint64(lease)})
	return withVerdict(err)
}

func recordFromProto(r *platformpb.Record) Record {
	return Record{Key: r.GetKey(), Value: r.GetValue(), Revision: model.Revision(r.GetRevision()), Deleted: r.GetDeleted()}
}

func recordsFromProto(messages []*platformpb.Record) []Record {
	records := make([]Record, 0, len(messages))
	for _, m := range messages {
		records = append(records, recordFromProto(m))
	}
	return records
}

// VMListClient implements VMList over connect-go.
type VMListClient struct {
	client platformpbconnect.VMListServiceClient
}

// NewVMList returns a client for the VM list at a base URL.
func NewVMList(client *http.Client, url string) *VMListClient {
	return &VMListClient{platformpbconnect.NewVMListServiceClient(client, url, connect.WithReadMaxBytes(maxResponseBytes))}
}

// ListVMs implements VMList.
func (v *VMListClient) ListVMs(ctx context.Context) (model.VMList, error) {
	response, err := v.client.ListVMs(ctx, &platformpb.ListVMsRequest{})
	if err != nil {
		return model.VMList{}, withVerdict(err)
	}
	return convert.VMListFromProto(response), nil
}

// WorkersClient implements Workers over connect-go.
type WorkersClient struct {
	http *http.Client
}

// NewWorkers returns a client for all workers; calls share the connections of client.
func NewWorkers(client *http.Client) *WorkersClient { return &WorkersClient{http: client} }

// Apply implements Workers.
func (w *WorkersClient) Apply(
	ctx context.Context, address string, shard model.ShardID, epoch model.Epoch, orders []model.Order,
) (model.WorkerReport, error) {
	client := platformpbconnect.NewWorkerServiceClient(w.http, "http://"+address, connect.WithReadMaxBytes(maxResponseBytes))
	request := &platformpb.ApplyRequest{Shard: uint32(shard), Epoch: uint64(epoch)}
	for _, order := range orders {
		request.Orders = append(request.Orders, convert.OrderToProto(order))
	}
	response, err := client.Apply(ctx, request)
	if err != nil {
		return model.WorkerReport{}, withVerdict(err)
	}
	return convert.ReportFromProto(orders, response)
}
