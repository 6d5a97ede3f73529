package entry

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"amaranthturn/app/daemon"
	"amaranthturn/core/fleet"
	"amaranthturn/io/caller"
	"amaranthturn/io/peer"
)

// A request that runs on two targets is blamed for the crash of either.
func TestBothTargetsOfARequestBlameIt(t *testing.T) {
	for _, breaks := range []int{0, 1} {
		f := newScriptedFleet(t, 2)
		breaksLater := func(ctx context.Context, a *scriptedAgent, r peer.GenerateRequest, send func(peer.GenerateEvent) error) error {
			for len(f.sent()) < 2 && daemon.Sleep(ctx, time.Millisecond) {
			}
			f.e.reqMu.Lock()
			assert.Check(t, len(f.e.running["a1"]) == 1 && len(f.e.running["a2"]) == 1)
			f.e.reqMu.Unlock()
			return breaksConnection(ctx, a, r, send)
		}
		f.replies = []reply{neverAnswers, neverAnswers}
		f.replies[breaks] = breaksLater
		r := f.generate(t.Context(), silenceDeadline)
		assert.Equal(t, r.refusal.Outcome, fleet.OutcomeUnknown)
		blamed := f.e.ledger.Exchange(f.e.now())
		assert.Equal(t, len(blamed), 1)
		assert.Assert(t, blamed[0].Share > 0.9 && blamed[0].Share <= 1, "%v", blamed)
		assert.Equal(t, len(f.sent()), 2, "a suspect is not replaced")
		f.close()
	}
}

// An agent that ends a request at its deadline may be faster than the timer of this entry. What runs
// there was blamed for a crash.
func TestEndAtDeadlineIsNoCrash(t *testing.T) {
	const deadline = 300 * time.Millisecond
	f := newScriptedFleet(t, 1, func(ctx context.Context, _ *scriptedAgent, r peer.GenerateRequest, _ func(peer.GenerateEvent) error) error {
		time.Sleep(time.Until(r.Deadline))
		return status.Error(codes.DeadlineExceeded, "deadline")
	})
	ctx, cancel := context.WithTimeout(t.Context(), silenceDeadline) // stands for the late timer
	defer cancel()
	refusal := f.e.Generate(ctx, caller.GenerateRequest{
		RequestID: "r", Model: stopModel, Body: []byte(generateBody), Deadline: time.Now().Add(deadline),
	}, nil)
	assert.Equal(t, refusal.Outcome, fleet.OutcomeUnknown)
	assert.Equal(t, refusal.Reason, fleet.ReasonDeadlinePassed)
	assert.Equal(t, len(f.e.ledger.Exchange(f.e.now())), 0)
	f.close()
}

// The same for an agent whose clock is ahead.
func TestEarlyEndAtDeadlineIsNoCrash(t *testing.T) {
	const deadline, ahead = 300 * time.Millisecond, 100 * time.Millisecond
	f := newScriptedFleet(t, 1, func(ctx context.Context, _ *scriptedAgent, r peer.GenerateRequest, _ func(peer.GenerateEvent) error) error {
		time.Sleep(time.Until(r.Deadline.Add(-ahead)))
		return status.Error(codes.DeadlineExceeded, "deadline")
	})
	refusal := f.e.Generate(t.Context(), caller.GenerateRequest{
		RequestID: "r", Model: stopModel, Body: []byte(generateBody), Deadline: time.Now().Add(deadline),
	}, nil)
	assert.Equal(t, refusal.Outcome, fleet.OutcomeUnknown)
	assert.Equal(t, len(f.e.ledger.Exchange(f.e.now())), 0)
	f.close()
}
