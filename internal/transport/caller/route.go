package caller

import (
	"net/http"
	"strings"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// findRoute returns the matching route with the longest path prefix. Routes with a host take precedence over routes
// without one.
func findRoute(routes []model.Route, r *http.Request) (*model.Route, bool) {
	var best *model.Route
	for i := range routes {
		route := &routes[i]
		if matches(route, r) && (best == nil || precedence(route) > precedence(best)) {
			best = route
		}
	}
	return best, best != nil
}

func matches(route *model.Route, r *http.Request) bool {
	if route.Host != "" && !strings.EqualFold(route.Host, r.Host) {
		return false
	}
	prefix := strings.TrimSuffix(route.PathPrefix, "/")
	rest, ok := strings.CutPrefix(r.URL.Path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// hostPrecedence exceeds the length of any path prefix, so that a route with a host precedes all routes without one.
const hostPrecedence = 1 << 20

func precedence(route *model.Route) int {
	n := len(route.PathPrefix)
	if route.Host != "" {
		n += hostPrecedence
	}
	return n
}

// isIdempotent reports whether a request may be repeated although it may have run already.
func isIdempotent(route *model.Route, method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return route.Idempotent
}
