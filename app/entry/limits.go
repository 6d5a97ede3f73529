package entry

import (
	"time"

	"amaranthturn/core/admit"
	"amaranthturn/core/config"
	"amaranthturn/core/fleet"
	"amaranthturn/core/picker"
)

// waiter is a request that waits for its admission.
type waiter struct {
	handler  *requestHandler
	verdicts chan admit.Verdict
}

// queueDeadline returns until when a request may wait for its admission.
func queueDeadline(startedAt time.Time, wait time.Duration, deadline time.Time) time.Time {
	if until := startedAt.Add(wait); until.Before(deadline) {
		return until
	}
	return deadline
}

// extendQueueWait gives a waiting request the time in the queue that the configuration in force
// allows, if that is longer than what it has. reqMu must be held.
func (h *requestHandler) extendQueueWait() {
	if doc, _ := h.e.document(); doc != h.doc {
		h.e.queue.Extend(h.admit, queueDeadline(h.startedAt, doc.LimitsFor(h.gen.Workspace).QueueWait, h.gen.Deadline))
	}
}

// versionsFor returns the versions that a document allows for a request, false if it lacks the model.
func versionsFor(doc *config.Document, w fleet.Workspace, m fleet.Model, f fleet.Fingerprint) (picker.VersionConstraint, bool) {
	requested, ok := doc.VersionFor(w, m, f)
	return picker.VersionConstraint{Requested: requested, Default: doc.DefaultVersion(m), Isolated: doc.IsolatedVersions(m)}, ok
}

// versions returns the versions that the configuration in force allows for the request, or those at
// its arrival if the model has been dropped.
func (h *requestHandler) versions() picker.VersionConstraint {
	doc, _ := h.e.document()
	if doc == h.doc {
		return h.constraint
	}
	if v, ok := versionsFor(doc, h.gen.Workspace, h.gen.Model, h.gen.Fingerprint); ok {
		return v
	}
	return h.constraint
}

// applyLimits applies the limits of a document that came into force.
func (e *Entry) applyLimits(doc *config.Document) {
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	e.ledger.SetMaxCrashedTargets(doc.Defaults.Limits.CrashTargets)
	e.setRetryShare(doc.Defaults.Limits.RetryShare)
	for _, w := range e.waiters {
		w.handler.extendQueueWait()
	}
}
