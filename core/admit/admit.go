// Package admit decides which requests an entry sends on, which wait and which
// are refused before any work is spent on them.
//
// # Usage
//
//	d := q.Offer(admit.Request{ID: id, Workspace: w, Class: c, Deadline: t, Cost: 100}, now)
//	switch d.Verdict {
//	case admit.Admitted: // send it on, then q.Release
//	case admit.Queued:   // a later Release or Tick returns it as admitted or expired
//	case admit.Refused:  // not_run; d.RetryAfter says when to come back
//	}
//
// # Fairness
//
// Slots are handed to the waiting workspace that has received the least service,
// counted in tokens divided by its weight. A workspace that was idle starts at
// the least service of those that wait, so that idleness saves up no claim. Within
// a workspace the class decides, then the order of arrival. A workspace cannot gain
// by calling everything urgent: classes only order its own requests.
package admit

import (
	"container/heap"
	"math"
	"time"

	"amaranthturn/core/fleet"
)

//go:generate stringer -type=Verdict,Cause -output=admit_string.go -linecomment

// Verdict is the answer to an offer.
type Verdict int

// The verdicts.
const (
	Admitted Verdict = iota // admitted
	Queued                  // queued
	Refused                 // refused
)

// Cause says why a request was refused.
type Cause int

// The causes.
const (
	CauseNone      Cause = iota // none
	CauseQueueFull              // queue_full
	CauseTooLate                // deadline_cannot_be_met
	CauseExpired                // deadline_passed_in_queue
	CauseClass                  // class_not_allowed
)

// RequestID names a request within one entry.
type RequestID uint64

// Request is what admission needs to know.
type Request struct {
	ID        RequestID
	Workspace fleet.Workspace
	Class     fleet.Class
	// Deadline is when waiting is of no more use; it must be set.
	Deadline time.Time
	// Cost is the expected work in tokens; Release corrects it.
	Cost float64
}

// Limits are the limits of one workspace.
type Limits struct {
	Weight float64
	Queue  int
}

// Decision is the answer to an offer.
type Decision struct {
	Verdict    Verdict
	Cause      Cause
	RetryAfter time.Duration
}

// waiting is a request in a queue.
type waiting struct {
	Request
	arrived time.Time
}

// account is the state of one workspace.
type account struct {
	name     fleet.Workspace
	limits   Limits
	service  float64 // tokens received divided by weight
	queues   [3][]waiting
	queued   int
	inFlight int
	index    int // in the heap, -1 when nothing waits
	lastUsed time.Time
}

// Limiter says how many requests may be in flight.
type Limiter interface {
	// Value returns the present limit.
	Value() int
	// Observe takes the delay of a first token, measured while inFlight requests ran.
	Observe(delay time.Duration, inFlight int, now time.Time)
}

// Queue admits requests. It is not safe for concurrent use.
type Queue struct {
	limit     Limiter
	limitsFor func(fleet.Workspace) Limits
	accounts  map[fleet.Workspace]*account
	active    accountHeap
	inFlight  int
	queued    int
	// floor is the service of the workspace served last: where an idle one starts.
	floor float64
	// pace estimates the time between two releases.
	pace        time.Duration
	lastRelease time.Time
}

// NewQueue returns an empty queue. limitsFor is asked at each offer, so a change
// of configuration holds for the next request.
func NewQueue(limit Limiter, limitsFor func(fleet.Workspace) Limits) *Queue {
	return &Queue{limit: limit, limitsFor: limitsFor, accounts: map[fleet.Workspace]*account{}}
}

// Offer decides about a new request.
func (q *Queue) Offer(r Request, now time.Time) Decision {
	a := q.account(r.Workspace)
	a.lastUsed = now
	if q.queued == 0 && q.inFlight < q.limit.Value() {
		q.start(a, r)
		return Decision{Verdict: Admitted}
	}
	if a.queued >= a.limits.Queue {
		return Decision{Verdict: Refused, Cause: CauseQueueFull, RetryAfter: q.wait(a)}
	}
	if wait := q.wait(a); now.Add(wait).After(r.Deadline) {
		return Decision{Verdict: Refused, Cause: CauseTooLate, RetryAfter: wait}
	}
	q.push(a, waiting{r, now})
	return Decision{Verdict: Queued}
}

// Release ends an admitted request that used tokens, and returns the requests
// that are admitted and those that expired in its place.
func (q *Queue) Release(r Request, tokens float64, now time.Time) (admitted, expired []Request) {
	a := q.account(r.Workspace)
	a.inFlight = max(0, a.inFlight-1)
	q.inFlight = max(0, q.inFlight-1)
	a.service += (tokens - r.Cost) / a.limits.Weight
	if a.index >= 0 {
		heap.Fix(&q.active, a.index)
	}
	q.measure(now)
	return q.fill(now)
}

// Tick expires requests whose deadline passed and admits others when the limit
// has risen.
func (q *Queue) Tick(now time.Time) (admitted, expired []Request) {
	for _, a := range append([]*account(nil), q.active...) {
		expired = append(expired, q.expire(a, now)...)
	}
	q.forgetIdle(now)
	more, late := q.fill(now)
	return more, append(expired, late...)
}

// Cancel removes a waiting request whose caller has gone, and tells whether it
// was waiting.
func (q *Queue) Cancel(r Request) bool {
	a, ok := q.accounts[r.Workspace]
	if !ok {
		return false
	}
	list := a.queues[r.Class]
	for i, w := range list {
		if w.ID == r.ID {
			a.queues[r.Class] = append(list[:i:i], list[i+1:]...)
			q.unqueue(a)
			return true
		}
	}
	return false
}

// InFlight returns the admitted requests that were not released.
func (q *Queue) InFlight() int { return q.inFlight }

// Queued returns the waiting requests.
func (q *Queue) Queued() int { return q.queued }

// Observe passes the delay of a first token to the concurrency limit.
func (q *Queue) Observe(delay time.Duration, now time.Time) {
	q.limit.Observe(delay, q.inFlight, now)
}

func (q *Queue) account(w fleet.Workspace) *account {
	a, ok := q.accounts[w]
	if !ok {
		a = &account{name: w, index: -1, service: q.floor}
		q.accounts[w] = a
	}
	a.limits = q.limitsFor(w)
	if a.limits.Weight <= 0 {
		a.limits.Weight = 1
	}
	return a
}

func (q *Queue) push(a *account, w waiting) {
	a.queues[w.Class] = append(a.queues[w.Class], w)
	a.queued++
	q.queued++
	if a.index < 0 {
		a.service = math.Max(a.service, q.floor)
		heap.Push(&q.active, a)
	}
}

func (q *Queue) start(a *account, r Request) {
	if a.queued == 0 {
		a.service = math.Max(a.service, q.floor)
	}
	a.service += r.Cost / a.limits.Weight
	a.inFlight++
	q.inFlight++
}

// fill hands free slots to the workspaces with the least service.
func (q *Queue) fill(now time.Time) (admitted, expired []Request) {
	for q.inFlight < q.limit.Value() && len(q.active) > 0 {
		a := q.active[0]
		w := a.pop()
		q.unqueue(a)
		if now.After(w.Deadline) {
			expired = append(expired, w.Request)
			continue
		}
		q.floor = math.Max(q.floor, a.service)
		q.start(a, w.Request)
		if a.index >= 0 {
			heap.Fix(&q.active, a.index)
		}
		admitted = append(admitted, w.Request)
	}
	return admitted, expired
}

// unqueue counts one waiting request less.
func (q *Queue) unqueue(a *account) {
	a.queued--
	q.queued--
	if a.queued == 0 && a.index >= 0 {
		heap.Remove(&q.active, a.index)
	}
}

func (q *Queue) expire(a *account, now time.Time) []Request {
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
		q.unqueue(a)
	}
	return out
}

// wait estimates how long a new request of the workspace would wait: every
// waiting workspace gets its turn between two of its own.
func (q *Queue) wait(a *account) time.Duration {
	if q.pace == 0 {
		return 0
	}
	shares := 0.0
	for _, o := range q.active {
		shares += o.limits.Weight
	}
	if a.index < 0 {
		shares += a.limits.Weight
	}
	turns := float64(a.queued+1) * shares / a.limits.Weight
	turns = math.Min(turns, float64(q.queued+1))
	return time.Duration(turns * float64(q.pace))
}

// measure tracks the time between releases while requests wait. The pace is
// only known under load: an idle gap says nothing about the targets.
func (q *Queue) measure(now time.Time) {
	gap := now.Sub(q.lastRelease)
	idle := q.lastRelease.IsZero() || q.queued == 0
	q.lastRelease = now
	if idle || gap < 0 {
		return
	}
	if q.pace == 0 {
		q.pace = gap
		return
	}
	q.pace += (gap - q.pace) / 16
}

// idleAccountLife is how long an unused workspace is remembered.
const idleAccountLife = 10 * time.Minute

func (q *Queue) forgetIdle(now time.Time) {
	for name, a := range q.accounts {
		if a.inFlight == 0 && a.queued == 0 && now.Sub(a.lastUsed) > idleAccountLife {
			delete(q.accounts, name)
		}
	}
}

// pop returns the most urgent waiting request. The caller counts it.
func (a *account) pop() waiting {
	for c := range a.queues {
		if len(a.queues[c]) > 0 {
			w := a.queues[c][0]
			a.queues[c] = a.queues[c][1:]
			return w
		}
	}
	panic("admit: pop from an empty account")
}

// accountHeap orders the waiting workspaces by the service they received.
type accountHeap []*account

func (h accountHeap) Len() int { return len(h) }
func (h accountHeap) Less(i, j int) bool {
	if h[i].service != h[j].service {
		return h[i].service < h[j].service
	}
	return h[i].name < h[j].name
}
func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	*h = old[:len(old)-1]
	a.index = -1
	return a
}
