// Package admit implements admission control: it decides which requests an entry
// forwards, which are queued and which are refused before any work is spent on them.
//
// # Usage
//
//	d := q.Offer(admit.Request{ID: id, Workspace: w, Class: c, Deadline: t, Cost: 100}, now)
//	switch d.Verdict {
//	case admit.Admitted: // forward it, then call q.Release
//	case admit.Queued:   // a later Release or Tick returns it as admitted or expired
//	case admit.Refused:  // not_run; the caller may retry after d.RetryAfter
//	}
//
// # Fairness
//
// A free slot goes to the waiting workspace that has received the least normalized
// service, which is its tokens divided by its weight. A workspace that was idle starts
// at the minimum service of the waiting workspaces, so that it accumulates no credit
// while idle. Within a workspace, requests are ordered by class, then by arrival. A
// workspace gains nothing by marking all its requests urgent: classes only order its
// own requests.
//
// # Late requests
//
// A caller who comes back after a refusal gets a late response at best. Under overload such
// requests would take the slots of new ones, which would be refused, come back and be late as
// well. They are therefore admitted only while a part of the slots is free, and else refused at
// once. Patience recognizes them.
package admit

import (
	"container/heap"
	"math"
	"time"

	"amaranthturn/core/fleet"
)

//go:generate stringer -type=Verdict,Cause -output=admit_string.go -linecomment

// Verdict is the result of an offer.
type Verdict int

// The verdicts.
const (
	Admitted Verdict = iota // admitted
	Queued                  // queued
	Refused                 // refused
)

// Cause is the reason for which a request was refused.
type Cause int

// The causes.
const (
	CauseNone                Cause = iota // none
	CauseQueueFull                        // queue_full
	CauseDeadlineUnreachable              // deadline_cannot_be_met
	CauseDeadlineExpired                  // deadline_passed_in_queue
	CauseClassNotAllowed                  // class_not_allowed
	CauseNoRoomForLate                    // no_room_for_late
)

// reserveShare is the share of the limit that must be free for a late request to be admitted.
const reserveShare = 0.25

// RequestID identifies a request within one entry.
type RequestID uint64

// Request describes a request to admission control.
type Request struct {
	ID        RequestID
	Workspace fleet.Workspace
	Class     fleet.Class
	// Deadline is the time after which the request expires in the queue. It is required.
	Deadline time.Time
	// Cost is the expected work in tokens. Release replaces it by the actual number.
	Cost float64
	// Late reports that the request can't be answered within its objective any more. It is
	// admitted only if it takes no slot from requests that can.
	Late bool
}

// Limits are the limits of one workspace.
type Limits struct {
	Weight    float64
	MaxQueued int
}

// Decision is a verdict with the cause and the retry delay of a refusal.
type Decision struct {
	Verdict    Verdict
	Cause      Cause
	RetryAfter time.Duration
}

// waitingRequest is a queued request with its arrival time.
type waitingRequest struct {
	Request
	arrived time.Time
}

// workspaceState holds the queues and the accounting of one workspace.
type workspaceState struct {
	name              fleet.Workspace
	limits            Limits
	normalizedService float64 // tokens served, divided by the weight
	queues            [3][]waitingRequest
	queued            int
	inFlight          int
	heapIndex         int // index in Queue.active, -1 when no request waits
	lastUsed          time.Time
}

// Limiter determines how many requests may be in flight.
type Limiter interface {
	// Value returns the current limit.
	Value() int
	// Observe records the delay of a first token, measured while inFlight requests ran.
	Observe(delay time.Duration, inFlight int, now time.Time)
}

// Queue is a weighted fair queue of requests that wait for admission. It is not safe
// for concurrent use.
type Queue struct {
	limit      Limiter
	limitsFor  func(fleet.Workspace) Limits
	workspaces map[fleet.Workspace]*workspaceState
	active     workspaceHeap
	inFlight   int
	queued     int
	// virtualTime is the normalized service of the workspace served last. A workspace
	// that was idle starts from it.
	virtualTime float64
	// releaseInterval is the smoothed time between two releases under load.
	releaseInterval time.Duration
	lastRelease     time.Time
}

// NewQueue returns an empty queue. limitsFor is called at each offer, so a change
// of configuration applies to the next request.
func NewQueue(limit Limiter, limitsFor func(fleet.Workspace) Limits) *Queue {
	return &Queue{limit: limit, limitsFor: limitsFor, workspaces: map[fleet.Workspace]*workspaceState{}}
}

// Offer admits, queues or refuses a new request.
func (q *Queue) Offer(r Request, now time.Time) Decision {
	ws := q.workspaceState(r.Workspace)
	ws.lastUsed = now
	if r.Late && !q.hasReserve() {
		return Decision{Verdict: Refused, Cause: CauseNoRoomForLate, RetryAfter: q.estimateWait(ws)}
	}
	if q.queued == 0 && q.inFlight < q.limit.Value() {
		q.start(ws, r)
		return Decision{Verdict: Admitted}
	}
	if ws.queued >= ws.limits.MaxQueued {
		return Decision{Verdict: Refused, Cause: CauseQueueFull, RetryAfter: q.estimateWait(ws)}
	}
	if wait := q.estimateWait(ws); now.Add(wait).After(r.Deadline) {
		return Decision{Verdict: Refused, Cause: CauseDeadlineUnreachable, RetryAfter: wait}
	}
	q.enqueue(ws, waitingRequest{r, now})
	return Decision{Verdict: Queued}
}

// hasReserve reports whether a late request leaves enough slots to others.
func (q *Queue) hasReserve() bool {
	limit := float64(q.limit.Value())
	return q.queued == 0 && float64(q.inFlight) < (1-reserveShare)*limit
}

// Release ends an admitted request that used the given number of tokens. It returns
// the waiting requests that are admitted to the free slots, and those found expired.
func (q *Queue) Release(r Request, tokens float64, now time.Time) (admitted, expired []Request) {
	ws := q.workspaceState(r.Workspace)
	ws.inFlight = max(0, ws.inFlight-1)
	q.inFlight = max(0, q.inFlight-1)
	ws.normalizedService += (tokens - r.Cost) / ws.limits.Weight
	if ws.heapIndex >= 0 {
		heap.Fix(&q.active, ws.heapIndex)
	}
	q.updateReleaseInterval(now)
	return q.admitWaiting(now)
}

// Tick expires requests whose deadline passed and admits waiting requests if the
// limit has risen.
func (q *Queue) Tick(now time.Time) (admitted, expired []Request) {
	for _, ws := range append([]*workspaceState(nil), q.active...) {
		expired = append(expired, q.expire(ws, now)...)
	}
	q.evictIdle(now)
	more, late := q.admitWaiting(now)
	return more, append(expired, late...)
}

// Cancel removes a waiting request whose caller disconnected, and reports whether it
// was waiting.
func (q *Queue) Cancel(r Request) bool {
	ws, ok := q.workspaces[r.Workspace]
	if !ok {
		return false
	}
	list := ws.queues[r.Class]
	for i, w := range list {
		if w.ID == r.ID {
			ws.queues[r.Class] = append(list[:i:i], list[i+1:]...)
			q.removeQueued(ws)
			return true
		}
	}
	return false
}

// Extend moves the deadline of a request that waits to the given time if that is later than it is.
func (q *Queue) Extend(r Request, deadline time.Time) {
	ws, ok := q.workspaces[r.Workspace]
	if !ok {
		return
	}
	list := ws.queues[r.Class]
	for i := range list {
		if list[i].ID == r.ID && list[i].Deadline.Before(deadline) {
			list[i].Deadline = deadline
		}
	}
}

// CancelAll removes and returns all waiting requests.
func (q *Queue) CancelAll() []Request {
	var out []Request
	for len(q.active) > 0 {
		ws := q.active[0]
		out = append(out, ws.dequeue().Request)
		q.removeQueued(ws)
	}
	return out
}

// InFlight returns the number of admitted requests that were not released.
func (q *Queue) InFlight() int { return q.inFlight }

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int { return q.queued }

// Observe passes the delay of a first token to the concurrency limit.
func (q *Queue) Observe(delay time.Duration, now time.Time) {
	q.limit.Observe(delay, q.inFlight, now)
}

func (q *Queue) workspaceState(w fleet.Workspace) *workspaceState {
	ws, ok := q.workspaces[w]
	if !ok {
		ws = &workspaceState{name: w, heapIndex: -1, normalizedService: q.virtualTime}
		q.workspaces[w] = ws
	}
	ws.limits = q.limitsFor(w)
	if ws.limits.Weight <= 0 {
		ws.limits.Weight = 1
	}
	return ws
}

func (q *Queue) enqueue(ws *workspaceState, w waitingRequest) {
	ws.queues[w.Class] = append(ws.queues[w.Class], w)
	ws.queued++
	q.queued++
	if ws.heapIndex < 0 {
		ws.normalizedService = math.Max(ws.normalizedService, q.virtualTime)
		heap.Push(&q.active, ws)
	}
}

func (q *Queue) start(ws *workspaceState, r Request) {
	if ws.queued == 0 {
		ws.normalizedService = math.Max(ws.normalizedService, q.virtualTime)
	}
	ws.normalizedService += r.Cost / ws.limits.Weight
	ws.inFlight++
	q.inFlight++
}

// admitWaiting assigns free slots to the workspaces with the least normalized service.
func (q *Queue) admitWaiting(now time.Time) (admitted, expired []Request) {
	for len(q.active) > 0 && q.inFlight < q.limit.Value() {
		ws := q.active[0]
		w := ws.dequeue()
		q.removeQueued(ws)
		if now.After(w.Deadline) {
			expired = append(expired, w.Request)
			continue
		}
		q.virtualTime = math.Max(q.virtualTime, ws.normalizedService)
		q.start(ws, w.Request)
		if ws.heapIndex >= 0 {
			heap.Fix(&q.active, ws.heapIndex)
		}
		admitted = append(admitted, w.Request)
	}
	return admitted, expired
}

// removeQueued updates the counts and the heap after one waiting request was removed
// from the workspace's queues.
func (q *Queue) removeQueued(ws *workspaceState) {
	ws.queued--
	q.queued--
	if ws.queued == 0 && ws.heapIndex >= 0 {
		heap.Remove(&q.active, ws.heapIndex)
	}
}

func (q *Queue) expire(ws *workspaceState, now time.Time) []Request {
	var out []Request
	for c := range ws.queues {
		kept := ws.queues[c][:0]
		for _, w := range ws.queues[c] {
			if now.After(w.Deadline) {
				out = append(out, w.Request)
				continue
			}
			kept = append(kept, w)
		}
		ws.queues[c] = kept
	}
	for range out {
		q.removeQueued(ws)
	}
	return out
}

// estimateWait estimates how long a new request of the workspace would wait. Between
// two requests of the workspace, every other waiting workspace gets slots in proportion
// to its weight.
func (q *Queue) estimateWait(ws *workspaceState) time.Duration {
	if q.releaseInterval == 0 {
		return 0
	}
	totalWeight := 0.0
	for _, o := range q.active {
		totalWeight += o.limits.Weight
	}
	if ws.heapIndex < 0 {
		totalWeight += ws.limits.Weight
	}
	releases := float64(ws.queued+1) * totalWeight / ws.limits.Weight
	releases = math.Min(releases, float64(q.queued+1))
	return time.Duration(releases * float64(q.releaseInterval))
}

// updateReleaseInterval smooths the time between releases while requests wait. Gaps
// without waiting requests are ignored because they don't reflect the speed of the targets.
func (q *Queue) updateReleaseInterval(now time.Time) {
	gap := now.Sub(q.lastRelease)
	idle := q.lastRelease.IsZero() || q.queued == 0
	q.lastRelease = now
	if idle || gap < 0 {
		return
	}
	if q.releaseInterval == 0 {
		q.releaseInterval = gap
		return
	}
	q.releaseInterval += (gap - q.releaseInterval) / 16
}

// idleWorkspaceTTL is how long the state of an unused workspace is kept.
const idleWorkspaceTTL = 10 * time.Minute

func (q *Queue) evictIdle(now time.Time) {
	for name, ws := range q.workspaces {
		if ws.inFlight == 0 && ws.queued == 0 && now.Sub(ws.lastUsed) > idleWorkspaceTTL {
			delete(q.workspaces, name)
		}
	}
}

// dequeue removes and returns the most urgent waiting request. The caller calls
// removeQueued.
func (ws *workspaceState) dequeue() waitingRequest {
	for c := range ws.queues {
		if len(ws.queues[c]) > 0 {
			w := ws.queues[c][0]
			ws.queues[c] = ws.queues[c][1:]
			return w
		}
	}
	panic("admit: dequeue from a workspace without waiting requests")
}

// workspaceHeap is a min-heap of the waiting workspaces by normalized service.
type workspaceHeap []*workspaceState

func (h workspaceHeap) Len() int { return len(h) }
func (h workspaceHeap) Less(i, j int) bool {
	if h[i].normalizedService != h[j].normalizedService {
		return h[i].normalizedService < h[j].normalizedService
	}
	return h[i].name < h[j].name
}
func (h workspaceHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *workspaceHeap) Push(x any) {
	ws := x.(*workspaceState)
	ws.heapIndex = len(*h)
	*h = append(*h, ws)
}

// Pop implements heap.Interface.
func (h *workspaceHeap) Pop() any {
	old := *h
	ws := old[len(old)-1]
	*h = old[:len(old)-1]
	ws.heapIndex = -1
	return ws
}
