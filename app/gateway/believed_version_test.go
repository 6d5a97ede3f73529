package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/roster"
	"amaranthturn/io/peer"
)

// An engine starts again under its ID and loads what it finds. Until the list shows it, the last report on
// the one before hid that it holds older weights, or none.
func TestRestartedEngineCountsWithItsOwnWeights(t *testing.T) {
	for _, l := range []peer.TargetLoad{
		{Incarnation: 6},
		{Incarnation: 6, Model: "m", Version: 2},
		{Incarnation: 6, Model: "m", Version: 1, Accepting: true},
	} {
		g, c := newTestGateway(t)
		d := &declaredVersions{}
		g.declared["m"] = d
		d.Add(2, c.t.Add(-time.Minute), c.t)
		target := roster.Target{
			ID: "a", Service: "s", Address: "10.0.0.9:80", State: roster.StateReady, Incarnation: 5, Loaded: []roster.LoadedVersion{{Model: "m", Version: 2}},
		}
		g.roster.Update(target)
		w := &loadWatch{g: g, targetAddress: target.Address}
		w.handleLoad(peer.TargetLoad{Incarnation: 5, Model: "m", Version: 2, Accepting: true})
		w.handleLoad(l)
		g.mu.Lock()
		assert.Check(t, !g.canServe(target, c.t), "%+v", l)
		target.Incarnation, target.Loaded = 6, nil
		g.roster.Update(target)
		assert.Check(t, !g.canServe(target, c.t), "listed, %+v", l)
		g.mu.Unlock()
		w.handleLoad(peer.TargetLoad{Incarnation: 6, Model: "m", Version: 2, Accepting: true})
		g.mu.Lock()
		assert.Check(t, g.canServe(target, c.t))
		g.mu.Unlock()
	}
}
