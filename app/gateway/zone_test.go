package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	"amaranthturn/core/gossip"
	"amaranthturn/core/roster"
	"amaranthturn/io/peer"
)

// accepting returns a report of a target that serves version 1.
func accepting(running int) peer.TargetLoad {
	return peer.TargetLoad{Incarnation: 1, Model: "m", Version: 1, Accepting: true, Running: running}
}

// addZone adds n targets and the given entries of a zone to what an entry knows.
func addZone(g *Gateway, zone fleet.Zone, n int, now time.Time, entries ...fleet.InstanceID) (addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range n {
		addr := fmt.Sprintf("10.2.%s.%d:1", zone, i)
		addresses = append(addresses, addr)
		g.roster.Update(roster.Target{
			ID: fleet.InstanceID(fmt.Sprintf("%s-%03d", zone, i)), Service: "llm", Address: addr, Zone: zone, Slots: 8, State: roster.StateReady, Incarnation: 1,
			Loaded: []roster.LoadedVersion{{Model: "m", Version: 1}},
		})
	}
	for _, id := range entries {
		g.entryList.Merge([]gossip.Record{{Instance: id, Incarnation: 1, Zone: zone, Region: fleet.Region(zone), Address: "127.0.0.1:1"}}, now)
	}
	g.refreshBalancers(now)
	return addresses
}

// canceledContext ends the streams and watches that a test only counts.
func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// 49 entries before 235 agents in five zones. An entry watches the agents of its zone and one entry
// in each other zone.
func TestWatchesFollowTheZone(t *testing.T) {
	g, c, _ := newModelGateway(t, 28)
	for z := range 4 {
		var entries []fleet.InstanceID
		for e := range 10 {
			entries = append(entries, fleet.InstanceID(fmt.Sprintf("e%d-%d", z, e)))
		}
		addZone(g, fleet.Zone(fmt.Sprint(z)), 52, c.t, entries...)
	}
	g.watchTargets(canceledContext())
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Equal(t, len(g.loadWatches), 28)
	streams := 0
	for _, z := range g.zones {
		if z.watch != nil {
			streams++
		}
	}
	assert.Equal(t, streams, 4)
}

// No entry of a zone reports: after a while its agents are watched directly, until one does.
func TestZoneWithoutRelayIsWatchedDirectly(t *testing.T) {
	g, c, _ := newModelGateway(t, 2)
	addresses := addZone(g, "z2", 3, c.t)
	watches := func() int {
		g.watchTargets(canceledContext())
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.loadWatches)
	}
	assert.Equal(t, watches(), 2)
	c.t = c.t.Add(directDelay)
	assert.Equal(t, watches(), 5)
	addZone(g, "z2", 3, c.t, "e9")
	assert.Equal(t, watches(), 5, "the relay has not reported yet")
	g.zones["z2"].watch.handleLoads([]peer.ZoneLoad{{Address: addresses[0], Load: accepting(3)}})
	assert.Equal(t, watches(), 2)
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Equal(t, g.loads["z2-000"].Running, 3)
}

// A relay fails. Its last loads are used while another one is found, and not longer.
func TestLoadsOfFailedRelayAreHeldBriefly(t *testing.T) {
	g, c, _ := newModelGateway(t, 1)
	addresses := addZone(g, "z2", 2, c.t, "e8", "e9")
	g.watchTargets(canceledContext())
	z := g.zones["z2"]
	first := z.watch
	first.handleLoads([]peer.ZoneLoad{{Address: addresses[0], Load: accepting(3)}, {Address: addresses[1], Load: accepting(4)}})
	first.run(t.Context()) // nothing listens there
	assert.Equal(t, len(g.loads), 2)
	g.watchTargets(canceledContext())
	assert.Assert(t, z.watch != nil && z.watch.relay.Instance != first.relay.Instance)
	first.handleLoads([]peer.ZoneLoad{{Address: addresses[0], Load: accepting(7)}})
	assert.Equal(t, g.loads["z2-000"].Running, 3, "from a relay that was replaced")
	c.t = c.t.Add(zoneLoadHold / 2)
	z.watch.handleLoads([]peer.ZoneLoad{{Address: addresses[1], Load: accepting(5)}})
	_, known := g.loads["z2-000"]
	assert.Assert(t, !known, "the second relay doesn't know this target")
	assert.Equal(t, g.loads["z2-001"].Running, 5)
	z.watch.run(t.Context())
	c.t = c.t.Add(zoneLoadHold)
	g.watchTargets(canceledContext())
	assert.Equal(t, len(g.loads), 0)
}

// A target is listed only after its load was reported, and a load does not change for a long time.
func TestUnchangedLoadsStayKnown(t *testing.T) {
	g, c, _ := newModelGateway(t, 1)
	addZone(g, "z2", 1, c.t, "e9")
	g.watchTargets(canceledContext())
	w := g.zones["z2"].watch
	const late = "10.2.z2.1:1"
	w.handleLoads([]peer.ZoneLoad{{Address: "10.2.z2.0:1", Load: accepting(8)}, {Address: late, Load: accepting(8)}})
	addZone(g, "z2", 2, c.t, "e9")
	w.handleLoads(nil)
	assert.Equal(t, g.loads["z2-001"].Running, 8)
	for range 20 {
		c.t = c.t.Add(time.Second)
		w.handleLoads([]peer.ZoneLoad{{Address: "10.2.z2.0:1", Load: accepting(8), Peak: 8}, {Address: late, Load: accepting(7), Peak: 8, Age: 300 * time.Millisecond}})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Equal(t, g.service("llm").balancer.FreeSlots(c.t), 8, "of the target in the entry's zone only, which has never reported")
}

// An incarnation that has ended is not reported as the one that has begun at its address.
func TestRelayedLoadOfEarlierIncarnationIsIgnored(t *testing.T) {
	g, c, _ := newModelGateway(t, 1)
	addresses := addZone(g, "z2", 1, c.t, "e9")
	listed, _ := g.roster.At(addresses[0])
	listed.Incarnation = 8
	g.roster.Update(listed)
	g.watchTargets(canceledContext())
	old := accepting(2)
	old.Incarnation = 7
	g.zones["z2"].watch.handleLoads([]peer.ZoneLoad{{Address: addresses[0], Load: old}})
	_, known := g.loads["z2-000"]
	assert.Assert(t, !known)
}

// The list lags behind the relay: the incarnation that it shows has ended.
func TestRelayedLoadOfLaterIncarnationCounts(t *testing.T) {
	g, c, _ := newModelGateway(t, 1)
	addresses := addZone(g, "z2", 1, c.t, "e9")
	listed, _ := g.roster.At(addresses[0])
	g.watchTargets(canceledContext())
	relay := g.zones["z2"].watch
	relay.handleLoads([]peer.ZoneLoad{{Address: addresses[0], Load: accepting(2)}})
	relay.handleLoads([]peer.ZoneLoad{{Address: addresses[0], Load: peer.TargetLoad{Incarnation: 7, Model: "m"}}})
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Assert(t, !g.canServe(listed, c.t))
}

// The entries of the system use the relays of a zone evenly, and stay with one that lives.
func TestRelaysAreChosenEvenlyAndKept(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var live []gossip.Record
	for i := range 10 {
		live = append(live, gossip.Record{Instance: fleet.InstanceID(fmt.Sprintf("r%d", i)), Zone: "z2"})
	}
	used := map[fleet.InstanceID]int{}
	for i := range 400 {
		z := &zoneState{zone: "z2", failedAt: map[fleet.InstanceID]time.Time{}}
		self := fleet.InstanceID(fmt.Sprintf("e%d", i))
		r, ok := z.chooseRelay(self, live[:9], now)
		assert.Assert(t, ok)
		used[r.Instance]++
		z.watch = &zoneWatch{relay: r}
		kept, _ := z.chooseRelay(self, live, now)
		assert.Equal(t, kept.Instance, r.Instance)
		z.failedAt[r.Instance] = now
		other, ok := z.chooseRelay(self, live, now)
		assert.Assert(t, ok && other.Instance != r.Instance)
	}
	for id, n := range used {
		assert.Assert(t, n > 20 && n < 80, "%s is used by %d of 400", id, n)
	}
}

// What an entry passes on about its zone, over a real stream: everything first, then changes, a
// change of state at once, and the highest of the last reports.
func TestWatchZoneStream(t *testing.T) {
	g, c, watches := newModelGateway(t, 3)
	addZone(g, "z2", 2, c.t)
	server := grpc.NewServer(peer.ServerOptions(nil)...)
	peer.RegisterMesh(server, g)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	t.Cleanup(func() { server.Stop(); <-served })
	watches[0].handleLoad(accepting(1))
	watches[1].handleLoad(accepting(2))
	g.loads["z2-000"] = accepting(5) // of another zone

	pool := peer.NewPool(peer.DialOptions{})
	t.Cleanup(pool.Close)
	messages := make(chan []peer.ZoneLoad)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- pool.WatchZone(ctx, l.Addr().String(), 700*time.Millisecond, 5*time.Second, func(loads []peer.ZoneLoad) { messages <- loads })
	}()
	next := func() map[string]peer.ZoneLoad {
		t.Helper()
		select {
		case m := <-messages:
			out := map[string]peer.ZoneLoad{}
			for _, l := range m {
				out[l.Address] = l
			}
			return out
		case <-time.After(3 * time.Second):
			t.Fatal("no message")
			return nil
		}
	}
	first := next()
	assert.Equal(t, len(first), 2)
	assert.Equal(t, first["10.1.0.1:1"].Load, accepting(2))
	assert.Equal(t, len(next()), 0, "nothing was reported")
	assert.Equal(t, first["10.1.0.1:1"].Peak, 2)

	startedAt := time.Now()
	stopped := accepting(1)
	stopped.Accepting = false
	g.mu.Lock()
	c.t = c.t.Add(100 * time.Millisecond)
	g.mu.Unlock()
	watches[1].handleLoad(stopped)
	assert.DeepEqual(t, next(), map[string]peer.ZoneLoad{"10.1.0.1:1": {Address: "10.1.0.1:1", Load: stopped, Peak: 2}})
	assert.Assert(t, time.Since(startedAt) < 400*time.Millisecond)

	watches[0].clearLoad()
	assert.DeepEqual(t, next(), map[string]peer.ZoneLoad{"10.1.0.0:1": {Address: "10.1.0.0:1", Unknown: true}})
	cancel()
	var failed *peer.ConnectionError
	assert.Assert(t, errors.As(<-ended, &failed))
}

// The interval of a watch changes. Its target stays known to those that this entry reports to.
func TestWatchWithAnotherPeriodStaysReported(t *testing.T) {
	g, _, watches := newModelGateway(t, 1)
	watches[0].period = 150 * time.Millisecond
	watches[0].handleLoad(accepting(3))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watchLoad(canceledContext(), watches[0].targetAddress, time.Second)
	assert.Assert(t, g.loadWatches[watches[0].targetAddress] != watches[0])
	loads := g.loadsSince(map[string]time.Time{})
	assert.Equal(t, len(loads), 1)
	assert.Equal(t, loads[0].Peak, 3)
}

// The entries of a zone are of an earlier version, which passes no loads on.
func TestZoneOfEarlierVersionIsWatchedDirectly(t *testing.T) {
	server := grpc.NewServer(peer.ServerOptions(nil)...) // knows no service
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	t.Cleanup(func() { server.Stop(); <-served })
	g, c, _ := newModelGateway(t, 1)
	addZone(g, "z2", 3, c.t)
	entry := func(incarnation fleet.Incarnation) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.entryList.Merge([]gossip.Record{{Instance: "e9", Incarnation: incarnation, Zone: "z2", Region: "z2", Address: l.Addr().String()}}, c.t)
	}
	entry(1)
	g.watchTargets(canceledContext())
	z := g.zones["z2"]
	z.watch.run(t.Context())
	assert.Assert(t, z.watch == nil)
	g.watchTargets(canceledContext())
	assert.Assert(t, z.watch == nil, "it is not asked again at once")
	c.t = c.t.Add(directDelay)
	g.watchTargets(canceledContext())
	assert.Equal(t, len(g.loadWatches), 4)
	c.t = c.t.Add(relayRetryDelay)
	entry(2)
	g.watchTargets(canceledContext())
	assert.Assert(t, z.watch != nil, "it may be of the new version now")
	assert.Equal(t, len(g.loadWatches), 4, "until it reports")
}

// A process was paused. What it received before is as old as the pause.
func TestPauseDropsRelayedLoads(t *testing.T) {
	g, c, _ := newModelGateway(t, 1)
	addresses := addZone(g, "z2", 1, c.t, "e9")
	g.tick()
	g.watchTargets(canceledContext())
	old := g.zones["z2"].watch
	old.handleLoads([]peer.ZoneLoad{{Address: addresses[0], Load: accepting(3)}})
	c.t = c.t.Add(3 * time.Second)
	g.tick()
	old.handleLoads([]peer.ZoneLoad{{Address: addresses[0], Load: accepting(4)}})
	assert.Equal(t, len(g.loads), 0)
	g.watchTargets(canceledContext())
	assert.Assert(t, g.zones["z2"].watch != nil, "another stream is opened")
}
