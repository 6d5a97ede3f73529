package swarm

import (
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/rank"
)

// peer is a watched member.
type peer struct {
	id          fleet.InstanceID
	region      fleet.Region
	local       bool // in this instance's region
	held        Bitmap
	inFlight    int
	averageTime time.Duration // moving average of the fetch time of a chunk
	pausedUntil time.Time
	failures    int
	corrupt     int
	banned      bool
	lastChunkAt time.Time // when the peer last announced a new chunk
	exhausted   bool      // holds no chunk to fetch, within one selection
}

// fetchTimeEstimate estimates the fetch time of a chunk from one kind of source.
type fetchTimeEstimate struct {
	average        time.Duration
	deviation      time.Duration // mean deviation from the average
	initialTimeout time.Duration // timeout until the first chunk is received
}

// add records the fetch time of one chunk.
func (e *fetchTimeEstimate) add(duration time.Duration) {
	if e.average == 0 {
		e.average, e.deviation = duration, duration/2
		return
	}
	e.deviation += ((duration - e.average).Abs() - e.deviation) / 4
	e.average += (duration - e.average) / 8
}

// widen increases the timeout after a stall: the initial timeout, which may have been too
// short, and the deviation for links that many instances share, where queueing is normal.
func (e *fetchTimeEstimate) widen(kind SourceKind) {
	e.initialTimeout *= 2
	if kind != SourcePeer {
		e.deviation *= 2
	}
}

// stallTimeout returns the time after which a fetch counts as stalled, computed like the
// retransmission timeout of TCP.
func (e *fetchTimeEstimate) stallTimeout() time.Duration {
	return e.average + lateDeviations*max(e.deviation, e.average/2)
}

// outage is the state of a peer whose connection failed. The peer is left out of the order
// of members until it is watched again.
type outage struct {
	until    time.Time
	failures int
}

// farFuture is longer than any run of a planner.
const farFuture = 100 * 365 * 24 * time.Hour

// PeersToWatch returns the peers that this instance should watch. The result is stable while
// the members do not change and no peer fails.
func (p *Planner) PeersToWatch(now time.Time) []fleet.InstanceID {
	if now.Before(p.watchListUntil) {
		return p.watchList
	}
	p.watchListUntil = now.Add(farFuture)
	byRegion := map[fleet.Region][]fleet.InstanceID{}
	for _, m := range p.members {
		if m.ID == p.settings.Self {
			continue
		}
		if o, hasOutage := p.outages[m.ID]; hasOutage && now.Before(o.until) {
			if o.until.Before(p.watchListUntil) {
				p.watchListUntil = o.until
			}
			continue
		}
		byRegion[m.Region] = append(byRegion[m.Region], m.ID)
	}
	p.watchList = nil
	for _, r := range p.regionOrder() {
		n := p.settings.WatchedPeersPerRemoteRegion
		if r == p.settings.Region {
			n = p.settings.WatchedPeers
		}
		p.watchList = append(p.watchList, rank.Top(string(p.settings.Self), byRegion[r], n)...)
	}
	p.watchPredecessors()
	return p.watchList
}

// watchPredecessors adds the predecessors of this instance to the watch list, so that it
// receives their progress before it takes over. It adds those of the first chunks, up to
// maxPredecessors.
func (p *Planner) watchPredecessors() {
	added := 0
	for _, pl := range p.placements {
		if pl.predecessor == "" || slices.Contains(p.watchList, pl.predecessor) {
			continue
		}
		p.watchList = append(p.watchList, pl.predecessor)
		added++
		if added == maxPredecessors {
			return
		}
	}
}

// SetPeerChunks replaces the set of chunks that a peer holds.
func (p *Planner) SetPeerChunks(id fleet.InstanceID, has Bitmap, now time.Time) {
	q := p.addPeer(id)
	if q == nil {
		return
	}
	if _, hasOutage := p.outages[id]; hasOutage {
		delete(p.outages, id)
		p.rankChunks()
	}
	for c := range p.placements {
		p.setPeerChunk(q, c, has.Has(c), now)
	}
}

// AddPeerChunk records a chunk that a watched peer received.
func (p *Planner) AddPeerChunk(id fleet.InstanceID, chunk int, now time.Time) {
	if q, ok := p.peers[id]; ok && chunk >= 0 && chunk < len(p.placements) {
		p.setPeerChunk(q, chunk, true, now)
	}
}

// PeerDisconnected removes a peer whose connection failed. PeersToWatch includes it again
// after a backoff.
func (p *Planner) PeerDisconnected(id fleet.InstanceID, now time.Time) {
	o, hadOutage := p.outages[id]
	o.failures++
	o.until = now.Add(min(minPeerBackoff<<min(o.failures-1, 8), maxReconnectWait))
	p.outages[id] = o
	p.watchListUntil = time.Time{}
	if !hadOutage {
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
	if i < 0 || id == p.settings.Self {
		return nil
	}
	r := p.members[i].Region
	q := &peer{id: id, region: r, local: r == p.settings.Region, held: NewBitmap(len(p.placements))}
	p.peers[id] = q
	at, _ := slices.BinarySearchFunc(p.sorted, q, comparePeers)
	p.sorted = slices.Insert(p.sorted, at, q)
	return q
}

func (p *Planner) dropPeer(q *peer) {
	for c := range p.placements {
		if q.held.Has(c) && q.local {
			p.holders[c]--
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

func (p *Planner) setPeerChunk(q *peer, c int, has bool, now time.Time) {
	if has == q.held.Has(c) {
		return
	}
	if !has {
		q.held.Clear(c)
		if q.local {
			p.holders[c]--
		}
		return
	}
	q.held.Set(c)
	q.lastChunkAt = now
	if q.local {
		p.holders[c]++
		p.recordInRegion(c, now)
	}
}

func (p *Planner) peerFailed(q *peer, chunk int, cause Cause, now time.Time) {
	switch cause {
	case CauseMissing:
		p.setPeerChunk(q, chunk, false, now)
		return
	case CauseBusy:
		q.pausedUntil = now.Add(p.estimates[SourcePeer].average / 2)
		return
	case CauseCorrupt:
		q.corrupt++
		p.setPeerChunk(q, chunk, false, now)
		q.banned = q.corrupt >= corruptPeerLimit
	}
	q.failures++
	backoff := min(minPeerBackoff<<min(q.failures-1, 8), maxPeerBackoff)
	q.pausedUntil = now.Add(backoff)
}

func (p *Planner) isUsable(q *peer, now time.Time) bool {
	return !q.banned && !now.Before(q.pausedUntil)
}

// clearEarlyFailures resets the failures of peers from the time when the fetch time of a
// chunk was not known yet.
func (p *Planner) clearEarlyFailures() {
	for _, q := range p.sorted {
		q.failures = 0
		q.pausedUntil = time.Time{}
	}
}
