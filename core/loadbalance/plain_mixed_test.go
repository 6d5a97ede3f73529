package loadbalance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"amaranthturn/core/admit"
	"amaranthturn/core/fleet"
	"amaranthturn/core/loadbalance"
)

// plainRoute is one of the routes to a service of plain targets.
type plainRoute struct {
	work, objective time.Duration
	asked, served   int
}

// mixedCall is a request of a route that waits or runs.
type mixedCall struct {
	admit.Request
	route  *plainRoute
	sent   time.Time
	doneAt time.Time
	target fleet.InstanceID
}

// mixedEntry is the only entry before plain targets, with several routes to them.
type mixedEntry struct {
	*soloEntry
	queue   *admit.Queue
	waiting map[admit.RequestID]*mixedCall
	running []*mixedCall
}

func (e *mixedEntry) offer(r *plainRoute, n int) {
	r.asked++
	c := &mixedCall{route: r}
	c.ID, c.Cost, c.Deadline = admit.RequestID(n), 1, e.now.Add(loadbalance.MaxWait(r.objective, e.balancer.ExpectedDuration()))
	switch e.queue.Offer(c.Request, e.now).Verdict {
	case admit.Admitted:
		e.send(c)
	case admit.Queued:
		e.waiting[c.ID] = c
	}
}

func (e *mixedEntry) send(c *mixedCall) {
	c.target, _ = e.balancer.Choose(loadbalance.Query{AllowFull: true}, e.now)
	c.sent, c.doneAt = e.now, e.now.Add(c.route.work)
	e.balancer.RecordStart(c.target, 0, e.now)
	e.running = append(e.running, c)
}

func (e *mixedEntry) admit(admitted, _ []admit.Request) {
	for _, r := range admitted {
		e.send(e.waiting[r.ID])
	}
}

// step ends what is done and admits what waits.
func (e *mixedEntry) step() {
	list := e.running
	e.running = nil
	for _, c := range list {
		if c.doneAt.After(e.now) {
			e.running = append(e.running, c)
			continue
		}
		c.route.served++
		e.balancer.RecordDuration(e.now.Sub(c.sent), e.now)
		e.balancer.RecordEnd(c.target, 0, loadbalance.ResultDone, e.now)
		e.admit(e.queue.Release(c.Request, 1, e.now))
	}
	e.admit(e.queue.Tick(e.now))
}

// playMixed plays two routes, each with half of the requests, at 1.3 times what the targets can do.
func playMixed() (fast, slow *plainRoute) {
	fast = &plainRoute{work: 20 * time.Millisecond, objective: 500 * time.Millisecond}
	slow = &plainRoute{work: 2 * time.Second, objective: 9 * time.Second}
	e := &mixedEntry{soloEntry: newSoloEntry(1, 3, 6, 1), waiting: map[admit.RequestID]*mixedCall{}}
	e.queue = admit.NewQueue(e.limit, func(fleet.Workspace) admit.Limits { return admit.Limits{Weight: 1, MaxQueued: 64} })
	random := rand.New(rand.NewPCG(1, 9))
	const step, load = 5 * time.Millisecond, 1.3
	perStep := load * 18 / (fast.work + slow.work).Seconds() * 2 * step.Seconds()
	for n := range 60 * 200 {
		e.now = e.now.Add(step)
		e.step()
		if random.Float64() >= perStep {
			continue
		}
		r := fast
		if random.IntN(2) == 0 {
			r = slow
		}
		e.offer(r, n)
	}
	return fast, slow
}

// A route with a short objective was refused while requests that may wait longer were queued.
func TestFastRouteBesideSlowOneIsServed(t *testing.T) {
	const minShare = 0.25 // of the share of all requests
	fast, slow := playMixed()
	share := float64(fast.served) / float64(fast.asked)
	if all := float64(fast.served+slow.served) / float64(fast.asked+slow.asked); share < minShare*all {
		t.Errorf("%.2f of the fast route's requests served, %.2f of all", share, all)
	}
}
