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

	"amaranthturn/core/fleet"
	"amaranthturn/core/roster"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

// The origin accepts 48 connections from all agents together. Agents that kept idle ones
// held all places, and a fleet without weights never got them.
func TestOriginConnectionIsShortLived(t *testing.T) {
	var mu sync.Mutex
	open, most := map[net.Conn]bool{}, 0
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
		most = max(most, len(open))
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
	time.Sleep(2 * originIdle)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, most, originConns)
	assert.Equal(t, len(open), 0)
}

// Entries that listen seldom still hear at once that a target stops taking requests or
// serves other weights.
func TestLoadIsToldAtOnceWhenItMatters(t *testing.T) {
	old := peer.TargetLoad{Born: 1, Version: 1, Accepting: true, Running: 3}
	const period = 3 * time.Second
	busier, closed, newer, reborn := old, old, old, old
	busier.Running, closed.Accepting, newer.Version, reborn.Born = 9, false, 2, 2
	assert.Assert(t, !isDue(old, busier, period-1, period))
	assert.Assert(t, isDue(old, busier, period, period))
	for _, l := range []peer.TargetLoad{closed, newer, reborn} {
		assert.Assert(t, isDue(old, l, time.Millisecond, period))
	}
}

// A target that starts again has a new id at its old address, and for a moment both are
// listed. The group still counts its agent once, under the name that the agent gives itself.
func TestRestartedTargetIsOneMember(t *testing.T) {
	s := &Sidecar{
		set: &platform.Settings{TargetService: "s", TargetAddress: "10.0.0.1:8620"}, roster: roster.New(roster.DefaultSettings),
	}
	for i, id := range []fleet.InstanceID{"before", "after"} {
		s.roster.Update(roster.Target{
			ID: id, Service: "s", Address: "10.0.0.1:8620", State: roster.StateReady, Incarnation: fleet.Incarnation(i + 1),
		})
	}
	s.roster.Update(roster.Target{ID: "other", Service: "s", Address: "10.0.0.2:8620", State: roster.StateReady, Incarnation: 1})
	mates := mates(s.group())
	assert.Equal(t, len(mates), 2)
	assert.Equal(t, mates["10.0.0.1:8620"].ID, fleet.InstanceID("after"))
}
