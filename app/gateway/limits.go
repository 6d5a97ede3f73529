package gateway

import (
	"errors"
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/forward"
	"amaranthturn/core/ratelimit"
	"amaranthturn/core/trace"
)

// errTargetLimited reports that a target was found to have a limit after it was chosen, and that this
// entry's share of it allows no request now.
var errTargetLimited = errors.New("target's limit allows no request now")

// recordLimit applies what an answer shows of the target's limit. mu of the gateway must not be held.
func (a *targetAttempt) recordLimit(n forward.Notices) {
	g := a.handler.g
	if !n.IsLimited && (!n.IsUnlimited || !g.hasLimits.Load()) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	limit, changed := g.limits.RecordAnswer(ratelimit.Answer{
		Target: noticeTarget(a.target), IsStated: n.IsLimited, Rate: n.Limit, SentAt: a.sentAt,
	}, now)
	if !changed {
		return
	}
	g.logLimit(limit, "request", string(a.handler.call.ID))
	g.limitsChanged(now)
}

// mergeLimits applies the limits that another entry knows, and divides the limits among the entries that
// are known since. mu must be held.
func (g *Gateway) mergeLimits(received []ratelimit.Limit, now time.Time) {
	news := g.limits.Merge(received, now)
	for _, limit := range news {
		g.logLimit(limit, "from", "another entry")
	}
	if len(news) == 0 {
		g.divideLimits(now)
		return
	}
	g.limitsChanged(now)
}

// limitsChanged applies changed limits to the requests that wait, and requests an exchange. mu must be
// held.
func (g *Gateway) limitsChanged(now time.Time) {
	g.divideLimits(now)
	for _, s := range g.services {
		g.notifyWaiters(s.queue.Tick(now))
	}
	g.requestExchange()
}

// logLimit logs what is known of a limit and from what.
func (g *Gateway) logLimit(l ratelimit.Limit, sourceKey, source string) {
	message, counter := trace.MessageTargetLimit, "limits_stated"
	if !l.IsInForce {
		message, counter = trace.MessageTargetLimitEnds, "limits_ended"
	}
	g.metrics.Count(counter, 1)
	g.log.members.Info().Str("target", string(l.ID)).Uint64("born", uint64(l.Incarnation)).Uint64("limit_revision", l.Revision).
		Float64("limit", float64(l.Rate)).Str(sourceKey, source).Msg(message)
}

// divideLimits sets this entry's shares of the limits in force. An entry that has not exchanged its list
// with the others that are named takes no share. Limits of targets that are not listed wait until they are. mu
// must be held.
func (g *Gateway) divideLimits(now time.Time) {
	limits := slices.DeleteFunc(g.limits.InForce(), func(l ratelimit.Limit) bool {
		t, ok := g.roster.Get(l.ID)
		return !ok || t.Incarnation != l.Incarnation
	})
	if len(limits) == 0 && !g.hasLimits.Load() {
		return
	}
	g.hasLimits.Store(len(limits) > 0)
	_, hasPeers := g.entryList.NextPeer(g.seeds, 0, now)
	g.entryList.SetIdle(g.idleServices(limits, now))
	total := ratelimit.Rate(0)
	for _, l := range limits {
		t, _ := g.roster.Get(l.ID)
		position, entries := g.entryList.RankAmongBusy(t.Service, "limit/"+string(l.ID), now)
		if g.maxEntries == 0 && hasPeers {
			position = -1
		}
		share, changed := g.limits.Divide(l.Target, position, entries, now)
		total += share.Rate
		if changed {
			g.log.members.Info().Str("target", string(l.ID)).Uint64("limit_revision", l.Revision).Float64("limit", float64(l.Rate)).
				Float64("share", float64(share.Rate)).Int("entries", share.Entries).Msg(trace.MessageLimitShare)
		}
	}
	g.metrics.Gauge("targets_limited", float64(len(limits)))
	g.metrics.Gauge("limit_shares", float64(total))
}

// idleAfter is how long an entry gets no requests for a service before it leaves the limits of the
// service's targets to others.
const idleAfter = 10 * time.Second

// idleServices returns the services of listed targets with limits for which this entry got no requests lately. mu
// must be held.
func (g *Gateway) idleServices(limits []ratelimit.Limit, now time.Time) []fleet.Service {
	var out []fleet.Service
	seen := map[fleet.Service]bool{}
	for _, l := range limits {
		t, _ := g.roster.Get(l.ID)
		if seen[t.Service] {
			continue
		}
		seen[t.Service] = true
		last := g.startedAt
		if s, ok := g.services[t.Service]; ok && s.lastRequestAt.After(last) {
			last = s.lastRequestAt
		}
		if now.Sub(last) > idleAfter {
			out = append(out, t.Service)
		}
	}
	return out
}

// takeToken takes a token of the target's limit unless the attempt has one. mu of the gateway must be
// held.
func (a *targetAttempt) takeToken() error {
	g, t, now := a.handler.g, noticeTarget(a.target), a.handler.g.now()
	if _, limited := g.limits.Available(t.ID, t.Incarnation, now); !limited || a.hasToken {
		return nil
	}
	if a.hasToken = g.limits.Take(t, now); a.hasToken {
		return nil
	}
	g.metrics.Count("attempts_withdrawn", 1)
	return errTargetLimited
}

// refuseBeyondLimits returns a refusal if all targets of the service have limits and this entry's shares
// of them don't allow the request and those that wait before queueDeadline. mu must be held.
func (h *requestHandler) refuseBeyondLimits(svc *service, queueDeadline, now time.Time) *fleet.Refusal {
	t, limited := svc.balancer.Limited(now)
	missing := float64(svc.queue.Queued()+1) - t.Requests
	if !limited || missing <= 0 || h.responseStarted.Load() {
		return nil
	}
	retryAfter := h.chooseRetryAfter()
	if t.Rate > 0 {
		wait := time.Duration(missing / float64(t.Rate) * float64(time.Second))
		if !now.Add(wait).After(queueDeadline) {
			return nil
		}
		retryAfter = max(retryAfter, wait)
	}
	h.g.metrics.Count("requests_beyond_limits", 1)
	return fleet.NotRun(fleet.ReasonTargetsLimited, retryAfter)
}
