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
	// OriginBackoff is the wait after a failure of the origin; it doubles at most
	// OriginDoubles times.
	OriginBackoff time.Duration
	OriginDoubles int
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
		OriginDelay: 100 * time.Millisecond, OriginBackoff: 500 * time.Millisecond, OriginDoubles: 3,
	}
}

// Limits of the reaction to failures.
const (
	lateDeviations = 4                // a fetch is late after the usual time and these
	stallFactor    = 10               // gaps between new chunks until a takeover
	peerPenalty    = 2 * time.Second  // first pause of a failing peer
	maxStall       = time.Minute      // longest wait before the next in order takes over
	maxPenalty     = 30 * time.Second // longest pause of a failing peer
	maxOutage      = 8 * time.Second  // longest wait until a lost peer is tried again
	corruptLimit   = 2                // corrupt chunks until a peer is banned
	endgameChunks  = 16               // missing chunks from which a second peer is asked
	endgameFactor  = 2                // usual times until a second peer is asked
	sharedPatience = 6                // first timeouts that a fetch over a shared link is given
	sharedLate     = 5                // first timeouts after which such a fetch may count as stalled
	sharedFlights  = 32               // chunks that all members together have in flight over one
	maxFirst       = 8                // members watched only because this one is next to them
	despair        = 8                // waits after which the bound on takeovers is lifted
	patience       = 4                // takeovers' waits that a member that gets on is given
	originAttempts = 3                // corrupt answers of the origin until it is reported
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
	// window is how many chunks may be in flight from peers of the region, at most
	// Settings.PeerFetches; lateFrom is the peer that the last of them stalled at.
	window   int
	lateFrom fleet.InstanceID
	blocked  map[int]time.Time // since when no holder of a chunk can be asked
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
		progress: now, originAt: now.Add(set.OriginDelay), window: set.PeerFetches,
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
	if pipe.usual == 0 && s.Kind == SourcePeer {
		p.forgiveEarlyStalls()
	}
	pipe.learn(took)
	if s.Kind == SourceOrigin {
		p.originNo = 0
		return
	}
	if q, ok := p.peers[s.Peer]; ok {
		q.usual = average(q.usual, took)
		q.failures = 0
	}
	if s.Kind == SourcePeer {
		p.window, p.lateFrom = min(p.window+1, p.set.PeerFetches), ""
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
		p.narrow(f.Source)
	}
	if f.Source.Kind == SourceOrigin {
		p.originFailed(f, why, retryAfter, now)
		return
	}
	if q, ok := p.peers[f.Source.Peer]; ok {
		p.peerFailed(q, f.Chunk, why, now)
	}
}

// narrow halves the window when fetches from several peers stall in a row: what they
// share is the link of this instance, which more of them at once would only fill with
// chunks that do not arrive in time.
func (p *Planner) narrow(s Source) {
	if s.Kind != SourcePeer {
		return
	}
	if p.lateFrom != "" && p.lateFrom != s.Peer {
		p.window = max(1, p.window/2)
	}
	p.lateFrom = s.Peer
}

func (p *Planner) originFailed(f Fetch, why Cause, retryAfter time.Duration, now time.Time) {
	p.originNo++
	if why == CauseCorrupt {
		p.corrupt[f.Chunk]++
	}
	wait := p.set.OriginBackoff << min(p.originNo-1, p.set.OriginDoubles)
	wait += time.Duration(p.random.Int64N(int64(wait)))
	p.originAt = now.Add(max(wait, retryAfter))
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

// Resumed tells the planner that the process was paused: fetches are given up and
// the stall clock starts anew.
func (p *Planner) Resumed(now time.Time) []Fetch {
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
