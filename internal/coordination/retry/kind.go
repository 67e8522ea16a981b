// Package retry decides whether a request may be repeated or hedged. It guarantees that a request is repeated only if
// it is proved not to have run or is idempotent, and that attempts never exceed 1.1 times the requests.
package retry

import "github.com/jujubearch/jujubearch/internal/state/verdict"

// Kind is the way in which one attempt at an upstream ended.
type Kind uint8

// Ways in which an attempt can end.
const (
	// KindUnknown is the zero value, for an end that no other kind describes. The request may have run.
	KindUnknown Kind = iota
	KindResponse
	KindResponseNotRun
	KindResponseUnproved
	KindDialRefused
	KindDialTimeout
	KindDialFailed
	KindNoConnection
	KindNotWritten
	KindWriteFailed
	KindReadFailed
	KindConnectionClosed
	KindReset
	KindMalformed
	KindDeadline
	KindCallerCancelled
	KindHedgeLost
	KindBodyFailed
	KindStreamRefused
	KindGoAwayUnprocessed
	KindGoAway
	KindStreamReset
	kindCount
)

// Outcome is the meaning of a Kind.
type Outcome struct {
	Name    string
	Verdict verdict.Verdict
	// Reason says why the verdict holds, as a short constant phrase.
	Reason string
	// Connection is set for connection failures, which count towards the ejection of an instance.
	Connection bool
	// Repeatable is set if the request may be repeated: always if it is proved not to have run, otherwise only if it is
	// idempotent and has no idempotency key.
	Repeatable bool
}

var outcomes = [kindCount]Outcome{
	KindUnknown: {
		"unknown", verdict.MayHaveRun, "the exchange with the upstream failed", true, true,
	},
	KindResponse: {
		"response", verdict.Ran, "the upstream responded", false, false,
	},
	KindResponseNotRun: {
		"response-not-run", verdict.NotRun, "the upstream refused the request before running it", false, true,
	},
	KindResponseUnproved: {
		"response-unproved", verdict.MayHaveRun, "the peer can't say whether the request ran", false, true,
	},
	KindDialRefused: {
		"dial-refused", verdict.NotRun, "the upstream refused the connection", true, true,
	},
	KindDialTimeout: {
		"dial-timeout", verdict.NotRun, "the connection was not opened in time", true, true,
	},
	KindDialFailed: {
		"dial-failed", verdict.NotRun, "the connection was not opened", true, true,
	},
	KindNoConnection: {
		"no-connection", verdict.NotRun, "all connections to the upstream are in use", false, true,
	},
	KindNotWritten: {
		"not-written", verdict.NotRun, "the connection ended before a byte of the request was written", false, true,
	},
	KindWriteFailed: {
		"write-failed", verdict.MayHaveRun, "the connection failed while the request was written", true, true,
	},
	KindReadFailed: {
		"read-failed", verdict.MayHaveRun, "the connection failed before the response", true, true,
	},
	KindConnectionClosed: {
		"connection-closed", verdict.MayHaveRun, "the upstream closed the connection without a response", true, true,
	},
	KindReset: {
		"reset", verdict.MayHaveRun, "the upstream reset the connection", true, true,
	},
	KindMalformed: {
		"malformed-response", verdict.MayHaveRun, "the upstream's response is malformed", true, false,
	},
	KindDeadline: {
		"deadline", verdict.MayHaveRun, "the upstream did not respond in time", false, false,
	},
	KindCallerCancelled: {
		"caller-gone", verdict.MayHaveRun, "the caller ended the request", false, false,
	},
	KindHedgeLost: {
		"hedge-lost", verdict.MayHaveRun, "the other attempt responded first", false, false,
	},
	KindBodyFailed: {
		"body-failed", verdict.MayHaveRun, "the caller's request body could not be read", false, false,
	},
	KindStreamRefused: {
		"stream-refused", verdict.NotRun, "the upstream refused the stream before processing it", false, true,
	},
	KindGoAwayUnprocessed: {
		"goaway-beyond", verdict.NotRun, "the upstream closed the connection without processing the stream",
		false, true,
	},
	KindGoAway: {
		"goaway", verdict.MayHaveRun, "the upstream closed the connection with the stream open", true, true,
	},
	KindStreamReset: {
		"stream-reset", verdict.MayHaveRun, "the upstream reset the stream", true, true,
	},
}

// Outcome returns the meaning of the kind.
func (k Kind) Outcome() Outcome {
	if k >= kindCount {
		k = KindUnknown
	}
	return outcomes[k]
}

// String returns the name of the kind.
func (k Kind) String() string { return k.Outcome().Name }

// Kinds returns all kinds.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := range kindCount {
		kinds = append(kinds, k)
	}
	return kinds
}

// Attempt describes a request after a failed attempt.
type Attempt struct {
	Kind Kind
	// Idempotent is set for requests that may run more than once.
	Idempotent bool
	// Keyed is set for requests with an idempotency key. They must not be repeated once any byte may have reached an
	// upstream.
	Keyed bool
	// BodyRead is set once part of the request body was consumed, so that the body can't be sent again.
	BodyRead bool
}

// MayRepeat reports whether the request may be sent again, if the budget allows it.
func MayRepeat(a Attempt) bool {
	outcome := a.Kind.Outcome()
	if a.BodyRead || !outcome.Repeatable {
		return false
	}
	if outcome.Verdict == verdict.NotRun {
		return true
	}
	return a.Idempotent && !a.Keyed
}

// MayHedge reports whether a second attempt may run at the same time as the first.
func MayHedge(idempotent, keyed, hasBody bool) bool { return idempotent && !keyed && !hasBody }
