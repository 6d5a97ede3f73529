package loadbalance_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthturn/core/admit"
	"amaranthturn/core/fleet"
	"amaranthturn/core/loadbalance"
)

// A replay runs the admission and the selection of several entries that share engines, with
// a clock of its own. The engines process requests in batches, in passes.

// Properties of the replayed engines.
const (
	engineSlots   = 16
	engineQueue   = 32
	engineStep    = 9270 * time.Microsecond // a token of all requests that write
	stepPerWriter = 55 * time.Microsecond
	engineStride  = 5 // steps of a pass with writers; an event holds their tokens
	engineChunk   = 2048
	tokensPerMs   = 20.7
)

// Properties of the replayed system.
const (
	networkDelay  = 2 * time.Millisecond
	pollInterval  = 100 * time.Millisecond // of an agent
	tickInterval  = 20 * time.Millisecond
	workspaces    = 10
	minTimeout    = 5 * time.Second // of callers
	timeoutSpread = time.Second
	// engineCapacity is the rate, in requests a second, at which an engine finishes requests
	// that are always available.
	engineCapacity = 136.0 / 14
)

// size is the size of the replayed system, by zone.
type size struct{ engines, entries []int }

var (
	small = size{engines: []int{5, 5, 4}, entries: []int{3, 2, 2}}
	grown = size{engines: []int{18, 18, 18, 17, 17}, entries: []int{9, 9, 9, 9, 8}}
)

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

func (s size) capacity() float64 { return engineCapacity * float64(sum(s.engines)) }

func (s size) allEntries() int {
	n := 0
	for _, entries := range s.entries {
		n += entries
	}
	return n
}

// reportPeriod returns the interval of the reports of an engine in a zone to an entry, which is
// that of app/gateway, rounded up to the agent's next poll in the same zone. Entries of other zones
// learn of them from an entry of the engine's zone.
func (s size) reportPeriod(engineZone, entryZone int) time.Duration {
	if engineZone == entryZone {
		period := max(150*time.Millisecond, time.Duration(s.entries[entryZone])*40*time.Millisecond)
		return (period + pollInterval - 1) / pollInterval * pollInterval
	}
	return max(500*time.Millisecond, time.Duration(sum(s.entries))*20*time.Millisecond)
}

// kind is a kind of request, with log-normal sizes.
type kind struct {
	share           float64 // of all requests
	promptTokens    float64
	promptSpread    float64
	maxPromptTokens float64
	events          float64
	objective       time.Duration
}

const maxEvents = 50.7

var kinds = []kind{
	{share: 0.41, promptTokens: 1330, promptSpread: 1, maxPromptTokens: 3880, events: 20.3, objective: 500 * time.Millisecond},
	{share: 0.31, promptTokens: 827, promptSpread: 1, maxPromptTokens: 3330, events: 20.3, objective: 400 * time.Millisecond},
	{share: 0.28, promptTokens: 647, promptSpread: 0.96, maxPromptTokens: 2640, events: 13.9, objective: 400 * time.Millisecond},
}

// policy is one way to admit and distribute requests.
type policy struct {
	name     string
	settings loadbalance.Settings
	// limit returns the limit of an entry's requests in flight.
	limit func(b *loadbalance.Balancer, now func() time.Time) admit.Limiter
	// waitShare is the share of the objective for which a request may wait at its entry.
	waitShare float64
	// newFirst reports whether entries recognize returning callers.
	newFirst bool
}

// traffic is a load pattern.
type traffic struct {
	// load is the rate of new requests, as a multiple of the capacity of all engines.
	load func(elapsed time.Duration) float64
	// returns reports whether refused callers come back once, after a delay from retryMin on
	// of up to retrySpread more.
	returns               bool
	retryMin, retrySpread time.Duration
	// lost is the number of engines that crash at crashAt and are back, empty, at backAt.
	lost            int
	crashAt, backAt time.Duration
	// callerTimeout replaces the timeouts of callers.
	callerTimeout func(elapsed time.Duration, u float64) time.Duration
}

// call is one caller's request with all its attempts.
type call struct {
	admit.Request
	kind      kind
	zone      int
	entry     *replayEntry
	target    int
	prompt    int
	events    int
	attempts  int
	refusals  int
	asked     time.Time // first attempt
	timeout   time.Duration
	offered   time.Time // last attempt
	sent      time.Time
	first     time.Time // first event
	unread    int
	unwritten int
}

type replayEngine struct {
	id       fleet.InstanceID
	zone     int
	running  []*call
	waiting  []*call
	inPass   bool
	down     bool
	starts   fleet.Incarnation
	reported int // requests at the agent's last poll
}

type replayEntry struct {
	zone     int
	position int // among the entries of its zone
	balancer *loadbalance.Balancer
	queue    *admit.Queue
	patience admit.Patience
	waiting  map[admit.RequestID]*call
	reports  map[*replayEngine]report // the last ones
	peaks    map[*replayEngine]*loadbalance.Peak
}

func (e *replayEntry) record(g *replayEngine, requests int, now time.Time) {
	e.reports[g] = report{requests, now}
	if e.peaks[g] == nil {
		e.peaks[g] = &loadbalance.Peak{}
	}
	e.peaks[g].Record(requests, now)
}

// report is how many requests were at an engine, and when the entry learned it.
type report struct {
	requests int
	at       time.Time
}

// timedAction is an action of the replay at a time. Simultaneous actions keep their order.
type timedAction struct {
	at    time.Time
	order int
	do    func()
}

type actionHeap []timedAction

func (h actionHeap) Len() int { return len(h) }
func (h actionHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h actionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *actionHeap) Push(x any)   { *h = append(*h, x.(timedAction)) }
func (h *actionHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

type replay struct {
	size    size
	traffic traffic
	policy  policy
	random  *rand.Rand
	now     time.Time
	end     time.Time
	actions actionHeap
	order   int
	lastID  admit.RequestID
	engines []*replayEngine
	entries []*replayEntry
	calls   []*call
	// freeTime is the time for which a slot of an engine was free, summed over the slots.
	freeTime time.Duration
}

func newReplay(s size, p policy, t traffic, seed uint64) *replay {
	r := &replay{size: s, traffic: t, policy: p, random: rand.New(rand.NewPCG(seed, 7)), now: t0}
	for zone, n := range s.engines {
		for range n {
			r.engines = append(r.engines, &replayEngine{id: id(len(r.engines)), zone: zone})
		}
	}
	for zone, n := range s.entries {
		for i := range n {
			b := loadbalance.NewBalancer(p.settings, rand.New(rand.NewPCG(seed, uint64(len(r.entries)))))
			q := admit.NewQueue(p.limit(b, func() time.Time { return r.now }), func(fleet.Workspace) admit.Limits {
				return admit.Limits{Weight: 1, MaxQueued: 64}
			})
			e := &replayEntry{zone: zone, position: i, balancer: b, queue: q, waiting: map[admit.RequestID]*call{}, reports: map[*replayEngine]report{}, peaks: map[*replayEngine]*loadbalance.Peak{}}
			b.SetEntries(s.allEntries())
			b.SetTargets(r.targets(e))
			r.entries = append(r.entries, e)
		}
	}
	return r
}

// targets returns the targets that an entry knows.
func (r *replay) targets(e *replayEntry) []loadbalance.Target {
	var out []loadbalance.Target
	index := 0
	for _, g := range r.engines {
		t := loadbalance.Target{ID: g.id, Incarnation: g.starts, Slots: engineSlots, SameZone: g.zone == e.zone,
			Engine: loadbalance.Engine{ReportsLoad: true, ReportInterval: r.size.reportPeriod(g.zone, e.zone), Closed: g.down}}
		if t.SameZone {
			t.Home = loadbalance.IsHome(e.position, r.size.entries[e.zone], index, r.size.engines[e.zone])
			index++
		}
		out = append(out, t)
	}
	return out
}

func (r *replay) elapsed() time.Duration { return r.now.Sub(t0) }

func (r *replay) after(d time.Duration, do func()) {
	r.order++
	heap.Push(&r.actions, timedAction{r.now.Add(d), r.order, do})
}

// every repeats an action from a random phase on, until the traffic has ended.
func (r *replay) every(period time.Duration, do func()) {
	var repeat func()
	repeat = func() {
		do()
		if r.now.Before(r.end) {
			r.after(period, repeat)
		}
	}
	r.after(r.randomTime(period), repeat)
}

// crash ends the first engines of each zone, and the requests on them fail.
func (r *replay) crash() {
	for i := range r.traffic.lost {
		g := r.engines[i*len(r.engines)/r.traffic.lost]
		g.down = true
		for _, c := range append(g.running, g.waiting...) {
			r.after(networkDelay, func() { r.ended(c, loadbalance.ResultFailed, c.unread) })
		}
		g.running, g.waiting, g.reported = nil, nil, 0
	}
	for _, e := range r.entries {
		r.after(r.randomTime(pollInterval), func() { e.balancer.SetTargets(r.targets(e)) })
	}
}

func (r *replay) restart() {
	for _, g := range r.engines {
		if g.down {
			g.down, g.inPass = false, false
			g.starts++
		}
	}
	for _, e := range r.entries {
		r.after(r.randomTime(pollInterval), func() {
			e.balancer.SetTargets(r.targets(e))
			r.notify(e.queue.Tick(r.now))(e)
		})
	}
}

func (r *replay) randomTime(limit time.Duration) time.Duration {
	return time.Duration(r.random.Float64() * float64(limit))
}

func (r *replay) logNormal(mean, spread, limit float64) int {
	variance := math.Log(1 + spread*spread)
	return int(math.Max(1, math.Min(limit, math.Exp(math.Log(mean)-variance/2+math.Sqrt(variance)*r.random.NormFloat64()))))
}

// relay returns the entry of a zone that reports its engines' load to the i-th entry, or nil if the
// zone has none.
func (r *replay) relay(zone, i int) *replayEntry {
	var candidates []*replayEntry
	for _, e := range r.entries {
		if e.zone == zone {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[i%len(candidates)]
}

// run replays traffic for a time, and then until all requests have ended.
func (r *replay) run(d time.Duration) {
	r.end = r.now.Add(d)
	r.scheduleArrival()
	for _, g := range r.engines {
		r.every(pollInterval, func() { g.reported = len(g.running) + len(g.waiting) })
		for i, e := range r.entries {
			relay := r.relay(g.zone, i)
			r.every(r.size.reportPeriod(g.zone, e.zone), func() {
				last := report{g.reported, r.now}
				if g.zone != e.zone && relay != nil {
					last = relay.reports[g]
					if last.at.IsZero() {
						return // the relay knows nothing yet
					}
					last.requests = relay.peaks[g].Value()
				}
				age := r.now.Sub(last.at)
				r.after(networkDelay, func() {
					e.record(g, last.requests, r.now)
					e.balancer.RecordReport(g.id, last.requests, age, r.now)
					r.notify(e.queue.Tick(r.now))(e)
				})
			})
		}
	}
	for _, e := range r.entries {
		r.every(tickInterval, func() { r.notify(e.queue.Tick(r.now))(e) })
	}
	if r.traffic.lost > 0 {
		r.after(r.traffic.crashAt, r.crash)
		r.after(r.traffic.backAt, r.restart)
	}
	for len(r.actions) > 0 {
		a := heap.Pop(&r.actions).(timedAction)
		r.now = a.at
		a.do()
	}
}

// scheduleArrival schedules the next arrival of a Poisson process whose rate follows the load.
func (r *replay) scheduleArrival() {
	const maxLoad = 4
	r.after(time.Duration(r.random.ExpFloat64()/(r.size.capacity()*maxLoad)*float64(time.Second)), func() {
		if r.now.After(r.end) {
			return
		}
		r.scheduleArrival()
		if r.random.Float64()*maxLoad < r.traffic.load(r.elapsed()) {
			r.arrive()
		}
	})
}

func (r *replay) arrive() {
	u, i := r.random.Float64(), 0
	for ; i < len(kinds)-1 && u > kinds[i].share; i++ {
		u -= kinds[i].share
	}
	k := kinds[i]
	c := &call{
		kind: k, zone: r.random.IntN(len(r.size.entries)), asked: r.now, timeout: minTimeout + r.randomTime(timeoutSpread),
		prompt: r.logNormal(k.promptTokens, k.promptSpread, k.maxPromptTokens), events: r.logNormal(k.events, 0.8, maxEvents),
	}
	if r.traffic.callerTimeout != nil {
		c.timeout = r.traffic.callerTimeout(r.elapsed(), r.random.Float64())
	}
	c.Workspace = fleet.Workspace(fmt.Sprintf("w%d", int(workspaces*r.random.Float64()*r.random.Float64())))
	c.Cost = float64(c.prompt + 50*c.events)
	r.calls = append(r.calls, c)
	r.offer(c)
}

// offer sends a request to a random entry of its caller's zone.
func (r *replay) offer(c *call) {
	var entries []*replayEntry
	for _, e := range r.entries {
		if e.zone == c.zone {
			entries = append(entries, e)
		}
	}
	r.lastID++
	c.entry, c.ID, c.offered = entries[r.random.IntN(len(entries))], r.lastID, r.now
	c.attempts++
	c.Deadline = r.now.Add(time.Duration(r.policy.waitShare * float64(c.kind.objective)))
	if r.policy.newFirst {
		group := admit.CallerGroup{Workspace: c.Workspace}
		c.Late = c.entry.patience.HasReturned(group, c.timeout-r.now.Sub(c.asked), r.now)
	}
	c.entry.waiting[c.ID] = c
	switch c.entry.queue.Offer(c.Request, r.now).Verdict {
	case admit.Admitted:
		r.send(c)
	case admit.Refused:
		r.refuse(c)
	}
}

func (r *replay) refuse(c *call) {
	c.entry.patience.RecordRefusal("", r.now)
	delete(c.entry.waiting, c.ID)
	c.refusals++
	if r.traffic.returns && c.attempts == 1 {
		r.after(r.traffic.retryMin+r.randomTime(r.traffic.retrySpread), func() { r.offer(c) })
	}
}

// notify returns a function that applies the verdicts of an entry's queue.
func (r *replay) notify(admitted, expired []admit.Request) func(*replayEntry) {
	return func(e *replayEntry) {
		for _, a := range admitted {
			r.send(e.waiting[a.ID])
		}
		for _, x := range expired {
			r.refuse(e.waiting[x.ID])
		}
	}
}

func (r *replay) send(c *call) {
	b := c.entry.balancer
	delete(c.entry.waiting, c.ID)
	target, ok := b.Choose(loadbalance.Query{}, r.now)
	if !ok {
		target, ok = b.Choose(loadbalance.Query{AllowFull: true}, r.now)
	}
	c.target = slices.IndexFunc(r.engines, func(g *replayEngine) bool { return g.id == target })
	b.RecordStart(target, c.prompt, r.now)
	c.sent = r.now
	r.after(networkDelay, func() {
		if !ok || r.engines[c.target].down || len(r.engines[c.target].waiting) >= engineQueue {
			r.after(networkDelay, func() {
				r.ended(c, loadbalance.ResultFull, c.prompt)
				r.refuse(c)
			})
			return
		}
		g := r.engines[c.target]
		c.unread, c.unwritten = c.prompt, c.events
		g.waiting = append(g.waiting, c)
		if !g.inPass {
			r.pass(g)
		}
	})
}

func (r *replay) ended(c *call, result loadbalance.Result, unread int) {
	if c.target >= 0 {
		c.entry.balancer.RecordEnd(r.engines[c.target].id, unread, result, r.now)
	}
	r.notify(c.entry.queue.Release(c.Request, c.Cost, r.now))(c.entry)
}

// pass runs one pass of an engine: reading, and some tokens of all requests that write.
func (r *replay) pass(g *replayEngine) {
	for len(g.running) < engineSlots && len(g.waiting) > 0 {
		g.running, g.waiting = append(g.running, g.waiting[0]), g.waiting[1:]
	}
	g.inPass = len(g.running) > 0
	if !g.inPass {
		return
	}
	writers := 0
	for _, c := range g.running {
		if c.unread == 0 {
			writers++
		}
	}
	steps := 1
	var duration time.Duration
	if writers > 0 {
		steps = engineStride
		duration = engineStride * (engineStep + time.Duration(writers)*stepPerWriter)
	}
	readable, read := engineChunk*steps, 0
	for _, c := range g.running {
		n := min(c.unread, readable-read)
		c.unread -= n
		read += n
	}
	duration += time.Duration(float64(read) / tokensPerMs * float64(time.Millisecond))
	if r.now.Before(r.end) {
		r.freeTime += duration * time.Duration(engineSlots-len(g.running))
	}
	r.after(duration, func() { r.endPass(g) })
}

func (r *replay) endPass(g *replayEngine) {
	if g.down {
		return
	}
	for _, c := range g.running {
		if c.unread > 0 {
			continue
		}
		c.unwritten--
		if c.first.IsZero() {
			c.first = r.now.Add(networkDelay)
			r.after(networkDelay, func() { c.entry.balancer.RecordFirstEvent(g.id, c.prompt) })
		}
		if c.unwritten == 0 {
			r.after(networkDelay, func() { r.ended(c, loadbalance.ResultDone, 0) })
		}
	}
	g.running = slices.DeleteFunc(g.running, func(c *call) bool { return c.unread == 0 && c.unwritten <= 0 })
	r.pass(g)
}

// outcome summarizes the requests that were first sent in a span of a replay.
type outcome struct {
	asked, inAim, late, refusedTwice int
	begunFirst                       int // at the first attempt
	seconds                          float64
	waits                            []time.Duration // at the entry
	byZone, byEntry                  []share
	bySize                           [2]share // the largest tenth, all
}

// share counts requests that were answered, in aim or late, of those asked.
type share struct{ asked, answered, inAim int }

func (s share) ratio() float64 { return float64(s.answered) / float64(max(1, s.asked)) }

func (r *replay) outcome(from, to time.Duration) outcome {
	o := outcome{seconds: (to - from).Seconds(), byZone: make([]share, len(r.size.entries)), byEntry: make([]share, len(r.entries))}
	var calls []*call
	for _, c := range r.calls {
		if d := c.asked.Sub(t0); d >= from && d < to {
			calls = append(calls, c)
		}
	}
	slices.SortFunc(calls, func(a, b *call) int { return b.prompt - a.prompt })
	for i, c := range calls {
		o.count(c)
		inAim := c.isInAim()
		for _, s := range []*share{&o.byZone[c.zone], &o.byEntry[slices.Index(r.entries, c.entry)], &o.bySize[1]} {
			s.count(c, inAim)
		}
		if i < len(calls)/10 {
			o.bySize[0].count(c, inAim)
		}
	}
	slices.Sort(o.waits)
	return o
}

func (s *share) count(c *call, inAim bool) {
	s.asked++
	if !c.first.IsZero() {
		s.answered++
	}
	if inAim {
		s.inAim++
	}
}

// callerDelay is the delay of a request and its response between caller and entry.
const callerDelay = 6 * time.Millisecond

func (c *call) isInAim() bool {
	return !c.first.IsZero() && c.first.Sub(c.asked)+callerDelay <= c.kind.objective
}

func (o *outcome) count(c *call) {
	o.asked++
	switch {
	case c.isInAim():
		o.inAim++
	case !c.first.IsZero():
		o.late++
	}
	if c.refusals > 1 {
		o.refusedTwice++
	}
	if !c.first.IsZero() {
		o.waits = append(o.waits, c.sent.Sub(c.offered))
		if c.attempts == 1 {
			o.begunFirst++
		}
	}
}

func (o *outcome) inAimRate() float64 { return float64(o.inAim) / o.seconds }

func (o *outcome) wait(quantile float64) time.Duration {
	if len(o.waits) == 0 {
		return 0
	}
	return o.waits[int(float64(len(o.waits)-1)*quantile)]
}

func (o *outcome) String() string {
	return fmt.Sprintf("a second: asked %.0f, in aim %.0f, late %.0f, refused twice %.0f; waited p50 %v p99 %v",
		float64(o.asked)/o.seconds, o.inAimRate(), float64(o.late)/o.seconds, float64(o.refusedTwice)/o.seconds, o.wait(0.5), o.wait(0.99))
}
