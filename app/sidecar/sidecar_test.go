package sidecar

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/clock"
	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/gossip"
	"amaranthturn/core/mirror"
	"amaranthturn/core/notice"
	"amaranthturn/core/roster"
	"amaranthturn/core/upgrade"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

type fakeClock struct{ t time.Time }

func (c *fakeClock) Now() time.Time { return c.t }

// The origin accepts 48 connections from all agents together. When agents kept idle
// connections open, these used up the limit, and a fleet without weights never received any.
func TestOriginConnectionsAreLimitedAndShortLived(t *testing.T) {
	var mu sync.Mutex
	open, maxOpen := map[net.Conn]bool{}, 0
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "piece")
	}))
	srv.Config.ConnState = func(c net.Conn, s http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		if s == http.StateClosed {
			delete(open, c)
		} else {
			open[c] = true
		}
		maxOpen = max(maxOpen, len(open))
	}
	srv.Start()
	defer srv.Close()
	client := newOriginClient()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			resp, err := client.Get(srv.URL)
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		})
	}
	wg.Wait()
	time.Sleep(2 * originIdleTimeout)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, maxOpen, maxOriginConns)
	assert.Equal(t, len(open), 0)
}

// Entries with a long reporting period are still notified at once when a target stops
// accepting requests or serves other weights.
func TestLoadIsSentAtOnceOnStateChange(t *testing.T) {
	old := peer.TargetLoad{Incarnation: 1, Version: 1, Accepting: true, Running: 3}
	const period = 3 * time.Second
	busier, closed, newer, restarted, leaving, loadable := old, old, old, old, old, old
	busier.Running, closed.Accepting, newer.Version, restarted.Incarnation, leaving.Leaving, loadable.Loadable = 9, false, 2, 2, true, 2
	assert.Assert(t, !shouldSendLoad(old, busier, period-1, period))
	assert.Assert(t, shouldSendLoad(old, busier, period, period))
	for _, l := range []peer.TargetLoad{closed, newer, restarted, leaving, loadable} {
		assert.Assert(t, shouldSendLoad(old, l, time.Millisecond, period))
	}
}

// A target that restarts has a new ID at its old address, and both are listed for a short
// time. The group has to count its agent only once, under the ID that the agent uses for
// itself, which is the address.
func TestRestartedTargetIsOneMember(t *testing.T) {
	s := &Sidecar{
		settings: &platform.Settings{TargetService: "s", TargetAddress: "10.0.0.1:8620"}, roster: roster.New(roster.DefaultSettings),
	}
	for i, id := range []fleet.InstanceID{"before", "after"} {
		s.roster.Update(roster.Target{
			ID: id, Service: "s", Address: "10.0.0.1:8620", State: roster.StateReady, Incarnation: fleet.Incarnation(i + 1),
		})
	}
	s.roster.Update(roster.Target{ID: "other", Service: "s", Address: "10.0.0.2:8620", State: roster.StateReady, Incarnation: 1})
	members := membersByAddress(s.group())
	assert.Equal(t, len(members), 2)
	assert.Equal(t, members["10.0.0.1:8620"].ID, fleet.InstanceID("after"))
}

// All entries restart after a request and a prompt part have crashed targets. The agents still know of it, and
// of how long a declaration has been known.
func TestCrashReportsOutliveRestartOfAllEntries(t *testing.T) {
	s := &Sidecar{
		clock: clock.System{}, entryList: gossip.New(gossip.DefaultSettings, gossip.Record{}), crashes: crashblame.NewLedger(crashblame.DefaultSettings), parts: crashblame.NewPartLedger(),
		declared: map[fleet.Model]*upgrade.Declarations{}, mirror: mirror.New(nil), notices: notice.NewLedger(), roster: roster.New(roster.DefaultSettings),
	}
	now := time.Now()
	before, restarted := crashblame.NewPartLedger(), crashblame.NewPartLedger()
	deadly := []fleet.Fingerprint{1, 2}
	for id := range crashblame.ReportID(crashblame.MaxCrashes) {
		before.RecordCrash(id, deadly, now)
	}
	const content = fleet.Fingerprint(3)
	contentsBefore, contents := crashblame.NewLedger(crashblame.DefaultSettings), crashblame.NewLedger(crashblame.DefaultSettings)
	for i := range uint64(crashblame.DefaultSettings.MaxCrashedTargets) {
		contentsBefore.RecordCrash(crashblame.CrashOf("t", i), []fleet.Fingerprint{content}, now)
	}
	m := peer.ExchangeMessage{Blamed: contentsBefore.Exchange(now)}
	m.Crashes, m.ProvenParts = before.Exchange(now)
	m.Declared = map[fleet.Model][]upgrade.Age{"m": {{Version: 2, Known: time.Second}}}
	s.mergeExchange(m, s.now())
	handedOn := s.exchangeMessage()
	restarted.Merge(handedOn.Crashes, handedOn.ProvenParts, now)
	assert.Equal(t, restarted.Restriction(deadly, now), crashblame.Refuse)
	contents.Merge(handedOn.Blamed, now)
	assert.Equal(t, contents.Restriction(content, now), crashblame.Refuse)
	assert.Equal(t, s.declarationsOf("m").Newest(), uint64(2))
}

// All entries restart while the store, restored from a copy, lacks a declaration. The agents
// tell them of it and of its age.
func TestDeclarationOutlivesRestartOfAllEntries(t *testing.T) {
	c := clock.System{}
	s := &Sidecar{
		clock: c, entryList: gossip.New(gossip.DefaultSettings, gossip.Record{}), crashes: crashblame.NewLedger(crashblame.DefaultSettings), parts: crashblame.NewPartLedger(),
		declared: map[fleet.Model]*upgrade.Declarations{}, mirror: mirror.New(nil), notices: notice.NewLedger(), roster: roster.New(roster.DefaultSettings),
	}
	s.mergeExchange(peer.ExchangeMessage{Declared: map[fleet.Model][]upgrade.Age{"m": {{Version: 2, Known: 3 * time.Second}}}}, s.now())
	var restarted upgrade.Declarations
	now := c.Now()
	restarted.Merge(s.exchangeMessage().Declared["m"], now)
	assert.Equal(t, restarted.MinVersion(3*time.Second, now), uint64(2))
}

// An agent must not tell entries for ever of targets that are gone.
func TestAgentDropsTargetsThatAreGone(t *testing.T) {
	c := &fakeClock{time.Unix(1_000_000, 0)}
	s := &Sidecar{
		clock: c, entryList: gossip.New(gossip.DefaultSettings, gossip.Record{}), crashes: crashblame.NewLedger(crashblame.DefaultSettings), parts: crashblame.NewPartLedger(),
		declared: map[fleet.Model]*upgrade.Declarations{}, mirror: mirror.New(nil), notices: notice.NewLedger(), roster: roster.New(roster.DefaultSettings),
	}
	s.mergeExchange(peer.ExchangeMessage{Leaving: []notice.Target{{ID: "a", Incarnation: 1}}}, s.now())
	assert.Equal(t, len(s.exchangeMessage().Leaving), 1)
	c.t = c.t.Add(time.Hour)
	s.mergeExchange(peer.ExchangeMessage{}, s.now())
	assert.Equal(t, len(s.exchangeMessage().Leaving), 0)
}
