package gateway

import (
	"context"
	"time"

	"amaranthturn/core/admit"
	"amaranthturn/core/dispatch"
	"amaranthturn/core/forward"
	"amaranthturn/core/loadbalance"
	"amaranthturn/core/routeconfig"
)

// requestLimits are the limits of a request that follow the configuration while it runs.
type requestLimits struct {
	deadline         *dispatch.Deadline
	cancel           context.CancelCauseFunc // ends the request
	deadlineTimer    *time.Timer             // guarded by Gateway.mu, as the fields below
	latencyObjective time.Duration
	queued           *queuedRequest // nil if the request has not waited for a slot
}

// queuedRequest is a request that waits for a slot, or has waited.
type queuedRequest struct {
	service *service
	request admit.Request
	since   time.Time
}

// startDeadline returns a context that ends at the request's deadline, with
// context.DeadlineExceeded as its cause. The deadline follows the configuration until endDeadline.
func (h *requestHandler) startDeadline(parent context.Context) context.Context {
	ctx, cancel := context.WithCancelCause(parent)
	g := h.g
	g.mu.Lock()
	defer g.mu.Unlock()
	h.cancel = cancel
	g.inProgress[h] = struct{}{}
	if doc := g.doc.Load(); doc.Version != h.configVersion { // it came into force since the route was resolved
		if r, ok := doc.Successor(h.route); ok {
			h.follow(r)
		}
	}
	h.deadlineTimer = time.AfterFunc(h.deadline.Time().Sub(g.now()), h.onDeadlineTimer)
	return ctx
}

// remaining returns the time until the request's deadline.
func (h *requestHandler) remaining() time.Duration { return h.deadline.Time().Sub(h.g.now()) }

// onDeadlineTimer ends the request unless its deadline was raised since the timer was set.
func (h *requestHandler) onDeadlineTimer() {
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	if _, ok := h.g.inProgress[h]; !ok {
		return
	}
	if left := h.deadline.Time().Sub(h.g.now()); left > 0 {
		h.deadlineTimer.Reset(left)
		return
	}
	h.cancel(context.DeadlineExceeded)
}

func (h *requestHandler) endDeadline() {
	h.g.mu.Lock()
	delete(h.g.inProgress, h)
	h.deadlineTimer.Stop()
	h.g.mu.Unlock()
	h.cancel(nil)
}

// putInForce puts a document in force, and raises the limits of the requests in progress to those of
// their routes in it. A request whose route is not in it keeps its limits. mu must be held.
func (g *Gateway) putInForce(doc *routeconfig.Document) {
	g.doc.Store(doc)
	g.roster.SetServices(doc.ServiceNames())
	successors := map[*routeconfig.Route]*routeconfig.Route{} // nil for a route that is gone
	for h := range g.inProgress {
		r, ok := successors[h.route]
		if !ok {
			r, _ = doc.Successor(h.route)
			successors[h.route] = r
		}
		if r != nil {
			h.follow(r)
		}
	}
}

// follow raises the limits of a request to those of its route in a later document. The limit on its
// attempts is only lowered: the targets must not get more of them than any document allows. Gateway.mu
// must be held.
func (h *requestHandler) follow(r *routeconfig.Route) {
	h.state.LowerMaxAttempts(maxAttempts(r))
	raised := h.deadline.Raise(forward.Timeout(r, h.call))
	if r.LatencyObjective > h.latencyObjective {
		h.latencyObjective, raised = r.LatencyObjective, true
	}
	if w := h.queued; raised && w != nil {
		w.service.queue.Extend(w.request, h.queueDeadline(w.service, w.since))
	}
}

// maxAttempts returns how many targets may run a request of a route.
func maxAttempts(r *routeconfig.Route) int { return max(1, r.MaxAttempts) }

// queueDeadline returns until when a request that was offered at the given time may wait for a slot.
// Gateway.mu must be held.
func (h *requestHandler) queueDeadline(svc *service, offeredAt time.Time) time.Time {
	until := offeredAt.Add(loadbalance.MaxWait(h.latencyObjective, svc.balancer.ExpectedDuration()))
	if d := h.deadline.Time(); d.Before(until) {
		return d
	}
	return until
}
