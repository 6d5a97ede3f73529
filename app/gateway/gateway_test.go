package gateway

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/app/settings"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/mirror"
	"amaranthturn/core/roster"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

type fakeClock struct{ t time.Time }

func (c *fakeClock) Now() time.Time { return c.t }

func newTestGateway(t *testing.T) (*Gateway, *fakeClock) {
	c := &fakeClock{time.Unix(1_000_000, 0)}
	m := telemetry.NewMetrics("entry")
	t.Cleanup(func() { _ = m.Close() })
	cfg := &platform.Settings{
		Instance: "e1", Zone: "z", Region: "r", PeersAddress: "10.0.0.1:1", CallersAddress: "10.0.0.1:2",
		Bounds: platform.Bounds{VersionChangeLimit: 8 * time.Second, StablePeriod: 3 * time.Second},
	}
	return New(cfg, c, telemetry.NewLogs(io.Discard, settings.Log{}, "e1"), m, peer.NewPool(peer.DialOptions{}), nil, nil, 1), c
}

// An entry loses the store and recovers by following the entry that reads for its region.
// The store has to count as available again, so that a target whose record is deleted counts
// as removed and not as expired. Found with deltaloom trouble-1 (DRAIN).
func TestStoreRecoveryThroughAnotherEntry(t *testing.T) {
	g, c := newTestGateway(t)
	g.roster.Update(roster.Target{ID: "a", Service: "s", Address: "x", State: roster.StateReady})
	g.recordStoreResult(errors.New("store unreachable"))
	g.handleStoreUpdate(peer.StoreChanges{Update: mirror.Update{At: mirror.Position{Revision: 5}}}, c.t)
	c.t = c.t.Add(roster.DefaultSettings.ExpiryGrace + time.Second)
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Assert(t, g.roster.Remove("a", c.t))
}

// When the entry that reads for others has lost the store, targets whose records expire in
// the meantime remain in use.
func TestStoreLossThroughAnotherEntry(t *testing.T) {
	g, c := newTestGateway(t)
	g.roster.Update(roster.Target{ID: "a", Service: "s", Address: "x", State: roster.StateReady})
	g.handleStoreUpdate(peer.StoreChanges{Update: mirror.Update{At: mirror.Position{Revision: 5}}, StoreUnavailable: true}, c.t)
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Assert(t, !g.roster.Remove("a", c.t))
}

// A restarted entry does not know when a version was declared. Older weights may serve only
// during the stable period, in which the limit does not apply to a process that has just
// started.
func TestVersionsDeclaredBeforeStart(t *testing.T) {
	g, c := newTestGateway(t)
	d := &declaredVersions{}
	g.declared["m"] = d
	d.Add(2, g.declaredSince(c.t, c.t, c.t), c.t)
	target := roster.Target{ID: "a", Loaded: []roster.LoadedVersion{{Model: "m", Version: 1}}}
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Assert(t, g.canServe(target, c.t))
	assert.Assert(t, !g.canServe(target, c.t.Add(3*time.Second)))
	g.initialReadDone = true
	assert.Equal(t, g.declaredSince(c.t, c.t, c.t), c.t)
}

// When the entry that reads for others stops, an entry that follows it receives a version
// only after it follows another one. The time of the version counts from when the copy was
// last current. After a longer loss of the store it counts from directReadAge ago.
// Consistent with deltaloom trouble-2 --vary --seed 27672768896 (VERSION); that run was not
// traced.
func TestVersionsReceivedLate(t *testing.T) {
	g, c := newTestGateway(t)
	g.initialReadDone = true
	for _, x := range []struct{ age, late time.Duration }{
		{900 * time.Millisecond, 0},
		{1100 * time.Millisecond, 1100 * time.Millisecond},
		{5 * time.Second, directReadAge},
	} {
		assert.Equal(t, g.declaredSince(c.t.Add(-x.age), c.t, c.t), c.t.Add(-x.late), "copy was last current %v ago", x.age)
	}
}

// An entry is frozen while a version is declared, and handles the update when it wakes.
func TestFrozenEntryDoesNotExtendOldVersion(t *testing.T) {
	for _, observed := range []bool{false, true} {
		g, c := newTestGateway(t)
		g.initialReadDone = true
		g.tick()
		g.handleStoreUpdate(peer.StoreChanges{Update: mirror.Update{At: mirror.Position{Revision: 5}}}, c.t)
		frozenAt := c.t
		c.t = c.t.Add(3 * time.Second)
		if observed {
			g.tick()
		}
		assert.Assert(t, !g.handleStoreUpdate(peer.StoreChanges{Update: mirror.Update{At: mirror.Position{Revision: 5}}}, frozenAt), "what follows in the buffer is outdated")
		g.mu.Lock()
		assert.Equal(t, g.declaredSince(g.mirror.CurrentAt(), c.t, c.t), frozenAt, "pause observed by a tick: %v", observed)
		g.mu.Unlock()
	}
}

// The entry that reads the store is frozen across a declaration, the one that follows it is not.
// The age of the reader's copy shows the pause.
func TestFollowerOfFrozenReaderDoesNotExtendOldVersion(t *testing.T) {
	g, c := newTestGateway(t)
	g.initialReadDone = true
	g.handleStoreUpdate(peer.StoreChanges{Update: mirror.Update{At: mirror.Position{Revision: 5}}}, c.t)
	declaredAt := c.t
	for range 45 {
		c.t = c.t.Add(tickInterval)
		g.tick()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	asOf := g.currentAsOf(c.t, 900*time.Millisecond)
	assert.Equal(t, g.declaredSince(g.mirror.CurrentAt(), asOf, c.t), declaredAt)
}

// All entries but one are frozen for less than a second, and the one follows an entry whose copy
// is current again.
func TestPausedEntryTellsOthersItsEstimate(t *testing.T) {
	paused, c := newTestGateway(t)
	running, _ := newTestGateway(t)
	running.clock = c
	paused.initialReadDone, running.initialReadDone = true, true
	paused.tick()
	paused.handleStoreUpdate(peer.StoreChanges{Update: mirror.Update{At: mirror.Position{Revision: 5}}}, c.t)
	frozenAt := c.t
	c.t = c.t.Add(900 * time.Millisecond)
	since := paused.declaredSince(frozenAt, c.t, c.t)
	paused.declarationsOf("m").Add(2, since, paused.knownSince(since, frozenAt, c.t))
	running.declarationsOf("m").Add(2, c.t, c.t)
	running.Exchange(paused.Exchange(peer.ExchangeMessage{}))
	assert.Equal(t, running.declared["m"].MinVersion(8*time.Second, frozenAt.Add(8*time.Second)), uint64(2))
}

// A process is paused during its first read of the store, so that no copy is known to be current.
func TestPauseDuringFirstReadKeepsOldVersionForTheStablePeriod(t *testing.T) {
	g, c := newTestGateway(t)
	g.tick()
	c.t = c.t.Add(time.Second)
	g.tick()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.initialReadDone = true
	assert.Equal(t, g.declaredSince(g.mirror.CurrentAt(), time.Time{}, c.t), c.t.Add(3*time.Second-8*time.Second))
}

// An entry that learned of a version late, by whatever cause, hears from another entry how long
// that one has known it.
func TestLateDeclarationIsCorrectedByExchange(t *testing.T) {
	early, c := newTestGateway(t)
	late, _ := newTestGateway(t)
	late.clock = c
	for _, g := range []*Gateway{early, late} {
		g.initialReadDone = true
	}
	early.declarationsOf("m").Add(2, c.t, c.t)
	declaredAt := c.t
	c.t = c.t.Add(3 * time.Second)
	late.declarationsOf("m").Add(2, c.t, c.t)
	early.Exchange(late.Exchange(peer.ExchangeMessage{}))
	late.Exchange(early.Exchange(peer.ExchangeMessage{}))
	for _, g := range []*Gateway{early, late} {
		assert.Equal(t, g.declared["m"].MinVersion(8*time.Second, declaredAt.Add(8*time.Second-1)), uint64(0))
		assert.Equal(t, g.declared["m"].MinVersion(8*time.Second, declaredAt.Add(8*time.Second)), uint64(2))
	}
}

// An entry that has just started knows no others and watches targets with a short period.
// When it knows the forty others of its fleet, the period follows. It stays the same while a
// few entries come and go.
func TestLoadWatchPeriodFollowsEntryCount(t *testing.T) {
	single := max(otherZoneLoadPeriod, otherZonePeriodPerEntry)
	many := 44 * otherZonePeriodPerEntry
	assert.Assert(t, needsNewPeriod(single, many) && needsNewPeriod(many, single))
	for n := 35; n <= 55; n++ {
		assert.Assert(t, !needsNewPeriod(many, time.Duration(n)*otherZonePeriodPerEntry), "%d entries", n)
	}
}

func configEvent(version int, era mirror.Era, rev mirror.Revision) mirror.Event {
	return mirror.Event{Key: platform.ConfigKey, Value: fmt.Appendf(nil, `{"Version":%d}`, version), Era: era, Revision: rev}
}

// loadStore makes the gateway read a store with the given content.
func (g *Gateway) loadStore(at mirror.Position, now time.Time, items ...mirror.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handleChanges(g.mirror.Load(mirror.Snapshot{Items: items, At: at}, now, now), receipt{previous: now, asOf: now})
	g.initialReadDone = true
}

// An entry that starts between a restoration of the store and the next write of the
// configuration reads an older one. It must learn of the one in force from any other entry.
func TestStartedEntryLearnsConfigurationThatTheCopyLacks(t *testing.T) {
	for _, asks := range []string{"started", "old"} {
		old, c := newTestGateway(t)
		old.loadStore(mirror.Position{Era: 1, Revision: 9}, c.t, configEvent(14, 1, 9))
		old.loadStore(mirror.Position{Era: 2, Revision: 6}, c.t, configEvent(11, 2, 5))
		assert.Equal(t, old.configVersion(), uint64(14), "the configuration in force is not taken back")
		started, _ := newTestGateway(t)
		started.loadStore(mirror.Position{Era: 2, Revision: 6}, c.t, configEvent(11, 2, 5))
		assert.Equal(t, started.configVersion(), uint64(11))
		if asks == "started" {
			started.mergeFrom(old, c.t)
		} else {
			reply := started.Exchange(old.message(c.t))
			old.mu.Lock()
			m := old.entryUpdate(c.t)
			m.Retained = old.retainedFor(reply)
			old.mu.Unlock()
			started.Exchange(m)
		}
		assert.Equal(t, started.configVersion(), uint64(14))
		started.loadStore(mirror.Position{Era: 2, Revision: 9}, c.t, configEvent(17, 2, 9))
		assert.Equal(t, started.configVersion(), uint64(17))
		assert.Equal(t, len(started.message(c.t).Retained), 0)
	}
}

func (g *Gateway) message(now time.Time) peer.ExchangeMessage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.entryUpdate(now)
}

func (g *Gateway) mergeFrom(other *Gateway, now time.Time) {
	reply := other.Exchange(g.message(now))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mergeEntryUpdate(reply, now, now)
}

// The stream of an entry that has not learned of the restoration must not hide that the copy
// is out of date.
func TestStreamOfEarlierEraIsLeft(t *testing.T) {
	g, c := newTestGateway(t)
	g.loadStore(mirror.Position{Era: 2, Revision: 6}, c.t)
	readAt := c.t
	c.t = c.t.Add(time.Second)
	update := peer.StoreChanges{Update: mirror.Update{At: mirror.Position{Era: 1, Revision: 20}}}
	assert.Assert(t, !g.handleStoreUpdate(update, c.t))
	assert.Equal(t, g.mirror.CurrentAt(), readAt)
}

// An entry that cannot reach the store learns of the restoration from the others.
func TestCutOffEntryIsBehindAfterRestoration(t *testing.T) {
	own := mirror.Position{Era: 1, Revision: 20}
	assert.Assert(t, isBehind(own, mirror.Position{Era: 2, Revision: 6}, true))
	assert.Assert(t, isBehind(own, mirror.Position{Era: 2, Revision: 6}, false))
	assert.Assert(t, !isBehind(own, mirror.Position{Revision: 99}, true))
	assert.Assert(t, isBehind(own, mirror.Position{Era: 1, Revision: 21}, true))
	assert.Assert(t, !isBehind(own, mirror.Position{Era: 1, Revision: 21}, false))
}

// The engine says in its report that it leaves, and its agent tells the entries. The notice is
// final for the incarnation and reaches the other entries.
func TestAgentReportsThatItsTargetLeaves(t *testing.T) {
	g, c := newTestGateway(t)
	target := roster.Target{ID: "a", Service: "s", Address: "10.0.0.9:80", State: roster.StateReady, Incarnation: 5}
	g.roster.Update(target)
	w := &loadWatch{g: g, targetAddress: target.Address}
	w.handleLoad(peer.TargetLoad{Incarnation: 4, Leaving: true})
	assert.Assert(t, !g.notices.IsLeaving(noticeTarget(target)), "of the incarnation before")
	w.handleLoad(peer.TargetLoad{Incarnation: 5, Leaving: true})
	w.handleLoad(peer.TargetLoad{Incarnation: 5})
	assert.Assert(t, g.notices.IsLeaving(noticeTarget(target)))
	other, _ := newTestGateway(t)
	other.mergeFrom(g, c.t)
	assert.Assert(t, other.notices.IsLeaving(noticeTarget(target)))
}

// A target that doesn't drop a request whose connection is closed began it on older weights after the
// limit: requests were sent to older weights until half a second before it, however late responses began.
func TestOlderWeightsGetNoRequestThatBeginsTooLate(t *testing.T) {
	g, c := newTestGateway(t)
	g.initialReadDone = true
	d := &declaredVersions{}
	g.declared["m"] = d
	d.Add(2, c.t, c.t)
	target := roster.Target{ID: "a", Loaded: []roster.LoadedVersion{{Model: "m", Version: 1}}}
	g.mu.Lock()
	defer g.mu.Unlock()
	at := func(d time.Duration) time.Time { return c.t.Add(d) }
	assert.Assert(t, g.canServe(target, at(7400*time.Millisecond)))
	g.startTime.Record(time.Second)
	assert.Assert(t, g.canServe(target, at(6700*time.Millisecond)))
	assert.Assert(t, !g.canServe(target, at(6800*time.Millisecond)))
}
