package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jujubearch/jujubearch/internal/protocol/convert"
	"github.com/jujubearch/jujubearch/internal/protocol/platformpb"
	"github.com/jujubearch/jujubearch/internal/protocol/platformpb/platformpbconnect"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// VMList is a stand-in for the platform's list of VMs. A change becomes visible to ListVMs after a fixed lag.
type VMList struct {
	mu       sync.Mutex
	lag      time.Duration
	versions []listVersion
	down     bool
}

type listVersion struct {
	list      model.VMList
	changedAt time.Time
}

// NewVMList returns an empty list whose changes become visible after lag.
func NewVMList(lag time.Duration) *VMList { return &VMList{lag: lag, versions: []listVersion{{}}} }

// Update replaces the VMs by the result of edit, which gets a copy of the latest version, visible or not.
func (v *VMList) Update(edit func([]model.VM) []model.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	newest := v.versions[len(v.versions)-1].list
	vms := edit(append([]model.VM(nil), newest.VMs...))
	next := model.VMList{Revision: newest.Revision + 1, VMs: vms}
	v.versions = append(v.versions, listVersion{list: next, changedAt: time.Now()})
}

// SetUnavailable makes calls fail as unavailable, or lets them succeed again.
func (v *VMList) SetUnavailable(down bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = down
}

// ListVMs implements VMListService.
func (v *VMList) ListVMs(context.Context, *platformpb.ListVMsRequest) (*platformpb.ListVMsResponse, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.down {
		return nil, connect.NewError(connect.CodeUnavailable, nil)
	}
	visible := v.versions[0].list
	for _, version := range v.versions {
		if time.Since(version.changedAt) >= v.lag {
			visible = version.list
		}
	}
	return convert.VMListToProto(visible), nil
}

// Server serves one stand-in on a loopback address.
type Server struct {
	Address string
	http    *http.Server
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Address }

// Close stops the server and closes its connections at once.
func (s *Server) Close() { _ = s.http.Close() }

func serve(handler http.Handler, connState func(net.Conn, http.ConnState)) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: protocols, ConnState: connState, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return &Server{Address: listener.Addr().String(), http: server}, nil
}

// ServePlatform serves a store and a VM list on the same address.
func ServePlatform(store *Store, list *VMList) (*Server, error) {
	mux := http.NewServeMux()
	mux.Handle(platformpbconnect.NewStoreServiceHandler(store))
	mux.Handle(platformpbconnect.NewVMListServiceHandler(list))
	return serve(mux, nil)
}

// ServeWorker serves a worker on an address of its own.
func ServeWorker(w *Worker) (*Server, error) {
	mux := http.NewServeMux()
	mux.Handle(platformpbconnect.NewWorkerServiceHandler(w))
	return serve(mux, nil)
}

// ServeUpstream serves an upstream instance on an address of its own.
func ServeUpstream(u *Upstream) (*Server, error) { return serve(u, u.ConnState) }
