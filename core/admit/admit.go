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
)

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
	a := q.workspaceState(r.Workspace)
	a.lastUsed = now
	if q.queued == 0 && q.inFlight < q.limit.Value() {
		q.start(a, r)
		return Decision{Verdict: Admitted}
	}
	if a.queued >= a.limits.MaxQueued {
		return Decision{Verdict: Refused, Cause: CauseQueueFull, RetryAfter: q.estimateWait(a)}
	}
	if wait := q.estimateWait(a); now.Add(wait).After(r.Deadline) {
		return Decision{Verdict: Refused, Cause: CauseDeadlineUnreachable, RetryAfter: wait}
	}
	q.enqueue(a, waitingRequest{r, now})
	return Decision{Verdict: Queued}
}

// Release ends an admitted request that used the given number of tokens. It returns
// the waiting requests that are admitted to the free slots, and those found expired.
func (q *Queue) Release(r Request, tokens float64, now time.Time) (admitted, expired []Request) {
	a := q.workspaceState(r.Workspace)
	a.inFlight = max(0, a.inFlight-1)
	q.inFlight = max(0, q.inFlight-1)
	a.normalizedService += (tokens - r.Cost) / a.limits.Weight
	if a.heapIndex >= 0 {
		heap.Fix(&q.active, a.heapIndex)
	}
	q.updateReleaseInterval(now)
	return q.admitWaiting(now)
}

// Tick expires requests whose deadline passed and admits waiting requests if the
// limit has risen.
func (q *Queue) Tick(now time.Time) (admitted, expired []Request) {
	for _, a := range append([]*workspaceState(nil), q.active...) {
		expired = append(expired, q.expire(a, now)...)
	}
	q.evictIdle(now)
	more, late := q.admitWaiting(now)
	return more, append(expired, late...)
}

// Cancel removes a waiting request whose caller disconnected, and reports whether it
// was waiting.
func (q *Queue) Cancel(r Request) bool {
	a, ok := q.workspaces[r.Workspace]
	if !ok {
		return false
	}
	list := a.queues[r.Class]
	for i, w := range list {
		if w.ID == r.ID {
			a.queues[r.Class] = append(list[:i:i], list[i+1:]...)
			q.removeQueued(a)
			return true
		}
	}
	return false
}

// InFlight returns the number of admitted requests that were not released.
func (q *Queue) InFlight() int { return q.inFlight }

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int { return q.queued }

// Observe records the delay of a first token with the concurrency limit.
func (q *Queue) Observe(delay time.Duration, now time.Time) {
	q.limit.Observe(delay, q.inFlight, now)
}

func (q *Queue) workspaceState(w fleet.Workspace) *workspaceState {
	a, ok := q.workspaces[w]
	if !ok {
		a = &workspaceState{name: w, heapIndex: -1, normalizedService: q.virtualTime}
		q.workspaces[w] = a
	}
	a.limits = q.limitsFor(w)
	if a.limits.Weight <= 0 {
		a.limits.Weight = 1
	}
	return a
}

func (q *Queue) enqueue(a *workspaceState, w waitingRequest) {
	a.queues[w.Class] = append(a.queues[w.Class], w)
	a.queued++
	q.queued++
	if a.heapIndex < 0 {
		a.normalizedService = math.Max(a.normalizedService, q.virtualTime)
		heap.Push(&q.active, a)
	}
}

func (q *Queue) start(a *workspaceState, r Request) {
	if a.queued == 0 {
		a.normalizedService = math.Max(a.normalizedService, q.virtualTime)
	}
	a.normalizedService += r.Cost / a.limits.Weight
	a.inFlight++
	q.inFlight++
}

// admitWaiting assigns free slots to the workspaces with the least normalized service.
func (q *Queue) admitWaiting(now time.Time) (admitted, expired []Request) {
	for q.inFlight < q.limit.Value() && len(q.active) > 0 {
		a := q.active[0]
		w := a.dequeue()
		q.removeQueued(a)
		if now.After(w.Deadline) {
			expired = append(expired, w.Request)
			continue
		}
		q.virtualTime = math.Max(q.virtualTime, a.normalizedService)
		q.start(a, w.Request)
		if a.heapIndex >= 0 {
			heap.Fix(&q.active, a.heapIndex)
		}
		admitted = append(admitted, w.Request)
	}
	return admitted, expired
}

// removeQueued updates the counts and the heap after one waiting request was removed
// from the workspace's queues.
func (q *Queue) removeQueued(a *workspaceState) {
	a.queued--
	q.queued--
	if a.queued == 0 && a.heapIndex >= 0 {
		heap.Remove(&q.active, a.heapIndex)
	}
}

func (q *Queue) expire(a *workspaceState, now time.Time) []Request {
	var out []Request
	for c := range a.queues {
		kept := a.queues[c][:0]
		for _, w := range a.queues[c] {
			if now.After(w.Deadline) {
				out = append(out, w.Request)
				continue
			}
			kept = append(kept, w)
		}
		a.queues[c] = kept
	}
	for range out {
		q.removeQueued(a)
	}
	return out
}

// estimateWait estimates how long a new request of the workspace would wait. Between
// two requests of the workspace, every other waiting workspace gets slots in proportion
// to its weight.
func (q *Queue) estimateWait(a *workspaceState) time.Duration {
	if q.releaseInterval == 0 {
		return 0
	}
	totalWeight := 0.0
	for _, o := range q.active {
		totalWeight += o.limits.Weight
	}
	if a.heapIndex < 0 {
		totalWeight += a.limits.Weight
	}
	releases := float64(a.queued+1) * totalWeight / a.limits.Weight
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
	for name, a := range q.workspaces {
		if a.inFlight == 0 && a.queued == 0 && now.Sub(a.lastUsed) > idleWorkspaceTTL {
			delete(q.workspaces, name)
		}
	}
}

// dequeue removes and returns the most urgent waiting request. The caller calls
// removeQueued.
func (a *workspaceState) dequeue() waitingRequest {
	for c := range a.queues {
		if len(a.queues[c]) > 0 {
			w := a.queues[c][0]
			a.queues[c] = a.queues[c][1:]
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
	a := x.(*workspaceState)
	a.heapIndex = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *workspaceHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	*h = old[:len(old)-1]
	a.heapIndex = -1
	return a
}
