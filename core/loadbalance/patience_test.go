package loadbalance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func begunFirst(r *replay, from, to time.Duration, of func(*call) bool) (share float64, n int) {
	begun := 0
	for _, c := range r.calls {
		if d := c.asked.Sub(t0); d < from || d >= to || !of(c) {
			continue
		}
		n++
		if c.attempts == 1 && !c.first.IsZero() {
			begun++
		}
	}
	return float64(begun) / float64(max(1, n)), n
}

// Callers of one workspace and route whose deadlines differ: the ones with the shorter deadlines have
// not been refused before and must not be starved.
func TestShortDeadlinesAreNotStarved(t *testing.T) {
	for _, load := range []float64{0.95, 1.3, 2} {
		for _, p := range []policy{present, policies()[1]} {
			x := returning(load)
			x.callerTimeout = func(_ time.Duration, u float64) time.Duration {
				if u < 0.5 {
					return 4 * time.Second
				}
				return 6 * time.Second
			}
			r := newReplay(small, p, x, 1)
			r.run(16 * time.Second)
			short, n := begunFirst(r, warmUp, 16*time.Second, func(c *call) bool { return c.timeout < 5*time.Second })
			long, m := begunFirst(r, warmUp, 16*time.Second, func(c *call) bool { return c.timeout > 5*time.Second })
			t.Logf("%s, load %.2f: begun at the first attempt %.2f of %d with 4 s, %.2f of %d with 6 s", p.name, load, short, n, long, m)
			if p.newFirst {
				assert.Check(t, short >= long/4, "load %.2f: begun at the first attempt %.2f with 4 s, %.2f with 6 s", load, short, long)
			}
		}
	}
}

// One caller in a hundred sends a long deadline. The others have not been refused before.
func TestLongDeadlineDoesNotMakeOthersLate(t *testing.T) {
	for _, load := range []float64{0.95, 1.3} {
		x := returning(load)
		x.callerTimeout = func(_ time.Duration, u float64) time.Duration {
			if u < 0.01 {
				return 60 * time.Second
			}
			return 5*time.Second + time.Duration(u*float64(time.Second))
		}
		usual := returning(load)
		r, s := newReplay(small, present, x, 1), newReplay(small, present, usual, 1)
		r.run(16 * time.Second)
		s.run(16 * time.Second)
		o, best := r.outcome(warmUp, 16*time.Second), s.outcome(warmUp, 16*time.Second)
		first, _ := begunFirst(r, warmUp, 16*time.Second, func(*call) bool { return true })
		usualFirst, _ := begunFirst(s, warmUp, 16*time.Second, func(*call) bool { return true })
		t.Logf("load %.2f: %v begun first %.2f; without the long ones %v begun first %.2f", load, &o, first, &best, usualFirst)
		assert.Check(t, o.inAimRate() >= minGoodput*best.inAimRate(), "load %.2f: in aim %.0f a second, without long deadlines %.0f", load, o.inAimRate(), best.inAimRate())
		assert.Check(t, first >= minGoodput*usualFirst, "load %.2f: begun at the first attempt %.2f, without long deadlines %.2f", load, first, usualFirst)
	}
}

// From 8 s on all callers wait for less time, as after a change of their configuration.
func TestCallersThatBecomeLessPatient(t *testing.T) {
	for _, load := range []float64{0.95, 1.3} {
		x := returning(load)
		x.callerTimeout = func(e time.Duration, u float64) time.Duration {
			d := 5*time.Second + time.Duration(u*float64(time.Second))
			if e > 8*time.Second {
				d /= 2
			}
			return d
		}
		r, s := newReplay(small, present, x, 1), newReplay(small, present, returning(load), 1)
		r.run(16 * time.Second)
		s.run(16 * time.Second)
		o, best := r.outcome(warmUp, 16*time.Second), s.outcome(warmUp, 16*time.Second)
		first, _ := begunFirst(r, warmUp, 16*time.Second, func(*call) bool { return true })
		usualFirst, _ := begunFirst(s, warmUp, 16*time.Second, func(*call) bool { return true })
		t.Logf("load %.2f: %v begun first %.2f; unchanged %v begun first %.2f", load, &o, first, &best, usualFirst)
		assert.Check(t, first >= minGoodput*usualFirst, "load %.2f: begun at the first attempt %.2f, unchanged %.2f", load, first, usualFirst)
	}
}
