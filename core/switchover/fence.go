package switchover

import (
	"slices"
	"time"
)

// Fence gives out numbers for orders to an engine. They rise across restarts of
// the agent although nothing is stored: a run starts above both what the engine
// last saw and the time.
type Fence struct {
	last uint64
}

// fenceBits leaves room for the orders of one millisecond.
const fenceBits = 10

// NewFence returns a fence that starts above readBack, the highest number the
// engine says it has seen.
func NewFence(readBack uint64, now time.Time) *Fence {
	return &Fence{last: max(readBack, uint64(now.UnixMilli())<<fenceBits)}
}

// Next returns the number of the next order.
func (f *Fence) Next() uint64 {
	f.last++
	return f.last
}

// Raise makes later numbers exceed seen, which a refusing engine named.
func (f *Fence) Raise(seen uint64) { f.last = max(f.last, seen) }

// Takeover guards engines that ignore fencing numbers. Orders carry an expiry,
// and a new run of the agent looks at the engine in passes, with a wait as long
// as the life of an order between them, until two passes agree: an order that an
// earlier run sent has acted or expired by then. The two passes follow the
// recovery scan of the JBoss Transactions guide, chapter 2.4; the measurement is
// BenchmarkStaleOrders.
type Takeover struct {
	life    time.Duration
	first   Engine
	firstAt time.Time
	looked  bool
	done    bool
}

// NewTakeover returns a guard. An engine that refuses old numbers needs no wait.
func NewTakeover(orderLife time.Duration, refusesOld bool) *Takeover {
	return &Takeover{life: orderLife, done: refusesOld}
}

// Look takes the state of the engine and tells whether orders may be given.
func (t *Takeover) Look(e Engine, now time.Time) bool {
	if t.done {
		return true
	}
	if !t.looked || !sameEngine(t.first, e) {
		t.first, t.firstAt, t.looked = e, now, true
		return false
	}
	t.done = now.Sub(t.firstAt) >= t.life
	return t.done
}

// Reset begins the passes anew, after a pause of the process.
func (t *Takeover) Reset(refusesOld bool) {
	t.looked = false
	t.done = refusesOld
}

// Done tells whether orders may be given.
func (t *Takeover) Done() bool { return t.done }

func sameEngine(a, b Engine) bool {
	return a.Up == b.Up && a.Serving == b.Serving && slices.Equal(a.Loaded, b.Loaded)
}
