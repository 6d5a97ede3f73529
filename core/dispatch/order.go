package dispatch

import "amaranthturn/core/fleet"

// OrderStep is what an entry does next about an order.
type OrderStep int

// The steps of an order.
const (
	// OrderAnswer gives the caller the answer or the refusal at hand.
	OrderAnswer OrderStep = iota // answer
	// OrderStop asks the agent to make sure that the order never begins.
	OrderStop // stop
)

// AfterRun decides after an entry asked an agent to run an order. lost tells that
// no answer came: a connection that broke, a deadline that passed.
func AfterRun(lost bool) OrderStep {
	if lost {
		return OrderStop
	}
	return OrderAnswer
}

// AfterStop returns the refusal for the caller after an agent was asked to stop
// an order, nil when the agent has the order's answer. Only the agent's word that
// the ticket is dead makes it not_run; without its word the outcome is unknown.
func AfterStop(lost bool, outcome fleet.Outcome, why fleet.Reason) *fleet.Refusal {
	switch {
	case lost:
		return fleet.Unknown(fleet.ReasonTargetLost)
	case outcome == fleet.OutcomeDone:
		return nil
	case outcome == fleet.OutcomeNotRun:
		return fleet.NotRun(why, 0)
	case outcome == fleet.OutcomeRunning:
		return fleet.Unknown(fleet.ReasonRunning)
	}
	return fleet.Unknown(why)
}
