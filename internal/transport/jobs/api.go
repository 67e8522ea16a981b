package jobs

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/scheduler"
	"github.com/jujubearch/jujubearch/internal/protocol/jobapi"
	"github.com/jujubearch/jujubearch/internal/protocol/problem"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

const (
	// apiTimeout limits the handling of one request to the job API.
	apiTimeout = 5 * time.Second
	// maxSubmitBytes limits the body of a submission, because a job is stored as a single record.
	maxSubmitBytes = 512 << 10
)

// API serves jujubearch's own HTTP job API, which does not depend on the platform, on top of a Service.
type API struct{ service *Service }

// NewAPI returns the handler of the job API.
func NewAPI(service *Service) http.Handler {
	a := &API{service: service}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+jobapi.PathSubmit, a.submit)
	mux.HandleFunc("GET "+jobapi.PathJob, a.inspect)
	mux.HandleFunc("DELETE "+jobapi.PathJob, a.cancel)
	mux.HandleFunc("GET "+jobapi.PathPending, a.countPending)
	mux.HandleFunc("GET "+jobapi.PathQueues, a.listQueues)
	return http.TimeoutHandler(mux, apiTimeout, "")
}

// findRoute returns the route of the queue that a request names and the view that holds it, or nil after it has written a
// refusal.
func (a *API) findRoute(w http.ResponseWriter, r *http.Request) (*job.Route, *scheduler.View) {
	queue := r.PathValue("queue")
	return a.service.FindRoute(w, r, queue, func(routes []job.Route) *job.Route {
		at := slices.IndexFunc(routes, func(route job.Route) bool { return route.Queue == job.Queue(queue) })
		if at < 0 {
			return nil
		}
		return &routes[at]
	})
}

// WriteRefusal writes a problem response stating that the request had no effect. A 503 response also carries
// Retry-After.
func WriteRefusal(w http.ResponseWriter, status int, kind, detail string) {
	p := problem.New(status, kind, detail, verdict.NotRun)
	if status == http.StatusServiceUnavailable {
		p = p.WithRetryAfter(int(RetryAfter / time.Second))
	}
	p.Write(w)
}

func writeJSON(w http.ResponseWriter, response any) {
	body, err := json.Marshal(response)
	if err != nil {
		WriteRefusal(w, http.StatusInternalServerError, "encoding", err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client has disconnected; there is nobody left to respond to.
	_, _ = w.Write(append(body, '\n'))
}

func (a *API) submit(w http.ResponseWriter, r *http.Request) {
	route, view := a.findRoute(w, r)
	if route == nil {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSubmitBytes))
	if err != nil {
		WriteRefusal(w, http.StatusRequestEntityTooLarge, "body", err.Error())
		return
	}
	id := job.ID(r.PathValue("id"))
	j, err := jobapi.Decode(body, id, route.Queue, time.Now())
	if err != nil {
		WriteRefusal(w, http.StatusBadRequest, "job", err.Error())
		return
	}
	j.Route = &job.AcceptedRoute{Route: *route, Version: view.Configuration.Version}
	ctx, cancel := context.WithTimeout(r.Context(), apiTimeout-time.Second)
	defer cancel()
	switch a.service.Submit(ctx, j) {
	case Accepted:
		writeJSON(w, jobapi.Status{ID: id, Phase: job.Queued.String()})
	case Refused:
		WriteRefusal(w, http.StatusServiceUnavailable, "store", "")
	case Unstorable:
		WriteRefusal(w, http.StatusRequestEntityTooLarge, "job-too-large", "")
	case Cancelled:
		WriteRefusal(w, http.StatusGone, "cancelled", "the job was cancelled before it was stored")
	case Undecided, Unknown:
		WriteUndecided(w)
	}
}

// WriteUndecided writes a problem response stating that the request may have taken effect.
func WriteUndecided(w http.ResponseWriter) {
	problem.New(http.StatusGatewayTimeout, "undecided", "ask again with the same id", verdict.MayHaveRun).Write(w)
}

func (a *API) inspect(w http.ResponseWriter, r *http.Request) {
	id := job.ID(r.PathValue("id"))
	phase, outcome := a.service.Inspect(r.Context(), id)
	switch outcome {
	case Accepted:
		writeJSON(w, jobapi.Status{ID: id, Phase: phase.String()})
	case Unknown:
		WriteRefusal(w, http.StatusNotFound, "no-such-job", string(id))
	case Refused, Undecided, Unstorable, Cancelled:
		WriteRefusal(w, http.StatusServiceUnavailable, "store", "")
	}
}

func (a *API) cancel(w http.ResponseWriter, r *http.Request) {
	id := job.ID(r.PathValue("id"))
	ctx, cancel := context.WithTimeout(r.Context(), apiTimeout-time.Second)
	defer cancel()
	switch a.service.Cancel(ctx, id) {
	case Accepted:
		a.inspect(w, r)
	case Unknown:
		WriteRefusal(w, http.StatusNotFound, "no-such-job", string(id))
	case Refused, Undecided, Unstorable, Cancelled:
		WriteUndecided(w)
	}
}

// countPending responds with the number of pending jobs of a queue.
func (a *API) countPending(w http.ResponseWriter, r *http.Request) {
	route, _ := a.findRoute(w, r)
	if route == nil {
		return
	}
	pending, outcome := a.service.Pending(r.Context(), route.Queue)
	if outcome != Accepted {
		WriteRefusal(w, http.StatusServiceUnavailable, "leader", "")
		return
	}
	writeJSON(w, jobapi.Queue{Name: route.Queue, Service: route.Service, Pending: pending})
}

// listQueues responds with the queues and the services that run their tasks.
func (a *API) listQueues(w http.ResponseWriter, _ *http.Request) {
	response := struct {
		Version model.Version  `json:"version"`
		Queues  []jobapi.Queue `json:"queues"`
	}{Version: a.service.View().Configuration.Version}
	for _, route := range a.service.View().Configuration.Routes {
		response.Queues = append(response.Queues, jobapi.Queue{Name: route.Queue, Service: route.Service})
	}
	writeJSON(w, response)
}
