// Package forward implements the decisions of an entry about one request that it forwards
// to a target: how to handle the target's reply, which outcome may be reported to the
// caller, and how a stream continues on another target.
//
// # Usage
//
//	switch verdict := forward.Classify(reply); verdict { … }
//	if stream.Accept(id) { … send the event to the caller … }
//
// # Invariants
//
// The entry reports a request as not run only if nothing was sent or the target reported
// it as not run. A response counts as a success only with the target's signature.
package forward

import (
	"net/http"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/routing"
)

//go:generate stringer -type=Verdict -output=forward_string.go -linecomment

// RequestID identifies one attempt of a caller.
type RequestID string

// Call is a request as the caller sent it.
type Call struct {
	ID     RequestID
	Method string
	URI    string // path and query, unchanged
	Path   string
	Host   string
	Header http.Header // the headers to forward
	Body   []byte
	Key    string
	// Wait is the timeout set by the caller, 0 if it set none.
	Wait      time.Duration
	LastEvent string // last event ID received from an interrupted stream, empty for a new one
	Model     fleet.Model
	// PromptTokens is the size of the prompt; AnswerTokens is the maximum size of the
	// generated output.
	PromptTokens, AnswerTokens int
	// AnswerHint is the caller's estimate of the number of output tokens, 0 if it gave none.
	AnswerHint int
}

// Attempt is a request as it is sent to one target.
type Attempt struct {
	Call      *Call
	Target    fleet.InstanceID
	Address   string
	Workspace fleet.Workspace
	Left      time.Duration // remaining time until the target must stop
	LastEvent string
	// Version is the version of weights that must serve the request, 0 for any.
	Version uint64
	// Fresh requests a new connection.
	Fresh bool
}

// Reply is the head of a target's response.
type Reply struct {
	Status int
	Header http.Header // the headers to forward to the caller
	// NotRun reports that the target did not run the request.
	NotRun bool
	// WrongTarget reports that another target has the address or that the target serves
	// another version.
	WrongTarget bool
	// Signed reports that the target's signature is present.
	Signed bool
	// Version is the version of weights, 0 if the target did not state it.
	Version uint64
}

// Responder sends the response to the caller.
type Responder interface {
	// Whole sends a complete response.
	Whole(status int, h http.Header, body []byte)
	// Begin sends the head of a streamed response.
	Begin(status int, h http.Header)
	// Part sends and flushes a part of a streamed response. An error means that the caller
	// disconnected.
	Part(p []byte) error
	// Refuse ends a request that has no response of a target.
	Refuse(r fleet.Refusal)
}

// Verdict is the result of Classify.
type Verdict int

// The verdicts.
const (
	// VerdictPass forwards the response to the caller.
	VerdictPass Verdict = iota // pass
	// VerdictFull means that the request did not run because the target has no free capacity.
	VerdictFull // full
	// VerdictMoved means that the request did not run because another target has the
	// address or the target serves another version.
	VerdictMoved // moved
	// VerdictFailed means that the target failed and the request may have run.
	VerdictFailed // failed
)

// Classify returns how to handle a reply.
func Classify(r Reply) Verdict {
	switch {
	case r.WrongTarget:
		return VerdictMoved
	case r.NotRun && r.Status >= 400:
		return VerdictFull
	case r.Status/100 == 2 && !r.Signed:
		return VerdictFailed
	case r.Status/100 == 5 || impliesNotRun(r.Status):
		// A status that implies to the caller that the request did not run must not be
		// forwarded unless the target reported it as not run.
		return VerdictFailed
	}
	return VerdictPass
}

func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Budget returns the timeout of a request: the lower of the caller's and the route's, or 0
// if neither is set.
func Budget(r *routing.Route, c *Call) time.Duration {
	d := r.Timeout
	if c.Wait > 0 && (d == 0 || c.Wait < d) {
		d = c.Wait
	}
	return d
}
