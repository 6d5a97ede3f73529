package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/roster"
)

// crashesTargets reports whether the request or a part of its prompt is known to crash the
// targets that run it. Gateway.mu must be held.
func (h *requestHandler) crashesTargets(now time.Time) bool {
	h.g.confirmAnswers(now)
	return h.g.ledger.Restriction(h.fingerprint, now) == crashblame.Refuse || h.partCrashesTargets(now)
}

func (h *requestHandler) partCrashesTargets(now time.Time) bool {
	return h.g.parts.Restriction(h.call.SharedParts, now) == crashblame.Refuse
}

// recordPropagation is how long a target's record takes to reach the entries.
const recordPropagation = 500 * time.Millisecond

// confirmAnswers lets answers count as those of the listed incarnations of their targets once the records
// of later ones would be known. mu must be held.
func (g *Gateway) confirmAnswers(now time.Time) {
	if !g.storeUnavailable {
		g.ledger.ConfirmAnswers(now.Add(-g.settings.RecordRenewal-recordPropagation), now)
	}
}

// isTrialDue reports whether a request that is known to crash targets is sent to one all the same, to
// learn whether it was only beside the one that does. Gateway.mu must be held.
func (h *requestHandler) isTrialDue(now time.Time) bool {
	l := h.g.ledger
	if h.partCrashesTargets(now) || !l.IsTrialDue(h.fingerprint, 0, now) {
		return false
	}
	return l.IsTrialDue(h.fingerprint, h.g.entryList.Rank("trial/"+h.fingerprint.String(), now), now)
}

// beginTrial marks an attempt as a trial. The handler's mu and Gateway.mu must be held.
func (a *targetAttempt) beginTrial(now time.Time) {
	h := a.handler
	a.isTrial = true
	h.g.ledger.RecordTrial(h.fingerprint, now)
	h.g.requestExchange()
	h.g.log.requests.Info().Str("request", string(h.call.ID)).Str("content", h.fingerprint.String()).Str("target", string(a.target.ID)).
		Msg("refused content is tried again")
}

// crashOf names the crash of a target's incarnation.
func crashOf(t roster.Target) crashblame.CrashID {
	return crashblame.CrashOf(t.ID, uint64(t.Incarnation))
}

// recordCrashes records what the end of an attempt shows of crashes, and reports whether a part of the
// request's prompt is suspected of one. The handler's mu and Gateway.mu must be held.
func (a *targetAttempt) recordCrashes(done bool, now time.Time) (partSuspected bool) {
	h, g := a.handler, a.handler.g
	id := crashOf(a.target)
	if a.answered {
		g.ledger.RecordAnswer(id, a.connectedAt, a.startedAt, now)
	}
	if done && a.completed {
		g.ledger.RecordProof(h.fingerprint, now)
	}
	if a.crashed {
		changed := g.ledger.RecordShare(id, h.fingerprint, a.crashShare(), now)
		g.log.requests.Info().Str("request", string(h.call.ID)).Str("content", h.fingerprint.String()).Str("target", string(a.target.ID)).
			Uint64("born", uint64(a.target.Incarnation)).Float64("blame", g.ledger.Blame(h.fingerprint, now)).Msg("target broke off a request")
		if changed {
			g.crashesChanged(now)
		}
	}
	return a.brokeBeforeFirstEvent() && g.recordPartCrash(h, a.target.ID)
}

// begunShare is the share of the blame of a request whose response had begun. Most requests that end
// with the target of another one are streams within their responses, while one that crashes targets
// mostly does so when it begins to run.
const begunShare = 0.5

// crashShare returns the share of the blame for the crash of the attempt's target.
func (a *targetAttempt) crashShare() float64 {
	if a.responseStarted {
		return begunShare
	}
	return 1
}

// recordPartCrash records that a target broke off a request before the first event of its
// response, and reports whether a part of the request's prompt is suspected. mu must be held.
func (g *Gateway) recordPartCrash(h *requestHandler, t fleet.InstanceID) bool {
	parts, now := h.call.SharedParts, g.now()
	id := xxhash.Sum64String(string(h.call.ID) + "\x00" + string(t))
	if g.parts.RecordCrash(crashblame.ReportID(id), parts, now) {
		g.crashesChanged(now)
	}
	suspect := g.parts.Suspect(parts, now)
	g.log.requests.Info().Str("request", string(h.call.ID)).Str("target", string(t)).Strs("parts", partNames(parts)).Bool("suspect", suspect).
		Msg("target broke off between header and first event")
	return suspect
}

// mergeCrashes merges what another entry knows of crashes. mu must be held.
func (g *Gateway) mergeCrashes(blamed []crashblame.Blame, reports []crashblame.Report, proven []crashblame.Proof, now time.Time) {
	blameChanged := g.ledger.Merge(blamed, now)
	if g.parts.Merge(reports, proven, now) || blameChanged {
		g.crashesChanged(now)
	}
}

// crashesChanged cancels the attempts that would crash their targets by what is known now, and
// requests an exchange. mu must be held.
func (g *Gateway) crashesChanged(now time.Time) {
	for a := range g.unstarted {
		if a.isTrial || !a.handler.crashesTargets(now) {
			continue
		}
		delete(g.unstarted, a)
		a.canceled.Store(true)
		a.cancel()
		g.log.requests.Info().Str("request", string(a.handler.call.ID)).Str("target", string(a.target.ID)).
			Msg("attempt canceled: its content or a part of its prompt crashes targets")
	}
	g.requestExchange()
}

// partNames returns the fingerprints of parts of a prompt as they are logged.
func partNames(parts []fleet.Fingerprint) []string {
	out := make([]string, len(parts))
	for i, p := range parts {
		out[i] = p.String()
	}
	return out
}
