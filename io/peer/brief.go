package peer

import (
	"slices"
	"strings"

	"amaranthturn/core/membership"
)

// canSendBrief reports whether heartbeat b can be sent in the brief form after the full
// heartbeat a.
func canSendBrief(a, b membership.Report) bool {
	return a.Incarnation == b.Incarnation && a.Position == b.Position && a.Leaving == b.Leaving &&
		a.Pool == b.Pool && len(b.Crashed) == 0 &&
		slices.Equal(a.Services, b.Services) && slices.EqualFunc(a.Models, b.Models, equalModelStates)
}

func equalModelStates(a, b membership.ModelState) bool {
	return a.Model == b.Model && a.Desired == b.Desired && a.Serving == b.Serving && a.Staged == b.Staged &&
		a.Phase == b.Phase && sameProgressStep(a, b) &&
		a.WaitsFor == b.WaitsFor && a.Failures == b.Failures && a.Intent == b.Intent && a.TwoSlots == b.TwoSlots &&
		slices.Equal(a.Loaded, b.Loaded) && slices.Equal(a.Promises, b.Promises)
}

// progressSteps is the number of steps into which the fetch of a version is divided. A
// full heartbeat is sent only when a step is completed.
const progressSteps = 10

func sameProgressStep(a, b membership.ModelState) bool {
	step := max(1, b.ChunksTotal/progressSteps)
	sameCompletion := (a.ChunksHeld == a.ChunksTotal) == (b.ChunksHeld == b.ChunksTotal)
	return a.ChunksTotal == b.ChunksTotal && a.ChunksHeld/step == b.ChunksHeld/step && sameCompletion
}

// isDialFailure reports whether message is the gRPC library's message for a connection
// that was never established. The library's error does not wrap the cause.
func isDialFailure(message string) bool {
	return strings.Contains(message, "Error while dialing")
}
