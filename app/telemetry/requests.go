package telemetry

import (
	"time"

	"github.com/rs/zerolog"

	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
	"amaranthturn/core/trace"
)

// LogOutcome adds the outcome to the log line of a request or order and writes the line. The
// refusal is nil if the request succeeded.
func LogOutcome(ev *zerolog.Event, refusal *fleet.Refusal) {
	if refusal != nil {
		ev.Str("reason", string(refusal.Reason)).Dur("retry_after", refusal.RetryAfter)
	}
	ev.Str("outcome", fleet.OutcomeOf(refusal).String()).Msg(trace.MessageRequest)
}

// FailedAttempt is an attempt that ended without a complete response.
type FailedAttempt struct {
	Request  string
	Service  fleet.Service // empty for a model
	Target   fleet.InstanceID
	Beside   fleet.InstanceID // target of an attempt that goes on, empty if there is none
	Failure  dispatch.Failure
	Step     dispatch.Step
	Attempts int
	Events   int // sent to the caller so far
	Took     time.Duration
}

// Log writes the log line of an attempt. The target is empty if none was found for the
// attempt.
func (a FailedAttempt) Log(l zerolog.Logger) {
	target := a.Target
	if a.Failure.Kind == dispatch.KindNoTarget {
		target = ""
	}
	ev := l.Info()
	if a.Service != "" {
		ev.Str("service", string(a.Service))
	}
	if a.Step.BudgetExhausted {
		ev.Bool("budget_exhausted", true)
	}
	if a.Beside != "" {
		ev.Str("beside", string(a.Beside))
	}
	ev.Str("request", a.Request).Str("target", string(target)).Str("failure", a.Failure.Kind.String()).
		Int("attempts", a.Attempts).Int("events", a.Events).Bool("again", a.Step.Retry).Dur("wait", a.Step.Wait).
		Dur("took", a.Took).Msg(trace.MessageAttemptFailed)
}
