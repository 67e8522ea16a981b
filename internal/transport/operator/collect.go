package operator

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/protocol/operatorapi"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
)

// peerTimeout limits the wait for one peer's status, so that an unreachable data centre does not delay the whole
// response.
const peerTimeout = 2 * time.Second

// workers lists the workers of all entries that respond.
func (s *Server) workers(w http.ResponseWriter, r *http.Request) {
	statuses, unreachable, err := s.collect(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	response := operatorapi.Workers{Unreachable: unreachable}
	for _, status := range statuses {
		response.Workers = append(response.Workers, status.Workers...)
	}
	writeJSON(w, response)
}

// tasks lists the tasks of all entries that respond.
func (s *Server) tasks(w http.ResponseWriter, r *http.Request) {
	statuses, unreachable, err := s.collect(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	response := operatorapi.Tasks{Unreachable: unreachable}
	for _, status := range statuses {
		response.Tasks = append(response.Tasks, status.Tasks...)
	}
	writeJSON(w, response)
}

// collect returns the status of this entry and of all peers that respond, and the ids of those that do not.
func (s *Server) collect(ctx context.Context) ([]controller.Status, []model.EntryID, error) {
	local, err := s.actor.Status(ctx)
	if err != nil {
		return nil, nil, err
	}
	peers := s.actor.Snapshot().Peers
	statuses := make([]controller.Status, len(peers))
	failed := make([]bool, len(peers))
	var wg sync.WaitGroup
	for i, p := range peers {
		wg.Go(func() { statuses[i], failed[i] = s.fetchStatus(ctx, p) })
	}
	wg.Wait()
	collected := []controller.Status{local}
	var unreachable []model.EntryID
	for i, p := range peers {
		if failed[i] {
			unreachable = append(unreachable, p.ID)
			continue
		}
		collected = append(collected, statuses[i])
	}
	slices.Sort(unreachable)
	return collected, unreachable, nil
}

// fetchStatus fetches the status of a peer and reports whether that failed.
func (s *Server) fetchStatus(ctx context.Context, p snapshot.Peer) (controller.Status, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	status, err := s.peers.Status(ctx, p.Address)
	return status, err != nil
}
