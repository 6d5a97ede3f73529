package gateway

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	"amaranthturn/core/mirror"
	"amaranthturn/core/upgrade"
	"amaranthturn/internal/liveheap"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

// laggingPair is an entry that reads the store and one that follows it and lags behind.
type laggingPair struct {
	t                *testing.T
	reader, follower *Gateway
	clock            *fakeClock // of both
	position         mirror.Position
}

func newLaggingPair(t *testing.T, items ...mirror.Event) *laggingPair {
	p := &laggingPair{t: t, position: mirror.Position{Era: 1, Revision: 9}}
	p.reader, p.clock = newTestGateway(t)
	p.follower, _ = newTestGateway(t)
	p.follower.clock = p.clock
	for _, g := range []*Gateway{p.reader, p.follower} {
		g.loadStore(p.position, p.clock.t, items...)
	}
	return p
}

// write lets the reader receive a state from a watch.
func (p *laggingPair) write(e mirror.Event) {
	p.position.Revision++
	e.Era, e.Revision = p.position.Era, p.position.Revision
	p.reader.mu.Lock()
	defer p.reader.mu.Unlock()
	p.reader.applyUpdate(mirror.Update{Events: []mirror.Event{e}, At: p.position, EraBase: p.position.Revision}, receipt{asOf: p.clock.t})
}

// pass lets time pass.
func (p *laggingPair) pass(d time.Duration) {
	p.clock.t = p.clock.t.Add(d)
}

// catchUp lets the follower receive what it has missed.
func (p *laggingPair) catchUp() {
	p.reader.mu.Lock()
	u := p.reader.mirror.ChangesSince(p.follower.mirror.Position())
	p.reader.mu.Unlock()
	p.follower.mu.Lock()
	defer p.follower.mu.Unlock()
	p.follower.applyUpdate(u, receipt{asOf: p.clock.t, wasMissed: true})
}

func textEvent(key, value string) mirror.Event { return mirror.Event{Key: key, Value: []byte(value)} }

// A configuration that is refused, or deleted, follows a valid one before an entry has received that
// one. The entry must not stay on an older configuration than its neighbours.
func TestLaggingEntryReceivesTheConfigurationInForce(t *testing.T) {
	for name, later := range map[string][]mirror.Event{
		"refused": {textEvent(platform.ConfigKey, `{"Version":13,"Routes":3}`)},
		"twice":   {textEvent(platform.ConfigKey, `{`), textEvent(platform.ConfigKey, `[]`)},
		"deleted": {{Key: platform.ConfigKey, Deleted: true}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newLaggingPair(t, configEvent(11, 1, 9))
			p.write(configEvent(12, 1, 0))
			for _, e := range later {
				p.write(e)
			}
			p.catchUp()
			assert.Equal(t, p.reader.configVersion(), uint64(12))
			assert.Equal(t, p.follower.configVersion(), uint64(12))
			p.write(configEvent(14, 1, 0))
			p.catchUp()
			assert.Equal(t, p.follower.configVersion(), uint64(14))
		})
	}
}

// Several configurations arrive in one update. Only the last one that is valid is put in force.
func TestSupersededConfigurationsOfAnUpdateAreNotPutInForce(t *testing.T) {
	g, c := newTestGateway(t)
	g.loadStore(mirror.Position{Era: 1, Revision: 9}, c.t, configEvent(11, 1, 9))
	g.mu.Lock()
	defer g.mu.Unlock()
	refused := mirror.Event{Key: platform.ConfigKey, Value: []byte(`{`), Era: 1, Revision: 12}
	g.applyUpdate(mirror.Update{Events: []mirror.Event{configEvent(12, 1, 10), configEvent(13, 1, 11), refused}, At: mirror.Position{Era: 1, Revision: 12}}, receipt{asOf: c.t})
	assert.Equal(t, g.configVersion(), uint64(13))
}

// Two versions of weights are declared while an entry lags. It receives the second one only, and must not
// let requests begin on older weights for too long. An entry that lags for longer than
// directReadAge reads the store itself, and learns of the first one when it exchanges with another entry.
func TestLaggingEntryEndsOldWeightsInTime(t *testing.T) {
	for name, c := range map[string]struct {
		gap, lag  time.Duration
		exchanges bool
	}{
		"lag":      {600 * time.Millisecond, 600 * time.Millisecond, false},
		"long lag": {3 * time.Second, time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newLaggingPair(t, configEvent(11, 1, 9))
			var declared upgrade.Declarations
			for version, lag := range []time.Duration{c.gap, c.lag} {
				p.write(textEvent(platform.OperatorKeys+"version/m", fmt.Sprintf(`{"Model":"m","Version":%d}`, version+2)))
				declared.Add(uint64(version+2), p.clock.t, p.clock.t)
				p.pass(lag)
			}
			p.catchUp()
			if c.exchanges {
				exchangeBothWays(p.reader, p.follower, p.clock)
			}
			limit := p.reader.settings.Bounds.VersionChangeLimit
			for d := time.Duration(0); d < 2*limit; d += 100 * time.Millisecond {
				now := p.clock.t.Add(d)
				for _, g := range []*Gateway{p.reader, p.follower} {
					assert.Assert(t, g.declarationsOf("m").MinVersion(limit, now) >= declared.MinVersion(limit, now), "after %v", d)
				}
			}
		})
	}
}

// A target is removed and listed again while an entry lags: under the same start, or started again.
func TestLaggingEntryHasTheTargetThatCameBack(t *testing.T) {
	for name, born := range map[string]int{"same start": 5, "started again": 7} {
		t.Run(name, func(t *testing.T) {
			c := textEvent(platform.ConfigKey, `{"Version":11,"Services":[{"Name":"s"}]}`)
			c.Era, c.Revision = 1, 8
			p := newLaggingPair(t, c, targetEvent("a", "ready", 1, 1, 9))
			back := targetEvent("a", "ready", 2, 1, 0)
			back.Value = bytes.Replace(back.Value, []byte(`"born":5`), fmt.Appendf(nil, `"born":%d`, born), 1)
			p.write(mirror.Event{Key: back.Key, Deleted: true})
			p.write(back)
			p.catchUp()
			for _, g := range []*Gateway{p.reader, p.follower} {
				a, ok := g.roster.Get("a")
				assert.Assert(t, ok)
				assert.Equal(t, a.Incarnation, fleet.Incarnation(born))
				assert.Equal(t, a.Version("m"), uint64(2))
				assert.Equal(t, len(g.roster.Usable("s")), 1)
			}
		})
	}
}

// A target that came and left while an entry lags is not used there.
func TestLaggingEntryDoesNotUseTheTargetThatLeft(t *testing.T) {
	p := newLaggingPair(t, configEvent(11, 1, 9))
	p.write(targetEvent("a", "ready", 1, 1, 0))
	p.write(mirror.Event{Key: platform.TargetKeys + "a", Deleted: true})
	p.catchUp()
	assert.Equal(t, len(p.follower.roster.All()), 0)
}

// Guards against review/8 (LOST): with each change of a large configuration entries grew by its size, up to
// 4,096 times, until they were killed with the orders in progress.
func TestEntryHoldsOneStateOfALargeConfiguration(t *testing.T) {
	const size, changes = 1 << 20, 100
	p := newLaggingPair(t, configEvent(11, 1, 9))
	for i := range changes {
		p.write(textEvent(platform.ConfigKey, fmt.Sprintf(`{"Version":%d,"Note":%q}`, 12+i, strings.Repeat("x", size))))
		if i%25 == 0 {
			p.catchUp()
		}
	}
	p.catchUp()
	for _, g := range []*Gateway{p.reader, p.follower} {
		assert.Equal(t, g.configVersion(), uint64(11+changes))
		u := g.copyUsage()
		assert.Check(t, u.ItemBytes+u.DeletedBytes+u.SupersededBytes <= 2*size, "%+v", u)
	}
}

// Guards against memory that grows with the followers that do not read: each held the states of the update that is
// being sent to it.
func TestFollowersThatDoNotReadHoldNoStates(t *testing.T) {
	const size, followers, maxHeld = 1 << 20, 40, 8 << 20
	p := newLaggingPair(t, configEvent(11, 1, 9))
	ctx, cancel := context.WithCancel(t.Context())
	var streams sync.WaitGroup
	defer streams.Wait()
	defer cancel()
	before := liveheap.Bytes()
	for i := range followers {
		p.write(textEvent(platform.ConfigKey, fmt.Sprintf(`{"Version":%d,"Note":%q}`, 12+i, strings.Repeat("x", size))))
		isSent := make(chan struct{})
		streams.Go(func() {
			_ = p.reader.Follow(ctx, mirror.Position{}, time.Hour, func(peer.StoreChanges) error {
				close(isSent)
				<-ctx.Done()
				return ctx.Err()
			})
		})
		<-isSent
	}
	assert.Equal(t, p.reader.configVersion(), uint64(11+followers))
	held := liveheap.Bytes() - before
	assert.Check(t, held <= maxHeld, "%d bytes are held", held)
}
