package gateway

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	"amaranthturn/core/mirror"
	"amaranthturn/core/roster"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

func targetEvent(id, state string, version int, era mirror.Era, rev mirror.Revision) mirror.Event {
	return mirror.Event{Key: platform.TargetKeys + id, Era: era, Revision: rev, Value: fmt.Appendf(nil,
		`{"Service":"s","Address":"10.0.0.9:1","Zone":"z","Version":"v1","Slots":4,"State":%q,"ColdLeftMs":0,"born":5,"Sequence":%d,"Models":[{"Name":"m","Version":%d}]}`, state, rev, version)}
}

// exchangeBothWays lets two entries exchange as they do every half second, once from each side,
// including what is handed on.
func exchangeBothWays(a, b *Gateway, c *fakeClock) {
	for _, p := range [][2]*Gateway{{a, b}, {b, a}} {
		reply := p[1].Exchange(p[0].message(c.t))
		p[0].mu.Lock()
		p[0].mergeEntryUpdate(reply, c.t, c.t)
		m := p[0].entryUpdate(c.t)
		m.Retained = p[0].retainedFor(reply)
		p[0].mu.Unlock()
		if len(m.Retained) > 0 {
			p[1].Exchange(m)
		}
	}
}

// An entry that starts as its region's reader follows no other entry. The copy has the newest
// configuration, but lists a draining target as ready and lacks one that is alive.
func TestStartedReaderLearnsStatesOfTargets(t *testing.T) {
	old, c := newTestGateway(t)
	old.loadStore(mirror.Position{Era: 1, Revision: 6}, c.t, configEvent(11, 1, 3), targetEvent("a", "ready", 1, 1, 4))
	old.mu.Lock()
	old.applyUpdate(mirror.Update{
		Events: []mirror.Event{targetEvent("a", "draining", 1, 1, 8), targetEvent("b", "ready", 1, 1, 9)}, At: mirror.Position{Era: 1, Revision: 9}, EraBase: 9,
	}, receipt{asOf: c.t})
	old.mu.Unlock()
	started, _ := newTestGateway(t)
	for _, g := range []*Gateway{old, started} {
		g.loadStore(mirror.Position{Era: 2, Revision: 6}, c.t, configEvent(11, 2, 3), targetEvent("a", "ready", 1, 2, 4))
	}
	assert.Equal(t, len(old.mirror.Retained()), 2)
	exchangeBothWays(started, old, c)
	_, ok := started.roster.Get("b")
	assert.Check(t, ok, "a target that the copy lacks is unknown")
	a, _ := started.roster.Get("a")
	assert.Equal(t, a.State, roster.StateDraining)
}

// A target that left is recalled at an entry whose first read of the store had failed. It has
// left, its record has not expired.
func TestRecalledRemovalAppliesAfterStoreRecovery(t *testing.T) {
	g, c := newTestGateway(t)
	g.recordStoreResult(errors.New("store unreachable"))
	g.loadStore(mirror.Position{Era: 2, Revision: 6}, c.t, configEvent(11, 2, 3), targetEvent("a", "ready", 1, 2, 4))
	g.recordStoreResult(nil)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recall([]mirror.Event{{Key: platform.TargetKeys + "a", Era: 1, Revision: 9, Deleted: true}})
	assert.Equal(t, len(g.roster.Usable("s")), 0)
}

// The copy lists an older record of the same incarnation, as its sequence shows. What the target
// holds must not go back.
func TestRecordOfTargetDoesNotGoBackWithinItsIncarnation(t *testing.T) {
	g, c := newTestGateway(t)
	g.loadStore(mirror.Position{Era: 1, Revision: 9}, c.t, targetEvent("a", "ready", 2, 1, 9))
	g.loadStore(mirror.Position{Era: 2, Revision: 6}, c.t, targetEvent("a", "ready", 1, 2, 4))
	a, _ := g.roster.Get(fleet.InstanceID("a"))
	assert.Equal(t, a.Version("m"), uint64(2))
}

// A configuration of the era in between is known to one entry only; another one, frozen meanwhile,
// knows an earlier one with a higher revision.
func TestFrozenEntryLearnsConfigurationOfTheSkippedEra(t *testing.T) {
	awake, c := newTestGateway(t)
	frozen, _ := newTestGateway(t)
	for _, g := range []*Gateway{awake, frozen} {
		g.loadStore(mirror.Position{Era: 1, Revision: 17}, c.t, configEvent(11, 1, 17))
	}
	awake.loadStore(mirror.Position{Era: 2, Revision: 15}, c.t, configEvent(4, 2, 15))
	awake.loadStore(mirror.Position{Era: 2, Revision: 16}, c.t, configEvent(14, 2, 16))
	for _, g := range []*Gateway{awake, frozen} {
		g.loadStore(mirror.Position{Era: 3, Revision: 15}, c.t, configEvent(4, 3, 15))
	}
	assert.Equal(t, awake.configVersion(), uint64(14))
	exchangeBothWays(awake, frozen, c)
	assert.Equal(t, frozen.configVersion(), uint64(14))
}

// The region's reader has just started and learns of the configuration in force while another
// entry already follows it.
func TestFollowersAreToldOfRecalledStates(t *testing.T) {
	g, c := newTestGateway(t)
	g.loadStore(mirror.Position{Era: 2, Revision: 6}, c.t, configEvent(11, 2, 5))
	ctx, cancel := context.WithCancel(t.Context())
	updates := make(chan peer.StoreChanges, 100)
	done := make(chan error, 1)
	go func() {
		done <- g.Follow(ctx, mirror.Position{}, time.Hour, func(u peer.StoreChanges) error {
			updates <- u
			return nil
		})
	}()
	assert.Equal(t, len((<-updates).Retained), 0)
	g.mu.Lock()
	g.recall([]mirror.Event{configEvent(14, 1, 9)})
	g.mu.Unlock()
	select {
	case u := <-updates:
		assert.Check(t, len(u.Retained) == 1, "the stream's update has no retained states")
	case <-time.After(time.Second):
		t.Error("no update")
	}
	cancel()
	<-done
}
