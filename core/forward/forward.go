// Package forward holds what an entry decides about one request that it passes on to a
// target: what a reply means, what the caller may be told, and how a stream goes on.
//
// # Usage
//
//	switch verdict := forward.Classify(route, reply); verdict { … }
//	if stream.Accept(id) { … give the event to the caller … }
//
// # Invariants
//
// A caller is told that a request has not run only when nothing was sent or the target
// said so. An answer counts as a success only with the target's signature.
package forward

import (
	"net/http"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/routing"
)

//go:generate stringer -type=Verdict -output=forward_string.go -linecomment

// RequestID names one attempt of a caller.
type RequestID string

// Call is a request as the caller sent it.
type Call struct {
	ID     RequestID
	Method string
	URI    string // path and query, unchanged
	Path   string
	Host   string
	Header http.Header // what is passed on
	Body   []byte
	Key    string
	// Wait is how long the caller waits; zero when it named no time.
	Wait      time.Duration
	LastEvent string // of an answer that broke off, empty for a new one
	Model     fleet.Model
	// PromptTokens and AnswerTokens are the size of a generation; the second is a bound.
	PromptTokens, AnswerTokens int
	// AnswerHint is the caller's estimate of the answer's tokens, 0 for none.
	AnswerHint int
}

// Attempt is a request as one target gets it.
type Attempt struct {
	Call      *Call
	Target    fleet.InstanceID
	Address   string
	Workspace fleet.Workspace
	Left      time.Duration // until the target is to stop
	LastEvent string
	// Version is the weights' version that must answer, 0 for any.
	Version uint64
	// Fresh asks for a new connection.
	Fresh bool
}

// Reply is the head of a target's answer.
type Reply struct {
	Status int
	Header http.Header // what is passed back
	// NotRun: the target says that it did not run the request.
	NotRun bool
	// WrongTarget: another target has the address, or it serves another version.
	WrongTarget bool
	// Signed: the target's signature is there.
	Signed bool
	// Version is the weights' version, 0 when not named.
	Version uint64
}

// Responder gives an answer to the caller.
type Responder interface {
	// Whole gives an answer whose body is at hand.
	Whole(status int, h http.Header, body []byte)
	// Begin gives the head of an answer whose parts follow.
	Begin(status int, h http.Header)
	// Part gives a part at once. An error means that the caller is gone.
	Part(p []byte) error
	// Refuse ends a request without an answer of a target.
	Refuse(r fleet.Refusal)
}

// Verdict is what a reply means.
type Verdict int

// The verdicts.
const (
	// VerdictPass: the answer is the caller's.
	VerdictPass Verdict = iota // pass
	// VerdictFull: not run for want of room.
	VerdictFull // full
	// VerdictMoved: not run; the target at the address is another one.
	VerdictMoved // moved
	// VerdictFailed: the target failed; the request may have run.
	VerdictFailed // failed
)

// Classify tells what a reply means.
func Classify(r Reply) Verdict {
	switch {
	case r.WrongTarget:
		return VerdictMoved
	case r.NotRun && r.Status >= 400:
		return VerdictFull
	case r.Status/100 == 2 && !r.Signed:
		return VerdictFailed
	case r.Status/100 == 5 || promisesNotRun(r.Status):
		// A status that would promise the caller that nothing ran must not be passed on
		// without the target's word.
		return VerdictFailed
	}
	return VerdictPass
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Budget returns the time that a request has: the caller's wait and the route's time-out.
func Budget(r *routing.Route, c *Call) time.Duration {
	d := r.Timeout
	if c.Wait > 0 && (d == 0 || c.Wait < d) {
		d = c.Wait
	}
	return d
}
