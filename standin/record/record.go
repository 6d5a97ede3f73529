// Package record keeps what truly happened: the stand-ins write what they ran and
// served, the load tool what callers were told. The verdict on the system's
// promises is made from these two and never from the daemons' own account.
//
// # Usage
//
//	r := record.New()
//	r.Ran(requestID)
//	r.Told(requestID, record.ToldNotRun)
//	v := r.Verdict()
package record

import (
	"sync"
	"time"

	"amaranthturn/core/fleet"
)

// Told is what a caller was told about one attempt.
type Told int

// What callers are told.
const (
	ToldWhole Told = iota
	ToldNotRun
	ToldUnknown
	ToldBroken
)

// Serving is one instance beginning to serve a version.
type Serving struct {
	Instance fleet.InstanceID
	Version  fleet.Version
	At       time.Time
}

// Record is the account of one run. It is safe for concurrent use.
type Record struct {
	mu        sync.Mutex
	ran       map[string]int
	told      map[string]Told
	orders    map[string]*order
	counts    Counts
	serving   []Serving
	stopping  map[string]bool
	badWeight int
	origin    int64
}

type order struct {
	ran      int
	toldDone bool
	lastTold Told
}

// Counts are the totals of one run.
type Counts struct {
	RequestsSent   int
	AnswersWhole   int
	AnswersNotRun  int
	AnswersUnknown int
	AnswersBroken  int
	MixedVersion   int
	CutByStop      int
}

// New returns an empty record.
func New() *Record {
	return &Record{ran: map[string]int{}, told: map[string]Told{}, orders: map[string]*order{}, stopping: map[string]bool{}}
}

// Ran records that a target ran an attempt.
func (r *Record) Ran(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[attempt]++
}

// RanOrder records that a service ran an order.
func (r *Record) RanOrder(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.order(id).ran++
}

// OrderSent records that a caller began an order.
func (r *Record) OrderSent(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.order(id)
}

// OrderTold records the last word that a caller was given about an order.
func (r *Record) OrderTold(id string, t Told) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.order(id)
	o.lastTold = t
	o.toldDone = o.toldDone || t == ToldWhole
}

func (r *Record) order(id string) *order {
	o, ok := r.orders[id]
	if !ok {
		o = &order{lastTold: ToldUnknown}
		r.orders[id] = o
	}
	return o
}

// Sent records that a caller sent a repeatable request.
func (r *Record) Sent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.RequestsSent++
}

// Told records what a caller was told about an attempt.
func (r *Record) Told(attempt string, t Told) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told[attempt] = t
	switch t {
	case ToldWhole:
		r.counts.AnswersWhole++
	case ToldNotRun:
		r.counts.AnswersNotRun++
	case ToldUnknown:
		r.counts.AnswersUnknown++
	case ToldBroken:
		r.counts.AnswersBroken++
	}
}

// Mixed records an answer whose tokens come from two versions.
func (r *Record) Mixed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.MixedVersion++
}

// Cut records a request cut at an instance that was being stopped.
func (r *Record) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.CutByStop++
}

// Stopping records that a planned stop of an instance began.
func (r *Record) Stopping(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping[name] = true
}

// Started records that an instance runs again after a planned stop.
func (r *Record) Started(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.stopping, name)
}

// IsStopping tells whether a planned stop of an instance began.
func (r *Record) IsStopping(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping[name]
}

// Serves records that an engine began to serve a version.
func (r *Record) Serves(s Serving) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serving = append(r.serving, s)
}

// BadWeights records that an engine was handed weights that are not a published
// version.
func (r *Record) BadWeights() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.badWeight++
}

// OriginSent records bytes of weights that the origin sent.
func (r *Record) OriginSent(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.origin += int64(n)
}

// OriginBytes returns the bytes of weights that the origin sent.
func (r *Record) OriginBytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.origin
}

// NthServing returns when the n-th distinct instance began to serve v.
func (r *Record) NthServing(v fleet.Version, n int) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[fleet.InstanceID]bool{}
	for _, s := range r.serving {
		if s.Version != v || seen[s.Instance] {
			continue
		}
		seen[s.Instance] = true
		if len(seen) == n {
			return s.At, true
		}
	}
	return time.Time{}, false
}

// NowServing returns how many instances serve v at present.
func (r *Record) NowServing(v fleet.Version) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := map[fleet.InstanceID]fleet.Version{}
	for _, s := range r.serving {
		last[s.Instance] = s.Version
	}
	n := 0
	for _, x := range last {
		if x == v {
			n++
		}
	}
	return n
}

// Verdict is what the promises come to.
type Verdict struct {
	Counts
	OrdersSent    int
	OrdersRun     int
	OrdersTwice   int
	OrdersLost    int // told done, or told nothing true, and never run
	NotRunButRan  int
	BadWeights    int
	OrdersUnknown int
}

// Verdict compares what was told with what happened.
func (r *Record) Verdict() Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := Verdict{Counts: r.counts, BadWeights: r.badWeight}
	for id, t := range r.told {
		if t == ToldNotRun && r.ran[id] > 0 {
			v.NotRunButRan++
		}
	}
	for _, o := range r.orders {
		v.OrdersSent++
		v.OrdersRun += min(1, o.ran)
		if o.ran > 1 {
			v.OrdersTwice++
		}
		if o.toldDone && o.ran == 0 {
			v.OrdersLost++
		}
		if o.lastTold == ToldNotRun && o.ran > 0 {
			v.NotRunButRan++
		}
		if o.lastTold == ToldUnknown {
			v.OrdersUnknown++
		}
	}
	return v
}

// Broken lists the promises that were broken, empty when all held.
func (v Verdict) Broken() []string {
	var out []string
	add := func(n int, what string) {
		if n > 0 {
			out = append(out, what)
		}
	}
	add(v.AnswersBroken, "answers_broken")
	add(v.MixedVersion, "mixed_version_answers")
	add(v.OrdersTwice, "orders_run_twice")
	add(v.OrdersLost, "orders_lost_silently")
	add(v.NotRunButRan, "not_run_but_ran")
	add(v.CutByStop, "requests_cut_by_planned_stop")
	add(v.BadWeights, "bad_weights_at_an_engine")
	return out
}
