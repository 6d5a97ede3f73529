package gateway

import (
	"fmt"
	"io"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/app/settings"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
	"amaranthturn/core/gossip"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

const (
	busyService  fleet.Service = "busy"
	smallService fleet.Service = "small"
)

// budgetBounds are the limits on the retries of each service.
var budgetBounds = platform.Bounds{RetryShare: 0.2, RetryExtra: 104, RetryWindow: 10 * time.Second}

// budgetReplay replays requests and retries at several entries of one platform. Each attempt of
// the small service fails while it fails, and its requests ask for as many retries as they get.
type budgetReplay struct {
	t        *testing.T
	metrics  *telemetry.Metrics
	now      time.Time
	gateways []*Gateway
	clocks   []*fakeClock
	starts   []time.Time
	requests []time.Time // of the small service
	retries  []time.Time
	groups   int // of entries that reach only each other
}

func newBudgetReplay(t *testing.T, entries int) *budgetReplay {
	r := &budgetReplay{t: t, groups: 1, now: time.Unix(1_000_000, 0), metrics: telemetry.NewMetrics("entry")}
	t.Cleanup(func() { _ = r.metrics.Close() })
	r.gateways, r.clocks, r.starts = make([]*Gateway, entries), make([]*fakeClock, entries), make([]time.Time, entries)
	for i := range entries {
		r.restart(i)
	}
	return r
}

func replayedEntry(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("entry%d", i)) }

func (r *budgetReplay) restart(i int) {
	c := &fakeClock{r.now}
	cfg := &platform.Settings{Instance: replayedEntry(i), Zone: "z", Region: "r", PeersAddress: "10.0.0.1:1", CallersAddress: "10.0.0.1:2", Seeds: []string{"10.0.0.2:1"}, Bounds: budgetBounds}
	l := telemetry.NewLogs(io.Discard, settings.Log{}, string(cfg.Instance))
	r.gateways[i], r.clocks[i], r.starts[i] = New(cfg, c, l, r.metrics, nil, nil, nil, uint64(i+1)), c, r.now
}

// exchange makes known to each entry the share of the others that gossip has reached: two more
// in each half second that both run.
func (r *budgetReplay) exchange() {
	for i, g := range r.gateways {
		if r.now.Equal(r.starts[i]) {
			continue
		}
		reach := math.Pow(2, 2*r.now.Sub(r.starts[i]).Seconds())
		var records []gossip.Record
		var peers []*Gateway
		for j := range r.gateways {
			if j != i && j%r.groups == i%r.groups && float64(len(records)) < reach {
				records = append(records, gossip.Record{Instance: replayedEntry(j), Sequence: uint64(r.now.UnixNano())})
				peers = append(peers, r.gateways[j])
			}
		}
		if len(records) == 0 {
			continue
		}
		sender := peers[int(r.now.UnixMilli()/500)%len(peers)]
		sender.mu.Lock()
		maxEntries := sender.entryUpdate(r.now).MaxEntries
		sender.mu.Unlock()
		g.mu.Lock()
		g.mergeEntryUpdate(peer.ExchangeMessage{Records: records, MaxEntries: maxEntries}, r.now, r.now)
		g.mu.Unlock()
	}
}

// step replays a tick with a number of requests for each service.
func (r *budgetReplay) step(tick time.Duration, busyPerSecond, smallPerSecond float64, failing bool) {
	r.now = r.now.Add(tick)
	for _, c := range r.clocks {
		c.t = r.now
	}
	if r.now.UnixMilli()%500 == 0 {
		r.exchange()
	}
	at := r.now.Sub(time.Unix(0, 0))
	count := func(perSecond float64) int {
		period := time.Duration(float64(time.Second) / perSecond)
		return int(at/period - (at-tick)/period)
	}
	for k := range count(busyPerSecond) {
		r.request(busyService, k)
	}
	for k := range count(smallPerSecond) {
		r.request(smallService, k)
		r.requests = append(r.requests, r.now)
	}
	if !failing {
		return
	}
	for _, g := range r.gateways {
		h := &requestHandler{g: g, serviceName: smallService}
		for allowed(h) {
			r.retries = append(r.retries, r.now)
		}
	}
}

func (r *budgetReplay) request(s fleet.Service, k int) {
	g := r.gateways[int(r.now.UnixMilli()/10+int64(k)*7)%len(r.gateways)]
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budgets.RecordRequest(s, r.now)
}

func allowed(h *requestHandler) bool {
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	state := dispatch.NewRequest(dispatch.Settings{MaxAttempts: 3, MaxRefusals: 3}, h.g.now().Add(time.Minute))
	state.StartAttempt("a")
	return state.Failed(dispatch.Failure{Kind: dispatch.KindLost}, h.allowRetry, 0, h.g.now()).Retry
}

// check checks each window that ends at a retry. The requests are those of the window, of the one
// before it or of the one half a window before it, whichever has most.
func (r *budgetReplay) check() {
	r.t.Helper()
	count := func(at []time.Time, end time.Time) int {
		n := 0
		for _, t := range at {
			if !t.After(end) && end.Sub(t) < budgetBounds.RetryWindow {
				n++
			}
		}
		return n
	}
	worst, worstRetries, worstRequests := math.Inf(-1), 0, 0
	for i, end := range r.retries {
		if i+1 < len(r.retries) && r.retries[i+1].Equal(end) {
			continue
		}
		requests := max(count(r.requests, end), count(r.requests, end.Add(-budgetBounds.RetryWindow/2)), count(r.requests, end.Add(-budgetBounds.RetryWindow)))
		retries := count(r.retries, end)
		if over := float64(retries) - budgetBounds.RetryShare*float64(requests) - budgetBounds.RetryExtra; over > worst {
			worst, worstRetries, worstRequests = over, retries, requests
		}
	}
	r.t.Logf("worst window: %d retries for %d requests", worstRetries, worstRequests)
	assert.Assert(r.t, len(r.retries) > 0)
	assert.Assert(r.t, worst <= 0, "%d retries for %d requests of the service", worstRetries, worstRequests)
}

// The requests to a busy service paid for the retries of a small one that was overloaded.
func TestRetriesOfSmallServiceStayWithinItsBudget(t *testing.T) {
	const tick = 10 * time.Millisecond
	for _, entries := range []int{8, 44} {
		for name, restarts := range map[string]func(r *budgetReplay, since time.Duration){
			"no restart": func(*budgetReplay, time.Duration) {},
			"restarts in turn": func(r *budgetReplay, since time.Duration) {
				if since%(200*time.Millisecond) == 0 {
					r.restart(int(since/(200*time.Millisecond)) % len(r.gateways))
				}
			},
			"all restart at once": func(r *budgetReplay, since time.Duration) {
				if since == 5*time.Second {
					for i := range r.gateways {
						r.restart(i)
					}
				}
			},
		} {
			t.Run(fmt.Sprintf("%d entries, %s", entries, name), func(t *testing.T) {
				r := newBudgetReplay(t, entries)
				for range 30 * time.Second / tick {
					r.step(tick, 150, 30, false)
				}
				for since := time.Duration(0); since < 30*time.Second; since += tick {
					restarts(r, since)
					r.step(tick, 150, 30, true)
				}
				r.check()
			})
		}
	}
}

// Entries that have all restarted and reach no other one took the part of one of eight each.
func TestRestartedEntriesThatAreCutOffStayWithinTheBudget(t *testing.T) {
	const tick = 10 * time.Millisecond
	r := newBudgetReplay(t, 44)
	for range 30 * time.Second / tick {
		r.step(tick, 150, 30, false)
	}
	for i := range r.gateways {
		r.restart(i)
	}
	r.groups = len(r.gateways)
	for range 30 * time.Second / tick {
		r.step(tick, 150, 30, true)
		for _, g := range r.gateways {
			g.tick()
		}
	}
	r.check()
}

// Entries that restart in a partition divide the allowance by those that they reach.
func TestEntriesRestartedInAPartitionStayWithinTheBudget(t *testing.T) {
	const tick = 10 * time.Millisecond
	r := newBudgetReplay(t, 44)
	for range 30 * time.Second / tick {
		r.step(tick, 150, 30, false)
	}
	r.groups = 3
	for i := range 26 {
		r.restart(i)
	}
	for range 10 * time.Second / tick {
		r.step(tick, 150, 30, false)
	}
	for range 20 * time.Second / tick {
		r.step(tick, 150, 30, true)
	}
	r.check()
}
