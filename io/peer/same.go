package peer

import (
	"slices"
	"strings"

	"amaranthturn/core/membership"
)

// sameSlowFields tells whether a heartbeat can be sent in the brief form.
func sameSlowFields(a, b membership.Report) bool {
	return a.Incarnation == b.Incarnation && a.Revision == b.Revision && a.Leaving == b.Leaving &&
		a.Pool == b.Pool && len(b.Crashed) == 0 &&
		slices.Equal(a.Services, b.Services) && slices.EqualFunc(a.Models, b.Models, sameModel)
}

func sameModel(a, b membership.ModelState) bool {
	return a.Model == b.Model && a.Desired == b.Desired && a.Serving == b.Serving && a.Staged == b.Staged &&
		a.Phase == b.Phase && sameProgress(a, b) &&
		a.WaitsFor == b.WaitsFor && a.Failures == b.Failures && a.Intent == b.Intent && a.TwoSlots == b.TwoSlots &&
		slices.Equal(a.Loaded, b.Loaded) && slices.Equal(a.Promises, b.Promises)
}

// progressSteps is how many steps of progress are worth a full heartbeat.
const progressSteps = 10

func sameProgress(a, b membership.ModelState) bool {
	step := max(1, b.ChunksTotal/progressSteps)
	done := (a.ChunksHeld == a.ChunksTotal) == (b.ChunksHeld == b.ChunksTotal)
	return a.ChunksTotal == b.ChunksTotal && a.ChunksHeld/step == b.ChunksHeld/step && done
}

// hasDialFailure recognises the message of the library for a connection that was
// never made; its error does not carry the cause as a value.
func hasDialFailure(message string) bool {
	return strings.Contains(message, "Error while dialing")
}
