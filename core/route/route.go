// Package route chooses the target of a request.
//
// # Usage
//
//	t, ok := p.Choose(candidates, route.Query{Prefix: h, Version: v}, now)
//	p.Started(t.ID, now)
//	p.Finished(t.ID, now)
//
// # Choice
//
// The load of a target is what this entry has in flight there, known exactly,
// plus what the target reported, weighed down as the report ages. A request goes
// to the target that most likely caches its prefix unless that target carries
// more than its bounded share of the load; then to the less loaded of two drawn
// at random. A choice costs a few binary searches: the prefix names its targets by
// their place on a ring of hashes.
package route

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/rank"
)

// Settings are the constants of a Picker.
type Settings struct {
	// Bound is how far above the mean load an affine target may be.
	Bound float64
	// SpillAt is the load, as a share of capacity, at which a request leaves its
	// zone.
	SpillAt float64
	// ReportHalfLife is the age at which a load report counts half.
	ReportHalfLife time.Duration
	// PrefixLife is how long a reported prefix is believed without news.
	PrefixLife time.Duration
	// Prefixes bounds the remembered prefixes.
	Prefixes int
	// AffinePicks is how many targets a prefix hashes to.
	AffinePicks int
}

// DefaultSettings suit engines whose cache events lag by seconds.
var DefaultSettings = Settings{
	Bound:          1.25,
	SpillAt:        0.9,
	ReportHalfLife: 2 * time.Second,
	PrefixLife:     2 * time.Minute,
	Prefixes:       8192,
	AffinePicks:    2,
}

// Target is a candidate for one request.
type Target struct {
	ID       fleet.InstanceID
	Capacity int // requests at once
	Hash     uint64
}

// Query is what the choice depends on besides the load.
type Query struct {
	Prefix uint64 // hash of the prompt's beginning, 0 when there is none
	// Alone asks for a target without any other request.
	Alone bool
	// Avoid lists targets that have been tried.
	Avoid []fleet.InstanceID
}

type load struct {
	inFlight int
	reported float64
	at       time.Time
}

type sighting struct {
	target fleet.InstanceID
	at     time.Time
}

// Picker chooses targets. It is not safe for concurrent use.
type Picker struct {
	set      Settings
	random   *rand.Rand
	loads    map[fleet.InstanceID]*load
	prefixes map[uint64]sighting
	total    int // requests in flight of this entry
}

// NewPicker returns a picker that draws from random.
func NewPicker(set Settings, random *rand.Rand) *Picker {
	return &Picker{set: set, random: random, loads: map[fleet.InstanceID]*load{}, prefixes: map[uint64]sighting{}}
}

// Started counts a request sent to a target.
func (p *Picker) Started(id fleet.InstanceID) {
	p.load(id).inFlight++
	p.total++
}

// Finished counts the end of a request.
func (p *Picker) Finished(id fleet.InstanceID) {
	l := p.load(id)
	if l.inFlight == 0 {
		return
	}
	l.inFlight--
	p.total--
}

// InFlight returns the requests of this entry on a target.
func (p *Picker) InFlight(id fleet.InstanceID) int { return p.load(id).inFlight }

// Reported records the load that a target reports: all requests on it, those of
// this entry included.
func (p *Picker) Reported(id fleet.InstanceID, requests int, now time.Time) {
	l := p.load(id)
	l.reported = math.Max(0, float64(requests-l.inFlight))
	l.at = now
}

// Cached records that a target says it caches a prefix.
func (p *Picker) Cached(id fleet.InstanceID, prefix uint64, now time.Time) {
	if len(p.prefixes) >= p.set.Prefixes {
		p.dropPrefixes(now)
	}
	p.prefixes[prefix] = sighting{id, now}
}

// Keep drops what is known of targets that are not listed and run nothing of this entry.
func (p *Picker) Keep(listed func(fleet.InstanceID) bool) {
	for id, l := range p.loads {
		if l.inFlight == 0 && !listed(id) {
			delete(p.loads, id)
		}
	}
}

// Choose returns the target for a query, or false when every candidate is
// excluded. The candidates are in the order of Sort.
func (p *Picker) Choose(candidates []Target, q Query, now time.Time) (Target, bool) {
	if q.Alone {
		return p.idlest(candidates, q, now)
	}
	if q.Prefix != 0 {
		if t, ok := p.affine(candidates, q, now); ok {
			return t, true
		}
	}
	return p.twoChoices(candidates, q, now)
}

// ChooseNear chooses among near candidates while one of them has room, and else
// among all: a request crosses between zones only when its own is full.
func (p *Picker) ChooseNear(near, all []Target, q Query, now time.Time) (Target, bool) {
	if t, ok := p.Choose(near, q, now); ok && p.relative(t, now) < p.set.SpillAt {
		return t, true
	}
	return p.Choose(all, q, now)
}

// affine returns the target that is believed to cache the prefix, or one that
// the prefix hashes to, when its load is within the bound.
func (p *Picker) affine(candidates []Target, q Query, now time.Time) (Target, bool) {
	if len(candidates) == 0 {
		return Target{}, false
	}
	limit := p.bound(candidates, now)
	if s, ok := p.prefixes[q.Prefix]; ok && now.Sub(s.at) < p.set.PrefixLife {
		if t, ok := find(candidates, s.target); ok && p.fits(t, q, limit, now) {
			return t, true
		}
	}
	for i := range p.set.AffinePicks {
		t := candidates[slot(candidates, q.Prefix, i)]
		if p.fits(t, q, limit, now) {
			return t, true
		}
	}
	return Target{}, false
}

// twoChoices returns the less loaded of two different candidates drawn at random.
func (p *Picker) twoChoices(candidates []Target, q Query, now time.Time) (Target, bool) {
	n := len(candidates)
	if n == 0 {
		return Target{}, false
	}
	start := p.random.IntN(n)
	a, ok := draw(candidates, q, start, n)
	if !ok || n == 1 {
		return a, ok
	}
	b, ok := draw(candidates, q, start+1+p.random.IntN(n-1), n)
	if ok && p.relative(b, now) < p.relative(a, now) {
		return b, true
	}
	return a, true
}

// draw returns the first candidate from start on that is not avoided.
func draw(candidates []Target, q Query, start, n int) (Target, bool) {
	for i := range n {
		t := candidates[(start+i)%n]
		if !avoided(q, t.ID) {
			return t, true
		}
	}
	return Target{}, false
}

// idlest returns a target without requests in flight, or false.
func (p *Picker) idlest(candidates []Target, q Query, now time.Time) (Target, bool) {
	for _, t := range candidates {
		if !avoided(q, t.ID) && p.weight(t.ID, now) < 0.5 {
			return t, true
		}
	}
	return Target{}, false
}

func (p *Picker) fits(t Target, q Query, limit float64, now time.Time) bool {
	return !avoided(q, t.ID) && p.relative(t, now) <= limit
}

// bound returns the highest relative load at which affinity is followed. The
// mean is estimated from a fixed number of candidates.
func (p *Picker) bound(candidates []Target, now time.Time) float64 {
	n := min(len(candidates), meanSamples)
	start := 0
	if n < len(candidates) {
		start = p.random.IntN(len(candidates))
	}
	sum := 0.0
	for i := range n {
		sum += p.relative(candidates[(start+i)%len(candidates)], now)
	}
	return p.set.Bound*sum/float64(n) + 1/float64(max(1, candidates[0].Capacity))
}

// meanSamples bounds the work of estimating the mean load.
const meanSamples = 16

// relative returns the load of a target as a share of its capacity.
func (p *Picker) relative(t Target, now time.Time) float64 {
	return p.weight(t.ID, now) / float64(max(1, t.Capacity))
}

func (p *Picker) weight(id fleet.InstanceID, now time.Time) float64 {
	l, ok := p.loads[id]
	if !ok {
		return 0
	}
	age := max(0, now.Sub(l.at))
	return float64(l.inFlight) + l.reported*math.Exp2(-float64(age)/float64(p.set.ReportHalfLife))
}

func (p *Picker) load(id fleet.InstanceID) *load {
	l, ok := p.loads[id]
	if !ok {
		l = &load{}
		p.loads[id] = l
	}
	return l
}

// dropPrefixes forgets old sightings, and a part of the others when none is old.
func (p *Picker) dropPrefixes(now time.Time) {
	for h, s := range p.prefixes {
		if now.Sub(s.at) >= p.set.PrefixLife {
			delete(p.prefixes, h)
		}
	}
	for h := range p.prefixes {
		if len(p.prefixes) < p.set.Prefixes*3/4 {
			return
		}
		delete(p.prefixes, h)
	}
}

// find returns the candidate called id. The candidates are sorted by Hash.
func find(candidates []Target, id fleet.InstanceID) (Target, bool) {
	i := lowerBound(candidates, rank.Hash(string(id)))
	if i < len(candidates) && candidates[i].ID == id {
		return candidates[i], true
	}
	return Target{}, false
}

// slot places a prefix on the ring of candidates by hash, so that a target that
// comes or goes moves only the prefixes beside it.
func slot(candidates []Target, prefix uint64, pick int) int {
	i := lowerBound(candidates, rank.ScoreNumber(prefix, uint64(pick)))
	return i % len(candidates)
}

func lowerBound(candidates []Target, h uint64) int {
	i, _ := slices.BinarySearchFunc(candidates, h, func(t Target, h uint64) int {
		return cmp.Compare(t.Hash, h)
	})
	return i
}

// Sort puts candidates into the order that Choose wants.
func Sort(candidates []Target) {
	slices.SortFunc(candidates, func(a, b Target) int { return cmp.Compare(a.Hash, b.Hash) })
}

// NewTarget returns a candidate for id.
func NewTarget(id fleet.InstanceID, capacity int) Target {
	return Target{ID: id, Capacity: capacity, Hash: rank.Hash(string(id))}
}

func avoided(q Query, id fleet.InstanceID) bool {
	for _, a := range q.Avoid {
		if a == id {
			return true
		}
	}
	return false
}
