package gateway

import (
	"errors"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/forward"
	"amaranthturn/core/notice"
	"amaranthturn/core/roster"
	"amaranthturn/core/trace"
)

func noticeTarget(t roster.Target) notice.Target {
	return notice.Target{ID: t.ID, Incarnation: t.Incarnation}
}

// recordNotices applies what a target states about itself in its answer to a request. mu must
// not be held.
func (g *Gateway) recordNotices(t roster.Target, id forward.RequestID, n forward.Notices) {
	if n.Malformed != "" {
		g.metrics.Count("malformed_notices", 1)
		g.log.members.Warn().Str("target", string(t.ID)).Str("request", string(id)).Str("header", n.Malformed).Msg("malformed statement of a target")
	}
	if !n.Leaving && n.Pause <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if n.Pause > 0 {
		until := g.notices.RecordPause(noticeTarget(t), n.Pause, now)
		g.metrics.Count("targets_shedding", 1)
		g.log.members.Info().Str("target", string(t.ID)).Str("request", string(id)).Dur("pause", until.Sub(now)).Msg(trace.MessageTargetSheds)
	}
	if n.Leaving && g.notices.RecordLeaving(noticeTarget(t), now) {
		g.metrics.Count("targets_leaving", 1)
		g.log.members.Info().Str("target", string(t.ID)).Str("request", string(id)).Msg(trace.MessageTargetLeaves)
	}
	g.refreshBalancers(now)
}

// errTargetPaused reports that a target asked for a pause after it was chosen.
var errTargetPaused = errors.New("target has asked for a pause")

// errTargetLeaves reports that a target was found to leave after it was chosen.
var errTargetLeaves = errors.New("target leaves")

// checkTarget returns an error if the target of an attempt asked for a pause or was found to leave after it
// was chosen. mu of the gateway must be held.
func (a *targetAttempt) checkTarget() error {
	g := a.handler.g
	var err error
	listed, ok := g.roster.Get(a.target.ID)
	switch {
	case g.now().Before(g.notices.PausedUntil(noticeTarget(a.target))):
		err = errTargetPaused
	case !ok || listed.State != roster.StateReady || g.notices.IsLeaving(noticeTarget(a.target)):
		err = errTargetLeaves
	default:
		return nil
	}
	g.metrics.Count("attempts_withdrawn", 1)
	return err
}

// mergeLeaving applies which targets leave as another daemon knows it. mu must be held.
func (g *Gateway) mergeLeaving(leaving []notice.Target, now time.Time) {
	added := g.notices.Merge(leaving, now)
	for _, t := range added {
		g.log.members.Info().Str("target", string(t.ID)).Str("from", "another daemon").Msg(trace.MessageTargetLeaves)
	}
	if len(added) > 0 {
		g.refreshBalancers(now)
	}
}

// noticeForgetInterval is how often the notices of targets that are gone are dropped.
const noticeForgetInterval = time.Minute

// forgetNotices drops the notices of targets that are gone. mu must be held.
func (g *Gateway) forgetNotices(now time.Time) {
	isListed := func(t notice.Target) bool {
		listed, ok := g.roster.Get(t.ID)
		return ok && listed.Incarnation == t.Incarnation
	}
	g.notices.Forget(isListed, now)
	g.limits.Forget(isListed, now)
}

// refuseWhileShedding returns a refusal if all targets of the service shed load for longer than
// the request can wait, with the time at which the first of them wants requests again. mu must
// be held.
func (h *requestHandler) refuseWhileShedding(svc *service, queueDeadline, now time.Time) *fleet.Refusal {
	until, ok := svc.balancer.PausedUntil(now)
	if !ok || !until.After(queueDeadline) {
		return nil
	}
	spread := time.Duration(h.g.random.Float64() * float64(retryAfterJitter))
	return fleet.NotRun(fleet.ReasonTargetsShed, until.Sub(now)+spread)
}
