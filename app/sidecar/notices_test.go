package sidecar

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/app/settings"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/clock"
	"amaranthturn/core/forward"
	"amaranthturn/core/notice"
	"amaranthturn/core/roster"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
	"amaranthturn/platform/platformtest"
)

// fakeEngine answers each call with answer and keeps the times of the calls.
type fakeEngine struct {
	mu     sync.Mutex // guards the fields below
	calls  []time.Time
	answer http.HandlerFunc
}

// ServeHTTP implements http.Handler.
func (e *fakeEngine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, time.Now())
	e.answer(rw, r)
}

// callsBetween returns how many calls arrived between two times after the first one.
func (e *fakeEngine) callsBetween(from, to time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, at := range e.calls {
		if d := at.Sub(e.calls[0]); d > from && d < to {
			n++
		}
	}
	return n
}

func newSidecarOf(t *testing.T, e *fakeEngine) *Sidecar {
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	m := telemetry.NewMetrics("agent")
	t.Cleanup(func() { _ = m.Close() })
	addr := strings.TrimPrefix(srv.URL, "http://")
	cfg := &platform.Settings{Instance: "a1", TargetService: "s", TargetAddress: addr}
	s := New(cfg, clock.System{}, telemetry.NewLogs(io.Discard, settings.Log{}, "a1"), m, peer.NewPool(peer.DialOptions{}),
		platform.NewEngine(addr, &http.Client{}), nil, nil, 1)
	s.roster.Update(roster.Target{ID: "engine", Service: "s", Address: addr, State: roster.StateReady, Incarnation: 5})
	return s
}

func refuseWithPause(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Retry-After", "1.5")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// An engine answers its agent's report with a pause: it gets no call until the end.
func TestAgentCallsNoEngineThatAskedForAPause(t *testing.T) {
	e := &fakeEngine{answer: refuseWithPause}
	s := newSidecarOf(t, e)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	driver := &enginePoller{s: s, pauseDetector: clock.NewPauseDetector(pauseThreshold)}
	driver.Run(ctx)
	assert.Equal(t, e.callsBetween(0, 1500*time.Millisecond), 0)
	assert.Assert(t, e.callsBetween(1500*time.Millisecond, time.Minute) > 0)
}

// Staged data and load commands are calls as well, and their answers count.
func TestPauseHoldsForAllCallsOfAnAgent(t *testing.T) {
	calls := map[string]func(context.Context, *platform.Engine) error{
		"report": func(ctx context.Context, e *platform.Engine) error {
			_, err := e.Report(ctx)
			return err
		},
		"load":  func(ctx context.Context, e *platform.Engine) error { return e.Load(ctx, "m", 2, 0) },
		"stage": func(ctx context.Context, e *platform.Engine) error { return e.StageChunk(ctx, "m", 0, nil) },
		"staged": func(ctx context.Context, e *platform.Engine) error {
			_, err := e.StagedChunk(ctx, "m", 0, 1)
			return err
		},
	}
	for first, call := range calls {
		t.Run(first, func(t *testing.T) {
			e := &fakeEngine{answer: refuseWithPause}
			s := newSidecarOf(t, e)
			assert.ErrorContains(t, call(t.Context(), s.engine), "503")
			for _, next := range calls {
				assert.Check(t, next(t.Context(), s.engine) != nil)
			}
			assert.Equal(t, len(e.calls), 1)
		})
	}
}

// Every answer of an engine may state that it leaves, also a failed one. The agent tells the
// entries.
func TestAgentLearnsFromAnyAnswerThatItsEngineLeaves(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusConflict, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		e := &fakeEngine{answer: func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(platformtest.HeaderLeaving, "1")
			rw.WriteHeader(status)
		}}
		s := newSidecarOf(t, e)
		_ = s.engine.Load(t.Context(), "m", 2, 0)
		assert.DeepEqual(t, s.exchangeMessage().Leaving, []notice.Target{{ID: "engine", Incarnation: 5}})
	}
}

// An engine that has started again under its ID begins without notices.
func TestRestartedEngineBeginsWithoutPause(t *testing.T) {
	e := &fakeEngine{answer: refuseWithPause}
	s := newSidecarOf(t, e)
	assert.ErrorContains(t, s.engine.Load(t.Context(), "m", 2, 0), "503")
	assert.ErrorIs(t, s.MayCall(), errEnginePaused)
	s.restartEngine()
	assert.NilError(t, s.MayCall())
}

func (s *Sidecar) restartEngine() {
	s.roster.Update(roster.Target{ID: "engine", Service: "s", Address: s.settings.TargetAddress, State: roster.StateReady, Incarnation: 6})
}

// An engine has started again, and its agent knows that from a report or from the list only.
// It is unknown which incarnation states that it leaves.
func TestLeavingOfUnknownIncarnationIsNotRecorded(t *testing.T) {
	s := newSidecarOf(t, &fakeEngine{})
	s.RecordNotices(forward.Notices{Leaving: true})
	assert.Assert(t, s.notices.IsLeaving(s.engineTarget()))
	s.report.Incarnation = 5
	s.restartEngine()
	s.RecordNotices(forward.Notices{Leaving: true})
	assert.Assert(t, !s.notices.IsLeaving(s.engineTarget()))
}

// The record of an engine comes and goes with the store. A pause that the engine asked for holds
// meanwhile.
func TestPauseHoldsWhileTheRecordOfTheEngineComesAndGoes(t *testing.T) {
	record := roster.Target{ID: "engine", Service: "s", State: roster.StateReady, Incarnation: 5}
	t.Run("listed after the pause began", func(t *testing.T) {
		s := newSidecarOf(t, &fakeEngine{answer: refuseWithPause})
		assert.Assert(t, s.roster.Drop(record.ID))
		assert.ErrorContains(t, s.engine.Load(t.Context(), "m", 2, 0), "503")
		assert.ErrorIs(t, s.MayCall(), errEnginePaused)
		record.Address = s.settings.TargetAddress
		s.roster.Update(record)
		assert.ErrorIs(t, s.MayCall(), errEnginePaused)
	})
	t.Run("expired after the pause began", func(t *testing.T) {
		s := newSidecarOf(t, &fakeEngine{answer: refuseWithPause})
		assert.ErrorContains(t, s.engine.Load(t.Context(), "m", 2, 0), "503")
		assert.Assert(t, s.roster.Drop(record.ID))
		assert.ErrorIs(t, s.MayCall(), errEnginePaused)
	})
}

// A pause that an engine asked its agent for closed it to the entries as well.
func TestPauseOfReportsKeepsTheEngineOpen(t *testing.T) {
	e := &fakeEngine{answer: refuseWithPause}
	s := newSidecarOf(t, e)
	s.isEngineUp = true
	(&enginePoller{s: s}).pollEngine(t.Context())
	assert.ErrorIs(t, s.MayCall(), errEnginePaused)
	assert.Assert(t, s.isEngineUp)
}

// An engine left and started again under its ID. While the agent's list still had the incarnation that left,
// the agent reported the new one as leaving, and entries kept away from it for good.
func TestEngineThatStartedAgainIsNotReportedAsLeaving(t *testing.T) {
	s := newSidecarOf(t, &fakeEngine{})
	s.isEngineUp, s.report.Incarnation = true, 5
	s.RecordNotices(forward.Notices{Leaving: true})
	assert.Assert(t, s.currentLoad().Leaving)
	s.report.Incarnation = 6
	assert.Assert(t, !s.currentLoad().Leaving)
	s.report.Incarnation, s.report.Leaving = 6, true
	assert.Assert(t, s.currentLoad().Leaving, "it states so itself")
}
