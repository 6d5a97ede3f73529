package gateway

import (
	"fmt"
	"io"
	"net/http/httptest"
	"regexp"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	"amaranthturn/core/gossip"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/io/peer"
)

// counter returns the final value of a counter of the daemon's metrics page.
func counter(t *testing.T, g *Gateway, name string) int {
	t.Helper()
	assert.NilError(t, g.metrics.Close()) // reports what was counted
	rec := httptest.NewRecorder()
	g.metrics.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	page, err := io.ReadAll(rec.Body)
	assert.NilError(t, err)
	m := regexp.MustCompile(`(?m)^\S*` + name + `(\{[^}]*\})? (\d+)`).FindSubmatch(page)
	if m == nil {
		return 0
	}
	n, err := strconv.Atoi(string(m[2]))
	assert.NilError(t, err)
	return n
}

// newModelGateway returns an entry before n targets of one model, which it watches.
func newModelGateway(t *testing.T, n int) (*Gateway, *fakeClock, []*loadWatch) {
	g, c := newTestGateway(t)
	g.doc.Store(routeconfig.New(1, nil, []routeconfig.Service{{Name: "llm", Engine: &routeconfig.Engine{Slots: 8, Models: []routeconfig.EngineModel{{Name: "m"}}}}}, routeconfig.Limits{}, nil))
	g.mu.Lock()
	defer g.mu.Unlock()
	var watches []*loadWatch
	for i := range n {
		addr := fmt.Sprintf("10.1.0.%d:1", i)
		g.roster.Update(roster.Target{
			ID: fleet.InstanceID(fmt.Sprintf("t%03d", i)), Service: "llm", Address: addr, Zone: "z", Slots: 8, State: roster.StateReady, Incarnation: 1,
			Loaded: []roster.LoadedVersion{{Model: "m", Version: 1}},
		})
		w := &loadWatch{g: g, targetAddress: addr, cancel: func() {}}
		g.loadWatches[addr] = w
		watches = append(watches, w)
	}
	g.refreshBalancers(c.t)
	return g, c, watches
}

// Agents report for the first time, change their version and are lost, while others can't be
// reached at all. What an entry does for one of them must not grow with the number of targets.
func TestLoadReportsDoNotRefreshAllTargets(t *testing.T) {
	g, c, watches := newModelGateway(t, 100)
	for _, w := range watches {
		c.t = c.t.Add(time.Second)
		w.clearLoad() // it was never reached
		w.handleLoad(peer.TargetLoad{Incarnation: 1, Model: "m", Version: 1, Accepting: true})
		w.handleLoad(peer.TargetLoad{Incarnation: 1, Model: "m", Version: 1})
		w.handleLoad(peer.TargetLoad{Incarnation: 1, Model: "m", Version: 2, Accepting: true})
		w.clearLoad()
		w.clearLoad()
	}
	assert.Equal(t, counter(t, g, "balancer_refreshes"), 1, "the one before the reports")
}

// A target that stops and resumes accepting requests is closed and open for the balancer at once.
func TestLoadReportClosesTarget(t *testing.T) {
	g, c, watches := newModelGateway(t, 2)
	for range 2 { // before the first report a target counts as used by others
		c.t = c.t.Add(time.Second)
		for _, w := range watches {
			w.handleLoad(peer.TargetLoad{Incarnation: 1, Model: "m", Version: 1, Accepting: true})
		}
	}
	free := func() int {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.service("llm").balancer.FreeSlots(c.t)
	}
	assert.Equal(t, free(), 16)
	watches[0].handleLoad(peer.TargetLoad{Incarnation: 1, Model: "m", Version: 1})
	assert.Equal(t, free(), 8)
	watches[0].handleLoad(peer.TargetLoad{Incarnation: 1, Model: "m", Version: 1, Accepting: true})
	assert.Equal(t, free(), 16)
	watches[0].handleLoad(peer.TargetLoad{Incarnation: 1})
	assert.Equal(t, free(), 8)
	watches[0].clearLoad() // the store lists the version that it had
	assert.Equal(t, free(), 16)
}

// An entry joins. The share of each entry follows it although no target changes.
func TestShareFollowsEntries(t *testing.T) {
	g, c, _ := newModelGateway(t, 4)
	assert.Equal(t, g.appliedShare.entries, 1)
	g.mu.Lock()
	g.entryList.Merge([]gossip.Record{{Instance: "e0", Incarnation: 1, Zone: "z", Region: "r", Address: "10.0.0.9:1"}}, c.t)
	g.mu.Unlock()
	g.refreshForEntries()
	g.refreshForEntries()
	assert.Equal(t, g.appliedShare, entryShare{position: 1, zoneEntries: 2, entries: 2})
	assert.Equal(t, counter(t, g, "balancer_refreshes"), 2, "the one before and one")
}
