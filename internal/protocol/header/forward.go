package header

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Names of the headers that a proxy adds, in canonical form.
const (
	ForwardedFor   = "X-Forwarded-For"
	ForwardedHost  = "X-Forwarded-Host"
	ForwardedProto = "X-Forwarded-Proto"
	Via            = "Via"
)

// viaName is the pseudonym of all entries in Via (RFC 9110, section 7.6.3), with the space that separates it from the
// protocol version.
const viaName = " jujubearch"

// MaxHops is the number of entries that may forward one request.
const MaxHops = 1

// ForwardedHeader returns the headers of the request that is sent to the next hop. These are the caller's headers
// without the hop-by-hop headers and without Hops, which only entries may set, and with the X-Forwarded and Via headers
// of this hop.
func ForwardedHeader(r *http.Request) http.Header {
	h := r.Header.Clone()
	trailers := AcceptsTrailers(h)
	RemoveHopByHop(h)
	h.Del(Hops)
	if trailers {
		h["Te"] = []string{"trailers"}
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		if prior := h[ForwardedFor]; len(prior) > 0 {
			host = strings.Join(prior, ", ") + ", " + host
		}
		h[ForwardedFor] = []string{host}
	}
	if h.Get(ForwardedHost) == "" {
		h[ForwardedHost] = []string{r.Host}
	}
	if h.Get(ForwardedProto) == "" {
		h[ForwardedProto] = []string{scheme(r)}
	}
	AddVia(h, r.ProtoMajor, r.ProtoMinor)
	if _, ok := h["User-Agent"]; !ok {
		// Without an explicit empty value, net/http adds a User-Agent of its own.
		h["User-Agent"] = []string{""}
	}
	return h
}

func scheme(r *http.Request) string {
	if r.TLS != nil {
		return "https"
	}
	return "http"
}

// AddVia appends this hop to Via. The HTTP version is that of the received message.
func AddVia(h http.Header, major, minor int) {
	hop := strconv.Itoa(major) + "." + strconv.Itoa(minor) + viaName
	if major == 2 {
		hop = "2" + viaName
	}
	if prior := h[Via]; len(prior) > 0 {
		hop = strings.Join(prior, ", ") + ", " + hop
	}
	h[Via] = []string{hop}
}

// AcceptsTrailers reports whether the TE header lists "trailers".
func AcceptsTrailers(h http.Header) bool {
	for _, value := range h["Te"] {
		for part := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), "trailers") {
				return true
			}
		}
	}
	return false
}

// IsUpgrade reports whether a request asks to switch to another protocol.
func IsUpgrade(r *http.Request) bool {
	if len(r.Header["Upgrade"]) > 0 {
		return true
	}
	for _, value := range r.Header["Connection"] {
		for part := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), "upgrade") {
				return true
			}
		}
	}
	return false
}

// FormatTimeout returns the value of a Request-Timeout header, rounded up to a millisecond.
func FormatTimeout(d time.Duration) string {
	millis := max(1, (d+time.Millisecond-1)/time.Millisecond)
	return strconv.FormatFloat(float64(millis)/1000, 'f', -1, 64)
}

// ParseHops returns the number of entries that have forwarded a request. It returns 0 if the header is absent.
func ParseHops(h http.Header) (int, error) {
	values := h.Values(Hops)
	if len(values) == 0 {
		return 0, nil
	}
	hops, err := strconv.Atoi(values[0])
	if err != nil || len(values) > 1 || hops < 0 || hops > MaxHops {
		return 0, errors.Errorf("%s: %q is not a number from 0 to %d", Hops, strings.Join(values, ", "), MaxHops)
	}
	return hops, nil
}
