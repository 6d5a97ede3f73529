package dispatch

import "amaranthturn/core/fleet"

// OrderStep is the next step of an entry for an order.
type OrderStep int

// The steps of an order.
const (
	// OrderRespond sends the received result or refusal to the caller.
	OrderRespond OrderStep = iota // answer
	// OrderStop requests the agent to ensure that the order never begins.
	OrderStop // stop
)

// AfterRun decides the next step after an entry sent an order to an agent. lost reports
// that no response was received: the connection broke or the deadline passed.
func AfterRun(lost bool) OrderStep {
	if lost {
		return OrderStop
	}
	return OrderRespond
}

// AfterStop returns the refusal for the caller after an agent was requested to stop an
// order, or nil when the agent has the order's result. The outcome is not_run only if
// the agent confirmed that the ticket can no longer run; without this confirmation it
// is unknown.
func AfterStop(lost bool, outcome fleet.Outcome, reason fleet.Reason) *fleet.Refusal {
	switch {
	case lost:
		return fleet.Unknown(fleet.ReasonTargetLost)
	case outcome == fleet.OutcomeDone:
		return nil
	case outcome == fleet.OutcomeNotRun:
		return fleet.NotRun(reason, 0)
	case outcome == fleet.OutcomeRunning:
		return fleet.Unknown(fleet.ReasonStillRunning)
	}
	return fleet.Unknown(reason)
}
