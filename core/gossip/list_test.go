package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	"amaranthturn/core/gossip"
)

var t0 = time.Unix(1_000_000, 0)

func record(i int) gossip.Record {
	return gossip.Record{Instance: fleet.InstanceID(fmt.Sprintf("e%d", i)), Incarnation: 1, Address: fmt.Sprintf("10.0.0.%d:1", i)}
}

// Entries that know only their seeds, one of which is down, must all discover each other
// within seconds and drop one that crashed.
func TestEntriesDiscoverEachOther(t *testing.T) {
	const n = 8
	random := rand.New(rand.NewPCG(3, 4))
	all := make([]*gossip.List, n)
	byAddr := map[string]int{}
	for i := range n {
		all[i] = gossip.New(gossip.DefaultSettings, record(i))
		byAddr[record(i).Address] = i
	}
	seeds := []string{record(0).Address, "10.9.9.9:1"}
	now, isDown := t0, map[int]bool{}
	round := func() {
		now = now.Add(500 * time.Millisecond)
		for i, l := range all {
			if isDown[i] {
				continue
			}
			addr, ok := l.NextPeer(seeds, random.Float64(), now)
			j, known := byAddr[addr]
			if !ok || !known || isDown[j] {
				continue
			}
			all[j].Merge(l.Records(now), now)
			l.Merge(all[j].Records(now), now)
		}
	}
	for range 16 {
		round()
	}
	for _, l := range all {
		assert.Equal(t, len(l.Live(now)), n-1)
	}
	isDown[5] = true
	for range 22 {
		round()
	}
	for i, l := range all {
		if !isDown[i] {
			assert.Equal(t, len(l.Live(now)), n-2)
		}
	}
}

func TestLeavingIsNotLive(t *testing.T) {
	l := gossip.New(gossip.DefaultSettings, record(0))
	r := record(1)
	r.Leaving = true
	l.Merge([]gossip.Record{r}, t0)
	assert.Equal(t, len(l.Live(t0)), 0)
	restarted := record(1)
	restarted.Incarnation = 2
	l.Merge([]gossip.Record{restarted}, t0)
	assert.Equal(t, len(l.Live(t0)), 1)
	l.Merge([]gossip.Record{r}, t0)
	assert.Equal(t, len(l.Live(t0)), 1, "records of an older incarnation must be ignored")
}

// Each region with a live entry has one reader, on which all entries with the same list
// agree. When the reader crashes, another entry of the region takes over.
func TestOneReaderPerRegion(t *testing.T) {
	const n = 9
	all := make([]*gossip.List, n)
	for i := range n {
		r := record(i)
		r.Region = fleet.Region(fmt.Sprintf("r%d", i%3))
		all[i] = gossip.New(gossip.DefaultSettings, r)
	}
	now := t0
	readers := func(down int) map[int]bool {
		now = now.Add(gossip.DefaultSettings.Lease + time.Second)
		for i, l := range all {
			for j, o := range all {
				if i != j && i != down {
					o.Merge(l.Records(now), now)
				}
			}
		}
		out := map[int]bool{}
		for i, l := range all {
			if i != down && l.IsReader(now) {
				out[i] = true
			}
		}
		return out
	}
	first := readers(-1)
	assert.Equal(t, len(first), 3)
	for down := range first {
		// Nobody sends the record of the crashed entry.
		after := map[int]bool{}
		for i := range readers(down) {
			after[i%3] = true
		}
		assert.Equal(t, len(after), 3)
		break
	}
	for i, l := range all {
		if addr, ok := l.Reader(0, now); ok {
			assert.Assert(t, addr != record(i).Address)
		}
	}
}

// An entry has lost power. The others pass its record on, at first to each other and then to entries
// that start. From Lease after its last exchange on, nobody may offer it, whoever heard of it from whom.
func TestRecordThatIsPassedOnStaysAsOldAsItIs(t *testing.T) {
	const hops = 6
	gone := gossip.New(gossip.DefaultSettings, record(0))
	first := gossip.New(gossip.DefaultSettings, record(1))
	first.Merge(gone.Records(t0), t0)
	known := []*gossip.List{first}
	for i := range hops {
		now := t0.Add(time.Duration(i+1) * (gossip.DefaultSettings.Lease - time.Millisecond))
		started := gossip.New(gossip.DefaultSettings, record(2+i))
		started.Merge(known[len(known)-1].Records(now), now)
		known = append(known, started)
		for _, l := range known {
			for _, r := range l.Live(now.Add(2 * time.Millisecond)) {
				assert.Assert(t, r.Instance != record(0).Instance, "hop %d", i)
			}
		}
	}
}

// The lease of an entry that lost power ended long before this process was paused, or ends after it.
func TestPauseDoesNotBringBackEntriesThatAreGone(t *testing.T) {
	for _, before := range []time.Duration{gossip.DefaultSettings.Lease + time.Second, 30 * time.Second} {
		l := gossip.New(gossip.DefaultSettings, record(0))
		l.Merge([]gossip.Record{record(1)}, t0)
		resumedAt := t0.Add(before)
		assert.Equal(t, len(l.Live(resumedAt)), 0)
		l.Resumed(resumedAt.Add(-time.Second/2), resumedAt)
		assert.Equal(t, len(l.Live(resumedAt)), 0, "after %v", before)
	}
}

// This process is paused for half a second every second. An entry that was live at the first pause
// counts as live for a while, is not offered to callers with an old record, and is gone then. Its
// record is not passed on as a younger one.
func TestRepeatedPausesDoNotKeepEntriesThatAreGone(t *testing.T) {
	l := gossip.New(gossip.DefaultSettings, record(0))
	l.Merge([]gossip.Record{record(1)}, t0)
	now := t0.Add(4 * time.Second)
	for range 8 {
		l.Resumed(now, now.Add(500*time.Millisecond))
		now = now.Add(500 * time.Millisecond)
		assert.Equal(t, len(l.Offered(now)), 0)
		for _, r := range l.Records(now) {
			assert.Assert(t, r.Instance == record(0).Instance || r.Age == now.Sub(t0))
		}
		now = now.Add(500 * time.Millisecond)
	}
	assert.Equal(t, len(l.Live(now)), 0)
}

// fleetOfLists is entries that exchange their records as the daemons do.
type fleetOfLists struct {
	now    time.Time
	random *rand.Rand
	lists  []*gossip.List // nil for an entry without power
	byAddr map[string]int
	nextAt []time.Time
	starts int
}

const (
	exchangePeriod  = 500 * time.Millisecond
	exchangeTimeout = 800 * time.Millisecond
	regions         = 3
)

func newFleetOfLists(n int) *fleetOfLists {
	f := &fleetOfLists{now: t0, random: rand.New(rand.NewPCG(1, uint64(n))), lists: make([]*gossip.List, n), nextAt: make([]time.Time, n), byAddr: map[string]int{}}
	for i := range n {
		f.byAddr[record(i).Address] = i
		f.start(i)
	}
	return f
}

func (f *fleetOfLists) start(i int) {
	f.starts++
	r := record(i)
	r.Region = fleet.Region(fmt.Sprintf("r%d", i%regions))
	r.Incarnation = fleet.Incarnation(f.starts)
	f.lists[i] = gossip.New(gossip.DefaultSettings, r)
	f.nextAt[i] = f.now.Add(time.Duration(f.random.Int64N(int64(exchangePeriod))))
}

// advance lets time pass, with the exchanges in it.
func (f *fleetOfLists) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		for i, l := range f.lists {
			if l == nil || f.now.Before(f.nextAt[i]) {
				continue
			}
			f.nextAt[i] = f.now.Add(exchangePeriod/2 + time.Duration(f.random.Int64N(int64(exchangePeriod))))
			addr, ok := l.NextPeer([]string{record(0).Address, record(1).Address}, f.random.Float64(), f.now)
			if !ok {
				continue
			}
			if other := f.lists[f.byAddr[addr]]; other != nil {
				other.Merge(l.Records(f.now), f.now)
				l.Merge(other.Records(f.now), f.now)
				continue
			}
			f.nextAt[i] = f.now.Add(exchangeTimeout)
			l.RecordFailure(addr, f.nextAt[i])
		}
	}
}

// offering returns how many entries offer entry i.
func (f *fleetOfLists) offering(i int) int {
	n := 0
	for _, l := range f.lists {
		if l == nil {
			continue
		}
		for _, r := range l.Offered(f.now) {
			if r.Instance == record(i).Instance {
				n++
			}
		}
	}
	return n
}

// Two entries lose power, and the others restart in turn, which makes those that just started ask
// around. Nobody offers the two once their records are older than OfferLease, and sound entries go
// on being offered.
func TestEntriesWithoutPowerAreNotOffered(t *testing.T) {
	for _, n := range []int{8, 44} {
		f := newFleetOfLists(n)
		f.advance(10 * time.Second)
		offered, asked := 0, 0
		for range 20 {
			f.advance(500 * time.Millisecond)
			for i := range n {
				offered, asked = offered+f.offering(i), asked+n-1
			}
		}
		t.Logf("%d entries: %.4f offered", n, float64(offered)/float64(asked))
		assert.Assert(t, float64(offered) > 0.99*float64(asked), "%d entries: %d of %d offered", n, offered, asked)
		f.lists[1], f.lists[n-1] = nil, nil
		f.advance(gossip.DefaultSettings.OfferLease)
		for i := range 40 {
			f.advance(200 * time.Millisecond)
			assert.Equal(t, f.offering(1)+f.offering(n-1), 0, "%d entries, step %d", n, i)
			if j := i % n; f.lists[j] != nil {
				f.start(j)
			}
		}
	}
}

// An exchange has failed. The entry is offered again once a record arrives that it has sent since, by
// way of another entry, and not before.
func TestFailedExchangeEndsTheOffer(t *testing.T) {
	l := gossip.New(gossip.DefaultSettings, record(0))
	r := record(1)
	receive := func(age time.Duration, now time.Time) {
		r.Sequence++
		r.Age = age
		l.Merge([]gossip.Record{r}, now)
	}
	receive(0, t0)
	assert.Equal(t, len(l.Offered(t0)), 1)
	failedAt := t0.Add(time.Second)
	l.RecordFailure(r.Address, failedAt)
	assert.Equal(t, len(l.Offered(failedAt)), 0)
	assert.Equal(t, len(l.Live(failedAt)), 1)
	addr, ok := l.NextPeer(nil, 0, failedAt)
	assert.Assert(t, ok && addr == r.Address, "the only other entry is tried again")
	now := failedAt.Add(time.Second)
	receive(1500*time.Millisecond, now)
	assert.Equal(t, len(l.Offered(now)), 0)
	receive(500*time.Millisecond, now)
	assert.Equal(t, len(l.Offered(now)), 1)
}

// A message has waited in a buffer while this process was paused.
func TestMessageFromBeforeAPauseIsOld(t *testing.T) {
	l := gossip.New(gossip.DefaultSettings, record(0))
	resumedAt := t0.Add(10 * time.Second)
	l.Resumed(t0, resumedAt)
	l.Merge([]gossip.Record{record(1)}, resumedAt.Add(time.Millisecond))
	assert.Equal(t, len(l.Live(resumedAt)), 0)
}
