package swarm

import (
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/rank"
)

// placement describes where this region gets a chunk from and this instance's rank for it.
type placement struct {
	rank           int16 // of this instance among the region's members
	fromOrigin     bool
	previousRegion fleet.Region
	// predecessor is the member of rank 0 if this instance has rank 1, else empty.
	predecessor fleet.InstanceID
}

// rankChunks computes the placement of every chunk from the member list.
func (p *Planner) rankChunks() {
	p.watchListUntil = time.Time{}
	regions := p.regionOrder()
	var others []regionMember
	for _, m := range p.members {
		if _, hasOutage := p.outages[m.ID]; m.Region == p.settings.Region && m.ID != p.settings.Self && !hasOutage {
			others = append(others, regionMember{m.ID, rank.Hash(string(m.ID))})
		}
	}
	p.otherMembers = len(others)
	self := rank.Hash(string(p.settings.Self))
	for c := range p.placements {
		key := rank.Hash(string(p.manifest.Chunks[c].Digest))
		p.placements[c] = p.placeChunk(key, self, others, regions)
	}
}

// regionMember is another member of this region.
type regionMember struct {
	id   fleet.InstanceID
	hash uint64
}

func (p *Planner) placeChunk(key, self uint64, others []regionMember, regions []fleet.Region) placement {
	ownScore := rank.ScoreNumber(key, self)
	out := placement{}
	for _, o := range others {
		if rank.ScoreNumber(key, o.hash) > ownScore {
			out.rank++
			out.predecessor = o.id
		}
	}
	if out.rank != 1 {
		out.predecessor = ""
	}
	order := chunkRegions(key, regions)
	i := slices.Index(order, p.settings.Region)
	out.fromOrigin = i == 0
	if !out.fromOrigin {
		out.previousRegion = order[i-1]
	}
	return out
}

// regionOrder returns the regions of the members with the origin's region first.
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
		case a == p.settings.OriginRegion:
			return -1
		case b == p.settings.OriginRegion:
			return 1
		case a < b:
			return -1
		}
		return 1
	})
	return out
}

// chunkRegions returns the order of the regions for one chunk: first the region that pulls
// from the origin, then the others by rendezvous hashing, which spreads the relay traffic.
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

// isResponsible reports whether this instance has to bring chunk c into the region at the
// given takeover level. The member of rank 1 waits longer for its predecessor while the
// predecessor receives chunks. Members of rank r > 1 take over from level
// r + progressingTakeoverLevel - 1 on.
func (p *Planner) isResponsible(c, level int, now time.Time) bool {
	pl := p.placements[c]
	if pl.rank == 0 {
		return true
	}
	if pl.rank > 1 {
		return int(pl.rank)+progressingTakeoverLevel-1 <= level && p.mayTakeOver(level)
	}
	q, ok := p.peers[pl.predecessor]
	switch {
	case !ok:
		return level > 0
	case q.banned:
		return true
	case q.failures > 1 && p.estimates[SourcePeer].average > 0:
		// The chunks of the predecessor seem unreachable, so waiting for it is of little use.
		return level >= progressingTakeoverLevel || p.mayTakeOver(level)
	case level >= progressingTakeoverLevel || level > 0 && now.Sub(q.lastChunkAt) > p.stallWait():
		return p.mayTakeOver(level)
	}
	return false
}

// shouldBypassHolders reports whether this instance should fetch chunk c from outside the
// region because the peers that hold it have been unresponsive for long enough. The wait
// grows with the instance's rank, so that the members fetch it one after the other. The
// first call for an unreachable chunk starts the wait.
func (p *Planner) shouldBypassHolders(c int, now time.Time) bool {
	if p.holders[c] == 0 {
		return false
	}
	since, ok := p.unreachableSince[c]
	if !ok {
		p.unreachableSince[c] = now
		return false
	}
	return now.Sub(since) > time.Duration(p.placements[c].rank)*p.stallWait()
}

// mayTakeOver reports whether this instance may take over another chunk. It keeps the
// takeovers of all members within the copies that the operator allows, unless the version
// could not be completed otherwise.
func (p *Planner) mayTakeOver(level int) bool {
	share := (p.settings.MaxOriginCopies - 1) * float64(len(p.placements)) / float64(p.otherMembers+1)
	return p.takeovers < int(share+p.roundingOffset) || level >= unboundedTakeoverLevel
}

// isReachable reports whether chunk c can be fetched from a peer of the region, now or when
// the peer is less busy.
func (p *Planner) isReachable(c int) bool {
	hasEstimate := p.estimates[SourcePeer].average > 0
	ok := slices.ContainsFunc(p.sorted, func(q *peer) bool {
		return q.local && q.held.Has(c) && !q.banned && (!hasEstimate || q.failures < 2)
	})
	if ok {
		delete(p.unreachableSince, c)
	}
	return ok
}

// takeoverLevel returns how many members are considered stalled, counted from the first in
// the order of each chunk that is not in the region yet.
func (p *Planner) takeoverLevel(now time.Time) int {
	return int(now.Sub(p.lastProgress) / p.stallWait())
}

// stallWait returns the time without a new chunk in the region after which the next member
// is considered stalled. It follows the rate at which new chunks arrive.
func (p *Planner) stallWait() time.Duration {
	wait := max(p.settings.MinStallWait, stallFactor*p.averageGap, 2*p.estimates[SourcePeer].average)
	if p.averageGap == 0 {
		wait = max(wait, p.settings.InitialTimeout)
	}
	wait = min(wait, maxStallWait)
	if p.settings.Objective == fleet.ObjectiveOriginBytes {
		return 2 * wait
	}
	return wait
}
