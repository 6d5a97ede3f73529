package sidecar

import (
	"context"
	"errors"
	"time"

	"amaranthturn/app/daemon"
	"amaranthturn/core/clock"
	"amaranthturn/core/fleet"
	"amaranthturn/core/upgrade"
	"amaranthturn/platform"
)

// loadDueInterval is the time between two checks whether a load is due.
const loadDueInterval = 100 * time.Millisecond

// loader stages the weights that are due on the engine, commands the engine to load them, and checks
// afterwards that the engine has taken whole chunks. It is separate from enginePoller, because staging
// takes seconds on a slow engine and the entries need reports meanwhile.
type loader struct{ s *Sidecar }

// Run implements daemon.Runner.
func (l *loader) Run(ctx context.Context) {
	for daemon.Sleep(ctx, loadDueInterval) {
		if l.s.MayCall() != nil {
			continue
		}
		l.proveLoad(ctx)
		l.loadIfDue(ctx)
	}
}

// dueLoad is a load that is due.
type dueLoad struct {
	model    fleet.Model
	weights  *versionWeights
	sequence uint64 // of the engine's commands
	engine   fleet.Incarnation
}

// loadIfDue sends a load command when the engine's scheduled time has come.
func (l *loader) loadIfDue(ctx context.Context) {
	d, ok := l.dueLoad()
	if !ok {
		return
	}
	checkedAt, ok := l.stage(ctx, d.weights)
	if !ok {
		return
	}
	l.send(ctx, d.model, upgrade.LoadCommand{Version: d.weights.version, Incarnation: d.engine, Sequence: d.sequence, CheckedAt: checkedAt})
}

func (l *loader) dueLoad() (dueLoad, bool) {
	s := l.s
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	m, e, ok := s.model()
	if !ok || !s.isReportCurrent() {
		return dueLoad{}, false
	}
	serving := s.servingVersion(m.Name, e)
	newest := s.newestComplete()
	in := upgrade.Input{Serving: serving, Busy: s.report.Busy, Staged: newest != nil, DeclaredAt: s.declarationsOf(m.Name).NewerDeclaredAt(serving), Schedule: s.schedule(e)}
	if newest != nil && newest.version > serving {
		in.Wanted, in.Position = newest.version, s.positions(s.group(), newest.version)[s.settings.TargetAddress]
	}
	if upgrade.Decide(in, now) != upgrade.ActionLoad {
		return dueLoad{}, false
	}
	return dueLoad{model: m.Name, weights: newest, sequence: s.report.CommandSequence, engine: s.report.Incarnation}, true
}

// isReportCurrent reports whether the engine is up and has reported since the last load command. mu
// must be held.
func (s *Sidecar) isReportCurrent() bool {
	return s.isEngineUp && s.reportStartedAt.After(s.commandAt)
}

// send sends a load command.
func (l *loader) send(ctx context.Context, m fleet.Model, c upgrade.LoadCommand) {
	s := l.s
	s.mu.Lock()
	s.proof.RecordSent(c)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.engine.Load(ctx, m, c.Version, c.Sequence)
	var rejected *platform.CallError
	s.mu.Lock()
	s.commandAt = s.now()
	switch {
	case err == nil:
		s.proof.RecordAccepted(s.commandAt)
	case errors.Is(err, platform.ErrConflict) || errors.As(err, &rejected):
		s.proof.RecordRejected()
	}
	s.notifyListeners()
	s.mu.Unlock()
	s.metrics.Count("engine_orders", 1)
	ev := s.log.engine.Info()
	if err != nil {
		ev = s.log.engine.Warn().Err(err)
	}
	ev.Uint64("version", c.Version).Uint64("after_orders", c.Sequence).Dur("check_age", clock.Elapsed(c.CheckedAt, s.now())).Msg("load command sent")
}

// maxStagingPasses limits the passes over the staged chunks before a load command.
const maxStagingPasses = 4

// stage stages a version and returns when the last check of all staged chunks began, which found them
// whole. A check that has become too old is repeated; on an engine that is too slow for that, the check
// after the command has to prove the load.
func (l *loader) stage(ctx context.Context, w *versionWeights) (time.Time, bool) {
	s := l.s
	for pass := range maxStagingPasses {
		startedAt := s.now()
		p := newStagingPass(s, w, true)
		if pass == 0 && !w.isStaged() {
			p.skipsCheck = true
		}
		if err := p.finish(ctx); err != nil {
			s.log.weights.Warn().Uint64("version", w.version).Err(err).Msg("chunks cannot be staged")
			return time.Time{}, false
		}
		age := clock.Elapsed(startedAt, s.now())
		s.log.weights.Info().Uint64("version", w.version).Int("replaced", len(p.bad)).Dur("took", age).Int("workers", p.workers).Msg("staged chunks verified")
		if len(p.bad) == 0 && (age <= upgrade.MaxCheckAge || pass == maxStagingPasses-1) {
			return startedAt, true
		}
	}
	return time.Time{}, false
}

// proveLoad checks the staged chunks after a load command.
func (l *loader) proveLoad(ctx context.Context) {
	s := l.s
	s.mu.Lock()
	m, e, ok := s.model()
	if !ok || !s.isReportCurrent() {
		s.mu.Unlock()
		return
	}
	needsCheck := s.proof.NeedsCheck(engineReport(s.report, s.servingVersion(m.Name, e)))
	w := s.weights[s.proof.Version()]
	s.mu.Unlock()
	if needsCheck && w != nil { // otherwise it is no longer wanted, and a newer version will replace it
		l.checkLoaded(ctx, w)
	}
}

func (l *loader) checkLoaded(ctx context.Context, w *versionWeights) {
	s := l.s
	p := newStagingPass(s, w, false)
	if err := p.finish(ctx); err != nil {
		s.log.weights.Warn().Uint64("version", w.version).Err(err).Msg("staged chunks cannot be read after the load command")
		return
	}
	s.mu.Lock()
	s.proof.RecordCheck(len(p.bad) == 0)
	s.notifyListeners()
	s.mu.Unlock()
	if len(p.bad) > 0 {
		s.metrics.Count("loads_unproven", 1)
		s.log.engine.Error().Uint64("version", w.version).Ints("pieces", p.bad).Msg("engine may have loaded bad chunks: it gets no requests until it starts again or loads another version")
	}
}

func engineReport(r platform.Report, serving uint64) upgrade.EngineReport {
	return upgrade.EngineReport{Incarnation: r.Incarnation, Sequence: r.CommandSequence, Busy: r.Busy, Serving: serving}
}
