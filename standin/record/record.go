// Package record keeps the ground truth of a run: the stand-ins record what they ran
// and served, and the load generator records the outcomes that callers observed. The
// verdict on the system's guarantees compares these two and never relies on what the
// daemons report.
//
// # Usage
//
//	r := record.New()
//	r.AttemptRan(requestID)
//	r.AttemptOutcome(requestID, record.OutcomeNotRun)
//	v := r.Verdict()
package record

import (
	"sync"
	"time"

	"amaranthturn/core/fleet"
)

// Outcome is the result of one attempt as observed by the caller.
type Outcome int

// The outcomes that callers observe.
const (
	OutcomeComplete Outcome = iota // the response was complete and correct
	OutcomeNotRun                  // the system reported that the attempt was not run
	OutcomeUnknown                 // the attempt may or may not have run
	OutcomeInvalid                 // the response was malformed or had wrong content
)

// Serving records that an instance started to serve a version.
type Serving struct {
	Instance fleet.InstanceID
	Version  fleet.Version
	At       time.Time
}

// Record holds the ground truth of one run. It is safe for concurrent use.
type Record struct {
	mu             sync.Mutex
	runs           map[string]int
	outcomes       map[string]Outcome
	orders         map[string]*order
	counts         Counts
	serving        []Serving
	stopping       map[string]bool
	invalidWeights int
	originBytes    int64
}

type order struct {
	runs             int
	reportedComplete bool
	lastOutcome      Outcome
}

// Counts are the totals of one run.
type Counts struct {
	RequestsSent          int
	ResponsesComplete     int
	ResponsesNotRun       int
	ResponsesUnknown      int
	ResponsesInvalid      int
	MixedVersionResponses int
	InterruptedByStop     int
}

// New returns an empty record.
func New() *Record {
	return &Record{runs: map[string]int{}, outcomes: map[string]Outcome{}, orders: map[string]*order{}, stopping: map[string]bool{}}
}

// AttemptRan records that a target ran an attempt.
func (r *Record) AttemptRan(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[attempt]++
}

// OrderRan records that a service ran an order.
func (r *Record) OrderRan(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ensureOrder(id).runs++
}

// OrderSent records that a caller started an order.
func (r *Record) OrderSent(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ensureOrder(id)
}

// OrderOutcome records the latest outcome that a caller observed for an order.
func (r *Record) OrderOutcome(id string, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.ensureOrder(id)
	o.lastOutcome = outcome
	o.reportedComplete = o.reportedComplete || outcome == OutcomeComplete
}

func (r *Record) ensureOrder(id string) *order {
	o, ok := r.orders[id]
	if !ok {
		o = &order{lastOutcome: OutcomeUnknown}
		r.orders[id] = o
	}
	return o
}

// RequestSent records that a caller sent a repeatable request.
func (r *Record) RequestSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.RequestsSent++
}

// AttemptOutcome records the outcome that a caller observed for an attempt.
func (r *Record) AttemptOutcome(attempt string, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[attempt] = outcome
	switch outcome {
	case OutcomeComplete:
		r.counts.ResponsesComplete++
	case OutcomeNotRun:
		r.counts.ResponsesNotRun++
	case OutcomeUnknown:
		r.counts.ResponsesUnknown++
	case OutcomeInvalid:
		r.counts.ResponsesInvalid++
	}
}

// MixedVersionResponse records a response that names more than one version or whose
// tokens differ from those of the version it names.
func (r *Record) MixedVersionResponse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.MixedVersionResponses++
}

// RequestInterrupted records a request that was interrupted at an instance during its
// planned stop.
func (r *Record) RequestInterrupted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.InterruptedByStop++
}

// StopStarted records that a planned stop of an instance started.
func (r *Record) StopStarted(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping[name] = true
}

// Restarted records that an instance is running again after a planned stop.
func (r *Record) Restarted(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.stopping, name)
}

// IsStopping reports whether a planned stop of an instance has started and the instance
// has not been started again.
func (r *Record) IsStopping(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping[name]
}

// ServingStarted records that an engine started to serve a version.
func (r *Record) ServingStarted(s Serving) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serving = append(r.serving, s)
}

// InvalidWeightsLoaded records that an engine received weights that do not match the
// published version.
func (r *Record) InvalidWeightsLoaded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.invalidWeights++
}

// OriginBytesSent records that the origin sent n bytes of weights.
func (r *Record) OriginBytesSent(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.originBytes += int64(n)
}

// OriginBytes returns the total number of weight bytes that the origin has sent.
func (r *Record) OriginBytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.originBytes
}

// ServingStartTime returns the time at which the n-th distinct instance started to serve
// v. It reports false while fewer than n instances have done so.
func (r *Record) ServingStartTime(v fleet.Version, n int) (time.Time, bool) {
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

// ServingCount returns the number of instances whose most recently started version is v.
func (r *Record) ServingCount(v fleet.Version) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	lastVersion := map[fleet.InstanceID]fleet.Version{}
	for _, s := range r.serving {
		lastVersion[s.Instance] = s.Version
	}
	n := 0
	for _, current := range lastVersion {
		if current == v {
			n++
		}
	}
	return n
}

// Verdict is the result of checking a run against the system's guarantees.
type Verdict struct {
	Counts
	OrdersSent     int
	OrdersRun      int
	OrdersRunTwice int
	OrdersLost     int // reported as complete but never run
	NotRunButRan   int // attempts and orders reported as not run that did run
	InvalidWeights int
	OrdersUnknown  int // orders without an outcome or whose last outcome is unknown
}

// Verdict compares the outcomes that callers observed with what the targets ran.
func (r *Record) Verdict() Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := Verdict{Counts: r.counts, InvalidWeights: r.invalidWeights}
	for attempt, outcome := range r.outcomes {
		if outcome == OutcomeNotRun && r.runs[attempt] > 0 {
			v.NotRunButRan++
		}
	}
	for _, o := range r.orders {
		v.OrdersSent++
		v.OrdersRun += min(1, o.runs)
		if o.runs > 1 {
			v.OrdersRunTwice++
		}
		if o.reportedComplete && o.runs == 0 {
			v.OrdersLost++
		}
		if o.lastOutcome == OutcomeNotRun && o.runs > 0 {
			v.NotRunButRan++
		}
		if o.lastOutcome == OutcomeUnknown {
			v.OrdersUnknown++
		}
	}
	return v
}

// Violations lists the guarantees that were violated. It is empty when all of them held.
func (v Verdict) Violations() []string {
	var out []string
	addIf := func(n int, guarantee string) {
		if n > 0 {
			out = append(out, guarantee)
		}
	}
	addIf(v.ResponsesInvalid, "answers_broken")
	addIf(v.MixedVersionResponses, "mixed_version_answers")
	addIf(v.OrdersRunTwice, "orders_run_twice")
	addIf(v.OrdersLost, "orders_lost_silently")
	addIf(v.NotRunButRan, "not_run_but_ran")
	addIf(v.InterruptedByStop, "requests_cut_by_planned_stop")
	addIf(v.InvalidWeights, "bad_weights_at_an_engine")
	return out
}
