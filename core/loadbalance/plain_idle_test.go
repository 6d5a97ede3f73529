package loadbalance_test

import (
	"testing"
	"time"

	"amaranthturn/core/loadbalance"
)

// An entry before fewer slots than entries refused rare requests although all slots were free.
func TestRareRequestsGetFreePlainSlot(t *testing.T) {
	const entries, work, objective, requests, wantServed = 8, 2 * time.Second, 6 * time.Second, 20, 19
	served := 0
	e := newSoloEntry(entries, 1, 1, 1)
	for i := range requests {
		e.now = t0.Add(time.Duration(i) * 20 * time.Second)
		until := e.now.Add(loadbalance.MaxWait(objective, e.balancer.ExpectedDuration()))
		for ; !e.now.After(until); e.now = e.now.Add(tickInterval) {
			if e.limit.Value() == 0 {
				continue
			}
			e.balancer.RecordStart(id(0), 0, e.now)
			e.now = e.now.Add(work)
			e.balancer.RecordDuration(work, e.now)
			e.balancer.RecordEnd(id(0), 0, loadbalance.ResultDone, e.now)
			served++
			break
		}
	}
	if served < wantServed {
		t.Errorf("%d of %d requests served, want %d", served, requests, wantServed)
	}
}
