package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/app/settings"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/fleet"
	"amaranthturn/core/forward"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/io/peer"
	"amaranthturn/io/target"
	"amaranthturn/platform"
	"amaranthturn/platform/platformtest"
)

const (
	crashService   fleet.Service = "plain"
	crashTargets                 = 3
	crashingBody                 = "crashing"
	rejectedHeader               = "X-Rejected"
	waitingHeader                = "X-Waiting"
	// maxCrashes is how many targets a request may end before it is refused.
	maxCrashes = 3
	// maxSendsAfterCrashes is how often a request may be sent after it has ended maxCrashes targets.
	maxSendsAfterCrashes = 3
)

// crashFleet is entries before the plain targets of one service. A target that runs a request with
// crashingBody ends, and is back at once under a new name.
type crashFleet struct {
	t       *testing.T
	clock   *steppedClock
	entries []*Gateway
	targets []*crashTarget
	sends   atomic.Int64 // of requests with crashingBody
	release chan struct{}
	// breaksOnly lets the connection end and not the target.
	breaksOnly bool
}

// crashTarget is a plain target.
type crashTarget struct {
	f       *crashFleet
	l       net.Listener
	mu      sync.Mutex
	started int
	conns   map[net.Conn]bool // with a request
}

func newCrashFleet(t *testing.T, entries int) *crashFleet {
	f := &crashFleet{t: t, clock: &steppedClock{}, release: make(chan struct{})}
	for range crashTargets {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		target := &crashTarget{f: f, l: l, conns: map[net.Conn]bool{}}
		t.Cleanup(func() { _ = l.Close() })
		f.targets = append(f.targets, target)
		go target.run()
	}
	for range entries {
		f.addEntry()
	}
	return f
}

// addEntry starts an entry that knows nothing but the configuration and the targets.
func (f *crashFleet) addEntry() *Gateway {
	name := fleet.InstanceID(fmt.Sprintf("e%d", len(f.entries)))
	m := telemetry.NewMetrics("entry")
	f.t.Cleanup(func() { _ = m.Close() })
	cfg := &platform.Settings{
		Instance: name, Zone: "z", Region: "r", PeersAddress: string(name) + ":1", CallersAddress: string(name) + ":2",
		Bounds: platform.Bounds{VersionChangeLimit: 8 * time.Second, StablePeriod: 3 * time.Second, RetryShare: 0.2, RetryExtra: 1e6, RetryWindow: time.Millisecond},
	}
	g := New(cfg, f.clock, telemetry.NewLogs(io.Discard, settings.Log{}, string(name)), m, peer.NewPool(peer.DialOptions{}), nil, platform.NewTargetClient(target.NewPool()), 1)
	g.startedAt = g.startedAt.Add(-time.Minute)
	g.doc.Store(routeconfig.New(1, []routeconfig.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: routeconfig.KindIdempotent, Services: []routeconfig.WeightedService{{Service: crashService, Weight: 1}},
		Timeout: 4 * time.Second, LatencyObjective: time.Second, MaxAttempts: 1, Public: true,
	}}, []routeconfig.Service{{Name: crashService, MaxConns: 100}}, routeconfig.Limits{}, nil))
	f.entries = append(f.entries, g)
	f.list(g)
	return g
}

// list tells an entry the current incarnations of the targets.
func (f *crashFleet) list(g *Gateway) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, t := range f.targets {
		t.mu.Lock()
		g.roster.Update(roster.Target{
			ID: fleet.InstanceID(fmt.Sprintf("t%d-%d", i, t.started)), Service: crashService, Address: t.l.Addr().String(),
			Zone: "z", Slots: 100, State: roster.StateReady, Incarnation: fleet.Incarnation(t.started + 1),
		})
		t.mu.Unlock()
	}
	g.refreshBalancers(g.now())
}

func (t *crashTarget) run() {
	for {
		c, err := t.l.Accept()
		if err != nil {
			return
		}
		go t.loop(c)
	}
}

// loop serves the requests of a connection.
func (t *crashTarget) loop(c net.Conn) {
	defer func() { _ = c.Close() }()
	rd := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		t.mu.Lock()
		t.conns[c] = true
		t.mu.Unlock()
		status := http.StatusOK
		switch {
		case string(body) == crashingBody && r.Header.Get(rejectedHeader) != "":
			t.f.sends.Add(1)
			<-t.f.release
			status = http.StatusNotFound
		case string(body) == crashingBody:
			t.f.sends.Add(1)
			t.end()
			return
		case r.Header.Get(waitingHeader) != "":
			<-t.f.release
		}
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
		if _, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s: %s\r\n%s: s\r\nContent-Length: 0\r\n\r\n", status, platformtest.HeaderAttemptID, r.Header.Get(platformtest.HeaderAttemptID), platformtest.HeaderSeal); err != nil {
			return
		}
	}
}

// end breaks off everything that runs on the target, and starts it again.
func (t *crashTarget) end() {
	t.mu.Lock()
	for c := range t.conns {
		_ = c.Close()
	}
	t.conns = map[net.Conn]bool{}
	if !t.f.breaksOnly {
		t.started++
	}
	t.mu.Unlock()
}

// refusalRecorder also records the refusal of a request.
type refusalRecorder struct {
	recorder
	refusal fleet.Refusal
}

// Refuse implements forward.Responder.
func (r *refusalRecorder) Refuse(refusal fleet.Refusal) {
	r.refusal = refusal
	r.recorder.Refuse(refusal)
}

// send sends a request to an entry and returns how it ended.
func (f *crashFleet) send(g *Gateway, body string, header ...string) *refusalRecorder {
	f.list(g)
	h := http.Header{}
	for _, name := range header {
		h.Set(name, "1")
	}
	r := &refusalRecorder{recorder: recorder{t: f.t}}
	call := &forward.Call{ID: forward.RequestID(fmt.Sprintf("%d", time.Now().UnixNano())), Method: "POST", URI: "/x", Path: "/x", Host: "h", Header: h, Body: []byte(body)}
	assert.Check(f.t, g.Serve(context.Background(), call, r) == nil)
	return r
}

// crash ends n targets with a request, one at each of the first n entries.
func (f *crashFleet) crash(n int) {
	for _, g := range f.entries[:n] {
		assert.Equal(f.t, f.send(g, crashingBody).refusal.Reason, fleet.ReasonTargetLost)
	}
}

// exchange lets each entry exchange with the next one, a few times around.
func (f *crashFleet) exchange() {
	for range 3 {
		for i, g := range f.entries {
			g.mergeFrom(f.entries[(i+1)%len(f.entries)], f.clock.Now())
		}
	}
}

func (f *crashFleet) assertRefusedEverywhere() {
	f.t.Helper()
	before := f.sends.Load()
	for i, g := range f.entries {
		assert.Equal(f.t, f.send(g, crashingBody).refusal.Reason, fleet.ReasonCrashesTargets, "entry %d", i)
	}
	assert.Equal(f.t, f.sends.Load(), before)
}

// Three entries have seen one target end each.
func TestCrashesSeenByDifferentEntriesAddUp(t *testing.T) {
	f := newCrashFleet(t, 8)
	f.crash(maxCrashes)
	f.exchange()
	f.assertRefusedEverywhere()
}

// A request that has ended three targets comes again every five seconds.
func TestCrashingRequestStaysRefusedWhileItComes(t *testing.T) {
	f := newCrashFleet(t, 1)
	for range maxCrashes {
		f.send(f.entries[0], crashingBody)
	}
	assert.Equal(t, f.sends.Load(), int64(maxCrashes))
	for range 24 {
		f.clock.step.Add(int64(5 * time.Second))
		f.send(f.entries[0], crashingBody)
	}
	assert.Assert(t, f.sends.Load() <= maxCrashes+maxSendsAfterCrashes, "sent %d times", f.sends.Load())
}

// A target rejects the request before it runs it, while others end under it.
func TestRejectionDoesNotFreeCrashingRequest(t *testing.T) {
	f := newCrashFleet(t, 1)
	rejected := make(chan *refusalRecorder)
	go func() { rejected <- f.send(f.entries[0], crashingBody, rejectedHeader) }()
	for f.sends.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range maxCrashes {
		f.send(f.entries[0], crashingBody)
	}
	close(f.release)
	assert.Equal(t, (<-rejected).status, http.StatusNotFound)
	f.assertRefusedEverywhere()
}
