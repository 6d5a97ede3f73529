package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	"amaranthturn/core/forward"
	"amaranthturn/core/retry"
	"amaranthturn/core/roster"
)

// A target of many requests is frozen, and the budget has a retry now and then. Requests that found none
// when they had a connection to another target were not replaced any more.
func TestManySilentRequestsShareTheRetryBudget(t *testing.T) {
	const count = 16
	p := replayOf(t, "s", 2)
	for range count {
		p.plays = append(p.plays, play{version: 1, end: endHangs})
	}
	p.plays = append(p.plays, play{version: 1})
	g := newReplayGateway(t, []*replay{p})
	all := g.targetsBeside("")
	g.update(func() {
		// The retries are enough for all by half of the time.
		g.budgets = retry.NewBudgets[fleet.Service](retry.BudgetsSettings{Allowance: 1, Window: replayedTimeout / (2 * count)}, 1, time.Now().Add(-2*time.Hour))
		for i, rt := range all {
			if rt.Slots = 4 * count; i > 0 {
				rt.State = roster.StateDraining
			}
		}
	}, all)
	var wg sync.WaitGroup
	recorders := make([]recorder, count)
	for i := range recorders {
		recorders[i].t = t
		wg.Go(func() {
			_ = g.Serve(context.Background(), &forward.Call{ID: forward.RequestID(fmt.Sprint(i)), Method: "POST", URI: "/s/x", Path: "/s/x", Host: "h", Header: http.Header{}}, &recorders[i])
		})
	}
	time.Sleep(replayedStall / 2) // all requests are at the frozen target
	g.update(func() { all[1].State, all[2].State = roster.StateReady, roster.StateReady }, all)
	wg.Wait()
	complete := 0
	for i := range recorders {
		if recorders[i].body.String() == wholeStream() {
			complete++
		}
	}
	assert.Equal(t, complete, count)
	assert.Equal(t, p.arrived(), 2*count)
}
