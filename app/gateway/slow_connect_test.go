package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/dispatch"
	"amaranthturn/core/forward"
	"amaranthturn/core/loadbalance"
	"amaranthturn/core/roster"
	"amaranthturn/platform/platformtest"
)

// slowConnect is a context in which connecting takes a time: net.Dialer asks for its deadline.
type slowConnect struct {
	context.Context
	clock *fakeClock
	took  time.Duration
}

// Deadline implements context.Context.
func (s *slowConnect) Deadline() (time.Time, bool) {
	s.clock.t = s.clock.t.Add(s.took)
	s.took = 0
	return s.Context.Deadline()
}

// readRequest accepts one connection and returns the header of the request on it.
func readRequest(l net.Listener, header chan<- http.Header) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		header <- r.Header
	}
}

// A target that takes long to accept the connection was told the time that was left before, so that it
// worked for a caller that had left.
func TestTimeToConnectIsNotHandedOn(t *testing.T) {
	g, c := newTestGateway(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	header := make(chan http.Header, 1)
	go readRequest(l, header)
	a := newPlainAttempt(&slowConnect{t.Context(), c, 600 * time.Millisecond}, g, c, l.Addr().String())
	a.send()
	stated, err := strconv.Atoi((<-header).Get(platformtest.HeaderDeadline))
	assert.NilError(t, err)
	assert.Equal(t, stated, 400)
}

// A target that was found to leave while the connection to it was being made got the request up to the
// connect timeout later, which left that much less until its DrainMs for a pause of the target.
func TestAttemptThatWasDiallingWhenItsTargetLeft(t *testing.T) {
	for name, leave := range map[string]func(*Gateway, roster.Target){
		"stated in an answer": func(g *Gateway, chosen roster.Target) { g.recordNotices(chosen, "a0", forward.Notices{Leaving: true}) },
		"listed as draining": func(g *Gateway, chosen roster.Target) {
			chosen.State = roster.StateDraining
			g.roster.Update(chosen)
		},
		"removed from the list": func(g *Gateway, chosen roster.Target) { g.roster.Drop(chosen.ID) },
	} {
		t.Run(name, func(t *testing.T) {
			g, c := newTestGateway(t)
			l := newCountingListener(t)
			a := newPlainAttempt(t.Context(), g, c, l.Addr().String())
			leave(g, a.target)
			failure, done := a.send()
			assert.Assert(t, !done)
			assert.Equal(t, l.bytes.Load(), int64(0))
			assert.Equal(t, failure.Kind, dispatch.KindNotSent)
			assert.Equal(t, a.result, loadbalance.ResultUnknown, "the target has not failed")
		})
	}
}
