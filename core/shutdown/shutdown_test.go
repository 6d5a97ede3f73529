package shutdown

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func TestEveryRequestStartsBeforeAStop(t *testing.T) {
	assert.Assert(t, NewPlan().CanStart("r", after(time.Hour), start))
}

// The deadline of a request is before the answer time of a stop, or its kind has been fast.
func TestRequestsThatFitStart(t *testing.T) {
	for _, c := range []struct {
		name     string
		took     time.Duration // 0 for no completed request
		at       time.Duration // since the begin of the stop
		timeout  time.Duration
		canStart bool
	}{
		{"deadline fits", 0, time.Second, 6 * time.Second, true},
		{"deadline does not fit", 0, 2 * time.Second, 6 * time.Second, false},
		{"deadline fits, slow kind", 20 * time.Second, time.Second, 6 * time.Second, true},
		{"fast kind", 2 * time.Second, 4 * time.Second, time.Minute, true},
		{"fast kind late", 2 * time.Second, 5 * time.Second, time.Minute, false},
		{"slow kind", 20 * time.Second, 0, time.Minute, false},
		{"after the answer time", time.Millisecond, 7 * time.Second, time.Minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPlan()
			if c.took > 0 {
				p.Record("r", c.took, start)
			}
			p.Record("other", time.Millisecond, start)
			p.Begin(start, 8*time.Second, time.Second)
			now := after(c.at)
			assert.Equal(t, p.CanStart("r", now.Add(c.timeout), now), c.canStart)
		})
	}
}

// A second signal does not move the answer time.
func TestSecondBeginChangesNothing(t *testing.T) {
	p := NewPlan()
	p.Begin(start, 8*time.Second, time.Second)
	p.Begin(after(5*time.Second), 8*time.Second, time.Second)
	assert.Equal(t, p.AnswerBy(), after(7*time.Second))
}

// The reserve never takes a short grace period as a whole.
func TestShortGraceKeepsTimeForRequests(t *testing.T) {
	p := NewPlan()
	p.Begin(start, 400*time.Millisecond, time.Second)
	assert.Equal(t, p.AnswerBy(), after(200*time.Millisecond))
}

// A slow request counts until enough others have completed since, or for a minute.
func TestSlowRequestIsForgotten(t *testing.T) {
	for _, c := range []struct {
		others int
		age    time.Duration
		fits   bool
	}{{maxSamples - 1, 0, false}, {maxSamples, 0, true}, {1, maxSampleAge, false}, {1, maxSampleAge + 1, true}} {
		p := NewPlan()
		p.Record("r", 20*time.Second, start)
		now := after(c.age)
		for range c.others {
			p.Record("r", time.Millisecond, now)
		}
		p.Begin(now, 8*time.Second, time.Second)
		assert.Equal(t, p.CanStart("r", now.Add(time.Minute), now), c.fits, "%d others, %v", c.others, c.age)
	}
}

// A configuration may have any number of routes over time.
func TestGroupsAreBounded(t *testing.T) {
	p := NewPlan()
	for i := range 2 * maxGroups {
		p.Record(Group(strconv.Itoa(i)), time.Second, start)
	}
	assert.Equal(t, len(p.groups), maxGroups)
	p.Record("new", time.Second, after(2*maxSampleAge))
	assert.Equal(t, len(p.groups), 1)
}

// Whatever has completed, a request that starts by its kind's longest time ends before the answer time.
func TestStartedRequestsOfRecordedTimesEndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPlan()
		took := rapid.SliceOfN(rapid.Int64Range(1, int64(20*time.Second)), 1, maxSamples).Draw(t, "took")
		for _, d := range took {
			p.Record("r", time.Duration(d), start)
		}
		grace := time.Duration(rapid.Int64Range(int64(10*time.Millisecond), int64(30*time.Second)).Draw(t, "grace"))
		p.Begin(start, grace, time.Second)
		now := after(time.Duration(rapid.Int64Range(0, int64(grace)).Draw(t, "now")))
		if !p.CanStart("r", now.Add(time.Hour), now) {
			return
		}
		for _, d := range took {
			assert.Assert(t, !now.Add(time.Duration(d)).After(p.AnswerBy()))
		}
	})
}
