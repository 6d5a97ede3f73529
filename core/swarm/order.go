package swarm

import (
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/rank"
)

// placement is where a chunk comes from for this region.
type placement struct {
	rank       int16 // of this instance among the region's members
	fromOrigin bool
	previous   fleet.Region
	// first is the member of rank 0 where this instance is next in order.
	first fleet.InstanceID
}

// rankChunks computes the placement of every chunk from the member list.
func (p *Planner) rankChunks() {
	p.wantedAt = time.Time{}
	regions := p.regionOrder()
	var others []rival
	for _, m := range p.members {
		if _, out := p.failed[m.ID]; m.Region == p.set.Region && m.ID != p.set.Self && !out {
			others = append(others, rival{m.ID, rank.Hash(string(m.ID))})
		}
	}
	p.neighbours = len(others)
	self := rank.Hash(string(p.set.Self))
	for c := range p.place {
		key := rank.Hash(string(p.manifest.Chunks[c].Digest))
		p.place[c] = p.placeChunk(key, self, others, regions)
	}
}

// rival is another member of the region.
type rival struct {
	id   fleet.InstanceID
	hash uint64
}

func (p *Planner) placeChunk(key, self uint64, others []rival, regions []fleet.Region) placement {
	mine := rank.ScoreNumber(key, self)
	out := placement{}
	for _, o := range others {
		if rank.ScoreNumber(key, o.hash) > mine {
			out.rank++
			out.first = o.id
		}
	}
	if out.rank != 1 {
		out.first = ""
	}
	order := chunkRegions(key, regions)
	i := slices.Index(order, p.set.Region)
	out.fromOrigin = i == 0
	if !out.fromOrigin {
		out.previous = order[i-1]
	}
	return out
}

// regionOrder returns the regions of the members, the origin's first.
func (p *Planner) regionOrder() []fleet.Region {
	var out []fleet.Region
	for _, m := range p.members {
		if !slices.Contains(out, m.Region) {
			out = append(out, m.Region)
		}
	}
	slices.SortFunc(out, func(a, b fleet.Region) int {
		switch {
		case a == b:
			return 0
		case a == p.set.OriginRegion:
			return -1
		case b == p.set.OriginRegion:
			return 1
		case a < b:
			return -1
		}
		return 1
	})
	return out
}

// chunkRegions orders the regions for one chunk: the one that pulls from the origin
// first, then the others by rendezvous, which spreads the relaying.
func chunkRegions(key uint64, regions []fleet.Region) []fleet.Region {
	order := slices.Clone(regions)
	rest := order[1:]
	slices.SortFunc(rest, func(a, b fleet.Region) int {
		x := rank.ScoreNumber(key, rank.Hash(string(a)))
		y := rank.ScoreNumber(key, rank.Hash(string(b)))
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return order
}

// turn tells whether it is up to this instance to bring chunk c into the region.
// The next in order gives the first the more time while that one gets on.
func (p *Planner) turn(c, level int, now time.Time) bool {
	pl := p.place[c]
	if pl.rank == 0 {
		return true
	}
	if pl.rank > 1 {
		return int(pl.rank)+patience-1 <= level && p.mayTakeOver(level)
	}
	q, ok := p.peers[pl.first]
	switch {
	case !ok:
		return level > 0
	case q.banned:
		return true
	case q.failures > 1 && p.pipes[SourcePeer].usual > 0:
		// What it holds seems out of reach: waiting for it is of little use.
		return level >= patience || p.mayTakeOver(level)
	case level >= patience || level > 0 && now.Sub(q.gained) > p.stallWait():
		return p.mayTakeOver(level)
	}
	return false
}

// outOfReach tells whether chunk c has been held in the region by peers that do not
// answer for so long that it is up to this instance, in the order of members.
func (p *Planner) outOfReach(c int, now time.Time) bool {
	if p.avail[c] == 0 {
		return false
	}
	since, ok := p.blocked[c]
	if !ok {
		p.blocked[c] = now
		return false
	}
	return now.Sub(since) > time.Duration(p.place[c].rank)*p.stallWait()
}

// mayTakeOver keeps the takeovers of all members within the copies that the
// operator allows, until the version would not get whole otherwise.
func (p *Planner) mayTakeOver(level int) bool {
	share := (p.set.MaxOriginCopies - 1) * float64(len(p.place)) / float64(p.neighbours+1)
	return p.takeovers < int(share+p.luck) || level >= despair
}

// reachable tells whether a peer of the region can be asked for chunk c, now or when
// it is less busy.
func (p *Planner) reachable(c int) bool {
	known := p.pipes[SourcePeer].usual > 0
	ok := slices.ContainsFunc(p.sorted, func(q *peer) bool {
		return q.local && q.has.Has(c) && !q.banned && (!known || q.failures < 2)
	})
	if ok {
		delete(p.blocked, c)
	}
	return ok
}

// takeover returns how many members before this one are given up for the chunks
// that are not in the region yet.
func (p *Planner) takeover(now time.Time) int {
	return int(now.Sub(p.progress) / p.stallWait())
}

// stallWait is how long nothing may show up before somebody is given up. It
// follows the rate at which chunks come.
func (p *Planner) stallWait() time.Duration {
	wait := max(p.set.MinStall, stallFactor*p.gap, 2*p.pipes[SourcePeer].usual)
	if p.gap == 0 {
		wait = max(wait, p.set.FirstTimeout)
	}
	wait = min(wait, maxStall)
	if p.set.Objective == fleet.ObjectiveOriginBytes {
		return 2 * wait
	}
	return wait
}
