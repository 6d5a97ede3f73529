package telemetry

import (
	"time"

	"github.com/rs/zerolog"

	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
	"amaranthturn/core/trace"
)

// Ended adds to the line of a request or order how it ended, and writes it. The refusal is
// nil when it was answered.
func Ended(ev *zerolog.Event, refusal *fleet.Refusal) {
	if refusal != nil {
		ev.Str("reason", string(refusal.Reason)).Dur("retry_after", refusal.RetryAfter)
	}
	ev.Str("outcome", fleet.OutcomeOf(refusal).String()).Msg(trace.MessageRequest)
}

// Attempt is an attempt that gave no whole answer.
type Attempt struct {
	Request  string
	Target   fleet.InstanceID
	Failure  dispatch.Failure
	Step     dispatch.Step
	Attempts int
	Events   int // given to the caller so far
	Took     time.Duration
}

// Log writes the line of an attempt. One that found no target names none.
func (a Attempt) Log(l zerolog.Logger) {
	target := a.Target
	if a.Failure.Kind == dispatch.KindNoTarget {
		target = ""
	}
	l.Info().Str("request", a.Request).Str("target", string(target)).Str("failure", a.Failure.Kind.String()).
		Int("attempts", a.Attempts).Int("events", a.Events).Bool("again", a.Step.Retry).Dur("wait", a.Step.Wait).
		Dur("took", a.Took).Msg(trace.MessageAttemptFailed)
}
