package gateway

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/app/settings"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/clock"
	"amaranthturn/core/fleet"
	"amaranthturn/core/forward"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/io/peer"
	"amaranthturn/io/target"
	"amaranthturn/platform"
	"amaranthturn/platform/platformtest"
)

// replaySeed is the seed of the first replay.
var replaySeed = flag.Uint64("replay.seed", 20261204, "seed of the first replayed stream")

// Times of the replayed streams. The pauses are around the time after which another target is
// looked for, so that both targets often act at the same moment.
const (
	replayedStall   = 40 * time.Millisecond
	replayedTimeout = 4 * time.Second
	replayedEvents  = 6
)

// ending is what a target does instead of the event before which it ends.
type ending int

const (
	endNever ending = iota // after the last event, as complete
	endRefused
	endMoved
	endFailed    // 500
	endConflict  // 409
	endNoContent // 204
	endClosed
	endWithinEvent
	endTooEarly // as complete, although events are missing
	endSkipsEvent
	endHangs
)

// play is what a target does with one request.
type play struct {
	version int
	strict  bool // it refuses a request for another version
	pauses  [replayedEvents + 2]time.Duration
	end     ending
	endAt   int                                    // event
	raw     func(c net.Conn, r *http.Request) bool // if set, handles the request instead
}

func (p *play) runs() bool { return p.end != endRefused && p.end != endMoved || p.endAt > 0 }

// randomPlay returns a play of a target. Without faults it answers the request, with pauses.
func randomPlay(r *rand.Rand, faults []ending) play {
	p := play{version: 1 + r.IntN(2), strict: r.IntN(4) > 0, endAt: r.IntN(replayedEvents + 1)}
	for range r.IntN(3) {
		p.pauses[r.IntN(len(p.pauses))] = replayedStall/2 + time.Duration(r.Int64N(int64(2*replayedStall)))
	}
	if len(faults) > 0 {
		p.end = faults[r.IntN(len(faults))]
	}
	switch p.end {
	case endRefused, endMoved, endFailed, endConflict, endNoContent:
		p.endAt = 0
	case endWithinEvent:
		p.endAt = max(1, p.endAt)
	case endSkipsEvent:
		p.endAt = max(2, p.endAt) // a new stream may begin with any number
	}
	return p
}

// replayTarget is a target that plays the plays of its service in turn.
type replayTarget struct {
	l     net.Listener
	s     *replayService
	mu    sync.Mutex // guards conns
	conns []net.Conn
}

func (t *replayTarget) close() {
	_ = t.l.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		_ = c.Close()
	}
}

// replayService is a service with targets of its own.
type replayService struct {
	name     fleet.Service
	attempts int
	plays    []play
	mu       sync.Mutex // guards all fields below
	arrivals int
	ran      int
	inflight int
}

func (t *replayTarget) run() {
	for {
		c, err := t.l.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns = append(t.conns, c)
		t.mu.Unlock()
		go t.loop(c)
	}
}

// loop serves the requests of a connection.
func (t *replayTarget) loop(c net.Conn) {
	defer func() { _ = c.Close() }()
	rd := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if !t.s.answer(c, r) {
			return
		}
	}
}

func (s *replayService) begin() *play {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.plays[min(s.arrivals, len(s.plays)-1)]
	s.arrivals++
	s.inflight++
	return p
}

// arrived returns how many requests have arrived. Others may still do so after the response has ended.
func (s *replayService) arrived() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// runs returns how many of the requests were run.
func (s *replayService) runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran
}

func (s *replayService) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
}

// answer plays one request and reports whether the connection stays open.
func (s *replayService) answer(c net.Conn, r *http.Request) bool {
	p := s.begin()
	defer s.finish()
	if p.raw != nil {
		s.mu.Lock()
		s.ran++
		s.mu.Unlock()
		return p.raw(c, r)
	}
	id := r.Header.Get(platformtest.HeaderAttemptID)
	plain := func(status int, extra string) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", status, platformtest.HeaderAttemptID, id, extra)
		return err == nil
	}
	expected, _ := strconv.Atoi(r.Header.Get(platformtest.HeaderExpectVersion))
	isOther := expected != 0 && expected != p.version
	if p.strict && isOther {
		return plain(421, "")
	}
	if p.runs() {
		s.mu.Lock()
		s.ran++
		s.mu.Unlock()
	}
	time.Sleep(p.pauses[0])
	if p.endAt == 0 {
		switch p.end {
		case endRefused:
			return plain(503, platformtest.HeaderNotRun+": 1\r\n")
		case endMoved:
			return plain(421, "")
		case endFailed:
			return plain(500, platformtest.HeaderSeal+": s\r\n")
		case endConflict:
			return plain(409, platformtest.HeaderSeal+": s\r\n")
		case endNoContent:
			return plain(204, platformtest.HeaderSeal+": s\r\n")
		}
	}
	return p.stream(c, r, id)
}

func (p *play) stream(c net.Conn, r *http.Request, id string) bool {
	last, _ := strconv.Atoi(r.Header.Get(platformtest.HeaderLastEventID))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s: %d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		platformtest.HeaderAttemptID, id, platformtest.HeaderSeal, platformtest.HeaderVersion, p.version)
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for i := last + 1; i <= replayedEvents; i++ {
		time.Sleep(p.pauses[i])
		if p.end != endNever && i >= p.endAt {
			switch p.end {
			case endClosed:
				return false
			case endWithinEvent:
				_, _ = io.WriteString(c, "3\r\nid:\r\n")
				return false
			case endTooEarly:
				_, _ = io.WriteString(c, "0\r\n\r\n")
				return true
			case endSkipsEvent:
				i++
			case endHangs:
				_, _ = io.Copy(io.Discard, c) // until the entry closes the connection
				return false
			}
		}
		ev := fmt.Sprintf("id: %d\ndata: v%d-%d\n\n", i, p.version, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev); err != nil {
			return false
		}
	}
	time.Sleep(p.pauses[replayedEvents+1])
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// recorder records a response and detects writes that overlap or come after the end.
type recorder struct {
	t       *testing.T
	seed    uint64
	busy    atomic.Bool
	ended   atomic.Bool
	slow    time.Duration // for which each write lasts
	headers int
	status  int
	body    strings.Builder
}

func (r *recorder) enter() {
	if r.busy.Swap(true) {
		r.t.Errorf("seed %d: two attempts write at once", r.seed)
	}
	if r.ended.Load() {
		r.t.Errorf("seed %d: write after the end", r.seed)
	}
	time.Sleep(r.slow)
}

// SetDeadline implements forward.Responder.
func (r *recorder) SetDeadline(forward.Deadline) {}

// WriteResponse implements forward.Responder.
func (r *recorder) WriteResponse(reply forward.Reply, body []byte) {
	r.enter()
	defer r.busy.Store(false)
	r.headers++
	r.status = reply.Status
	r.body.Write(body)
}

// WriteHeader implements forward.Responder.
func (r *recorder) WriteHeader(reply forward.Reply) {
	r.enter()
	defer r.busy.Store(false)
	r.headers++
	r.status = reply.Status
}

// WritePart implements forward.Responder.
func (r *recorder) WritePart(p []byte) error {
	r.enter()
	defer r.busy.Store(false)
	r.body.Write(p)
	return nil
}

// Refuse implements forward.Responder.
func (r *recorder) Refuse(fleet.Refusal) {
	r.enter()
	defer r.busy.Store(false)
	r.headers++
	r.status = 503
}

// replay is one request with what its targets do.
type replay struct {
	*replayService
	seed     uint64
	parts    []fleet.Fingerprint
	leaves   time.Duration // after which the caller leaves, 0 if it waits
	isSound  bool          // the first target answers the request
	recorder recorder
	err      error
	took     time.Duration
}

func newReplay(t *testing.T, seed uint64) *replay {
	r := rand.New(rand.NewPCG(seed, 1))
	p := &replay{replayService: &replayService{name: fleet.Service(fmt.Sprintf("s%d", seed)), attempts: 1 + r.IntN(4)}, seed: seed, recorder: recorder{t: t, seed: seed}}
	if r.IntN(8) == 0 {
		p.recorder.slow = time.Duration(r.Int64N(int64(2 * replayedStall)))
	}
	harmless := []ending{endNever, endRefused, endMoved, endFailed, endConflict, endNoContent, endClosed, endHangs}
	all := append(harmless, endWithinEvent, endTooEarly, endSkipsEvent)
	p.isSound = r.IntN(2) == 0
	if p.isSound {
		p.plays = append(p.plays, randomPlay(r, nil))
		for range 8 {
			next := randomPlay(r, harmless)
			next.endAt = 0 // it fails before it has continued the stream
			p.plays = append(p.plays, next)
		}
		return p
	}
	for range 8 {
		p.plays = append(p.plays, randomPlay(r, all))
	}
	if r.IntN(4) == 0 {
		p.leaves = time.Duration(r.Int64N(int64(4 * replayedStall)))
	}
	return p
}

// newServingGateway returns an entry that is ready to serve before targets, with as many retries as it
// wants.
func newServingGateway(t *testing.T, name fleet.InstanceID, c clock.Clock) *Gateway {
	m := telemetry.NewMetrics("entry")
	t.Cleanup(func() { _ = m.Close() })
	cfg := &platform.Settings{
		Instance: name, Zone: "z", Region: "r", PeersAddress: string(name) + ":1", CallersAddress: string(name) + ":2",
		Bounds: platform.Bounds{VersionChangeLimit: 8 * time.Second, StablePeriod: 3 * time.Second, RetryShare: 0.2, RetryExtra: 1e6, RetryWindow: time.Millisecond},
	}
	g := New(cfg, c, telemetry.NewLogs(io.Discard, settings.Log{}, string(name)), m, peer.NewPool(peer.DialOptions{}), nil, platform.NewTargetClient(target.NewPool()), 1)
	g.startedAt = g.startedAt.Add(-time.Minute)
	return g
}

// newReplayGateway returns an entry before the targets of all replays.
func newReplayGateway(t *testing.T, replays []*replay) *Gateway {
	g := newServingGateway(t, "e1", clock.System{})
	g.stall = stallTimes{timeout: replayedStall, checkInterval: replayedStall / 8}
	var routes []routeconfig.Route
	var services []routeconfig.Service
	for _, p := range replays {
		for i := range 3 {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			rt := &replayTarget{l: l, s: p.replayService}
			t.Cleanup(rt.close)
			go rt.run()
			g.roster.Update(roster.Target{ID: fleet.InstanceID(fmt.Sprintf("%s-%d", p.name, i)), Service: p.name, Address: l.Addr().String(), Zone: "z", Slots: 4, State: roster.StateReady, Incarnation: 1})
		}
		routes = append(routes, routeconfig.Route{
			Name: string(p.name), Host: "h", Prefix: "/" + string(p.name) + "/", Kind: routeconfig.KindStreaming, Services: []routeconfig.WeightedService{{Service: p.name, Weight: 1}},
			Timeout: replayedTimeout, LatencyObjective: time.Second, MaxAttempts: p.attempts, Public: true, Resumable: true,
		})
		services = append(services, routeconfig.Service{Name: p.name, MaxConns: 10})
	}
	g.doc.Store(routeconfig.New(1, routes, services, routeconfig.Limits{}, nil))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshBalancers(g.now())
	return g
}

func (p *replay) run(g *Gateway, wg *sync.WaitGroup) {
	defer wg.Done()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if p.leaves > 0 {
		time.AfterFunc(p.leaves, cancel)
	}
	began := time.Now()
	path := "/" + string(p.name) + "/x"
	p.err = g.Serve(ctx, &forward.Call{ID: forward.RequestID(p.name), Method: "POST", URI: path, Path: path, Host: "h", Header: http.Header{}, Body: []byte("x"), SharedParts: p.parts}, &p.recorder)
	p.recorder.ended.Store(true)
	p.took = time.Since(began)
}

// check checks what the caller received and what the targets ran.
func (p *replay) check(t *testing.T) {
	body := p.recorder.body.String()
	assert.Assert(t, p.recorder.headers <= 1, "seed %d: %d headers", p.seed, p.recorder.headers)
	wholes := []string{"", ""}
	isPrefix := false
	for v := range wholes {
		for i := 1; i <= replayedEvents; i++ {
			wholes[v] += fmt.Sprintf("id: %d\ndata: v%d-%d\n\n", i, v+1, i)
		}
		isPrefix = isPrefix || strings.HasPrefix(wholes[v], body)
	}
	assert.Assert(t, isPrefix, "seed %d: events are not those of one version in order: %q", p.seed, body)
	assert.Assert(t, p.runs() <= p.attempts, "seed %d: %d attempts may run, %d did", p.seed, p.attempts, p.runs())
	assert.Assert(t, p.arrived() <= p.attempts+20+int(p.took/replayedStall), "seed %d: %d arrivals", p.seed, p.arrived())
	assert.Assert(t, p.took < replayedTimeout+time.Second, "seed %d: %v", p.seed, p.took)
	isKept := p.recorder.status == http.StatusConflict && p.took > 2*replayedStall // the complete answer of another target
	if p.isSound && !isKept {
		assert.NilError(t, p.err, "seed %d: %q after %v, %d arrivals", p.seed, body, p.took, p.arrived())
		assert.Assert(t, body == wholes[0] || body == wholes[1], "seed %d: status %d, %q after %v, %d arrivals, plays %+v", p.seed, p.recorder.status, body, p.took, p.arrived(), p.plays[:3])
	}
}

// idle waits until the targets of a replay have no request.
func (p *replay) idle() bool {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		p.mu.Lock()
		n := p.inflight
		p.mu.Unlock()
		if n == 0 {
			return true
		}
	}
	return false
}

// Two or three targets act on one stream at about the same time, in any order: events, ends, faults,
// a caller that leaves. The caller gets each event of one version once and in order, and everything
// if the first target only pauses and no other one breaks off what it has continued. Nothing goes on
// after the end.
func TestAttemptsOfOneStreamAtOnce(t *testing.T) {
	const count = 300
	before := runtime.NumGoroutine()
	t.Run("requests", func(t *testing.T) {
		var replays []*replay
		for seed := range uint64(count) {
			replays = append(replays, newReplay(t, seed+*replaySeed))
		}
		g := newReplayGateway(t, replays)
		var wg sync.WaitGroup
		for _, p := range replays {
			wg.Add(1)
			go p.run(g, &wg)
		}
		wg.Wait()
		for _, p := range replays {
			p.check(t)
			assert.Assert(t, p.idle(), "seed %d: a target still runs the request", p.seed)
		}
		g.mu.Lock()
		assert.Equal(t, len(g.unstarted), 0)
		for name, s := range g.services {
			assert.Equal(t, s.balancer.InFlight(), 0, "%s", name)
		}
		g.mu.Unlock()
	})
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end) && runtime.NumGoroutine() > before+10; {
		time.Sleep(20 * time.Millisecond)
	}
	assert.Assert(t, runtime.NumGoroutine() <= before+10, "%d goroutines, %d before", runtime.NumGoroutine(), before)
}
