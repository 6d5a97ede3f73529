// Package swarm plans how one instance gets the chunks of one version: which
// chunk next, from whom, and who pulls what from the origin, without a
// coordinator.
//
// # Usage
//
//	p := swarm.NewPlanner(settings, manifest, random, now)
//	p.SetMembers(members, now)
//	p.PeerHas(peer, bitmap, now)
//	for _, f := range p.Next(now) {
//		// fetch f.Chunk from f.Source, then p.Done or p.Failed
//	}
//	for _, f := range p.Overdue(now) {
//		// cancel the fetch, then p.Failed(f, swarm.CauseStalled, 0, now)
//	}
//
// # Who pulls what
//
// Every chunk has an order of regions and, in each region, an order of members,
// both by rendezvous hashing over the member list. The first member of the first
// region pulls the chunk from the origin. The first member of the next region
// pulls it from the region before, so that each region carries each chunk at
// most once in and once out. All others get it inside their region. When no
// new chunk shows up in the region for a while, the next in order takes over; the wait
// follows the observed rate. Two sides of a partition each elect a first member:
// the cost is at most one copy from the origin a side, and it ends on healing
// because a chunk that any peer holds is never asked of the origin.
//
// # Which chunk, from whom
//
// The peer with the shortest expected wait is asked first, for the rarest chunk
// that it holds and this instance lacks. Near the end a chunk that is late is
// asked of a second peer.
package swarm

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/rank"
)

//go:generate stringer -type=Cause,SourceKind -output=swarm_string.go -linecomment

// Cause says why a fetch failed.
type Cause int

// The causes.
const (
	CauseStalled   Cause = iota // stalled
	CauseCorrupt                // corrupt
	CauseBusy                   // busy
	CauseGone                   // gone
	CauseThrottled              // throttled
	CauseCanceled               // canceled
	CauseMissing                // missing
)

// SourceKind tells where a chunk comes from.
type SourceKind int

// The kinds of sources.
const (
	SourcePeer   SourceKind = iota // peer
	SourceRemote                   // remote
	SourceOrigin                   // origin
)

// Settings are the constants of a Planner.
type Settings struct {
	Self   fleet.InstanceID
	Region fleet.Region
	// OriginRegion is the region whose members may reach the origin without
	// crossing between regions.
	OriginRegion fleet.Region
	Objective    fleet.Objective
	// MaxOriginCopies bounds the copies that the fleet may pull while it takes
	// over for members that seem stuck.
	MaxOriginCopies float64
	PeerFetches     int // chunks in flight from peers of the region
	RemoteFetches   int // chunks in flight from each other region
	OriginFetches   int // chunks in flight from the origin
	PerPeer         int // chunks in flight from one peer
	Neighbours      int // peers watched in the region
	RemotePerRegion int // peers watched in each other region
	// FirstTimeout is the progress deadline before any rate is known.
	FirstTimeout time.Duration
	// OriginDelay is how long nothing is asked of the origin at first, so that the
	// instances come to know of each other's part.
	OriginDelay time.Duration
	// MinStall is the shortest wait before the next in order takes over.
	MinStall time.Duration
}

// DefaultSettings returns the settings of an instance in a region.
func DefaultSettings(self fleet.InstanceID, region fleet.Region) Settings {
	return Settings{
		Self: self, Region: region, OriginRegion: region, MaxOriginCopies: 1,
		PeerFetches: 8, RemoteFetches: 4, OriginFetches: 3, PerPeer: 2,
		Neighbours: 24, RemotePerRegion: 4,
		FirstTimeout: 10 * time.Second, MinStall: 2 * time.Second,
		OriginDelay: 100 * time.Millisecond,
	}
}

// Limits of the reaction to failures.
const (
	lateDeviations   = 4                // a fetch is late after the usual time and these
	stallFactor      = 10               // gaps between new chunks until a takeover
	peerPenalty      = 2 * time.Second  // first pause of a failing peer
	maxStall         = time.Minute      // longest wait before the next in order takes over
	maxPenalty       = 30 * time.Second // longest pause of a failing peer
	maxOutage        = 8 * time.Second  // longest wait until a lost peer is tried again
	corruptLimit     = 2                // corrupt chunks until a peer is banned
	endgameChunks    = 16               // missing chunks from which a second peer is asked
	endgameFactor    = 2                // usual times until a second peer is asked
	sharedPatience   = 6                // first timeouts that a fetch over a shared link is given
	sharedFlights    = 32               // chunks that all members together have in flight over one
	originMaxDoubles = 3                // of the backoff
	originBackoff    = 500 * time.Millisecond
	maxFirst         = 8 // members watched only because this one is next to them
	despair          = 8 // waits after which the bound on takeovers is lifted
	patience         = 4 // takeovers' waits that a member that gets on is given
	originAttempts   = 3 // corrupt answers of the origin until it is reported
)

// Member is an instance that should get the version.
type Member struct {
	ID     fleet.InstanceID
	Region fleet.Region
}

// Source is where a chunk is fetched from.
type Source struct {
	Kind SourceKind
	Peer fleet.InstanceID // empty for the origin
}

// Fetch is one order to get a chunk.
type Fetch struct {
	Chunk  int
	Source Source
}

type flight struct {
	Fetch
	region   fleet.Region // of a remote peer
	started  time.Time
	deadline time.Time
}

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

// Planner plans one version on one instance. It is not safe for concurrent use.
type Planner struct {
	set        Settings
	manifest   *Manifest
	random     *rand.Rand
	held       Bitmap
	missing    int
	seen       Bitmap // chunks held here or by a peer of the region
	avail      []uint16
	neighbours int     // other members of the region
	takeovers  int     // chunks fetched in the place of another member
	luck       float64 // in [0, 1): rounds a share of a chunk up for some members
	members    []Member
	place      []placement
	peers      map[fleet.InstanceID]*peer
	sorted     []*peer // by id, so that the plan does not depend on map order
	failed     map[fleet.InstanceID]outage
	wanted     []fleet.InstanceID
	wantedAt   time.Time // until when wanted holds, zero when it must be made anew
	flights    []flight
	flying     []uint8 // fetches in flight, by chunk
	counts     [3]int
	remote     map[fleet.Region]int // chunks in flight from other regions
	progress   time.Time            // when a chunk was last new in the region
	gap        time.Duration        // usual time between new chunks
	pipes      [3]pipe              // by kind of source
	originAt   time.Time            // not before
	originNo   int                  // failures in a row
	corrupt    map[int]int
	blocked    map[int]time.Time // since when no holder of a chunk can be asked
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

// placement is where a chunk comes from for this region.
type placement struct {
	rank       int16 // of this instance among the region's members
	fromOrigin bool
	previous   fleet.Region
	// first is the member of rank 0 where this instance is next in order.
	first fleet.InstanceID
}

// NewPlanner returns a planner that holds no chunk.
func NewPlanner(set Settings, m *Manifest, random *rand.Rand, now time.Time) *Planner {
	n := len(m.Chunks)
	p := &Planner{
		set: set, manifest: m, random: random,
		held: NewBitmap(n), seen: NewBitmap(n), missing: n,
		avail: make([]uint16, n), place: make([]placement, n), flying: make([]uint8, n),
		peers:   map[fleet.InstanceID]*peer{},
		failed:  map[fleet.InstanceID]outage{},
		corrupt: map[int]int{}, blocked: map[int]time.Time{}, remote: map[fleet.Region]int{},
		progress: now, originAt: now.Add(set.OriginDelay),
	}
	shared := sharedPatience * set.FirstTimeout
	p.pipes = [3]pipe{SourcePeer: {first: set.FirstTimeout}, SourceRemote: {first: shared}, SourceOrigin: {first: shared}}
	p.luck = float64(rank.Score(string(m.Version), string(set.Self))>>11) / (1 << 53)
	p.SetMembers(nil, now)
	return p
}

// SetMembers replaces the instances that should get the version, this one
// included or not.
func (p *Planner) SetMembers(members []Member, now time.Time) {
	p.members = slices.Clone(members)
	if !slices.ContainsFunc(p.members, func(m Member) bool { return m.ID == p.set.Self }) {
		p.members = append(p.members, Member{p.set.Self, p.set.Region})
	}
	for _, q := range slices.Clone(p.sorted) {
		if !slices.ContainsFunc(p.members, func(m Member) bool { return m.ID == q.id }) {
			p.dropPeer(q)
		}
	}
	p.rankChunks()
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

// see records that a chunk is in the region, and how fast new ones show up.
func (p *Planner) see(c int, now time.Time) {
	if p.seen.Has(c) {
		return
	}
	p.seen.Set(c)
	gap := now.Sub(p.progress)
	if p.gap == 0 || p.takeover(now) == 0 {
		p.progress = now
		p.gap = average(p.gap, gap)
		return
	}
	// A late chunk takes one wait back, not all: it may come from a takeover, and
	// others may be missing for the same reason. For that reason too it says
	// nothing about the usual rate.
	p.progress = p.progress.Add(p.stallWait())
}

// Hold records a chunk that is held already, for example one that an older
// version shares. It must have been verified.
func (p *Planner) Hold(c int, now time.Time) {
	if c < 0 || c >= len(p.place) || p.held.Has(c) {
		return
	}
	p.held.Set(c)
	p.missing--
	p.see(c, now)
}

// Done records that a fetch brought a verified chunk. It returns the other
// fetches of the same chunk, which are to be canceled.
func (p *Planner) Done(f Fetch, now time.Time) []Fetch {
	if i := p.flightIndex(f); i >= 0 {
		took := now.Sub(p.flights[i].started)
		p.removeFlight(i)
		p.learn(f.Source, took)
	}
	p.Hold(f.Chunk, now)
	var extra []Fetch
	for _, o := range p.flights {
		if o.Chunk == f.Chunk {
			extra = append(extra, o.Fetch)
		}
	}
	return extra
}

func (p *Planner) learn(s Source, took time.Duration) {
	pipe := &p.pipes[s.Kind]
	pipe.learn(took)
	if s.Kind == SourceOrigin {
		p.originNo = 0
		return
	}
	if q, ok := p.peers[s.Peer]; ok {
		q.usual = average(q.usual, took)
		q.failures = 0
	}
}

func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/8
}

// Failed records that a fetch failed. retryAfter is the wait that the source
// asked for, zero when it named none.
func (p *Planner) Failed(f Fetch, why Cause, retryAfter time.Duration, now time.Time) {
	if i := p.flightIndex(f); i >= 0 {
		p.removeFlight(i)
	}
	if why == CauseCanceled {
		return
	}
	if why == CauseStalled {
		p.pipes[f.Source.Kind].stalled(f.Source.Kind)
	}
	if f.Source.Kind == SourceOrigin {
		p.originFailed(f, why, retryAfter, now)
		return
	}
	if q, ok := p.peers[f.Source.Peer]; ok {
		p.peerFailed(q, f.Chunk, why, now)
	}
}

func (p *Planner) originFailed(f Fetch, why Cause, retryAfter time.Duration, now time.Time) {
	p.originNo++
	if why == CauseCorrupt {
		p.corrupt[f.Chunk]++
	}
	wait := originBackoff << min(p.originNo-1, originMaxDoubles)
	wait += time.Duration(p.random.Int64N(int64(wait)))
	p.originAt = now.Add(max(wait, retryAfter))
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

// Corrupt returns a chunk that the origin keeps answering corrupt, or false.
func (p *Planner) Corrupt() (int, bool) {
	for c, n := range p.corrupt {
		if n >= originAttempts && !p.held.Has(c) {
			return c, true
		}
	}
	return 0, false
}

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
		return level > 1 || p.mayTakeOver(level)
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
	for p.counts[SourcePeer] < p.set.PeerFetches {
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

// rarest returns the chunk that q holds, is missing here, not in flight and held
// by the fewest peers; ties are drawn.
func (p *Planner) rarest(q *peer) (int, bool) {
	best, low, ties := -1, math.MaxInt, 0
	for c := range p.place {
		if !q.has.Has(c) || p.held.Has(c) || p.inFlight(c) {
			continue
		}
		n := int(p.avail[c])
		switch {
		case n < low:
			best, low, ties = c, n, 1
		case n == low:
			ties++
			if p.random.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best, best >= 0
}

// best returns the usable peer with the shortest expected wait; ties are drawn.
func (p *Planner) best(now time.Time, ok func(*peer) bool) *peer {
	var best *peer
	low, ties := time.Duration(math.MaxInt64), 0
	for _, q := range p.sorted {
		slots := p.set.PerPeer
		if q.failures > 0 {
			slots = 1 // one fetch shows whether it works again
		}
		if !p.usable(q, now) || q.inFlight >= slots || !ok(q) {
			continue
		}
		wait := time.Duration(q.inFlight+1) * q.usual
		switch {
		case wait < low:
			best, low, ties = q, wait, 1
		case wait == low:
			ties++
			if p.random.IntN(ties) == 0 {
				best = q
			}
		}
	}
	return best
}

func (p *Planner) usable(q *peer, now time.Time) bool {
	return !q.banned && !now.Before(q.notUntil)
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

// Overdue returns the fetches whose progress deadline passed. The deadline
// follows the observed time of a chunk.
func (p *Planner) Overdue(now time.Time) []Fetch {
	var out []Fetch
	for _, f := range p.flights {
		if now.After(f.deadline) {
			out = append(out, f.Fetch)
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
	if s.Kind == SourceOrigin {
		return max(p.set.FirstTimeout, 2*late)
	}
	return max(p.set.MinStall, late)
}

func (p *Planner) removeFlight(i int) {
	f := p.flights[i]
	p.counts[f.Source.Kind]--
	p.flying[f.Chunk]--
	if f.Source.Kind == SourceRemote {
		p.remote[f.region]--
	}
	if q, ok := p.peers[f.Source.Peer]; ok && q.inFlight > 0 {
		q.inFlight--
	}
	p.flights = slices.Delete(p.flights, i, i+1)
}

func (p *Planner) flightIndex(f Fetch) int {
	return slices.IndexFunc(p.flights, func(o flight) bool { return o.Fetch == f })
}

func (p *Planner) inFlight(c int) bool { return p.flying[c] > 0 }

// Woke tells the planner that the process was paused: fetches are given up and
// the stall clock starts anew.
func (p *Planner) Woke(now time.Time) []Fetch {
	var out []Fetch
	for _, f := range p.flights {
		out = append(out, f.Fetch)
	}
	p.progress = now
	return out
}

// InFlight returns the fetches that have begun and not ended.
func (p *Planner) InFlight() int { return len(p.flights) }

// Missing returns how many chunks are not held.
func (p *Planner) Missing() int { return p.missing }

// Held returns a copy of the set of held chunks.
func (p *Planner) Held() Bitmap { return slices.Clone(p.held) }

// Has tells whether chunk c is held.
func (p *Planner) Has(c int) bool { return p.held.Has(c) }

// Manifest returns the manifest that is planned.
func (p *Planner) Manifest() *Manifest { return p.manifest }
