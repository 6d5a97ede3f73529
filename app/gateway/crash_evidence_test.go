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

	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/forward"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/platform/platformtest"
)

const crashService fleet.Service = "plain"

const (
	crashTargets   = 3
	crashingBody   = "crashing"
	rejectedHeader = "X-Rejected"
	waitingHeader  = "X-Waiting"
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
	conns   map[net.Conn]bool // with a request, and whether it ends with the target
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
	g := newServingGateway(f.t, fleet.InstanceID(fmt.Sprintf("e%d", len(f.entries))), f.clock)
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
		t.conns[c] = r.Header.Get(rejectedHeader) == "" // the rejection is on its way when the target ends
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
	for c, isCut := range t.conns {
		if isCut {
			_ = c.Close()
			delete(t.conns, c)
		}
	}
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

// running returns the number of requests at the targets.
func (f *crashFleet) running() int {
	n := 0
	for _, t := range f.targets {
		t.mu.Lock()
		n += len(t.conns)
		t.mu.Unlock()
	}
	return n
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
	for range maxCrashes - 1 {
		f.crash(1)
	}
	close(f.release)
	assert.Equal(t, (<-rejected).status, http.StatusNotFound)
	f.crash(1)
	f.assertRefusedEverywhere()
}

// Connections break and the targets live, three times under one request that has never completed.
func TestLostResponsesDoNotBlockPopularRequest(t *testing.T) {
	f := newCrashFleet(t, 1)
	f.breaksOnly = true
	g := f.entries[0]
	for range 4 * crashTargets {
		assert.Equal(t, f.send(g, crashingBody).refusal.Reason, fleet.ReasonTargetLost)
		f.clock.step.Add(int64(2 * time.Second)) // after which a target that has failed is used again
		for range 4 * crashTargets {             // at random targets
			assert.Equal(t, f.send(g, "sound").refusal.Reason, fleet.Reason(""))
		}
	}
}

// A request runs on each of the targets that another one ends.
func TestSoundRequestBesideCrashingOneIsServed(t *testing.T) {
	for _, isProven := range []bool{false, true} {
		f := newCrashFleet(t, 8)
		if isProven {
			assert.Equal(t, f.send(f.entries[7], "sound").status, http.StatusOK)
		}
		var wg sync.WaitGroup
		for _, g := range f.entries[:maxCrashes] {
			for range 8 * crashTargets { // at random targets
				wg.Add(1)
				go func() {
					defer wg.Done()
					f.send(g, "sound", waitingHeader)
				}()
			}
		}
		for f.running() < 8*crashTargets*maxCrashes {
			time.Sleep(time.Millisecond)
		}
		for _, target := range f.targets {
			target.end()
		}
		wg.Wait()
		f.exchange()
		refusedFor := time.Duration(0)
		for f.send(f.entries[refusedFor/time.Second%8], "sound").status != http.StatusOK {
			refusedFor += time.Second
			f.clock.step.Add(int64(time.Second))
		}
		f.exchange()
		for _, g := range f.entries {
			assert.Equal(t, f.send(g, "sound").status, http.StatusOK)
		}
		assert.Assert(t, refusedFor == 0 || !isProven && refusedFor < 30*time.Second, "proven %v: refused for %v", isProven, refusedFor)
	}
}

// Requests wait at targets while one of the same content becomes known to end them.
func TestWaitingAttemptsOfCrashingRequestAreCanceled(t *testing.T) {
	f := newCrashFleet(t, 4)
	waiting := f.entries[3]
	const n = 6
	ended := make(chan *refusalRecorder, n)
	for range n {
		go func() { ended <- f.send(waiting, crashingBody, rejectedHeader) }()
	}
	for f.sends.Load() < n {
		time.Sleep(time.Millisecond)
	}
	f.crash(maxCrashes)
	f.exchange()
	for range n {
		select {
		case r := <-ended:
			assert.Equal(t, r.refusal.Outcome, fleet.OutcomeUnknown, "it may have run")
		case <-time.After(2 * time.Second):
			t.Fatal("a request waits at a target that it would end")
		}
	}
	close(f.release)
	f.assertRefusedEverywhere()
}

// An entry starts after a request has ended three targets.
func TestStartedEntryLearnsOfCrashingRequest(t *testing.T) {
	f := newCrashFleet(t, 3)
	f.crash(maxCrashes)
	f.exchange()
	started := f.addEntry()
	started.mergeFrom(f.entries[0], f.clock.Now())
	f.assertRefusedEverywhere()
}

// Targets end while they write a stream, which another request may be the cause of. The stream goes on
// at the next one, and is blamed in part.
func TestStreamThatHadBegunIsBlamedInPart(t *testing.T) {
	var plays []play
	for i := range crashTargets {
		plays = append(plays, play{version: 1, end: endClosed, endAt: 2 + i})
	}
	p := replayOf(t, "s", crashTargets, plays...)
	g := newReplayGateway(t, []*replay{p})
	p.serve(g)
	assert.Assert(t, p.err != nil, "the stream is cut")
	g.mu.Lock()
	defer g.mu.Unlock()
	units := g.ledger.Exchange(g.now())
	assert.Equal(t, len(units), crashTargets)
	for _, u := range units {
		assert.Equal(t, u.Share, begunShare)
	}
	assert.Equal(t, g.ledger.Restriction(units[0].Fingerprint, g.now()), crashblame.Unrestricted)
}
