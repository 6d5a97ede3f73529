package swarm

import (
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/rank"
)

type peer struct {
	id       fleet.InstanceID
	region   fleet.Region
	local    bool
	has      Bitmap
	inFlight int
	usual    time.Duration // time of a chunk, averaged
	notUntil time.Time
	failures int
	corrupt  int
	banned   bool
	gained   time.Time // when it last got a chunk
	useless  bool      // holds nothing that is missing here, during one choice
}

// pipe is what is known of the time that a chunk takes from a kind of source.
type pipe struct {
	usual time.Duration
	dev   time.Duration // usual deviation from it
	first time.Duration // deadline before any chunk came
}

// learn takes the time of one chunk.
func (p *pipe) learn(took time.Duration) {
	if p.usual == 0 {
		p.usual, p.dev = took, took/2
		return
	}
	p.dev += ((took - p.usual).Abs() - p.dev) / 4
	p.usual += (took - p.usual) / 8
}

// stalled widens the deadline: a first one that was too short, and those of links
// that are shared by many and have a queue, where waiting is usual.
func (p *pipe) stalled(kind SourceKind) {
	p.first *= 2
	if kind != SourcePeer {
		p.dev *= 2
	}
}

// late returns when a fetch counts as stalled, as TCP does for a segment.
func (p *pipe) late() time.Duration {
	return p.usual + lateDeviations*max(p.dev, p.usual/2)
}

// outage is a peer whose connection failed. It does not count in the order of
// members until it is watched again.
type outage struct {
	until time.Time
	tries int
}

// farFuture is later than any time that a planner sees.
const farFuture = 100 * 365 * 24 * time.Hour

// Wanted returns the peers that this instance should watch. It is stable while
// the members do not change and no peer fails.
func (p *Planner) Wanted(now time.Time) []fleet.InstanceID {
	if now.Before(p.wantedAt) {
		return p.wanted
	}
	p.wantedAt = now.Add(farFuture)
	byRegion := map[fleet.Region][]fleet.InstanceID{}
	for _, m := range p.members {
		if m.ID == p.set.Self {
			continue
		}
		if o, out := p.failed[m.ID]; out && now.Before(o.until) {
			if o.until.Before(p.wantedAt) {
				p.wantedAt = o.until
			}
			continue
		}
		byRegion[m.Region] = append(byRegion[m.Region], m.ID)
	}
	p.wanted = nil
	for _, r := range p.regionOrder() {
		n := p.set.RemotePerRegion
		if r == p.set.Region {
			n = p.set.Neighbours
		}
		p.wanted = append(p.wanted, rank.Top(string(p.set.Self), byRegion[r], n)...)
	}
	p.wantFirst()
	return p.wanted
}

// wantFirst adds the members that this instance is next in order to, so that it
// sees whether they get on before it takes over. Early chunks come first; the
// number is bounded.
func (p *Planner) wantFirst() {
	added := 0
	for _, pl := range p.place {
		if pl.first == "" || slices.Contains(p.wanted, pl.first) {
			continue
		}
		p.wanted = append(p.wanted, pl.first)
		added++
		if added == maxFirst {
			return
		}
	}
}

// PeerHas replaces what a peer holds.
func (p *Planner) PeerHas(id fleet.InstanceID, has Bitmap, now time.Time) {
	q := p.addPeer(id)
	if q == nil {
		return
	}
	if _, out := p.failed[id]; out {
		delete(p.failed, id)
		p.rankChunks()
	}
	for c := range p.place {
		p.mark(q, c, has.Has(c), now)
	}
}

// PeerAdded records a chunk that a watched peer now holds.
func (p *Planner) PeerAdded(id fleet.InstanceID, chunk int, now time.Time) {
	if q, ok := p.peers[id]; ok && chunk >= 0 && chunk < len(p.place) {
		p.mark(q, chunk, true, now)
	}
}

// PeerGone drops a peer whose connection failed. It is wanted again after a
// pause.
func (p *Planner) PeerGone(id fleet.InstanceID, now time.Time) {
	o, again := p.failed[id]
	o.tries++
	o.until = now.Add(min(peerPenalty<<min(o.tries-1, 8), maxOutage))
	p.failed[id] = o
	p.wantedAt = time.Time{}
	if !again {
		p.rankChunks()
	}
	if q, ok := p.peers[id]; ok {
		p.dropPeer(q)
	}
}

func (p *Planner) addPeer(id fleet.InstanceID) *peer {
	if q, ok := p.peers[id]; ok {
		return q
	}
	i := slices.IndexFunc(p.members, func(m Member) bool { return m.ID == id })
	if i < 0 || id == p.set.Self {
		return nil
	}
	r := p.members[i].Region
	q := &peer{id: id, region: r, local: r == p.set.Region, has: NewBitmap(len(p.place))}
	p.peers[id] = q
	at, _ := slices.BinarySearchFunc(p.sorted, q, comparePeers)
	p.sorted = slices.Insert(p.sorted, at, q)
	return q
}

func (p *Planner) dropPeer(q *peer) {
	for c := range p.place {
		if q.has.Has(c) && q.local {
			p.avail[c]--
		}
	}
	delete(p.peers, q.id)
	p.sorted = slices.DeleteFunc(p.sorted, func(o *peer) bool { return o == q })
}

func comparePeers(a, b *peer) int {
	switch {
	case a.id < b.id:
		return -1
	case a.id > b.id:
		return 1
	}
	return 0
}

func (p *Planner) mark(q *peer, c int, has bool, now time.Time) {
	if has == q.has.Has(c) {
		return
	}
	if !has {
		q.has.Clear(c)
		if q.local {
			p.avail[c]--
		}
		return
	}
	q.has.Set(c)
	q.gained = now
	if q.local {
		p.avail[c]++
		p.see(c, now)
	}
}

func (p *Planner) peerFailed(q *peer, chunk int, why Cause, now time.Time) {
	switch why {
	case CauseMissing:
		p.mark(q, chunk, false, now)
		return
	case CauseBusy:
		q.notUntil = now.Add(p.pipes[SourcePeer].usual / 2)
		return
	case CauseCorrupt:
		q.corrupt++
		p.mark(q, chunk, false, now)
		q.banned = q.corrupt >= corruptLimit
	}
	q.failures++
	pause := min(peerPenalty<<min(q.failures-1, 8), maxPenalty)
	q.notUntil = now.Add(pause)
}

func (p *Planner) usable(q *peer, now time.Time) bool {
	return !q.banned && !now.Before(q.notUntil)
}

// forgiveEarlyStalls drops what peers were blamed for while the time of a chunk was
// not known yet.
func (p *Planner) forgiveEarlyStalls() {
	for _, q := range p.sorted {
		q.failures = 0
		q.notUntil = time.Time{}
	}
}
