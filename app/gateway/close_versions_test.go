package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/loadbalance"
	"amaranthturn/core/upgrade"
	"amaranthturn/io/peer"
)

// Responses began slowly and then fast shortly before a limit. Targets with older weights were closed, opened
// by the next refresh, and not closed again when their time had come.
func TestOldWeightsAreClosedAgainAfterStartTimesFell(t *testing.T) {
	for _, loadable := range []uint64{0, 2} {
		g, c, watches := newModelGateway(t, 1)
		g.initialReadDone = true
		declaredAt := c.t
		watches[0].handleLoad(peer.TargetLoad{Incarnation: 1, Model: "m", Version: 1, Loadable: loadable, Accepting: true})
		watches[0].handleLoad(peer.TargetLoad{Incarnation: 1, Model: "m", Version: 1, Loadable: loadable, Accepting: true})
		g.mu.Lock()
		g.declarationsOf("m").Add(2, declaredAt, declaredAt)
		isOpen := func(after, startTime time.Duration) bool {
			now := declaredAt.Add(after)
			g.startTime = upgrade.StartTime{}
			g.startTime.Record(startTime)
			g.closeOldVersions(now)
			_, ok := g.service("llm").balancer.Choose(loadbalance.Query{AllowFull: true}, now)
			return ok
		}
		slow, fast := 1500*time.Millisecond, 50*time.Millisecond
		closesAt := g.versionTimeline().LastSafeSend(slow)
		if loadable == 2 {
			closesAt = g.versionTimeline().LastSend(slow)
		}
		assert.Check(t, isOpen(closesAt-1, slow))
		assert.Check(t, !isOpen(closesAt, slow))
		_ = isOpen(closesAt, fast)
		g.refreshBalancers(declaredAt.Add(closesAt))
		closesAt = g.versionTimeline().LastSafeSend(fast)
		if loadable == 2 {
			closesAt = g.versionTimeline().LastSend(fast)
		}
		assert.Check(t, isOpen(closesAt-1, fast))
		assert.Check(t, !isOpen(closesAt, fast), "loadable %d", loadable)
		g.mu.Unlock()
	}
}
