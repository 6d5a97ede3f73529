package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	"amaranthturn/core/retry"
	"amaranthturn/io/peer"
)

// A stream that waits for the entry's budget asks ten times a second. It must not use up the
// retries of its workspace meanwhile.
func TestWaitingForTheEntryLeavesTheWorkspaceBudget(t *testing.T) {
	w := fleet.Workspace("w")
	e := &Entry{opt: Options{Clock: fixedClock(time.Unix(1_700_000_000, 0))}, budgets: map[fleet.Workspace]*retry.Budget{w: retry.NewBudget(0.1, 10)}}
	e.budget = retry.NewBudget(0.1, 1)
	assert.Assert(t, e.budget.Allow()) // another workspace takes the entry's last retry
	h := &requestHandler{e: e, gen: peer.GenerateRequest{Workspace: w}}
	for range 20 { // two seconds of awaitBudget
		assert.Assert(t, !h.allowRetry())
	}
	e.budget = retry.NewBudget(0.1, 10)
	assert.Assert(t, h.allowRetry(), "the workspace has used none of its ten retries")
}

// The requests to a busy service paid for the retries of the calls to a small one.
func TestRequestsToOneServiceDoNotPayForAnother(t *testing.T) {
	e := &Entry{opt: Options{Clock: fixedClock(time.Unix(1_700_000_000, 0))}, budget: retry.NewBudget(0.1, retryBurst)}
	w := fleet.Workspace("w")
	busy := &requestHandler{e: e, gen: peer.GenerateRequest{Workspace: w, Model: "m"}}
	small := &requestHandler{e: e, gen: peer.GenerateRequest{Workspace: w}, service: "s"}
	requests, retries := 0, 0
	for range 1000 {
		e.reqMu.Lock()
		for range 20 {
			busy.recordRequest()
		}
		small.recordRequest()
		e.reqMu.Unlock()
		requests++
		for small.allowRetry() {
			retries++
		}
	}
	assert.Assert(t, retries <= requests/10+retryBurst/2, "%d retries for %d requests of the service", retries, requests)
	assert.Assert(t, busy.allowRetry())
}
