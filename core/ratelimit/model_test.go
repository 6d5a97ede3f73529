package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	"amaranthturn/core/gossip"
	"amaranthturn/core/notice"
	"amaranthturn/core/ratelimit"
)

const (
	modelService  = fleet.Service("s")
	modelStep     = 10 * time.Millisecond
	modelWindow   = 4 * time.Second // of the platform's rule
	modelStable   = 3 * time.Second // after the limit is first stated, until the rule holds
	modelExchange = 500 * time.Millisecond
	modelSoonest  = 100 * time.Millisecond // between two exchanges of an entry with news
)

// modelEntry is an entry that sends requests to one target.
type modelEntry struct {
	id           fleet.InstanceID
	list         *gossip.List
	ledger       *ratelimit.Ledger
	incarnation  int
	hasExchanged bool
	exchangedAt  time.Time
	hasNews      bool
	isDown       bool
	group        int     // entries of other groups are out of reach
	demand       float64 // requests a second
}

type modelAnswer struct {
	entry       *modelEntry
	incarnation int
	answer      ratelimit.Answer
	at          time.Time
}

// model is a target, whose limit changes, and the entries that send to it. Messages between entries take
// no time, but for those that are lost.
type model struct {
	random  *rand.Rand
	target  notice.Target
	now     time.Time
	entries []*modelEntry
	answers []modelAnswer
	limit   float64 // stated by the target, negative if it states none
	arrived []time.Time
	// disturb, if set, is called in each step.
	disturb func(m *model)
}

func newModel(seed uint64, entries int, demand float64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 7)), target: notice.Target{ID: "t", Incarnation: 1}, now: time.Unix(1_000_000, 0), limit: -1}
	for i := range entries {
		e := &modelEntry{id: fleet.InstanceID(fmt.Sprintf("e%d", i)), demand: demand}
		m.entries = append(m.entries, e)
		m.start(e)
	}
	return m
}

func (m *model) start(e *modelEntry) {
	e.incarnation++
	e.list = gossip.New(gossip.DefaultSettings, gossip.Record{Instance: e.id, Incarnation: fleet.Incarnation(e.incarnation), Address: string(e.id)})
	e.ledger = ratelimit.NewLedger()
	e.hasExchanged, e.isDown, e.hasNews = false, false, true
}

func (m *model) divide(e *modelEntry) {
	position, n := e.list.RankAmongBusy(modelService, "limit/t", m.now)
	if !e.hasExchanged {
		position = -1
	}
	e.ledger.Divide(m.target, position, n, m.now)
}

func (m *model) exchange(e *modelEntry) {
	e.exchangedAt, e.hasNews = m.now, false
	addr, ok := e.list.NextPeer([]string{"e0", "e1", "e2"}, m.random.Float64(), m.now)
	if !ok {
		return
	}
	for _, o := range m.entries {
		if string(o.id) != addr {
			continue
		}
		if o.isDown || o.group != e.group || m.random.Float64() < 0.02 {
			return
		}
		m.deliver(e, o)
		m.deliver(o, e)
	}
}

func (m *model) deliver(from, to *modelEntry) {
	to.list.Merge(from.list.Records(m.now), m.now)
	to.hasExchanged = true
	if len(to.ledger.Merge(from.ledger.Limits(), m.now)) > 0 {
		to.hasNews = true
	}
	m.divide(to)
}

func (m *model) send(e *modelEntry) {
	if _, limited := e.ledger.Available(m.target.ID, m.target.Incarnation, m.now); limited && !e.ledger.Take(m.target, m.now) {
		return
	}
	m.arrived = append(m.arrived, m.now)
	m.answers = append(m.answers, modelAnswer{e, e.incarnation, ratelimit.Answer{
		Target: m.target, IsStated: m.limit >= 0, Rate: ratelimit.Rate(m.limit), SentAt: m.now,
	}, m.now.Add(20*time.Millisecond + time.Duration(m.random.Float64()*float64(200*time.Millisecond)))})
}

func (m *model) step() {
	m.now = m.now.Add(modelStep)
	if m.disturb != nil {
		m.disturb(m)
	}
	var waiting []modelAnswer
	for _, a := range m.answers {
		switch {
		case a.at.After(m.now):
			waiting = append(waiting, a)
		case !a.entry.isDown && a.incarnation == a.entry.incarnation:
			if _, changed := a.entry.ledger.RecordAnswer(a.answer, m.now); changed {
				a.entry.hasNews = true
				m.divide(a.entry)
			}
		}
	}
	m.answers = waiting
	for _, e := range m.entries {
		if e.isDown {
			continue
		}
		if d := m.now.Sub(e.exchangedAt); d >= modelExchange || e.hasNews && d >= modelSoonest {
			m.exchange(e)
			m.divide(e)
		}
		if m.random.Float64() < e.demand*modelStep.Seconds() {
			m.send(e)
		}
	}
}

func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.step()
	}
}

// count returns how many requests arrived in a time.
func (m *model) count(from, to time.Time) int {
	before := func(at, t time.Time) int { return at.Compare(t) }
	i, _ := slices.BinarySearchFunc(m.arrived, from, before)
	j, _ := slices.BinarySearchFunc(m.arrived, to, before)
	return j - i
}

// most returns the most requests in any window between two times.
func (m *model) most(from, to time.Time) int {
	most := 0
	for _, at := range m.arrived {
		if !at.Before(from) && !at.Add(modelWindow).After(to) {
			most = max(most, m.count(at, at.Add(modelWindow)))
		}
	}
	return most
}

// allowed is the most requests in a window by the platform's rule.
func allowed(limit float64) int { return int(1.5*limit*modelWindow.Seconds()) + 5 }

func (m *model) limited() int {
	n := 0
	for _, e := range m.entries {
		if _, limited := e.ledger.Available(m.target.ID, m.target.Incarnation, m.now); limited {
			n++
		}
	}
	return n
}

const (
	modelBefore = 8 * time.Second
	modelFor    = 30 * time.Second
	modelEnd    = 3 * time.Second // until the target is used in full again
)

// Each entry gets two or eight requests a second that the target could serve.
func TestLimitIsHeldAndUsed(t *testing.T) {
	for _, entries := range []int{4, 8, 12, 44} {
		for _, limit := range []float64{0.5, 1.6, 5, 20} {
			for _, demand := range []float64{2, 8} {
				if demand*float64(entries) < 1.5*limit {
					continue
				}
				for seed := range uint64(max(1, 3-entries/12)) {
					name := fmt.Sprintf("%d entries, %v/s, demand %v, seed %d", entries, limit, demand, seed)
					m := newModel(seed, entries, demand)
					m.run(modelBefore)
					m.limit = limit
					from := m.now
					m.run(modelFor)
					assert.Check(t, m.most(from.Add(modelStable), m.now) <= allowed(limit), "%s: %d requests in %v", name, m.most(from.Add(modelStable), m.now), modelWindow)
					used := float64(m.count(from.Add(modelStable), m.now)) / (modelFor - modelStable).Seconds()
					assert.Check(t, used >= 0.8*limit && used <= 1.1*limit, "%s: %.2f requests a second", name, used)
					m.limit = -1
					m.run(modelEnd)
					assert.Check(t, m.limited() == 0, "%s: %d entries hold a limit that has ended %v ago", name, m.limited(), modelEnd)
				}
			}
		}
	}
}

// A limit changes several times. The rule of each value holds a stable period after it.
func TestLimitThatChanges(t *testing.T) {
	for _, entries := range []int{4, 12, 44} {
		m := newModel(1, entries, 4)
		m.run(modelBefore)
		for _, limit := range []float64{8, 1.6, 0, 0.5, 3, 20, 1} {
			m.limit = limit
			from := m.now.Add(modelStable)
			m.run(20 * time.Second)
			assert.Check(t, m.most(from, m.now) <= allowed(limit), "%d entries, %v/s: %d requests in %v", entries, limit, m.most(from, m.now), modelWindow)
			if limit > 0 && limit < 4*float64(entries) {
				used := float64(m.count(from, m.now)) / m.now.Sub(from).Seconds()
				assert.Check(t, used >= 0.8*limit, "%d entries, %v/s: %.2f requests a second", entries, limit, used)
			}
		}
	}
}

// Entries are killed and start again one after the other. What an entry sends before its first exchange
// counts here, although the rule excuses a restart.
func TestLimitWhileEntriesRestartInTurn(t *testing.T) {
	for _, entries := range []int{4, 12, 44} {
		for _, limit := range []float64{1.6, 20} {
			m := newModel(2, entries, 8)
			m.run(modelBefore)
			m.limit = limit
			from := m.now.Add(modelStable)
			next, i := m.now, 0
			m.disturb = func(m *model) {
				if m.now.Before(next) {
					return
				}
				next = m.now.Add(1500 * time.Millisecond)
				for _, e := range m.entries {
					if e.isDown {
						m.start(e)
					}
				}
				m.entries[i%entries].isDown = true
				i++
			}
			m.run(modelFor)
			assert.Check(t, m.most(from, m.now) <= allowed(limit), "%d entries, %v/s: %d requests in %v", entries, limit, m.most(from, m.now), modelWindow)
		}
	}
}

// Entries are cut off from each other, which the rule excuses, and the sum holds again afterwards.
func TestLimitAfterPartition(t *testing.T) {
	for _, entries := range []int{4, 12, 44} {
		m := newModel(3, entries, 4)
		m.run(modelBefore)
		m.limit = 1.6
		m.run(modelStable)
		for i, e := range m.entries {
			e.group = i % 3
		}
		m.run(15 * time.Second)
		for _, e := range m.entries {
			e.group = 0
		}
		from := m.now.Add(modelStable)
		m.run(20 * time.Second)
		assert.Check(t, m.most(from, m.now) <= allowed(1.6), "%d entries: %d requests in %v", entries, m.most(from, m.now), modelWindow)
	}
}

// Most entries get no requests for the service, among them those that would rank first. The limit is left
// to the others.
func TestLimitIsLeftToBusyEntries(t *testing.T) {
	m := newModel(4, 12, 0)
	busy := map[fleet.InstanceID]bool{"e3": true, "e9": true}
	for _, e := range m.entries {
		if busy[e.id] {
			e.demand = 4
			continue
		}
		e.list.SetIdle([]fleet.Service{modelService})
	}
	m.run(modelBefore)
	m.limit = 1.6
	from := m.now.Add(modelStable)
	m.run(modelFor)
	used := float64(m.count(from, m.now)) / m.now.Sub(from).Seconds()
	assert.Check(t, used >= 0.8*1.6, "%.2f requests a second", used)
	assert.Check(t, m.most(from, m.now) <= allowed(1.6))
}
