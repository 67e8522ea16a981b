// Package operator serves the operator API, health checks and metrics over HTTP. All decisions are left to the control
// actor; every error response states whether the request may have taken effect.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/protocol/header"
	"github.com/jujubearch/jujubearch/internal/protocol/intent"
	"github.com/jujubearch/jujubearch/internal/protocol/operatorapi"
	"github.com/jujubearch/jujubearch/internal/protocol/problem"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
	"github.com/jujubearch/jujubearch/internal/transport/control"
)

// requestTimeout limits one operator request, including its store calls.
const requestTimeout = 20 * time.Second

// Server serves the operator API.
type Server struct {
	actor *control.Actor
	// token returns the current bearer token; an empty one disables authentication.
	token    func() string
	peers    Peers
	maxBytes int64
}

// Peers fetches the status of other entries.
type Peers interface {
	Status(ctx context.Context, address string) (controller.Status, error)
}

// NewServer returns a server that accepts request bodies of up to maxBytes.
func NewServer(actor *control.Actor, peers Peers, token func() string, maxBytes int64) *Server {
	return &Server{actor: actor, peers: peers, token: token, maxBytes: maxBytes}
}

// Handler returns the handler of all routes. Health checks need no token, since the load balancer has none.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operatorapi.PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET "+operatorapi.PathReady, s.ready)
	mux.Handle("GET "+operatorapi.PathMetrics, s.authenticate(func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	}))
	mux.Handle("POST "+operatorapi.PathPlans, s.authenticate(s.submit))
	mux.Handle("GET "+operatorapi.PathPlans, s.authenticate(s.plans))
	mux.Handle("GET "+operatorapi.PathPlans+"/{id}", s.authenticate(s.plans))
	mux.Handle("POST "+operatorapi.PathPlans+"/{id}/confirm", s.authenticate(s.confirm))
	mux.Handle("POST "+operatorapi.PathPlans+"/{id}/reject", s.authenticate(s.reject))
	mux.Handle("GET "+operatorapi.PathStatus, s.authenticate(s.status))
	mux.Handle("GET "+operatorapi.PathWorkers, s.authenticate(s.workers))
	mux.Handle("GET "+operatorapi.PathTasks, s.authenticate(s.tasks))
	mux.Handle("GET "+operatorapi.PathAudit, s.authenticate(s.audit))
	return mux
}

// authenticate requires the bearer token, if one is set, and limits the request to requestTimeout.
func (s *Server) authenticate(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if token := s.token(); token != "" && !hasToken(r, token) {
			problem.New(http.StatusUnauthorized, "missing-token", "a bearer token is required", verdict.NotRun).Write(w)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		next(w, r.WithContext(ctx))
	})
}

// hasToken reports whether the request has the bearer token. It compares in constant time.
func hasToken(r *http.Request, token string) bool {
	sent, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return found && subtle.ConstantTimeCompare([]byte(sent), []byte(token)) == 1
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.actor.Snapshot().Ready {
		w.WriteHeader(http.StatusOK)
		return
	}
	problem.New(http.StatusServiceUnavailable, "not-ready", "", verdict.NotRun).Write(w)
}

// operatorName returns the operator that the request names; it is recorded, not verified.
func operatorName(r *http.Request) string {
	if name := r.Header.Get(operatorapi.HeaderOperator); name != "" {
		return name
	}
	return "unknown"
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.maxBytes))
	if err != nil {
		problem.New(http.StatusRequestEntityTooLarge, "body-too-large", err.Error(), verdict.NotRun).Write(w)
		return
	}
	intents, err := intent.Parse(body)
	if err != nil {
		problem.New(http.StatusUnprocessableEntity, "bad-intent", err.Error(), verdict.NotRun).Write(w)
		return
	}
	id, err := uuid.NewV7()
	if err != nil {
		problem.New(http.StatusInternalServerError, "no-random", err.Error(), verdict.NotRun).Write(w)
		return
	}
	serveReply[model.Plan](s, w, r, func(to controller.ReplyTo) controller.Event {
		return controller.PlanSubmitted{
			ReplyTo: to, ID: model.PlanID(id.String()), Operator: operatorName(r),
			Digest: intent.Digest(body), Intents: intents,
		}
	})
}

func (s *Server) plans(w http.ResponseWriter, r *http.Request) {
	serveReply[[]model.Plan](s, w, r, func(to controller.ReplyTo) controller.Event {
		return controller.PlansRequested{ReplyTo: to, ID: model.PlanID(r.PathValue("id"))}
	})
}

func (s *Server) confirm(w http.ResponseWriter, r *http.Request) {
	serveReply[controller.Confirmation](s, w, r, func(to controller.ReplyTo) controller.Event {
		return controller.PlanConfirmed{ReplyTo: to, ID: model.PlanID(r.PathValue("id")), Operator: operatorName(r)}
	})
}

func (s *Server) reject(w http.ResponseWriter, r *http.Request) {
	serveReply[model.Plan](s, w, r, func(to controller.ReplyTo) controller.Event {
		return controller.PlanRejected{ReplyTo: to, ID: model.PlanID(r.PathValue("id")), Operator: operatorName(r)}
	})
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	serveReply[controller.Status](s, w, r, func(to controller.ReplyTo) controller.Event {
		return controller.StatusRequested{ReplyTo: to}
	})
}

func (s *Server) audit(w http.ResponseWriter, r *http.Request) {
	serveReply[[]model.AuditEntry](s, w, r, func(to controller.ReplyTo) controller.Event {
		return controller.AuditRequested{ReplyTo: to}
	})
}

// serveReply sends the event that build returns to the control actor and writes the reply as JSON.
func serveReply[T any](
	s *Server, w http.ResponseWriter, r *http.Request, build func(controller.ReplyTo) controller.Event,
) {
	value, err := control.AskTyped[T](r.Context(), s.actor, build)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, value)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// retryAfterSeconds is the Retry-After of responses whose outcome is unknown, such as after failures of the store.
const retryAfterSeconds = 2

// writeError writes an error as a problem document: as a refusal if the request is proved to have had no effect, and
// otherwise as an unknown outcome.
func writeError(w http.ResponseWriter, err error) {
	if verdict.Of(err) == verdict.NotRun {
		problem.New(http.StatusConflict, "refused", err.Error(), verdict.NotRun).Write(w)
		return
	}
	w.Header().Set(header.RetryAfter, "2")
	problem.New(http.StatusGatewayTimeout, "outcome-unknown", err.Error(), verdict.MayHaveRun).
		WithRetryAfter(retryAfterSeconds).Write(w)
}
