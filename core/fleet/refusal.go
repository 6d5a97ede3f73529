package fleet

import (
	"fmt"
	"time"
)

// Reason says in a stable word why a request was refused.
type Reason string

// The reasons of refusals.
const (
	ReasonNoConfiguration Reason = "no_configuration"
	ReasonUnknownModel    Reason = "unknown_model"
	ReasonUnknownService  Reason = "unknown_service"
	ReasonBadRequest      Reason = "bad_request"
	ReasonNoTarget        Reason = "no_target"
	ReasonQueueFull       Reason = "queue_full"
	ReasonTooLate         Reason = "deadline_cannot_be_met"
	ReasonDeadline        Reason = "deadline_passed"
	ReasonClass           Reason = "class_not_allowed"
	ReasonCrashing        Reason = "request_crashes_targets"
	ReasonLeaving         Reason = "instance_leaving"
	ReasonSwitching       Reason = "version_switching"
	ReasonVersionNotHere  Reason = "version_not_here"
	ReasonBusy            Reason = "target_busy"
	ReasonTargetLost      Reason = "target_lost"
	ReasonEngineDied      Reason = "engine_died"
	ReasonEngineFailed    Reason = "engine_failed"
	ReasonCallerGone      Reason = "caller_gone"
	ReasonNotRepeatable   Reason = "service_is_not_repeatable"
	ReasonTicketRequired  Reason = "order_ticket_required"
	ReasonBadTicket       Reason = "bad_ticket"
	ReasonServiceFailed   Reason = "service_unreachable"
	ReasonAnswerLost      Reason = "answer_not_known"
	ReasonStopped         Reason = "stopped_before_it_began"
	ReasonRunning         Reason = "still_running"
	ReasonUnknownRoute    Reason = "unknown_route"
	ReasonUnknownKey      Reason = "unknown_key"
	ReasonTooLarge        Reason = "body_too_large"
	ReasonRestarted       Reason = "target_restarted"
)

// Refusal is the end of a request that got no whole answer. An outcome of
// not_run is a promise: the request did not run and will not.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration // zero when trying again is of no use
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Outcome, r.Reason)
}

// NotRun returns a refusal of a request that did not run.
func NotRun(why Reason, retryAfter time.Duration) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Reason: why, RetryAfter: retryAfter}
}

// Unknown returns a refusal of a request that may have run.
func Unknown(why Reason) *Refusal {
	return &Refusal{Outcome: OutcomeUnknown, Reason: why}
}

// OutcomeOf returns how a request ended that got a refusal, or a whole answer when r is nil.
func OutcomeOf(r *Refusal) Outcome {
	if r == nil {
		return OutcomeDone
	}
	return r.Outcome
}
