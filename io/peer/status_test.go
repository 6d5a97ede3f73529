package peer

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
)

// statusAgent passes on the status of its service, whatever it is.
type statusAgent struct {
	fakeAgent
	status int
}

func (a *statusAgent) Call(context.Context, Call) Reply { return Reply{Status: a.status} }

func (a *statusAgent) RunOrder(context.Context, string, Call) (fleet.Outcome, Reply) {
	return fleet.OutcomeDone, Reply{Status: a.status}
}

func (a *statusAgent) StopOrder(context.Context, string) (fleet.Outcome, Reply) {
	return fleet.OutcomeDone, Reply{Status: a.status}
}

// An agent of an earlier version replies with a status that is none. A caller would get 200 for 0, and
// the end of its connection for others. The call or the order may have run.
func TestReplyWithInvalidStatusIsNone(t *testing.T) {
	for status, want := range map[int]bool{0: false, 7: false, 99: false, 101: false, 199: false, 1000: false, -1: false, 200: true, 404: true, 503: true, 799: true} {
		addr, p := startAgent(t, &statusAgent{status: status})
		_, err := p.Call(t.Context(), addr, Call{})
		_, _, runErr := p.RunOrder(t.Context(), addr, "t", Call{})
		_, _, stopErr := p.StopOrder(t.Context(), addr, "t")
		for _, err := range []error{err, runErr, stopErr} {
			var lost *ConnectionError
			assert.Equal(t, err == nil, want, "%d: %v", status, err)
			assert.Assert(t, err == nil || errors.As(err, &lost) && !lost.NotSent, "%d: %v", status, err)
		}
	}
}
