package sidecar

import (
	"errors"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/forward"
	"amaranthturn/core/notice"
	"amaranthturn/core/trace"
	"amaranthturn/platform"
)

// errEnginePaused reports that the engine wants no calls now.
var errEnginePaused = errors.New("engine has asked for a pause")

// MayCall implements platform.CallGate.
func (s *Sidecar) MayCall() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.now(); now.Before(s.notices.PausedUntil(s.pauseTarget(now))) {
		return errEnginePaused
	}
	return nil
}

// RecordNotices implements platform.CallGate.
func (s *Sidecar) RecordNotices(n forward.Notices) {
	if n.Malformed != "" {
		s.metrics.Count("malformed_notices", 1)
		s.log.engine.Warn().Str("header", n.Malformed).Msg("malformed statement of a target")
	}
	if !n.Leaving && n.Pause <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now, t := s.now(), s.engineTarget()
	if n.Pause > 0 {
		s.pausedEngine = s.pauseTarget(now)
		until := s.notices.RecordPause(s.pausedEngine, n.Pause, now)
		s.metrics.Count("targets_shedding", 1)
		s.log.engine.Info().Str("target", string(t.ID)).Dur("pause", until.Sub(now)).Msg(trace.MessageTargetSheds)
	}
	// If the report is of another incarnation than the record, it is unknown which one answered.
	isCurrent := s.report.Incarnation == 0 || s.report.Incarnation == t.Incarnation
	if n.Leaving && isCurrent && t.Incarnation != 0 && s.notices.RecordLeaving(t, now) {
		s.metrics.Count("targets_leaving", 1)
		s.log.engine.Info().Str("target", string(t.ID)).Msg(trace.MessageTargetLeaves)
		s.notifyListeners()
	}
}

// pauseTarget returns the incarnation of the engine whose pause holds. A record that appears or
// expires in a pause is no sign that the engine has started again. mu must be held.
func (s *Sidecar) pauseTarget(now time.Time) notice.Target {
	t, p := s.engineTarget(), s.pausedEngine
	if now.Before(s.notices.PausedUntil(p)) && (t.Incarnation == 0 || p.Incarnation == 0) {
		return p
	}
	return t
}

// engineTarget returns the incarnation of the engine that is listed. If none is, it is named by
// its address. mu must be held.
func (s *Sidecar) engineTarget() notice.Target {
	t, ok := s.roster.At(s.settings.TargetAddress)
	if !ok {
		return notice.Target{ID: fleet.InstanceID(s.settings.TargetAddress)}
	}
	return notice.Target{ID: t.ID, Incarnation: t.Incarnation}
}

var _ platform.CallGate = (*Sidecar)(nil)
