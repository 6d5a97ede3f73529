package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/notice"
	"amaranthturn/core/retry"
	"amaranthturn/core/trace"
	"amaranthturn/io/engine"
	"amaranthturn/io/peer"
)

// gate counts the requests that run on the engine or the service and refuses those that
// may not start.
type gate struct {
	mu              sync.Mutex // guards all fields below
	nextID          uint64
	running         map[uint64]admission
	closed          map[fleet.Model]bool
	crashedRequests []fleet.Fingerprint
	crashedBoot     uint64 // boot of the engine whose crash was recorded last
	crashedAt       time.Time
	pauses          *notice.Ledger // of the engine since it started, under the zero target
}

// admission is an admitted request.
type admission struct {
	id          uint64
	model       fleet.Model
	version     fleet.Version
	fingerprint fleet.Fingerprint
	exclusive   bool
}

func newGate() *gate {
	return &gate{running: map[uint64]admission{}, closed: map[fleet.Model]bool{}, pauses: notice.NewLedger()}
}

// pause refuses new requests for as long as the engine asked for, and returns the end.
func (g *gate) pause(d time.Duration, now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pauses.RecordPause(notice.Target{}, d, now)
}

// admit admits a request or returns the refusal.
func (g *gate) admit(x admission, now time.Time) (admission, *fleet.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if until := g.pauses.PausedUntil(notice.Target{}); now.Before(until) {
		return x, fleet.NotRun(fleet.ReasonTargetBusy, until.Sub(now))
	}
	if g.closed[x.model] {
		return x, fleet.NotRun(fleet.ReasonVersionSwitching, retry.BaseDelay)
	}
	if x.exclusive && len(g.running) > 0 {
		return x, fleet.NotRun(fleet.ReasonTargetBusy, retry.BaseDelay)
	}
	for _, other := range g.running {
		if other.exclusive {
			return x, fleet.NotRun(fleet.ReasonTargetBusy, retry.BaseDelay)
		}
	}
	g.nextID++
	x.id = g.nextID
	g.running[x.id] = x
	return x, nil
}

func (g *gate) release(x admission) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, x.id)
}

// setOpen allows or refuses new requests for a model.
func (g *gate) setOpen(m fleet.Model, open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed[m] = !open
}

// inFlight returns the number of running requests of a model by version.
func (g *gate) inFlight(m fleet.Model) map[fleet.Version]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[fleet.Version]int{}
	for _, x := range g.running {
		if x.model == m {
			out[x.version]++
		}
	}
	return out
}

func (g *gate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.running)
}

// recordCrash records the requests that were running when the engine crashed. It returns
// false if the crash of this boot is already recorded.
func (g *gate) recordCrash(boot uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashedBoot == boot {
		return false
	}
	g.crashedBoot, g.crashedAt = boot, now
	g.pauses = notice.NewLedger()
	g.crashedRequests = nil
	for _, x := range g.running {
		g.crashedRequests = append(g.crashedRequests, x.fingerprint)
	}
	return true
}

// crashedWithRequests reports whether requests were running when the engine last crashed.
func (g *gate) crashedWithRequests() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.crashedRequests) > 0
}

// crashReportTTL is how long heartbeats list the requests of a crash. Repeating them is safe
// because every entry counts a boot of the engine once.
const crashReportTTL = 5 * time.Second

// lastCrash returns the requests that were running at the last crash of the engine and the
// boot that crashed, if the crash is recent enough to report.
func (g *gate) lastCrash(now time.Time) ([]fleet.Fingerprint, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.crashedAt) > crashReportTTL {
		return nil, 0
	}
	return g.crashedRequests, g.crashedBoot
}

// Generate implements peer.AgentHandler.
func (a *Agent) Generate(ctx context.Context, r peer.GenerateRequest, send func(peer.GenerateEvent) error) error {
	x, refusal := a.admit(r)
	if refusal != nil {
		a.opt.Metrics.Count("refused_"+string(refusal.Reason), 1)
		return send(peer.GenerateEvent{Refusal: refusal})
	}
	defer a.gate.release(x)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	run := &generation{a: a, admission: x, send: send, startedAt: a.now()}
	err := a.opt.Engine.Generate(ctx, engine.GenerateRequest{
		RequestID: r.RequestID, Version: x.version, Priority: int(r.Class), ResumeFrom: r.ResumeFrom, Body: r.Body,
	}, run.forwardToken)
	if err == nil || run.sendErr != nil {
		return run.sendErr
	}
	return send(peer.GenerateEvent{Version: x.version, Refusal: a.refusalFor(ctx, err, run.tokens)})
}

// admit checks a request against the current state. After a pause of this process the
// deadline has passed, so the request is refused.
func (a *Agent) admit(r peer.GenerateRequest) (admission, *fleet.Refusal) {
	now := a.now()
	switch {
	case a.opt.Engine == nil:
		return admission{}, fleet.NotRun(fleet.ReasonUnknownModel, 0)
	case !now.Before(r.Deadline):
		return admission{}, fleet.NotRun(fleet.ReasonDeadlinePassed, 0)
	case a.leaving.Load():
		return admission{}, fleet.NotRun(fleet.ReasonLeaving, retry.BaseDelay)
	case r.Incarnation != 0 && r.Incarnation != a.incarnation:
		return admission{}, fleet.NotRun(fleet.ReasonTargetRestarted, retry.BaseDelay)
	}
	v, ok := a.driver.versionFor(r.Model, r.Version)
	if !ok {
		return admission{}, fleet.NotRun(fleet.ReasonVersionUnavailable, retry.BaseDelay)
	}
	return a.gate.admit(admission{model: r.Model, version: v, fingerprint: r.Fingerprint, exclusive: r.Exclusive}, now)
}

// generation forwards the tokens of one request.
type generation struct {
	a         *Agent
	admission admission
	send      func(peer.GenerateEvent) error
	startedAt time.Time
	tokens    int
	sendErr   error
}

func (g *generation) forwardToken(t engine.Token) error {
	g.tokens++
	if g.tokens == 1 {
		now := g.a.now()
		g.a.pace.recordFirstToken(now.Sub(g.startedAt), now)
	}
	g.sendErr = g.send(peer.GenerateEvent{
		Version: g.admission.version, Index: t.Index, Token: t.Text, Done: t.Done, FinishReason: t.Finish, CanResume: g.a.driver.canResume(),
	})
	return g.sendErr
}

// refusalFor converts an error of the engine into a refusal.
func (a *Agent) refusalFor(ctx context.Context, err error, tokens int) *fleet.Refusal {
	var failed *engine.FailedError
	switch {
	case errors.Is(err, engine.ErrNotLoaded):
		return fleet.NotRun(fleet.ReasonVersionUnavailable, retry.BaseDelay)
	case ctx.Err() != nil:
		return fleet.Unknown(fleet.ReasonDeadlinePassed)
	case errors.As(err, &failed) && failed.Pause > 0:
		now := a.now()
		until := a.gate.pause(failed.Pause, now)
		a.opt.Metrics.Count("targets_shedding", 1)
		a.log.engine.Info().Dur("pause", until.Sub(now)).Msg(trace.MessageTargetSheds)
		return fleet.NotRun(fleet.ReasonTargetBusy, until.Sub(now))
	case errors.As(err, &failed) && (failed.Status == 429 || failed.Status == 503):
		return fleet.NotRun(fleet.ReasonTargetBusy, retry.BaseDelay)
	case errors.As(err, &failed) && failed.Status == 400:
		return fleet.NotRun(fleet.ReasonBadRequest, 0)
	case errors.As(err, &failed) && failed.Status == 0:
		a.driver.suspectCrash()
		return fleet.Unknown(fleet.ReasonEngineCrashed)
	}
	return fleet.Unknown(fleet.ReasonEngineFailed)
}
