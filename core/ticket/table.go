package ticket

import (
	"time"

	"amaranthturn/core/fleet"
)

//go:generate stringer -type=Verdict,Reason -output=ticket_string.go -linecomment

// Verdict is how an agent handles an attempt.
type Verdict int

// The verdicts.
const (
	VerdictRun    Verdict = iota // run
	VerdictJoin                  // join
	VerdictReplay                // answer
	VerdictRefuse                // refuse
)

// Reason is the reason why an attempt was refused.
type Reason int

// The reasons for a refusal.
const (
	ReasonNone             Reason = iota // none
	ReasonOtherTarget                    // ticket_names_another_target
	ReasonOtherIncarnation               // target_restarted_since_ticket
	ReasonExpired                        // ticket_expired
	ReasonStopped                        // attempt_stopped
	ReasonDeadlinePassed                 // deadline_passed
	ReasonTableFull                      // order_table_full
	ReasonLeaving                        // target_leaving
	ReasonResultUnknown                  // answer_not_known
)

// Result is the response of a service to an order. Every later attempt with the
// same ticket receives it again.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
	Unframed    bool // nothing shows that the body is complete
}

// Decision is the result of Begin or Stop for one attempt.
type Decision struct {
	Verdict Verdict
	Outcome fleet.Outcome
	Reason  Reason
	Result  Result
}

// Limits bounds the memory of a Table.
type Limits struct {
	Orders int         // maximum number of tickets held
	Bytes  fleet.Bytes // maximum size of all results held
	// Skew is the maximum clock difference between two instances. A ticket is
	// kept for this time after it expires.
	Skew time.Duration
}

// DefaultLimits is sized for an agent with 128 MB of memory.
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
	result  Result
	reason  Reason
	expires time.Time
}

// Table records the state of each ticket of one agent incarnation until the
// ticket expires. It is not safe for concurrent use.
type Table struct {
	self        fleet.InstanceID
	incarnation fleet.Incarnation
	limits      Limits
	records     map[ID]*record
	resultBytes fleet.Bytes
	// revokedUntil revokes every ticket that was issued up to this time and is
	// not in records. It replaces tombstones, which take memory, when the table
	// is full.
	revokedUntil time.Time
	leaving      bool
	nextSweep    time.Time
}

// NewTable returns an empty table for one incarnation of an agent.
func NewTable(self fleet.InstanceID, incarnation fleet.Incarnation, limits Limits) *Table {
	return &Table{self: self, incarnation: incarnation, limits: limits, records: map[ID]*record{}}
}

// Begin decides how to handle an attempt. The deadline is the caller's; zero
// means none.
func (t *Table) Begin(tk Ticket, deadline, now time.Time) Decision {
	t.removeExpired(now)
	if d, ok := t.checkTarget(tk); ok {
		return d
	}
	if r, ok := t.records[tk.ID]; ok {
		return r.decision()
	}
	if d, ok := t.checkValidity(tk, now); ok {
		return d
	}
	if !deadline.IsZero() && now.After(deadline) {
		return t.revoke(tk, ReasonDeadlinePassed, now)
	}
	if t.leaving {
		return t.revoke(tk, ReasonLeaving, now)
	}
	if t.isFull() {
		return t.revoke(tk, ReasonTableFull, now)
	}
	t.records[tk.ID] = &record{state: stateRunning, expires: tk.Expires.Add(t.limits.Skew)}
	return Decision{Verdict: VerdictRun}
}

// Stop revokes a ticket whose order has not started, so that it never runs. The
// outcome is not_run if the ticket is revoked, and running or done if the order
// had already started.
func (t *Table) Stop(tk Ticket, now time.Time) Decision {
	t.removeExpired(now)
	if d, ok := t.checkTarget(tk); ok {
		return d
	}
	if r, ok := t.records[tk.ID]; ok {
		return r.decision()
	}
	if d, ok := t.checkValidity(tk, now); ok {
		return d
	}
	return t.revoke(tk, ReasonStopped, now)
}

// Finish records the result of a ticket that received VerdictRun.
func (t *Table) Finish(id ID, result Result) {
	r, ok := t.records[id]
	if !ok || r.state != stateRunning {
		return
	}
	r.state = stateDone
	r.result = result
	t.resultBytes += fleet.Bytes(len(result.Body))
}

// FinishNotRun records that the order of a ticket that received VerdictRun never
// reached its service. The ticket stays revoked.
func (t *Table) FinishNotRun(id ID) { t.finishWithoutResult(id, stateStopped) }

// FinishUnknown records that it is unknown whether the service ran the order.
func (t *Table) FinishUnknown(id ID) { t.finishWithoutResult(id, stateUnknown) }

func (t *Table) finishWithoutResult(id ID, s state) {
	r, ok := t.records[id]
	if !ok || r.state != stateRunning {
		return
	}
	r.state = s
	r.reason = ReasonStopped
	if s == stateUnknown {
		r.reason = ReasonResultUnknown
	}
}

// Result returns the decision for further attempts with a ticket that received VerdictRun.
func (t *Table) Result(id ID) Decision {
	r, ok := t.records[id]
	if !ok {
		return refuse(fleet.OutcomeUnknown, ReasonResultUnknown)
	}
	return r.decision()
}

// Leave makes the table refuse every ticket whose order has not started.
func (t *Table) Leave() { t.leaving = true }

// Running returns the number of orders that have started and not finished.
func (t *Table) Running() int {
	n := 0
	for _, r := range t.records {
		if r.state == stateRunning {
			n++
		}
	}
	return n
}

// Len returns the number of tickets held.
func (t *Table) Len() int { return len(t.records) }

// checkTarget refuses a ticket of another target or incarnation, because this
// incarnation cannot know whether an earlier attempt ran.
func (t *Table) checkTarget(tk Ticket) (Decision, bool) {
	switch {
	case tk.Target != t.self:
		return refuse(fleet.OutcomeUnknown, ReasonOtherTarget), true
	case tk.Incarnation != t.incarnation:
		return refuse(fleet.OutcomeUnknown, ReasonOtherIncarnation), true
	}
	return Decision{}, false
}

// checkValidity refuses a ticket that has no record and is expired or revoked.
func (t *Table) checkValidity(tk Ticket, now time.Time) (Decision, bool) {
	if now.After(tk.Expires) {
		return refuse(fleet.OutcomeUnknown, ReasonExpired), true
	}
	if !tk.Issued.After(t.revokedUntil) {
		return refuse(fleet.OutcomeNotRun, ReasonTableFull), true
	}
	return Decision{}, false
}

// revoke records a tombstone for a ticket whose order has not started.
func (t *Table) revoke(tk Ticket, reason Reason, now time.Time) Decision {
	if len(t.records) >= 2*t.limits.Orders {
		t.raiseRevokedUntil(tk, now)
		return refuse(fleet.OutcomeNotRun, reason)
	}
	t.records[tk.ID] = &record{state: stateStopped, reason: reason, expires: tk.Expires.Add(t.limits.Skew)}
	return refuse(fleet.OutcomeNotRun, reason)
}

// raiseRevokedUntil revokes every ticket issued so far whose order has not
// started. The issue time of tk can be after now if the issuer's clock is fast;
// that case is covered too.
func (t *Table) raiseRevokedUntil(tk Ticket, now time.Time) {
	for _, at := range []time.Time{now, tk.Issued} {
		if at.After(t.revokedUntil) {
			t.revokedUntil = at
		}
	}
}

func (t *Table) isFull() bool {
	return len(t.records) >= t.limits.Orders || t.resultBytes >= t.limits.Bytes
}

// removeExpired deletes the records of expired tickets, except those of running
// orders. A later attempt with an expired ticket is refused by its expiry.
func (t *Table) removeExpired(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(time.Second)
	for id, r := range t.records {
		if r.state != stateRunning && now.After(r.expires) {
			t.resultBytes -= fleet.Bytes(len(r.result.Body))
			delete(t.records, id)
		}
	}
}

func (r *record) decision() Decision {
	switch r.state {
	case stateRunning:
		return Decision{Verdict: VerdictJoin, Outcome: fleet.OutcomeRunning}
	case stateDone:
		return Decision{Verdict: VerdictReplay, Outcome: fleet.OutcomeDone, Result: r.result}
	case stateUnknown:
		return refuse(fleet.OutcomeUnknown, r.reason)
	default:
		return refuse(fleet.OutcomeNotRun, r.reason)
	}
}

func refuse(o fleet.Outcome, reason Reason) Decision {
	return Decision{Verdict: VerdictRefuse, Outcome: o, Reason: reason}
}
