package fleet

import (
	"fmt"
	"time"
)

// Reason is the reason of a refusal. Its text is part of the API and stable.
type Reason string

// The reasons of refusals.
const (
	ReasonNoConfiguration     Reason = "no_configuration"
	ReasonUnknownModel        Reason = "unknown_model"
	ReasonUnknownService      Reason = "unknown_service"
	ReasonBadRequest          Reason = "bad_request"
	ReasonNoTarget            Reason = "no_target"
	ReasonQueueFull           Reason = "queue_full"
	ReasonDeadlineCannotBeMet Reason = "deadline_cannot_be_met"
	ReasonNoRoomForLate       Reason = "no_room_for_late"
	ReasonDeadlinePassed      Reason = "deadline_passed"
	ReasonClassNotAllowed     Reason = "class_not_allowed"
	ReasonCrashesTargets      Reason = "request_crashes_targets"
	ReasonLeaving             Reason = "instance_leaving"
	ReasonVersionSwitching    Reason = "version_switching"
	ReasonVersionUnavailable  Reason = "version_not_here"
	ReasonVersionReplaced     Reason = "version_replaced"
	ReasonTargetBusy          Reason = "target_busy"
	ReasonTargetsShed         Reason = "targets_shed_load"
	ReasonTargetsLimited      Reason = "targets_limited"
	ReasonTargetLost          Reason = "target_lost"
	ReasonEngineCrashed       Reason = "engine_died"
	ReasonEngineFailed        Reason = "engine_failed"
	ReasonCallerDisconnected  Reason = "caller_gone"
	ReasonNotRepeatable       Reason = "service_is_not_repeatable"
	ReasonTicketRequired      Reason = "order_ticket_required"
	ReasonBadTicket           Reason = "bad_ticket"
	ReasonServiceUnreachable  Reason = "service_unreachable"
	ReasonResultUnknown       Reason = "answer_not_known"
	ReasonStoppedBeforeStart  Reason = "stopped_before_it_began"
	ReasonStillRunning        Reason = "still_running"
	ReasonUnknownRoute        Reason = "unknown_route"
	ReasonUnknownKey          Reason = "unknown_key"
	ReasonBodyTooLarge        Reason = "body_too_large"
	ReasonTargetRestarted     Reason = "target_restarted"
)

// Refusal is the result of a request that received no complete response. The outcome
// not_run guarantees that the request did not run and will not run.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration // zero if a retry is useless
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Outcome, r.Reason)
}

// NotRun returns a refusal of a request that did not run and will not run.
func NotRun(reason Reason, retryAfter time.Duration) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
}

// Unknown returns a refusal of a request that may have run.
func Unknown(reason Reason) *Refusal {
	return &Refusal{Outcome: OutcomeUnknown, Reason: reason}
}

// OutcomeOf returns the outcome of a request with refusal r. A nil r means that the
// request received a complete response.
func OutcomeOf(r *Refusal) Outcome {
	if r == nil {
		return OutcomeDone
	}
	return r.Outcome
}
