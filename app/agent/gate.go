package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/retry"
	"amaranthturn/io/engine"
	"amaranthturn/io/peer"
)

// gate counts the requests that run on the engine and refuses those that may
// not begin.
type gate struct {
	mu      sync.Mutex // guards all below
	nextID  uint64
	running map[uint64]admission
	closed  map[fleet.Model]bool
	crashed []fleet.Fingerprint
	died    uint64 // run of the engine whose death was recorded
	diedAt  time.Time
}

// admission is a request that was let through.
type admission struct {
	id      uint64
	model   fleet.Model
	version fleet.Version
	print   fleet.Fingerprint
	alone   bool
}

func newGate() *gate {
	return &gate{running: map[uint64]admission{}, closed: map[fleet.Model]bool{}}
}

// enter lets a request through or says why not.
func (g *gate) enter(x admission) (admission, *fleet.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed[x.model] {
		return x, fleet.NotRun(fleet.ReasonVersionSwitching, retry.BaseDelay)
	}
	if x.alone && len(g.running) > 0 {
		return x, fleet.NotRun(fleet.ReasonTargetBusy, retry.BaseDelay)
	}
	for _, o := range g.running {
		if o.alone {
			return x, fleet.NotRun(fleet.ReasonTargetBusy, retry.BaseDelay)
		}
	}
	g.nextID++
	x.id = g.nextID
	g.running[x.id] = x
	return x, nil
}

func (g *gate) leave(x admission) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, x.id)
}

// setOpen opens or closes the gate for a model.
func (g *gate) setOpen(m fleet.Model, open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed[m] = !open
}

// inFlight counts the running requests of a model by version.
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

// engineDied records once what ran when a run of the engine ended.
func (g *gate) engineDied(boot uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.died == boot {
		return false
	}
	g.died, g.diedAt = boot, now
	g.crashed = nil
	for _, x := range g.running {
		g.crashed = append(g.crashed, x.print)
	}
	return true
}

// diedBusy tells whether requests ran when the engine last died.
func (g *gate) diedBusy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.crashed) > 0
}

// crashNews is how long heartbeats name the requests of a crash; every entry
// counts a run of the engine once.
const crashNews = 5 * time.Second

// lastCrash returns the requests that ran when the engine died a short while ago,
// and the run of the engine that ended.
func (g *gate) lastCrash(now time.Time) ([]fleet.Fingerprint, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.diedAt) > crashNews {
		return nil, 0
	}
	return g.crashed, g.died
}

// Generate implements peer.AgentHandler.
func (a *Agent) Generate(ctx context.Context, r peer.GenerateRequest, send func(peer.Event) error) error {
	x, refusal := a.admit(r)
	if refusal != nil {
		a.opt.Metrics.Count("refused_"+string(refusal.Reason), 1)
		return send(peer.Event{Refusal: refusal})
	}
	defer a.gate.leave(x)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	run := &generation{a: a, x: x, send: send, began: a.now()}
	err := a.opt.Engine.Generate(ctx, engine.GenerateRequest{
		RequestID: r.RequestID, Version: x.version, Priority: int(r.Class), ResumeFrom: r.ResumeFrom, Body: r.Body,
	}, run.token)
	if err == nil || run.sendErr != nil {
		return run.sendErr
	}
	return send(peer.Event{Version: x.version, Refusal: a.translate(ctx, err, run.tokens)})
}

// admit checks a request against what is true now; after a pause its deadline
// has passed and nothing is run.
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
	return a.gate.enter(admission{model: r.Model, version: v, print: r.Fingerprint, alone: r.Alone})
}

// generation passes the tokens of one request on.
type generation struct {
	a       *Agent
	x       admission
	send    func(peer.Event) error
	began   time.Time
	tokens  int
	sendErr error
}

func (g *generation) token(t engine.Token) error {
	g.tokens++
	if g.tokens == 1 {
		now := g.a.now()
		g.a.pace.live(now.Sub(g.began), now)
	}
	g.sendErr = g.send(peer.Event{
		Version: g.x.version, Index: t.Index, Token: t.Text, Done: t.Done, Finish: t.Finish, CanResume: g.a.driver.canResume(),
	})
	return g.sendErr
}

// translate turns an error of the engine into a refusal.
func (a *Agent) translate(ctx context.Context, err error, tokens int) *fleet.Refusal {
	var f *engine.FailedError
	switch {
	case errors.Is(err, engine.ErrNotLoaded):
		return fleet.NotRun(fleet.ReasonVersionUnavailable, retry.BaseDelay)
	case ctx.Err() != nil:
		return fleet.Unknown(fleet.ReasonDeadlinePassed)
	case errors.As(err, &f) && (f.Status == 429 || f.Status == 503):
		return fleet.NotRun(fleet.ReasonTargetBusy, retry.BaseDelay)
	case errors.As(err, &f) && f.Status == 400:
		return fleet.NotRun(fleet.ReasonBadRequest, 0)
	case errors.As(err, &f) && f.Status == 0:
		a.driver.suspectDeath()
		return fleet.Unknown(fleet.ReasonEngineCrashed)
	}
	return fleet.Unknown(fleet.ReasonEngineFailed)
}
