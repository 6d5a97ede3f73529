package retry

import "time"

// maxBudgets limits the budgets that are kept.
const maxBudgets = 1024

// BudgetsSettings are the limits that hold for each key over all processes. In any Window,
// retries may be Share of the requests plus Allowance.
type BudgetsSettings struct {
	Share     float64
	Allowance float64
	Window    time.Duration
}

// Budgets holds a Budget for each key, for example a service. Each process uses the share of
// its own requests and its part of the allowance, so that processes need no coordination.
//
// A budget gains its part of the allowance evenly over a window and holds at most one part: a
// process or a key that is new has no more than it would have gained meanwhile. A budget
// that was unused for a window is full, hence dropping it changes nothing.
//
// It is not safe for concurrent use.
type Budgets[K comparable] struct {
	settings  BudgetsSettings
	parts     int
	startedAt time.Time
	budgets   map[K]*refilledBudget
}

type refilledBudget struct {
	Budget
	refilledAt time.Time
}

// NewBudgets returns budgets of a process that starts now, for a number of processes that
// divide the allowance.
func NewBudgets[K comparable](settings BudgetsSettings, parts int, now time.Time) *Budgets[K] {
	return &Budgets[K]{settings: settings, parts: max(1, parts), startedAt: now, budgets: map[K]*refilledBudget{}}
}

// SetParts sets the number of processes that divide the allowance.
func (b *Budgets[K]) SetParts(parts int, now time.Time) {
	parts = max(1, parts)
	if parts == b.parts {
		return
	}
	for _, x := range b.budgets {
		x.refill(b.gain(now.Sub(x.refilledAt)), now)
	}
	b.parts = parts
	for _, x := range b.budgets {
		x.SetBurst(b.burst())
	}
}

// RecordRequest records a first attempt of the key.
func (b *Budgets[K]) RecordRequest(key K, now time.Time) {
	if x := b.budget(key, now); x != nil {
		x.RecordRequest()
	}
}

// Allow takes one retry from the budget of the key and reports whether one was left.
func (b *Budgets[K]) Allow(key K, now time.Time) bool {
	x := b.budget(key, now)
	return x != nil && x.Allow()
}

// Return returns a retry that was taken from the budget of the key and not used.
func (b *Budgets[K]) Return(key K, now time.Time) {
	if x := b.budget(key, now); x != nil {
		x.tokens = min(x.burst, x.tokens+1)
	}
}

// burst is the maximum of each budget. It is at least one retry, the smallest unit.
func (b *Budgets[K]) burst() float64 { return max(1, b.settings.Allowance/float64(b.parts)) }

// gain returns this process's part of the allowance for a time.
func (b *Budgets[K]) gain(d time.Duration) float64 {
	if b.settings.Window <= 0 {
		return 0
	}
	return b.settings.Allowance / float64(b.parts) * max(0, float64(d)/float64(b.settings.Window))
}

// budget returns the budget of a key, or nil if there are too many.
func (b *Budgets[K]) budget(key K, now time.Time) *refilledBudget {
	x, ok := b.budgets[key]
	if ok {
		x.refill(b.gain(now.Sub(x.refilledAt)), now)
		return x
	}
	if len(b.budgets) >= maxBudgets {
		b.dropUnused(now)
	}
	if len(b.budgets) >= maxBudgets {
		return nil
	}
	x = &refilledBudget{Budget: Budget{share: b.settings.Share, burst: b.burst()}}
	x.refill(b.gain(now.Sub(b.startedAt)), now)
	b.budgets[key] = x
	return x
}

// dropUnused drops the budgets that are full because they were unused for a window.
func (b *Budgets[K]) dropUnused(now time.Time) {
	for key, x := range b.budgets {
		if now.Sub(x.refilledAt) >= b.settings.Window {
			delete(b.budgets, key)
		}
	}
}

func (b *refilledBudget) refill(tokens float64, now time.Time) {
	b.tokens = min(b.burst, b.tokens+tokens)
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}
