package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/forward"
	"amaranthturn/core/routeconfig"
)

// A caller that would wait for longer than its route's timeout does not make the other callers of
// the workspace late: no request lasts longer than the route allows.
func TestTimeoutBeyondTheRouteMakesNoOtherLate(t *testing.T) {
	g, c := newTestGateway(t)
	route := &routeconfig.Route{Name: "r", Timeout: 6 * time.Second}
	long := &requestHandler{g: g, route: route, call: &forward.Call{Timeout: time.Hour}}
	usual := &requestHandler{g: g, route: route, call: &forward.Call{Timeout: 6 * time.Second}}
	assert.Assert(t, !long.hasReturned(c.t))
	assert.Assert(t, !usual.hasReturned(c.t), "the whole timeout of the route is left")
}

// A request whose time is short without any refusal before is not late.
func TestShortTimeoutWithoutRefusalIsNotLate(t *testing.T) {
	g, c := newTestGateway(t)
	route := &routeconfig.Route{Name: "r", Timeout: 6 * time.Second}
	for _, timeout := range []time.Duration{6 * time.Second, 3 * time.Second, 2 * time.Second} {
		h := &requestHandler{g: g, route: route, call: &forward.Call{Timeout: timeout}}
		assert.Assert(t, !h.hasReturned(c.t), "%v: nothing was refused", timeout)
	}
}
