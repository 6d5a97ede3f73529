package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/mirror"
	"amaranthturn/core/roster"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

// declaringStore answers reads of an entry that knows revision 5. Each call takes a time of the fake clock.
type declaringStore struct {
	clock     *fakeClock
	took      time.Duration
	compacted bool
}

// ServeHTTP implements http.Handler.
func (s *declaringStore) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	declaration := fmt.Sprintf(`{"Key":"%sversion/m","Value":"eyJNb2RlbCI6Im0iLCJWZXJzaW9uIjoyfQ==","Revision":6}`, platform.OperatorKeys)
	switch prefix := r.URL.Query().Get("Prefix"); {
	case prefix == "" && s.compacted: // a watch
		rw.WriteHeader(http.StatusGone)
		return
	case prefix == platform.TargetKeys:
		_, _ = fmt.Fprint(rw, `{"Items":[],"At":6}`)
		return
	}
	s.clock.t = s.clock.t.Add(s.took)
	_, _ = fmt.Fprintf(rw, `{"events":[%s],"Items":[%s],"At":6}`, declaration, declaration)
}

// An entry that was not waiting for changes when a version was declared, since its reads failed, its last
// watch had returned changes or the history was discarded, took the declaration for as old as its receipt.
func TestDeclarationThatNoWatchAwaitedCountsFromTheCopyBefore(t *testing.T) {
	for _, x := range []struct {
		name      string
		age       time.Duration // of the copy when the read begins
		took      time.Duration
		compacted bool
		late      time.Duration // the earliest time at which the version may have been declared, before its receipt
	}{
		{name: "reads failed", age: 800 * time.Millisecond, took: 5 * time.Millisecond, late: 805 * time.Millisecond},
		{name: "reads failed, slow answer", age: 800 * time.Millisecond, took: 150 * time.Millisecond, late: 950 * time.Millisecond},
		{name: "after a batch", age: batchDelay, took: 5 * time.Millisecond, late: batchDelay + 5*time.Millisecond},
		{name: "long outage", age: 5 * time.Second, took: 5 * time.Millisecond, late: directReadAge},
		{name: "no history", age: 300 * time.Millisecond, took: 200 * time.Millisecond, compacted: true, late: 500 * time.Millisecond},
		{name: "awaited after a batch", age: batchDelay, took: 300 * time.Millisecond},
		{name: "awaited after failed reads", age: 400 * time.Millisecond, took: 590 * time.Millisecond},
		{name: "awaited", age: 5 * time.Millisecond, took: 600 * time.Millisecond},
	} {
		t.Run(x.name, func(t *testing.T) {
			g, c := newTestGateway(t)
			st := &declaringStore{clock: c, took: x.took, compacted: x.compacted}
			srv := httptest.NewServer(st)
			defer srv.Close()
			g.store = platform.NewStore(strings.TrimPrefix(srv.URL, "http://"), srv.Client())
			g.loadStore(mirror.Position{Revision: 5}, c.t)
			c.t = c.t.Add(x.age)
			assert.NilError(t, (&storeReader{g: g}).read(context.Background()))
			follower, _ := newTestGateway(t)
			follower.clock = c
			follower.initialReadDone = true
			follower.declarationsOf("m").Add(2, c.t, c.t)
			follower.Exchange(g.Exchange(peer.ExchangeMessage{}))
			want := c.t.Add(-x.late)
			assert.Equal(t, g.declared["m"].NewerDeclaredAt(1), want)
			assert.Equal(t, follower.declared["m"].NewerDeclaredAt(1), want, "of an entry that follows it")
		})
	}
}

// An entry whose first read of the store is late served older weights for the stable period from that read
// on. It is in touch, and the limit applies, when the stable period since its start has passed.
func TestLateFirstReadDoesNotExtendOldVersion(t *testing.T) {
	g, c := newTestGateway(t)
	startedAt := c.t
	g.tick()
	for range 50 {
		c.t = c.t.Add(tickInterval)
		g.tick()
	}
	srv := httptest.NewServer(&declaringStore{clock: c})
	defer srv.Close()
	g.store = platform.NewStore(strings.TrimPrefix(srv.URL, "http://"), srv.Client())
	assert.NilError(t, (&storeReader{g: g}).read(context.Background()))
	target := roster.Target{ID: "a", Loaded: []roster.LoadedVersion{{Model: "m", Version: 1}}}
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Assert(t, g.canServe(target, c.t))
	timeline := g.versionTimeline()
	margin := timeline.Limit - timeline.LastSafeSend(0)
	assert.Assert(t, !g.canServe(target, startedAt.Add(g.settings.Bounds.StablePeriod-margin)))
}

// The entry that is followed was killed as a version was declared. The declaration came with the first
// message of the stream from the next one, and was taken for as old as its receipt.
func TestDeclarationInFirstMessageOfAStreamCountsFromTheCopyBefore(t *testing.T) {
	for _, x := range []struct{ isFirst, wasMissed bool }{{isFirst: true}, {wasMissed: true}, {}} {
		g, c := newTestGateway(t)
		g.loadStore(mirror.Position{Revision: 5}, c.t)
		want := c.t
		c.t = c.t.Add(755 * time.Millisecond)
		if !x.isFirst && !x.wasMissed {
			want = c.t
		}
		declaration := mirror.Event{Key: platform.OperatorKeys + "version/m", Value: []byte(`{"Model":"m","Version":2}`), Revision: 6}
		update := mirror.Update{Events: []mirror.Event{declaration}, At: mirror.Position{Revision: 6}}
		g.handleStoreUpdate(peer.StoreChanges{Update: update, WasMissed: x.wasMissed}, c.t, x.isFirst)
		g.mu.Lock()
		assert.Equal(t, g.declarationsOf("m").NewerDeclaredAt(1), want, "%+v", x)
		g.mu.Unlock()
	}
}

// An entry handed on what it had missed as if it had been waiting for it.
func TestFollowersAreToldThatChangesWereMissed(t *testing.T) {
	g, c := newTestGateway(t)
	g.loadStore(mirror.Position{Revision: 5}, c.t)
	apply := func(rev mirror.Revision, wasMissed bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		e := mirror.Event{Key: platform.OperatorKeys + "version/m", Value: fmt.Appendf(nil, `{"Model":"m","Version":%d}`, rev), Revision: rev}
		g.applyUpdate(mirror.Update{Events: []mirror.Event{e}, At: mirror.Position{Revision: rev}}, receipt{asOf: c.t, wasMissed: wasMissed})
	}
	errStop := errors.New("stop")
	isMissedAfter := func(rev mirror.Revision) (missed bool) {
		err := g.Follow(t.Context(), mirror.Position{Revision: rev}, time.Second, func(u peer.StoreChanges) error {
			missed = u.WasMissed
			return errStop
		})
		assert.Assert(t, errors.Is(err, errStop))
		return missed
	}
	apply(6, false)
	assert.Assert(t, !isMissedAfter(5))
	apply(7, true)
	apply(8, false)
	assert.Assert(t, isMissedAfter(5) && isMissedAfter(6))
	assert.Assert(t, !isMissedAfter(7))
}
