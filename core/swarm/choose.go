package swarm

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Next returns the fetches to begin now.
func (p *Planner) Next(now time.Time) []Fetch {
	if p.missing == 0 {
		return nil
	}
	var out []Fetch
	out = p.nextFromOutside(out, now)
	out = p.nextFromPeers(out, now)
	return p.nextEndgame(out, now)
}

// nextFromOutside fetches the chunks that this instance brings into its region.
func (p *Planner) nextFromOutside(out []Fetch, now time.Time) []Fetch {
	level := p.takeover(now)
	start := p.random.IntN(len(p.place))
	for i := range p.place {
		c := (start + i) % len(p.place)
		if p.held.Has(c) || p.inFlight(c) || p.avail[c] > 0 && p.reachable(c) {
			continue
		}
		if !p.turn(c, level, now) && !p.outOfReach(c, now) {
			continue
		}
		if s, ok := p.outside(c, level, now); ok {
			if p.place[c].rank > 0 {
				p.takeovers++
			}
			out = append(out, p.begin(c, s, now))
		}
	}
	return out
}

// outside returns the source outside the region for chunk c, when it is this
// instance's turn. The level rises while nothing new shows up in the region.
func (p *Planner) outside(c, level int, now time.Time) (Source, bool) {
	pl := p.place[c]
	if pl.fromOrigin || level >= int(pl.rank)+originLevel {
		return p.origin(now)
	}
	q := p.best(now, func(q *peer) bool {
		return !q.local && q.has.Has(c) && (level > 0 || q.region == pl.previous) &&
			p.remote[q.region] < p.remoteSlots()
	})
	if q == nil {
		return Source{}, false
	}
	return Source{SourceRemote, q.id}, true
}

// originLevel is how many takeovers must have brought nothing before a region
// that gets its chunks from another one turns to the origin.
const originLevel = 3

func (p *Planner) origin(now time.Time) (Source, bool) {
	if p.counts[SourceOrigin] >= p.originSlots() || now.Before(p.originAt) {
		return Source{}, false
	}
	return Source{Kind: SourceOrigin}, true
}

// remoteSlots shares the fetches from one other region out over the members.
func (p *Planner) remoteSlots() int {
	return min(p.set.RemoteFetches, 1+sharedFlights/(2*max(1, p.neighbours)))
}

// originSlots shares the fetches from the origin out over the members: enough to
// keep its link busy, few enough to keep its queue short.
func (p *Planner) originSlots() int {
	return min(p.set.OriginFetches, 1+sharedFlights/len(p.members))
}

func (p *Planner) nextFromPeers(out []Fetch, now time.Time) []Fetch {
	for p.counts[SourcePeer] < p.window {
		q, c := p.choosePeer(now)
		if q == nil {
			return out
		}
		out = append(out, p.begin(c, Source{SourcePeer, q.id}, now))
	}
	return out
}

// choosePeer returns the peer with the shortest expected wait that holds a chunk
// which is missing here, and the rarest such chunk.
func (p *Planner) choosePeer(now time.Time) (*peer, int) {
	for _, q := range p.sorted {
		q.useless = false
	}
	for {
		q := p.best(now, func(q *peer) bool { return q.local && !q.useless })
		if q == nil {
			return nil, 0
		}
		if c, ok := p.rarest(q); ok {
			return q, c
		}
		q.useless = true
	}
}

// draw finds the lowest of a row of values, each of equal ones with the same chance.
type draw struct {
	random *rand.Rand
	low    int64
	ties   int
}

func newDraw(random *rand.Rand) draw { return draw{random: random, low: math.MaxInt64} }

// takes tells whether v replaces what was taken before.
func (d *draw) takes(v int64) bool {
	if v < d.low {
		d.low, d.ties = v, 1
		return true
	}
	if v > d.low {
		return false
	}
	d.ties++
	return d.random.IntN(d.ties) == 0
}

// rarest returns the chunk that q holds, is missing here, not in flight and held
// by the fewest peers; ties are drawn.
func (p *Planner) rarest(q *peer) (int, bool) {
	best := -1
	draw := newDraw(p.random)
	for c := range p.place {
		if !q.has.Has(c) || p.held.Has(c) || p.inFlight(c) {
			continue
		}
		if draw.takes(int64(p.avail[c])) {
			best = c
		}
	}
	return best, best >= 0
}

// best returns the usable peer with the shortest expected wait; ties are drawn.
func (p *Planner) best(now time.Time, ok func(*peer) bool) *peer {
	var best *peer
	draw := newDraw(p.random)
	for _, q := range p.sorted {
		slots := p.set.PerPeer
		if q.failures > 0 {
			slots = 1 // one fetch shows whether it works again
		}
		if !p.usable(q, now) || q.inFlight >= slots || !ok(q) {
			continue
		}
		wait := time.Duration(q.inFlight+1) * q.usual
		if draw.takes(int64(wait)) {
			best = q
		}
	}
	return best
}

// nextEndgame asks a second peer for the last chunks when the first is late.
func (p *Planner) nextEndgame(out []Fetch, now time.Time) []Fetch {
	if p.missing > endgameChunks {
		return out
	}
	for _, f := range slices.Clone(p.flights) {
		late := now.Sub(f.started) > endgameFactor*p.pipes[SourcePeer].usual && p.pipes[SourcePeer].usual > 0
		if !late || f.Source.Kind != SourcePeer || p.flying[f.Chunk] > 1 {
			continue
		}
		q := p.best(now, func(q *peer) bool { return q.local && q.has.Has(f.Chunk) && q.id != f.Source.Peer })
		if q != nil && p.counts[SourcePeer] < p.set.PeerFetches+endgameChunks {
			out = append(out, p.begin(f.Chunk, Source{SourcePeer, q.id}, now))
		}
	}
	return out
}

func (p *Planner) begin(c int, s Source, now time.Time) Fetch {
	f := Fetch{Chunk: c, Source: s}
	fl := flight{Fetch: f, started: now, deadline: now.Add(p.timeout(s))}
	p.counts[s.Kind]++
	p.flying[c]++
	if q, ok := p.peers[s.Peer]; ok {
		q.inFlight++
		fl.region = q.region
	}
	if s.Kind == SourceRemote {
		p.remote[fl.region]++
	}
	p.flights = append(p.flights, fl)
	return f
}

func (p *Planner) timeout(s Source) time.Duration {
	pipe := p.pipes[s.Kind]
	if pipe.usual == 0 {
		return pipe.first
	}
	late := pipe.late()
	if q, ok := p.peers[s.Peer]; ok {
		late += max(0, q.usual-pipe.usual)
	}
	if s.Kind != SourcePeer {
		// Links that many share have queues that come and go.
		return max(sharedLate*p.set.FirstTimeout, 2*late)
	}
	return max(p.set.MinStall, late)
}
