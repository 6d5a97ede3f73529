package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/forward"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
)

// A connection to a target took so long that older weights may get no requests any more when it was there.
func TestRequestIsNotSentToWeightsThatBecameTooOld(t *testing.T) {
	for _, kind := range []routeconfig.Kind{routeconfig.KindStreaming, routeconfig.KindIdempotent} {
		g, c := newTestGateway(t)
		d := &declaredVersions{}
		g.declared["m"] = d
		d.Add(2, c.t, c.t)
		target := roster.Target{ID: "a", State: roster.StateReady, Loaded: []roster.LoadedVersion{{Model: "m", Version: 1}}}
		g.roster.Update(target)
		h := &requestHandler{g: g, call: &forward.Call{ID: "r"}, route: &routeconfig.Route{Kind: kind}, startedAt: c.t}
		a := &targetAttempt{handler: h, target: target, parent: t.Context(), ctx: t.Context(), slot: h.race.attempts.Start(target.ID, func() {}), startedAt: c.t}
		c.t = c.t.Add(g.versionTimeline().LastSafeSend(0) - time.Millisecond)
		assert.NilError(t, a.beforeSend())
		c.t = c.t.Add(time.Millisecond)
		assert.Assert(t, a.beforeSend() != nil)
		target.Loaded[0].Version = 2
		assert.NilError(t, a.beforeSend())
	}
}
