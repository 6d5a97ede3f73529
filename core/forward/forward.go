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
	"cmp"
	"net/http"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/ratelimit"
	"amaranthturn/core/routeconfig"
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
	// Timeout is the timeout set by the caller, 0 if it set none.
	Timeout time.Duration
	// TimeoutAtArrival is the timeout of the request's route when its body began to arrive, 0 if it
	// is unknown.
	TimeoutAtArrival time.Duration
	LastEventID      string // last event ID received from an interrupted stream, empty for a new one
	Model            fleet.Model
	// PromptTokens is the size of the prompt; MaxOutputTokens is the maximum size of the
	// generated output.
	PromptTokens, MaxOutputTokens int
	// OutputTokensHint is the caller's estimate of the number of output tokens, 0 if it gave
	// none.
	OutputTokensHint int
	// SharedParts are the parts of the prompt that other requests may share: all but the last.
	SharedParts []fleet.Fingerprint
}

// Attempt is a request as it is sent to one target.
type Attempt struct {
	Call      *Call
	Target    fleet.InstanceID
	Address   string
	Workspace fleet.Workspace
	// Remaining returns the time until the target must stop. It is asked once there is a connection, since
	// connecting takes time.
	Remaining   func() time.Duration
	LastEventID string
	// Version is the version of weights that must serve the request, 0 for any.
	Version uint64
	// NewConnection requests a new connection.
	NewConnection bool
	// BeforeSend, if set, is called once there is a connection. If it returns an error, nothing is
	// sent.
	BeforeSend func() error
}

// Reply is the status and header of a target's response.
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
	// Unframed reports that the body has neither a length nor chunks. It ends with its
	// connection, which does not show that it is complete.
	Unframed bool
	// Version is the version of weights, 0 if the target did not state it.
	Version uint64
}

// Notices are what a target states about itself in its answers.
type Notices struct {
	// Leaving reports that the target leaves.
	Leaving bool
	// Pause is how long the target wants no requests, 0 if it does not state it.
	Pause time.Duration
	// IsLimited reports that the target states how many requests it takes from all entries together,
	// which is Limit.
	IsLimited bool
	Limit     ratelimit.Rate
	// IsUnlimited reports that the answer to the request states no limit.
	IsUnlimited bool
	// Malformed is the name of a header with an undefined value, which counts as missing.
	Malformed string
}

// Add adds what a target states in another answer.
func (n *Notices) Add(other Notices) {
	n.Leaving = n.Leaving || other.Leaving
	n.Pause = max(n.Pause, other.Pause)
	if other.IsLimited && (!n.IsLimited || other.Limit < n.Limit) {
		n.IsLimited, n.Limit = true, other.Limit
	}
	n.Malformed = cmp.Or(n.Malformed, other.Malformed)
}

// Deadline is a time that may be raised.
type Deadline interface{ Time() time.Time }

// Responder sends the response to the caller. The response to an unframed reply is unframed too,
// so that it does not claim to be complete.
type Responder interface {
	// SetDeadline sets until when the caller waits. Writes fail some time after it if the caller does
	// not read.
	SetDeadline(d Deadline)
	// WriteResponse sends a reply with its body.
	WriteResponse(r Reply, body []byte)
	// WriteHeader sends the status and header of a reply whose body is streamed.
	WriteHeader(r Reply)
	// WritePart sends and flushes a part of a streamed response. An error means that the
	// caller disconnected.
	WritePart(p []byte) error
	// Refuse ends a request that has no response of a target.
	Refuse(r fleet.Refusal)
}

// Verdict is the result of Classify.
type Verdict int

// The verdicts.
const (
	// VerdictPass forwards the response to the caller.
	VerdictPass Verdict = iota // pass
	// VerdictNoCapacity means that the request did not run because the target has no free
	// capacity.
	VerdictNoCapacity // full
	// VerdictWrongTarget means that the request did not run because another target has the
	// address or the target serves another version.
	VerdictWrongTarget // moved
	// VerdictFailed means that the target failed and the request may have run.
	VerdictFailed // failed
)

// Classify returns how to handle a reply.
func Classify(r Reply) Verdict {
	switch {
	case r.WrongTarget:
		return VerdictWrongTarget
	case r.NotRun && r.Status >= 400:
		return VerdictNoCapacity
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

// OutlastsTimeout reports whether the timeout of the request's route has shrunk while its body arrived.
func (c *Call) OutlastsTimeout(r *routeconfig.Route) bool {
	return r.Timeout > 0 && c.TimeoutAtArrival > r.Timeout
}

// Timeout returns the timeout of a request: the lower of the caller's and the route's, or 0
// if neither is set. A route's timeout that shrinks while the body arrives does not shorten it.
func Timeout(r *routeconfig.Route, c *Call) time.Duration {
	d := r.Timeout
	if c.OutlastsTimeout(r) {
		d = c.TimeoutAtArrival
	}
	if c.Timeout > 0 && (d == 0 || c.Timeout < d) {
		d = c.Timeout
	}
	return d
}
