package gateway

import (
	"errors"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/app/settings"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/roster"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

type fakeClock struct{ t time.Time }

func (c *fakeClock) Now() time.Time { return c.t }

func newTest(t *testing.T) (*Gateway, *fakeClock) {
	c := &fakeClock{time.Unix(1_000_000, 0)}
	m := telemetry.NewMetrics("entry")
	t.Cleanup(func() { _ = m.Close() })
	set := &platform.Settings{
		Instance: "e1", Zone: "z", Region: "r", PeersAddress: "10.0.0.1:1", CallersAddress: "10.0.0.1:2",
		Bounds: platform.Bounds{VersionChangeLimit: 8 * time.Second, StablePeriod: 3 * time.Second},
	}
	return New(set, c, telemetry.NewLogs(io.Discard, settings.Log{}, "e1"), m, peer.NewPool(peer.DialOptions{}), nil, nil, 1), c
}

// An entry was cut off from the store and is followed up by the one that reads for its
// region: the store counts as reached again, so that a target whose entry ends has left
// and has not lapsed. Found on deltaloom trouble-1 (DRAIN).
func TestReachIsRegainedThroughAnotherEntry(t *testing.T) {
	g, c := newTest(t)
	g.roster.Update(roster.Target{ID: "a", Service: "s", Address: "x", State: roster.StateReady})
	g.reached(errors.New("cut off"))
	g.followed(peer.StoreNews{At: 5})
	c.t = c.t.Add(roster.DefaultSettings.ExpiryGrace + time.Second)
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Assert(t, g.roster.Remove("a", c.t))
}

// The entry that reads for others lost the store: what lapses meanwhile is still used.
func TestLossIsHeardThroughAnotherEntry(t *testing.T) {
	g, c := newTest(t)
	g.roster.Update(roster.Target{ID: "a", Service: "s", Address: "x", State: roster.StateReady})
	g.followed(peer.StoreNews{At: 5, Lost: true})
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Assert(t, !g.roster.Remove("a", c.t))
}

// A restarted entry does not know since when a version is named: older weights may answer
// only while a process that has just started is not held to the limit.
func TestVersionsOfBeforeTheStart(t *testing.T) {
	g, c := newTest(t)
	n := &naming{}
	g.named["m"] = n
	n.Add(2, g.namedSince(c.t, c.t))
	target := roster.Target{ID: "a", Loaded: []roster.LoadedVersion{{Model: "m", Version: 1}}}
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Assert(t, g.serves(target, c.t))
	assert.Assert(t, !g.serves(target, c.t.Add(3*time.Second)))
	g.knows = true
	assert.Equal(t, g.namedSince(c.t, c.t), c.t)
}

// The entry that reads for others stops, and one that follows it hears of a version only
// when it follows another: the time of the version counts from when its copy was last
// current. After a longer loss of the store it does not: the time then counts anew.
// Fits deltaloom trouble-2 --vary --seed 27672768896 (VERSION).
func TestVersionsHeardOfLate(t *testing.T) {
	g, c := newTest(t)
	g.knows = true
	for _, x := range []struct{ age, late time.Duration }{
		{900 * time.Millisecond, 0},
		{1100 * time.Millisecond, 1100 * time.Millisecond},
		{5 * time.Second, ownReadAge},
	} {
		assert.Equal(t, g.namedSince(c.t.Add(-x.age), c.t), c.t.Add(-x.late), "copy current %v ago", x.age)
	}
}

// Replays a popular request whose answers are lost twice in a row while others of it
// succeed: it must go on being served. One that crashes each target is stopped, also when
// it comes again only every five seconds.
func TestLostAnswersDoNotStopAPopularRequest(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := crashblame.NewLedger(crashSettings)
	l.RecordCrash([]fleet.Fingerprint{1}, now)
	l.RecordCrash([]fleet.Fingerprint{1}, now)
	assert.Equal(t, l.Restriction(1, now), crashblame.Unrestricted)
	l.RecordCrash([]fleet.Fingerprint{1}, now)
	assert.Equal(t, l.Restriction(1, now), crashblame.Refuse)
	assert.Equal(t, l.Restriction(1, now.Add(10*time.Second)), crashblame.Unrestricted)
	for range 3 {
		assert.Equal(t, l.Restriction(2, now), crashblame.Unrestricted)
		l.RecordCrash([]fleet.Fingerprint{2}, now)
		now = now.Add(5 * time.Second)
	}
	assert.Equal(t, l.Restriction(2, now.Add(-5*time.Second)), crashblame.Refuse)
}

// An entry that starts knows no others and watches targets closely; when it knows the
// forty others of its fleet the watches follow, and they stay as they are while entries
// come and go.
func TestLoadWatchesFollowTheNumberOfEntries(t *testing.T) {
	alone := max(farPeriod, farShare)
	many := 44 * farShare
	assert.Assert(t, differs(alone, many) && differs(many, alone))
	for n := 35; n <= 55; n++ {
		assert.Assert(t, !differs(many, time.Duration(n)*farShare), "%d entries", n)
	}
}
