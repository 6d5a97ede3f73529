package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/dispatch"
	"amaranthturn/core/forward"
	"amaranthturn/core/loadbalance"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/io/target"
	"amaranthturn/platform"
)

// countingListener counts the bytes that its connections send.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func newCountingListener(t *testing.T) *countingListener {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &countingListener{Listener: tcp}
	t.Cleanup(func() { _ = l.Close() })
	go l.run()
	return l
}

func (l *countingListener) run() {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		var b [1 << 10]byte
		n, _ := c.Read(b[:])
		l.bytes.Add(int64(n))
		_ = c.Close()
	}
}

// newPlainAttempt returns an attempt of a request, which has a second left, on a listed target.
func newPlainAttempt(ctx context.Context, g *Gateway, c *fakeClock, addr string) *targetAttempt {
	g.targets = platform.NewTargetClient(target.NewPool())
	chosen := roster.Target{ID: "a", Service: "s", Address: addr, State: roster.StateReady, Incarnation: 5}
	g.roster.Update(chosen)
	h := &requestHandler{
		g: g, call: &forward.Call{ID: "a1", Method: "GET", Host: "h", URI: "/", Header: http.Header{}}, route: &routeconfig.Route{Kind: routeconfig.KindIdempotent},
		state: dispatch.NewRequest(dispatch.Settings{}, c.t.Add(time.Second)), stream: forward.NewStream(""), requestLimits: requestLimits{deadline: dispatch.NewDeadline(c.t, time.Second)},
	}
	return h.newAttempt(ctx, nil, chosen)
}

// A target asks for a pause while a connection to it is being made, which can take longer than the
// half second after the answer in which requests may still arrive.
func TestAttemptThatWasDiallingWhenThePauseBegan(t *testing.T) {
	for _, paused := range []bool{true, false} {
		g, c := newTestGateway(t)
		l := newCountingListener(t)
		a := newPlainAttempt(t.Context(), g, c, l.Addr().String())
		if paused {
			g.recordNotices(a.target, "a0", forward.Notices{Pause: 2 * time.Second})
		}
		failure, done := a.send()
		assert.Assert(t, !done)
		assert.Equal(t, l.bytes.Load() == 0, paused)
		if paused {
			assert.Equal(t, failure.Kind, dispatch.KindNotSent)
			assert.Equal(t, a.result, loadbalance.ResultUnknown, "the target has not failed")
		}
	}
}
