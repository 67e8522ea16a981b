// Package verdict defines errors that say whether the failed request or write may have taken effect. Every error that
// crosses a process boundary carries a Verdict. An error without one counts as MayHaveRun, so that an omitted verdict
// never makes a retry look safe.
package verdict

import "errors"

// Verdict says whether a request may have run.
type Verdict uint8

const (
	// MayHaveRun is the zero value: it is unknown whether the request ran or may still run.
	MayHaveRun Verdict = iota
	// NotRun means that the request is proved not to have run and not to run later.
	NotRun
	// Ran means that the request is known to have run.
	Ran
)

// String returns the form used in the Jujubearch-Verdict header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Error is an error that carries a verdict.
type Error struct {
	Verdict Verdict
	// Reason is a short constant phrase, for example "store unavailable".
	Reason string
	Cause  error
}

// Error returns the reason, followed by the cause.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Reason
	}
	return e.Reason + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// NotRunError returns an error with the verdict NotRun.
func NotRunError(reason string, cause error) *Error {
	return &Error{Verdict: NotRun, Reason: reason, Cause: cause}
}

// MayHaveRunError returns an error with the verdict MayHaveRun.
func MayHaveRunError(reason string, cause error) *Error {
	return &Error{Verdict: MayHaveRun, Reason: reason, Cause: cause}
}

// Of returns the verdict of err: Ran for nil, and MayHaveRun for an error that carries none.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var carrier *Error
	if errors.As(err, &carrier) {
		return carrier.Verdict
	}
	return MayHaveRun
}
