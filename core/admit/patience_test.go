package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestReturningCallersAreRecognized(t *testing.T) {
	var p Patience
	a, b := CallerGroup{Route: "r", Workspace: "a"}, CallerGroup{Route: "r", Workspace: "b"}
	p.RecordRefusal(a.Route, now)
	assert.Assert(t, !p.HasReturned(a, 3*time.Second, now), "nothing is known yet")
	assert.Assert(t, !p.HasReturned(a, 6*time.Second, now))
	assert.Assert(t, !p.HasReturned(a, 5*time.Second, now), "less patient, not returned")
	assert.Assert(t, p.HasReturned(a, 4500*time.Millisecond, now))
	assert.Assert(t, !p.HasReturned(b, 3*time.Second, now), "the callers of another workspace wait for less time")
	assert.Assert(t, !p.HasReturned(a, 4*time.Second, now.Add(returnPeriod+time.Second)), "nobody was refused who could come back")
	p.RecordRefusal(a.Route, now.Add(patiencePeriod))
	assert.Assert(t, p.HasReturned(a, 4*time.Second, now.Add(patiencePeriod)))
	p.RecordRefusal(a.Route, now.Add(4*patiencePeriod))
	assert.Assert(t, !p.HasReturned(a, 4*time.Second, now.Add(4*patiencePeriod)), "callers have become less patient")
}

// Under overload, callers that come back after a refusal must not take the slots of new ones.
func TestLateRequestsLeaveAReserve(t *testing.T) {
	q := newTestQueue(8)
	late := func(id int) Decision {
		r := request(id, "a", 0)
		r.Late = true
		return q.Offer(r, now)
	}
	for i := range 5 {
		assert.Equal(t, q.Offer(request(i, "a", 0), now).Verdict, Admitted)
	}
	assert.Equal(t, late(10).Verdict, Admitted, "a quarter of 8 slots is left")
	assert.Equal(t, late(11).Cause, CauseNoRoomForLate)
	assert.Equal(t, q.Offer(request(12, "a", 0), now).Verdict, Admitted)
	assert.Equal(t, q.Offer(request(13, "a", 0), now).Verdict, Admitted)
	assert.Equal(t, q.Offer(request(14, "a", 0), now).Verdict, Queued)
	assert.Equal(t, late(15).Verdict, Refused, "refused at once, not queued")
	q.Release(request(0, "a", 0), 10, now)
	assert.Equal(t, late(16).Verdict, Refused, "the slot went to the request that waited")
}
