package ticket

import (
	"time"

	"amaranthturn/core/fleet"
)

//go:generate stringer -type=Verdict,Reason -output=ticket_string.go -linecomment

// Verdict is what an agent does with an attempt.
type Verdict int

// The verdicts.
const (
	VerdictRun    Verdict = iota // run
	VerdictJoin                  // join
	VerdictAnswer                // answer
	VerdictRefuse                // refuse
)

// Reason says why an attempt was refused.
type Reason int

// The reasons.
const (
	ReasonNone             Reason = iota // none
	ReasonOtherTarget                    // ticket_names_another_target
	ReasonOtherIncarnation               // target_restarted_since_ticket
	ReasonExpired                        // ticket_expired
	ReasonStopped                        // attempt_stopped
	ReasonDeadline                       // deadline_passed
	ReasonFull                           // order_table_full
	ReasonLeaving                        // target_leaving
	ReasonAnswerLost                     // answer_not_known
)

// Answer is what a service answered to an order; it is given again to every
// later attempt.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Decision is the table's answer to an attempt.
type Decision struct {
	Verdict Verdict
	Outcome fleet.Outcome
	Reason  Reason
	Answer  Answer
}

// Limits bound the memory of a Table.
type Limits struct {
	Orders int         // tickets remembered at once
	Bytes  fleet.Bytes // answers remembered at once
	// Skew is the largest difference between the clocks of two instances.
	// A ticket is remembered that much longer than it is valid.
	Skew time.Duration
}

// DefaultLimits are sized for an agent of 128 MB.
var DefaultLimits = Limits{Orders: 20_000, Bytes: 32 << 20, Skew: 5 * time.Second}

type state int

const (
	stateRunning state = iota
	stateDone
	stateStopped
	stateUnknown
)

type record struct {
	state   state
	answer  Answer
	reason  Reason
	expires time.Time
}

// Table remembers what each ticket of one agent run did, until it expires.
// It is not safe for concurrent use.
type Table struct {
	self        fleet.InstanceID
	incarnation fleet.Incarnation
	limits      Limits
	records     map[ID]*record
	bytes       fleet.Bytes
	// deadUntil kills every ticket issued up to then that is not in records. It
	// is the tombstone that takes no memory when the table is full.
	deadUntil time.Time
	leaving   bool
	nextSweep time.Time
}

// NewTable returns an empty table for one run of an agent.
func NewTable(self fleet.InstanceID, incarnation fleet.Incarnation, limits Limits) *Table {
	return &Table{self: self, incarnation: incarnation, limits: limits, records: map[ID]*record{}}
}

// Begin decides about an attempt. The deadline is the caller's; zero means none.
func (t *Table) Begin(k Ticket, deadline, now time.Time) Decision {
	t.sweep(now)
	if d, ok := t.foreign(k); ok {
		return d
	}
	if r, ok := t.records[k.ID]; ok {
		return r.decision()
	}
	if d, ok := t.dead(k, now); ok {
		return d
	}
	if !deadline.IsZero() && now.After(deadline) {
		return t.kill(k, ReasonDeadline, now)
	}
	if t.leaving {
		return t.kill(k, ReasonLeaving, now)
	}
	if t.full() {
		return t.kill(k, ReasonFull, now)
	}
	t.records[k.ID] = &record{state: stateRunning, expires: k.Expires.Add(t.limits.Skew)}
	return Decision{Verdict: VerdictRun}
}

// Stop makes sure that a ticket that has not begun never will. The outcome is
// not_run when that holds, running or done when it had begun.
func (t *Table) Stop(k Ticket, now time.Time) Decision {
	t.sweep(now)
	if d, ok := t.foreign(k); ok {
		return d
	}
	if r, ok := t.records[k.ID]; ok {
		return r.decision()
	}
	if d, ok := t.dead(k, now); ok {
		return d
	}
	return t.kill(k, ReasonStopped, now)
}

// Finish records the answer of a ticket that was given VerdictRun.
func (t *Table) Finish(id ID, a Answer) {
	r, ok := t.records[id]
	if !ok || r.state != stateRunning {
		return
	}
	r.state = stateDone
	r.answer = a
	t.bytes += fleet.Bytes(len(a.Body))
}

// FinishNotRun records that a ticket that was given VerdictRun never reached
// its service. The ticket stays dead.
func (t *Table) FinishNotRun(id ID) { t.settle(id, stateStopped) }

// FinishUnknown records that nobody can tell whether the service ran the order.
func (t *Table) FinishUnknown(id ID) { t.settle(id, stateUnknown) }

func (t *Table) settle(id ID, s state) {
	r, ok := t.records[id]
	if !ok || r.state != stateRunning {
		return
	}
	r.state = s
	r.reason = ReasonStopped
	if s == stateUnknown {
		r.reason = ReasonAnswerLost
	}
}

// Leave refuses every ticket that has not begun.
func (t *Table) Leave() { t.leaving = true }

// Running returns how many orders have begun and not finished.
func (t *Table) Running() int {
	n := 0
	for _, r := range t.records {
		if r.state == stateRunning {
			n++
		}
	}
	return n
}

// Len returns how many tickets are remembered.
func (t *Table) Len() int { return len(t.records) }

// foreign refuses tickets whose first attempt this run cannot know.
func (t *Table) foreign(k Ticket) (Decision, bool) {
	switch {
	case k.Target != t.self:
		return refuse(fleet.OutcomeUnknown, ReasonOtherTarget), true
	case k.Incarnation != t.incarnation:
		return refuse(fleet.OutcomeUnknown, ReasonOtherIncarnation), true
	}
	return Decision{}, false
}

// dead refuses tickets that are not remembered and may no longer begin.
func (t *Table) dead(k Ticket, now time.Time) (Decision, bool) {
	if now.After(k.Expires) {
		return refuse(fleet.OutcomeUnknown, ReasonExpired), true
	}
	if !k.Issued.After(t.deadUntil) {
		return refuse(fleet.OutcomeNotRun, ReasonFull), true
	}
	return Decision{}, false
}

// kill leaves a tombstone for a ticket that has not begun.
func (t *Table) kill(k Ticket, why Reason, now time.Time) Decision {
	if len(t.records) >= 2*t.limits.Orders {
		t.raiseWatermark(k, now)
		return refuse(fleet.OutcomeNotRun, why)
	}
	t.records[k.ID] = &record{state: stateStopped, reason: why, expires: k.Expires.Add(t.limits.Skew)}
	return refuse(fleet.OutcomeNotRun, why)
}

// raiseWatermark kills every ticket issued so far that has not begun. A ticket
// from a fast clock can be issued after now; it is covered too.
func (t *Table) raiseWatermark(k Ticket, now time.Time) {
	for _, at := range []time.Time{now, k.Issued} {
		if at.After(t.deadUntil) {
			t.deadUntil = at
		}
	}
}

func (t *Table) full() bool {
	return len(t.records) >= t.limits.Orders || t.bytes >= t.limits.Bytes
}

// sweep forgets expired tickets. A running order is kept until it finishes. An
// expired ticket that comes again is refused by its own expiry.
func (t *Table) sweep(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(time.Second)
	for id, r := range t.records {
		if r.state != stateRunning && now.After(r.expires) {
			t.bytes -= fleet.Bytes(len(r.answer.Body))
			delete(t.records, id)
		}
	}
}

func (r *record) decision() Decision {
	switch r.state {
	case stateRunning:
		return Decision{Verdict: VerdictJoin, Outcome: fleet.OutcomeRunning}
	case stateDone:
		return Decision{Verdict: VerdictAnswer, Outcome: fleet.OutcomeDone, Answer: r.answer}
	case stateUnknown:
		return refuse(fleet.OutcomeUnknown, r.reason)
	default:
		return refuse(fleet.OutcomeNotRun, r.reason)
	}
}

func refuse(o fleet.Outcome, why Reason) Decision {
	return Decision{Verdict: VerdictRefuse, Outcome: o, Reason: why}
}
