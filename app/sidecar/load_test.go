package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/app/settings"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/fleet"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/core/upgrade"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

// newModelAgent returns an agent whose engine serves version 1, with streams of the given periods
// that have just sent a report.
func newModelAgent(t *testing.T, periods ...time.Duration) (*Sidecar, *fakeClock, []*loadListener) {
	c := &fakeClock{time.Unix(1_000_000, 0)}
	m := telemetry.NewMetrics("agent")
	t.Cleanup(func() { _ = m.Close() })
	cfg := &platform.Settings{Instance: "a1", Zone: "z", Region: "r", TargetAddress: "10.0.0.1:1", TargetService: "llm"}
	s := New(cfg, c, telemetry.NewLogs(io.Discard, settings.Log{}, "a1"), m, peer.NewPool(peer.DialOptions{}), platform.NewEngine("10.0.0.1:1", &http.Client{}), nil, nil, 1)
	s.doc = routeconfig.New(1, nil, []routeconfig.Service{{Name: "llm", Engine: &routeconfig.Engine{Slots: 8, Models: []routeconfig.EngineModel{{Name: "m"}}}}}, routeconfig.Limits{}, nil)
	s.isEngineUp, s.report = true, reportOf(0)
	var listeners []*loadListener
	for _, p := range periods {
		l := &loadListener{period: p, wake: make(chan struct{}, 1)}
		s.listeners[l] = struct{}{}
		listeners = append(listeners, l)
		_, ok := s.dueLoad(l)
		assert.Assert(t, ok, "the first report")
	}
	return s, c, listeners
}

func reportOf(running int) platform.Report {
	return platform.Report{Incarnation: 1, Running: running, Loaded: []roster.LoadedVersion{{Model: "m", Version: 1}}}
}

// woken returns how many streams were woken, and puts them to sleep again as if they had sent.
func woken(s *Sidecar, listeners []*loadListener) int {
	n := 0
	for _, l := range listeners {
		select {
		case <-l.wake:
			n++
			s.dueLoad(l)
		default:
		}
	}
	return n
}

// Load that changes with each poll wakes each stream once per period, however many there are.
func TestChangingLoadWakesStreamsThatAreDue(t *testing.T) {
	var periods []time.Duration
	for range 49 {
		periods = append(periods, 2*time.Second)
	}
	s, c, listeners := newModelAgent(t, append(periods, 400*time.Millisecond)...)
	total := 0
	for i := range 100 {
		c.t = c.t.Add(reportInterval)
		s.mu.Lock()
		s.report = reportOf(i % 8)
		s.notifyListeners()
		s.mu.Unlock()
		total += woken(s, listeners)
	}
	assert.Equal(t, total, 49*5+25)
}

// A change of state wakes all streams at once, and a second one while they are awake is not lost.
func TestChangeOfStateWakesAllStreams(t *testing.T) {
	s, _, listeners := newModelAgent(t, time.Minute, time.Minute, time.Minute)
	for i, change := range []func(r *platform.Report){
		func(r *platform.Report) { r.Busy = true },
		func(r *platform.Report) { r.Incarnation = 2 },
		func(r *platform.Report) { r.Loaded = nil },
		func(r *platform.Report) { r.Leaving = true },
	} {
		s.mu.Lock()
		change(&s.report)
		s.notifyListeners()
		s.notifyListeners()
		s.mu.Unlock()
		assert.Equal(t, woken(s, listeners), 3, fmt.Sprintf("change %d", i))
		assert.Equal(t, woken(s, listeners), 0)
	}
}

// A declaration is noticed at once, and an agent without news checks rarely.
func TestDeclarationWakesVersionManager(t *testing.T) {
	s, _, _ := newModelAgent(t)
	s.mu.Lock()
	s.mergeExchange(peer.ExchangeMessage{}, s.now())
	s.mu.Unlock()
	assert.Equal(t, len(s.versionsChanged), 0)
	s.mu.Lock()
	s.mergeExchange(peer.ExchangeMessage{Declared: map[fleet.Model][]upgrade.Age{"m": {{Version: 2}}}}, s.now())
	s.mu.Unlock()
	assert.Equal(t, len(s.versionsChanged), 1)
}
