package jobs

import (
	"context"
	"net/http"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/scheduler"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/transport/event"
)

const (
	// configConfirmTimeout limits the wait of a request for the store to confirm the configuration. It covers a read of a
	// large configuration over a slow link.
	configConfirmTimeout = 600 * time.Millisecond
	// maxLoggedName bounds a name from a request in the log, in bytes.
	maxLoggedName = 200
)

// FindRoute returns the route that match selects among the routes in force, with the view that holds them. If the
// configuration may not be current, it first waits for a confirmation, but not while the store is known to be away. If
// there is no route, it writes the refusal and returns nil: 404 only if the configuration is current, and otherwise 503,
// because the queue may have been added since. name is for the log.
func (s *Service) FindRoute(
	w http.ResponseWriter, r *http.Request, name string, match func([]job.Route) *job.Route,
) (*job.Route, *scheduler.View) {
	view := s.View()
	if !view.Configured {
		WriteRefusal(w, http.StatusServiceUnavailable, "no-configuration", "")
		return nil, nil
	}
	current := view.ConfigCurrent(time.Now())
	if !current {
		current = s.confirmConfig(r.Context())
		view = s.View()
	}
	if route := match(view.Configuration.Routes); route != nil {
		return route, view
	}
	s.logUnknownQueue(view, name, current)
	if !current {
		WriteRefusal(w, http.StatusServiceUnavailable, "configuration-outdated", "")
		return nil, nil
	}
	WriteRefusal(w, http.StatusNotFound, "unknown-queue", "")
	return nil, nil
}

// confirmConfig waits until the store confirms that the configuration in force is current, and reports whether it has.
func (s *Service) confirmConfig(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, configConfirmTimeout)
	defer cancel()
	confirmation, err := s.Actor.ConfirmConfig(ctx)
	return err == nil && confirmation.Current
}

// logUnknownQueue logs that a request names a queue that is not configured, and by which configuration.
func (s *Service) logUnknownQueue(view *scheduler.View, name string, current bool) {
	event.Log(s.Logger, notice.QueueUnknown, notice.Attr{Key: "queue", Value: name[:min(len(name), maxLoggedName)]},
		notice.Attr{Key: "config_version", Value: view.Configuration.Version},
		notice.Attr{Key: "confirmed_age", Value: time.Since(view.ConfirmedAt)}, notice.Attr{Key: "current", Value: current})
}
