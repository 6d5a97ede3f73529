// Package swarm plans how one instance fetches the chunks of one version: which chunk
// next, from which source, and which instance pulls which chunk from the origin, without
// a coordinator.
//
// # Usage
//
//	p := swarm.NewPlanner(settings, manifest, random, now)
//	p.SetMembers(members, now)
//	p.SetPeerChunks(peer, bitmap, now)
//	for _, f := range p.Next(now) {
//		// fetch f.Chunk from f.Source, then p.Done or p.Failed
//	}
//	for _, f := range p.Overdue(now) {
//		// cancel the fetch, then p.Failed(f, swarm.CauseStalled, 0, now)
//	}
//
// # Sources of chunks
//
// Every chunk has an order of regions and, in each region, an order of members,
// both by rendezvous hashing over the member list. The first member of the first
// region pulls the chunk from the origin. The first member of the next region
// pulls it from the previous region, so that each chunk enters and leaves each region
// at most once. All other members fetch it within their region. When no new chunk
// arrives in the region for some time, the next member in the order takes over; the
// wait follows the observed rate. In a partition each side has a first member of its
// own: this costs at most one copy from the origin per side and ends when the partition
// heals, because a chunk held by any peer is never requested from the origin.
//
// # Use of the link
//
// Settings.LinkFetches limits what is in flight over this instance's own link, whatever the sources. Live
// requests share that link, so fewer chunks are fetched at once while it is slow.
//
// # Selection of chunk and peer
//
// The peer with the shortest expected wait is selected first, for the rarest chunk that
// it holds and this instance lacks. Near the end, a chunk that is late is requested from
// a second peer as well.
package swarm

import (
	"math/rand/v2"
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/rank"
)

//go:generate stringer -type=Cause,SourceKind -output=swarm_string.go -linecomment

// Cause is the reason why a fetch failed.
type Cause int

// Causes of a failed fetch.
const (
	CauseStalled     Cause = iota // stalled
	CauseCorrupt                  // corrupt
	CauseBusy                     // busy
	CauseUnavailable              // gone
	CauseThrottled                // throttled
	CauseCanceled                 // canceled
	CauseMissing                  // missing
)

// SourceKind is the kind of source that a chunk is fetched from.
type SourceKind int

// Kinds of sources: a peer of this instance's region, a peer of another region, and the
// origin.
const (
	SourcePeer   SourceKind = iota // peer
	SourceRemote                   // remote
	SourceOrigin                   // origin
)

// Settings are the parameters of a Planner.
type Settings struct {
	Self   fleet.InstanceID
	Region fleet.Region
	// OriginRegion is the region whose members reach the origin without cross-region
	// traffic.
	OriginRegion fleet.Region
	Objective    fleet.Objective
	// MaxOriginCopies bounds the copies that the fleet may pull from the origin, including
	// takeovers for members that seem stalled.
	MaxOriginCopies             float64
	PeerFetches                 int // maximum chunks in flight from peers of the region
	RemoteFetches               int // maximum chunks in flight from each other region
	OriginFetches               int // maximum chunks in flight from the origin
	FetchesPerPeer              int // maximum chunks in flight from one peer
	LinkFetches                 int // maximum chunks in flight from all sources, 0 if not limited
	WatchedPeers                int // maximum peers watched in the region
	WatchedPeersPerRemoteRegion int // maximum peers watched in each other region
	// InitialTimeout is the fetch timeout before any fetch time is known.
	InitialTimeout time.Duration
	// OriginDelay is the initial time without requests to the origin, in which the
	// instances learn which chunks the others pull.
	OriginDelay time.Duration
	// OriginBackoff is the backoff after a failure of the origin; it doubles at most
	// OriginBackoffDoublings times.
	OriginBackoff          time.Duration
	OriginBackoffDoublings int
	// MinStallWait is the minimum wait before the next member in the order takes over.
	MinStallWait time.Duration
}

// DefaultSettings returns the settings of an instance in a region.
func DefaultSettings(self fleet.InstanceID, region fleet.Region) Settings {
	return Settings{
		Self: self, Region: region, OriginRegion: region, MaxOriginCopies: 1,
		PeerFetches: 8, RemoteFetches: 4, OriginFetches: 3, FetchesPerPeer: 2,
		WatchedPeers: 24, WatchedPeersPerRemoteRegion: 4,
		InitialTimeout: 10 * time.Second, MinStallWait: 2 * time.Second,
		OriginDelay: 100 * time.Millisecond, OriginBackoff: 500 * time.Millisecond, OriginBackoffDoublings: 3,
	}
}

// Limits, timeouts and backoffs of fetches.
const (
	lateDeviations           = 4                // deviations above the average fetch time after which a fetch is late
	stallFactor              = 10               // average gaps between new chunks until a takeover
	minPeerBackoff           = 2 * time.Second  // first backoff of a failing or disconnected peer
	maxStallWait             = time.Minute      // maximum wait before the next member in the order takes over
	maxPeerBackoff           = 30 * time.Second // maximum backoff of a failing peer
	maxReconnectWait         = 8 * time.Second  // maximum wait until a disconnected peer is watched again
	corruptPeerLimit         = 2                // number of corrupt chunks after which a peer is banned
	endgameChunks            = 16               // number of missing chunks at or below which a second peer is used
	endgameFactor            = 2                // average fetch times after which a second peer is used
	sharedInitialFactor      = 6                // initial timeout of fetches over a shared link, in units of InitialTimeout
	sharedMinFactor          = 5                // minimum timeout of fetches over a shared link, in units of InitialTimeout
	sharedFetches            = 32               // target number of chunks that all members have in flight over a shared link
	maxPredecessors          = 8                // maximum number of members watched only as predecessors
	unboundedTakeoverLevel   = 8                // takeover level from which the number of takeovers is not bounded
	progressingTakeoverLevel = 4                // takeover level from which chunks are taken over even from a predecessor that receives chunks
	corruptOriginLimit       = 3                // number of corrupt responses of the origin after which CorruptOriginChunk returns the chunk
)

// Member is an instance that should receive the version.
type Member struct {
	ID     fleet.InstanceID
	Region fleet.Region
}

// Source is where a chunk is fetched from.
type Source struct {
	Kind SourceKind
	Peer fleet.InstanceID // empty for the origin
}

// Fetch is the fetch of one chunk from one source.
type Fetch struct {
	Chunk  int
	Source Source
}

// flight is a fetch in progress.
type flight struct {
	Fetch
	region   fleet.Region // of a remote peer
	started  time.Time
	deadline time.Time
}

// Planner plans the fetches of one version on one instance. It is not safe for concurrent use.
type Planner struct {
	settings          Settings
	manifest          *Manifest
	random            *rand.Rand
	held              Bitmap
	missing           int
	inRegion          Bitmap   // chunks held by this instance or a peer of the region
	holders           []uint16 // number of peers of the region that hold each chunk
	otherMembers      int      // other members of the region
	takeovers         int      // chunks taken over from other members
	roundingOffset    float64  // in [0, 1): added before rounding down, so that some members round up
	members           []Member
	placements        []placement
	peers             map[fleet.InstanceID]*peer
	sorted            []*peer // by id, which keeps the plan independent of map order
	outages           map[fleet.InstanceID]outage
	watchList         []fleet.InstanceID
	watchListUntil    time.Time // when watchList expires, zero when it must be recomputed
	flights           []flight
	flightsByChunk    []uint8 // number of fetches in flight per chunk
	flightsBySource   [3]int
	flightsByRegion   map[fleet.Region]int // number of chunks in flight from each other region
	lastProgress      time.Time            // when a new chunk last arrived in the region
	averageGap        time.Duration        // between new chunks in the region
	estimates         [3]fetchTimeEstimate // by SourceKind
	originNotBefore   time.Time            // no fetch from the origin before
	originFailures    int                  // consecutive failures of the origin
	corruptFromOrigin map[int]int          // number of corrupt responses of the origin per chunk
	// window is the maximum number of chunks in flight from peers of the region, at most
	// Settings.PeerFetches. lastStalledPeer is the source of the last stalled fetch of these.
	window           int
	lastStalledPeer  fleet.InstanceID
	link             linkWindow
	unreachableSince map[int]time.Time // since when no holder of a chunk is reachable
}

// NewPlanner returns a planner for an instance that holds no chunk.
func NewPlanner(settings Settings, m *Manifest, random *rand.Rand, now time.Time) *Planner {
	n := len(m.Chunks)
	p := &Planner{
		settings: settings, manifest: m, random: random,
		held: NewBitmap(n), inRegion: NewBitmap(n), missing: n,
		holders: make([]uint16, n), placements: make([]placement, n), flightsByChunk: make([]uint8, n),
		peers:             map[fleet.InstanceID]*peer{},
		outages:           map[fleet.InstanceID]outage{},
		corruptFromOrigin: map[int]int{}, unreachableSince: map[int]time.Time{}, flightsByRegion: map[fleet.Region]int{},
		lastProgress: now, originNotBefore: now.Add(settings.OriginDelay), window: settings.PeerFetches, link: newLinkWindow(settings.LinkFetches),
	}
	shared := sharedInitialFactor * settings.InitialTimeout
	p.estimates = [3]fetchTimeEstimate{SourcePeer: {initialTimeout: settings.InitialTimeout}, SourceRemote: {initialTimeout: shared}, SourceOrigin: {initialTimeout: shared}}
	p.roundingOffset = float64(rank.Score(string(m.Version), string(settings.Self))>>11) / (1 << 53)
	p.SetMembers(nil, now)
	return p
}

// SetMembers replaces the instances that should receive the version. This instance is
// added if the list does not contain it.
func (p *Planner) SetMembers(members []Member, now time.Time) {
	p.members = slices.Clone(members)
	if !slices.ContainsFunc(p.members, func(m Member) bool { return m.ID == p.settings.Self }) {
		p.members = append(p.members, Member{p.settings.Self, p.settings.Region})
	}
	for _, q := range slices.Clone(p.sorted) {
		if !slices.ContainsFunc(p.members, func(m Member) bool { return m.ID == q.id }) {
			p.dropPeer(q)
		}
	}
	p.rankChunks()
}

// recordInRegion records that a chunk is in the region and updates the rate of new chunks.
func (p *Planner) recordInRegion(c int, now time.Time) {
	if p.inRegion.Has(c) {
		return
	}
	p.inRegion.Set(c)
	gap := now.Sub(p.lastProgress)
	if p.averageGap == 0 || p.takeoverLevel(now) == 0 {
		p.lastProgress = now
		p.averageGap = average(p.averageGap, gap)
		return
	}
	// A late chunk reduces the takeover level by one only: it may come from a takeover, and
	// other chunks may be missing for the same reason. For the same reason it is not a
	// sample of the average rate.
	p.lastProgress = p.lastProgress.Add(p.stallWait())
}

// AddHeld records a chunk that this instance already holds, for example because an older
// version contains it. The chunk must have been verified.
func (p *Planner) AddHeld(c int, now time.Time) {
	if c < 0 || c >= len(p.placements) || p.held.Has(c) {
		return
	}
	p.held.Set(c)
	p.missing--
	p.recordInRegion(c, now)
}

// Done records that a fetch has delivered a verified chunk. It returns the other fetches
// of the same chunk, which the caller cancels.
func (p *Planner) Done(f Fetch, now time.Time) []Fetch {
	if i := p.flightIndex(f); i >= 0 {
		duration := now.Sub(p.flights[i].started)
		p.removeFlight(i)
		p.recordFetchTime(f.Source, duration)
	}
	p.AddHeld(f.Chunk, now)
	var extra []Fetch
	for _, o := range p.flights {
		if o.Chunk == f.Chunk {
			extra = append(extra, o.Fetch)
		}
	}
	return extra
}

func (p *Planner) recordFetchTime(s Source, duration time.Duration) {
	estimate := &p.estimates[s.Kind]
	if estimate.average == 0 && s.Kind == SourcePeer {
		p.clearEarlyFailures()
	}
	estimate.add(duration)
	p.link.recordFetch(s, duration)
	if s.Kind == SourceOrigin {
		p.originFailures = 0
		return
	}
	if q, ok := p.peers[s.Peer]; ok {
		q.averageTime = average(q.averageTime, duration)
		q.failures = 0
	}
	if s.Kind == SourcePeer {
		p.window, p.lastStalledPeer = min(p.window+1, p.settings.PeerFetches), ""
	}
}

// average returns the moving average with the sample weighted 1/8.
func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/8
}

// Failed records that a fetch failed. retryAfter is the wait that the source requested, or
// zero.
func (p *Planner) Failed(f Fetch, cause Cause, retryAfter time.Duration, now time.Time) {
	if i := p.flightIndex(f); i >= 0 {
		p.removeFlight(i)
	}
	if cause == CauseCanceled {
		return
	}
	if cause == CauseStalled {
		p.estimates[f.Source.Kind].widen(f.Source.Kind)
		p.shrinkWindow(f.Source)
	}
	if f.Source.Kind == SourceOrigin {
		p.originFailed(f, cause, retryAfter, now)
		return
	}
	if q, ok := p.peers[f.Source.Peer]; ok {
		p.peerFailed(q, f.Chunk, cause, now)
	}
}

// shrinkWindow halves the window when consecutive fetches from different peers stall. Their
// common link is the one of this instance, and more fetches at once would only fill it with
// chunks that do not arrive in time.
func (p *Planner) shrinkWindow(s Source) {
	if s.Kind != SourcePeer {
		return
	}
	if p.lastStalledPeer != "" && p.lastStalledPeer != s.Peer {
		p.window = max(1, p.window/2)
	}
	p.lastStalledPeer = s.Peer
}

// originFailed records a failed fetch from the origin and sets its backoff.
func (p *Planner) originFailed(f Fetch, cause Cause, retryAfter time.Duration, now time.Time) {
	p.originFailures++
	if cause == CauseCorrupt {
		p.corruptFromOrigin[f.Chunk]++
	}
	wait := p.settings.OriginBackoff << min(p.originFailures-1, p.settings.OriginBackoffDoublings)
	wait += time.Duration(p.random.Int64N(int64(wait)))
	p.originNotBefore = now.Add(max(wait, retryAfter))
}

// CorruptOriginChunk returns a chunk that the origin repeatedly served corrupt, or false.
func (p *Planner) CorruptOriginChunk() (int, bool) {
	for c, n := range p.corruptFromOrigin {
		if n >= corruptOriginLimit && !p.held.Has(c) {
			return c, true
		}
	}
	return 0, false
}

// Overdue returns the fetches whose deadline has passed. The deadlines follow the observed
// fetch times.
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
	p.flightsBySource[f.Source.Kind]--
	p.flightsByChunk[f.Chunk]--
	if f.Source.Kind == SourceRemote {
		p.flightsByRegion[f.region]--
	}
	if q, ok := p.peers[f.Source.Peer]; ok && q.inFlight > 0 {
		q.inFlight--
	}
	p.flights = slices.Delete(p.flights, i, i+1)
}

func (p *Planner) flightIndex(f Fetch) int {
	return slices.IndexFunc(p.flights, func(o flight) bool { return o.Fetch == f })
}

func (p *Planner) isInFlight(c int) bool { return p.flightsByChunk[c] > 0 }

// Resumed records that the process was paused. It returns all fetches in flight, which the
// caller cancels, and restarts the stall timer.
func (p *Planner) Resumed(now time.Time) []Fetch {
	var out []Fetch
	for _, f := range p.flights {
		out = append(out, f.Fetch)
	}
	p.lastProgress = now
	return out
}

// InFlight returns the number of fetches in flight.
func (p *Planner) InFlight() int { return len(p.flights) }

// Missing returns the number of chunks that this instance lacks.
func (p *Planner) Missing() int { return p.missing }

// Held returns a copy of the set of chunks that this instance holds.
func (p *Planner) Held() Bitmap { return slices.Clone(p.held) }

// Has reports whether this instance holds chunk c.
func (p *Planner) Has(c int) bool { return p.held.Has(c) }

// Manifest returns the manifest of the planned version.
func (p *Planner) Manifest() *Manifest { return p.manifest }
