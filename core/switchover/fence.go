package switchover

import (
	"slices"
	"time"
)

// Fence issues fencing numbers for engine commands. They increase across restarts
// of the agent although nothing is stored: each incarnation starts above the highest
// number that the engine has seen and above the current time.
type Fence struct {
	last uint64
}

// fenceSequenceBits is the number of low bits that count the commands sent within one
// millisecond.
const fenceSequenceBits = 10

// NewFence returns a fence that starts above highestSeen, the highest number that the
// engine reports to have seen.
func NewFence(highestSeen uint64, now time.Time) *Fence {
	return &Fence{last: max(highestSeen, uint64(now.UnixMilli())<<fenceSequenceBits)}
}

// Next returns the number of the next command.
func (f *Fence) Next() uint64 {
	f.last++
	return f.last
}

// Raise makes later numbers exceed seen, the highest number that an engine reported in a
// refusal.
func (f *Fence) Raise(seen uint64) { f.last = max(f.last, seen) }

// Takeover protects engines that ignore fencing numbers from commands of an earlier
// incarnation of the agent. Commands carry an expiry. A new incarnation polls the state
// of the engine until it has not changed for the lifetime of a command: by then every
// command of an earlier incarnation has taken effect or expired. The first and the last
// poll correspond to the two passes of the recovery scan in the JBoss Transactions guide,
// chapter 2.4. BenchmarkStaleCommands measures the share of late commands that undo the
// work of the new incarnation, with and without this guard.
type Takeover struct {
	commandTTL time.Duration
	first      Engine
	firstAt    time.Time
	hasFirst   bool
	done       bool
}

// NewTakeover returns a guard. An engine that refuses stale fencing numbers needs no wait.
func NewTakeover(commandTTL time.Duration, refusesStale bool) *Takeover {
	return &Takeover{commandTTL: commandTTL, done: refusesStale}
}

// Observe records the state of the engine and reports whether commands may be sent.
func (t *Takeover) Observe(e Engine, now time.Time) bool {
	if t.done {
		return true
	}
	if !t.hasFirst || !sameEngine(t.first, e) {
		t.first, t.firstAt, t.hasFirst = e, now, true
		return false
	}
	t.done = now.Sub(t.firstAt) >= t.commandTTL
	return t.done
}

// Reset restarts the passes after a pause of the process.
func (t *Takeover) Reset(refusesStale bool) {
	t.hasFirst = false
	t.done = refusesStale
}

// Done reports whether commands may be sent.
func (t *Takeover) Done() bool { return t.done }

func sameEngine(a, b Engine) bool {
	return a.Up == b.Up && a.Serving == b.Serving && slices.Equal(a.Loaded, b.Loaded)
}
