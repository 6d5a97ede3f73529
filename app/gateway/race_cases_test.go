package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/retry"
	"amaranthturn/platform/platformtest"
)

// replayOf returns a replay of the given plays.
func replayOf(t *testing.T, name string, attempts int, plays ...play) *replay {
	return &replay{replayService: &replayService{name: fleet.Service(name), attempts: attempts, plays: plays}, recorder: recorder{t: t}}
}

// serve runs the request of a replay.
func (p *replay) serve(g *Gateway) {
	var wg sync.WaitGroup
	wg.Add(1)
	p.run(g, &wg)
}

func (p *replay) received() string { return p.recorder.body.String() }

// wholeStream is the complete stream of version 1.
func wholeStream() string {
	var b strings.Builder
	for i := 1; i <= replayedEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: v1-%d\n\n", i, i)
	}
	return b.String()
}

// A caller that reads slowly must not make its target count as silent: another one was started while
// the event was being written.
func TestSlowCallerIsNoSilenceOfTheTarget(t *testing.T) {
	p := replayOf(t, "s", 3, play{version: 1})
	p.recorder.slow = 3 * replayedStall
	g := newReplayGateway(t, []*replay{p})
	p.serve(g)
	assert.NilError(t, p.err)
	assert.Equal(t, p.received(), wholeStream())
	assert.Equal(t, p.arrived(), 1)
}

// Two targets are silent, and the third answers.
func TestSilentReplacementIsReplaced(t *testing.T) {
	for _, at := range []int{0, 1, 4} {
		p := replayOf(t, "s", 3, play{version: 1, end: endHangs, endAt: at}, play{version: 1, end: endHangs}, play{version: 1})
		g := newReplayGateway(t, []*replay{p})
		p.serve(g)
		assert.NilError(t, p.err)
		assert.Equal(t, p.received(), wholeStream())
		assert.Equal(t, p.arrived(), 3)
		assert.Assert(t, p.took < replayedTimeout/2, "%v", p.took)
	}
}

// The only other target is full at first. The silent target's stream is sent there again, but not
// often.
func TestSilentTargetIsReplacedOnceAnotherHasRoom(t *testing.T) {
	full := play{end: endRefused}
	p := replayOf(t, "s", 2, play{version: 1, end: endHangs, endAt: 4}, full, full, full, play{version: 1})
	g := newReplayGateway(t, []*replay{p})
	p.serve(g)
	assert.NilError(t, p.err)
	assert.Equal(t, p.received(), wholeStream())
	assert.Equal(t, p.arrived(), 5)
	assert.Equal(t, p.runs(), 2)
}

// A target was silent before its first event and no other one had a free slot: the request waited for one
// until its caller left, and ran when the target went on.
func TestSilentTargetIsReplacedByAFullOne(t *testing.T) {
	p := replayOf(t, "s", 2, play{version: 1, end: endHangs}, play{version: 1})
	g := newReplayGateway(t, []*replay{p})
	time.AfterFunc(replayedStall/2, func() { fillTargets(g, p.name) })
	p.serve(g)
	assert.NilError(t, p.err)
	assert.Equal(t, p.received(), wholeStream())
	assert.Equal(t, p.arrived(), 2)
	assert.Assert(t, p.took < replayedTimeout/2, "%v", p.took)
}

// fillTargets takes all slots of a service's targets.
func fillTargets(g *Gateway, name fleet.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.roster.Usable(name) {
		for range t.Slots {
			g.service(name).balancer.RecordStart(t.ID, 0, g.now())
		}
	}
}

// The same before the first event: after two refusals the silent target's request was not sent to another
// one any more, and its caller waited until the deadline or got an error when the target broke off.
func TestRefusalsBesideSilentTargetAreNotItsLast(t *testing.T) {
	full := play{end: endRefused}
	closes := play{version: 1, end: endClosed, endAt: 1, pauses: [replayedEvents + 2]time.Duration{1: 4 * replayedStall}}
	for name, first := range map[string]play{"silent": {version: 1, end: endHangs}, "breaks off": closes} {
		p := replayOf(t, "s", 2, first, full, full, full, play{version: 1})
		g := newReplayGateway(t, []*replay{p})
		p.serve(g)
		assert.NilError(t, p.err)
		assert.Equal(t, p.received(), wholeStream(), name)
		assert.Equal(t, p.arrived(), 5, name)
		assert.Equal(t, p.runs(), 2, name)
	}
}

// dribble sends the begin of an event and then a byte now and then.
func dribble(c net.Conn, r *http.Request) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 1\ndat\r\n",
		platformtest.HeaderAttemptID, r.Header.Get(platformtest.HeaderAttemptID), platformtest.HeaderSeal)
	for err == nil {
		time.Sleep(replayedStall / 8)
		_, err = io.WriteString(c, "1\r\na\r\n")
	}
	return false
}

// Bytes without a complete event are no progress: a stalled target that sends one now and then kept
// its stream.
func TestBytesWithoutAnEventAreNoProgress(t *testing.T) {
	p := replayOf(t, "s", 2, play{version: 1, raw: dribble}, play{version: 1})
	g := newReplayGateway(t, []*replay{p})
	p.serve(g)
	assert.NilError(t, p.err)
	assert.Equal(t, p.received(), wholeStream())
	assert.Equal(t, p.arrived(), 2)
	assert.Assert(t, p.took < replayedTimeout/2, "%v", p.took)
}

// The caller leaves while several attempts are in progress. All of them end at once.
func TestCallerLeavesDuringSeveralAttempts(t *testing.T) {
	p := replayOf(t, "s", 3, play{version: 1, end: endHangs, endAt: 4}, play{version: 1, end: endHangs}, play{version: 1, end: endHangs})
	p.leaves = 15 * replayedStall
	g := newReplayGateway(t, []*replay{p})
	p.serve(g)
	assert.Assert(t, errors.Is(p.err, errTruncated), "%v", p.err)
	assert.Assert(t, p.took < p.leaves+300*time.Millisecond, "%v", p.took)
	assert.Equal(t, p.arrived(), 3)
	assert.Assert(t, p.idle())
}

// The process has to answer its requests while several attempts are in progress.
func TestStopDuringSeveralAttempts(t *testing.T) {
	p := replayOf(t, "s", 3, play{version: 1, end: endHangs, endAt: 4}, play{version: 1, end: endHangs}, play{version: 1, end: endHangs})
	g := newReplayGateway(t, []*replay{p})
	time.AfterFunc(6*replayedStall, g.stop.End)
	p.serve(g)
	assert.Assert(t, errors.Is(p.err, errTruncated), "%v", p.err)
	assert.Assert(t, p.took < 6*replayedStall+300*time.Millisecond, "%v", p.took)
	assert.Assert(t, p.idle())
}

// A complete answer that is no stream is kept while the silent target may go on, and given to the
// caller if that one fails or stays silent.
func TestAnswerBesideSilentTargetIsKept(t *testing.T) {
	for name, first := range map[string]play{
		"closes":        {version: 1, end: endClosed, pauses: [replayedEvents + 2]time.Duration{1: 3 * replayedStall / 2}},
		"breaks off":    {version: 1, end: endWithinEvent, endAt: 1, pauses: [replayedEvents + 2]time.Duration{1: 3 * replayedStall / 2}},
		"never answers": {version: 1, end: endHangs},
	} {
		t.Run(name, func(t *testing.T) {
			p := replayOf(t, "s", 3, first, play{end: endConflict})
			g := newReplayGateway(t, []*replay{p})
			p.serve(g)
			assert.NilError(t, p.err)
			assert.Equal(t, p.recorder.status, http.StatusConflict)
			assert.Assert(t, p.took < replayedTimeout/2, "%v", p.took)
			assert.Assert(t, p.idle())
		})
	}
}

// A stream that may not be repeated is sent once, however long its target is silent.
func TestStreamThatMayNotBeRepeatedIsSentOnce(t *testing.T) {
	for _, at := range []int{0, 1, 4} {
		first := play{version: 1}
		first.pauses[at] = 4 * replayedStall
		p := replayOf(t, "s", 3, first, play{version: 1})
		g := newReplayGateway(t, []*replay{p})
		doc := g.doc.Load()
		r, ok := doc.Match("h", "/s/x")
		assert.Assert(t, ok)
		r.Resumable = false
		p.serve(g)
		assert.NilError(t, p.err)
		assert.Equal(t, p.received(), wholeStream())
		assert.Equal(t, p.arrived(), 1)
	}
}

// Attempts beside silent ones take their retries from the service's budget.
func TestReplacementsStayWithinTheRetryBudget(t *testing.T) {
	const allowance = 2
	var replays []*replay
	for seed := range uint64(100) {
		p := newReplay(t, seed+*replaySeed)
		p.attempts = 5
		replays = append(replays, p)
	}
	g := newReplayGateway(t, replays)
	g.budgets = retry.NewBudgets[fleet.Service](retry.BudgetsSettings{Allowance: allowance, Window: time.Hour}, 1, time.Now().Add(-2*time.Hour))
	var wg sync.WaitGroup
	for _, p := range replays {
		wg.Add(1)
		go p.run(g, &wg)
	}
	wg.Wait()
	most := 0
	for _, p := range replays {
		most = max(most, p.arrived())
		assert.Assert(t, p.arrived() <= 1+allowance, "seed %d: %d arrivals", p.seed, p.arrived())
	}
	assert.Equal(t, most, 1+allowance)
}

// A target that is found silent loses its stream to the other one, which fails by then: the request
// is decided once, by the last attempt.
func TestEndOfSilentTargetDuringReplacement(t *testing.T) {
	var replays []*replay
	for i := range 200 {
		first := play{version: 1}
		first.pauses[replayedEvents+1] = replayedStall + time.Duration(i%20-10)*time.Millisecond/4 // ends at about the time of the check
		replays = append(replays, replayOf(t, fmt.Sprintf("s%d", i), 2, first, play{version: 1}))
	}
	g := newReplayGateway(t, replays)
	var wg sync.WaitGroup
	for _, p := range replays {
		wg.Add(1)
		go p.run(g, &wg)
	}
	wg.Wait()
	for _, p := range replays {
		assert.NilError(t, p.err, "%s", p.name)
		assert.Equal(t, p.received(), wholeStream())
	}
}

// Both targets have the next event at about the same time. That of the slower one is no event out of
// order, and the target has not failed.
func TestSameEventOfTwoTargetsIsNoFailure(t *testing.T) {
	var replays []*replay
	for i := range 200 {
		first, second := play{version: 1}, play{version: 1}
		first.pauses[4] = 2 * replayedStall
		second.pauses[4] = replayedStall - time.Duration(i%20)*time.Millisecond/4
		replays = append(replays, replayOf(t, fmt.Sprintf("s%d", i), 2, first, second))
	}
	g := newReplayGateway(t, replays)
	var wg sync.WaitGroup
	for _, p := range replays {
		wg.Add(1)
		go p.run(g, &wg)
	}
	wg.Wait()
	for _, p := range replays {
		assert.NilError(t, p.err, "%s", p.name)
		assert.Equal(t, p.received(), wholeStream())
	}
	assert.Equal(t, counter(t, g, "events_out_of_order"), 0)
}

// steppedClock is a clock that a pause of the process moves.
type steppedClock struct{ step atomic.Int64 }

// Now implements clock.Clock.
func (c *steppedClock) Now() time.Time { return time.Now().Add(time.Duration(c.step.Load())) }

// The process was paused. What its targets sent meanwhile is read before they count as silent.
func TestPauseOfTheProcessIsNoSilenceOfTheTarget(t *testing.T) {
	first := play{version: 1}
	first.pauses[4] = 650 * time.Millisecond
	p := replayOf(t, "s", 3, first, play{version: 1})
	g := newReplayGateway(t, []*replay{p})
	c := &steppedClock{}
	g.clock, g.stall = c, stallTimes{timeout: 600 * time.Millisecond, checkInterval: 300 * time.Millisecond}
	time.AfterFunc(200*time.Millisecond, func() { c.step.Store(int64(2 * time.Second)) })
	p.serve(g)
	assert.NilError(t, p.err)
	assert.Equal(t, p.received(), wholeStream())
	assert.Equal(t, p.arrived(), 1)
}

// While several attempts are in progress, a part of the prompt becomes known to crash targets. All
// attempts end, and no further one begins.
func TestCrashingPartEndsAllAttempts(t *testing.T) {
	p := replayOf(t, "s", 4, play{version: 1, end: endHangs})
	p.parts = []fleet.Fingerprint{7}
	g := newReplayGateway(t, []*replay{p})
	time.AfterFunc(15*replayedStall, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		now := g.now()
		for id := range crashblame.ReportID(8) {
			g.parts.RecordCrash(id, p.parts, now)
		}
		g.crashesChanged(now)
	})
	p.serve(g)
	assert.NilError(t, p.err)
	assert.Equal(t, p.recorder.status, http.StatusServiceUnavailable)
	assert.Equal(t, p.arrived(), 3, "targets")
	assert.Assert(t, p.took < 15*replayedStall+500*time.Millisecond, "%v", p.took)
	assert.Assert(t, p.idle())
}
