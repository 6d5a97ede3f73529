package swarm

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Next returns the fetches to start now.
func (p *Planner) Next(now time.Time) []Fetch {
	if p.missing == 0 {
		return nil
	}
	var out []Fetch
	out = p.nextFromOutsideRegion(out, now)
	out = p.nextFromPeers(out, now)
	return p.nextEndgame(out, now)
}

// nextFromOutsideRegion adds fetches of the chunks that this instance is responsible for
// bringing into its region.
func (p *Planner) nextFromOutsideRegion(out []Fetch, now time.Time) []Fetch {
	level := p.takeoverLevel(now)
	start := p.random.IntN(len(p.placements))
	for i := range p.placements {
		if p.isLinkFull(now) {
			return out
		}
		c := (start + i) % len(p.placements)
		if p.held.Has(c) || p.isInFlight(c) || p.holders[c] > 0 && p.isReachable(c) {
			continue
		}
		if !p.isResponsible(c, level, now) && !p.shouldBypassHolders(c, now) {
			continue
		}
		if s, ok := p.sourceOutsideRegion(c, level, now); ok {
			if p.placements[c].rank > 0 {
				p.takeovers++
			}
			out = append(out, p.startFetch(c, s, now))
		}
	}
	return out
}

// sourceOutsideRegion returns the source outside the region for chunk c when this instance
// is responsible for it. The takeover level increases while no new chunk arrives in the
// region: from level 1 on any other region is used, and from the rank plus originLevel on
// the origin.
func (p *Planner) sourceOutsideRegion(c, level int, now time.Time) (Source, bool) {
	pl := p.placements[c]
	if pl.fromOrigin || level >= int(pl.rank)+originLevel {
		return p.originSource(now)
	}
	q := p.bestPeer(now, func(q *peer) bool {
		return !q.local && q.held.Has(c) && (level > 0 || q.region == pl.previousRegion) &&
			p.flightsByRegion[q.region] < p.remoteSlots()
	})
	if q == nil {
		return Source{}, false
	}
	return Source{SourceRemote, q.id}, true
}

// originLevel is the number of takeovers without a new chunk after which a region that
// gets its chunks from another region fetches from the origin.
const originLevel = 3

func (p *Planner) originSource(now time.Time) (Source, bool) {
	if p.flightsBySource[SourceOrigin] >= p.originSlots() || now.Before(p.originNotBefore) {
		return Source{}, false
	}
	return Source{Kind: SourceOrigin}, true
}

// remoteSlots returns this instance's share of the fetches from one other region, which
// are divided among the members of the region.
func (p *Planner) remoteSlots() int {
	return min(p.settings.RemoteFetches, 1+sharedFetches/(2*max(1, p.otherMembers)))
}

// originSlots returns this instance's share of the fetches from the origin, which are
// divided among all members: enough to keep the origin's link busy, few enough to keep its
// queue short.
func (p *Planner) originSlots() int {
	return min(p.settings.OriginFetches, 1+sharedFetches/len(p.members))
}

func (p *Planner) nextFromPeers(out []Fetch, now time.Time) []Fetch {
	for p.flightsBySource[SourcePeer] < p.window && !p.isLinkFull(now) {
		q, c := p.choosePeer(now)
		if q == nil {
			return out
		}
		out = append(out, p.startFetch(c, Source{SourcePeer, q.id}, now))
	}
	return out
}

// choosePeer returns the peer with the shortest expected wait that holds a chunk that
// this instance lacks, and the rarest such chunk.
func (p *Planner) choosePeer(now time.Time) (*peer, int) {
	for _, q := range p.sorted {
		q.exhausted = false
	}
	for {
		q := p.bestPeer(now, func(q *peer) bool { return q.local && !q.exhausted })
		if q == nil {
			return nil, 0
		}
		if c, ok := p.rarestChunk(q); ok {
			return q, c
		}
		q.exhausted = true
	}
}

// randomMin finds the minimum of a sequence of values. Equal minimums are selected with
// equal probability.
type randomMin struct {
	random *rand.Rand
	lowest int64
	ties   int
}

func newRandomMin(random *rand.Rand) randomMin {
	return randomMin{random: random, lowest: math.MaxInt64}
}

// accepts reports whether v replaces the value that was accepted last.
func (m *randomMin) accepts(v int64) bool {
	if v < m.lowest {
		m.lowest, m.ties = v, 1
		return true
	}
	if v > m.lowest {
		return false
	}
	m.ties++
	return m.random.IntN(m.ties) == 0
}

// rarestChunk returns the chunk held by the fewest peers among those that q holds, that
// this instance lacks and that are not in flight. Ties are broken at random.
func (p *Planner) rarestChunk(q *peer) (int, bool) {
	best := -1
	minimum := newRandomMin(p.random)
	for c := range p.placements {
		if !q.held.Has(c) || p.held.Has(c) || p.isInFlight(c) {
			continue
		}
		if minimum.accepts(int64(p.holders[c])) {
			best = c
		}
	}
	return best, best >= 0
}

// bestPeer returns the usable peer with the shortest expected wait among those that satisfy
// ok, or nil. Ties are broken at random.
func (p *Planner) bestPeer(now time.Time, ok func(*peer) bool) *peer {
	var best *peer
	minimum := newRandomMin(p.random)
	for _, q := range p.sorted {
		slots := p.settings.FetchesPerPeer
		if q.failures > 0 {
			slots = 1 // a single fetch probes whether the peer has recovered
		}
		if !p.isUsable(q, now) || q.inFlight >= slots || !ok(q) {
			continue
		}
		wait := time.Duration(q.inFlight+1) * q.averageTime
		if minimum.accepts(int64(wait)) {
			best = q
		}
	}
	return best
}

// nextEndgame fetches the last chunks from a second peer if the fetch from the first one
// is late.
func (p *Planner) nextEndgame(out []Fetch, now time.Time) []Fetch {
	if p.missing > endgameChunks {
		return out
	}
	for _, f := range slices.Clone(p.flights) {
		if p.isLinkFull(now) {
			return out
		}
		isLate := now.Sub(f.started) > endgameFactor*p.estimates[SourcePeer].average && p.estimates[SourcePeer].average > 0
		if !isLate || f.Source.Kind != SourcePeer || p.flightsByChunk[f.Chunk] > 1 {
			continue
		}
		q := p.bestPeer(now, func(q *peer) bool { return q.local && q.held.Has(f.Chunk) && q.id != f.Source.Peer })
		if q != nil && p.flightsBySource[SourcePeer] < p.settings.PeerFetches+endgameChunks {
			out = append(out, p.startFetch(f.Chunk, Source{SourcePeer, q.id}, now))
		}
	}
	return out
}

func (p *Planner) startFetch(c int, s Source, now time.Time) Fetch {
	f := Fetch{Chunk: c, Source: s}
	fl := flight{Fetch: f, started: now, deadline: now.Add(p.timeout(s))}
	p.flightsBySource[s.Kind]++
	p.flightsByChunk[c]++
	if q, ok := p.peers[s.Peer]; ok {
		q.inFlight++
		fl.region = q.region
	}
	if s.Kind == SourceRemote {
		p.flightsByRegion[fl.region]++
	}
	p.flights = append(p.flights, fl)
	return f
}

// timeout returns the time after which a fetch from a source counts as stalled.
func (p *Planner) timeout(s Source) time.Duration {
	estimate := p.estimates[s.Kind]
	if estimate.average == 0 {
		return estimate.initialTimeout
	}
	timeout := estimate.stallTimeout()
	if q, ok := p.peers[s.Peer]; ok {
		timeout += max(0, q.averageTime-estimate.average)
	}
	if s.Kind != SourcePeer {
		// The queue of a shared link varies widely in length.
		return max(sharedMinFactor*p.settings.InitialTimeout, 2*timeout)
	}
	return max(p.settings.MinStallWait, timeout)
}
