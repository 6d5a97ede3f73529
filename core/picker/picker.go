// Package picker selects the target of a request. app/entry uses it; app/gateway uses
// package loadbalance.
//
// # Usage
//
//	targets := picker.Eligible(candidates, versions) // candidates sorted by hash
//	t, ok := p.Choose(targets, picker.Query{Prefix: h}, now)
//	p.RecordStart(t.ID)
//	p.RecordEnd(t.ID)
//
// # Choice
//
// The load of a target is the exact number of requests that this entry has in flight
// there, plus the load that the target reported, which decays as the report ages. A
// request goes to the target that most likely caches its prefix, unless the load of that
// target exceeds the bound; then to the less loaded of two random targets. A choice costs
// at most 1 + AffinityCandidates binary searches, because a prefix is mapped to its
// targets by consistent hashing.
package picker

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/rank"
)

// Settings configure a Picker.
type Settings struct {
	// MaxLoadFactor is the factor above the mean load up to which a target is chosen for
	// its affinity to the prefix.
	MaxLoadFactor float64
	// SpillThreshold is the load, as a fraction of capacity, at which a request is sent to
	// another zone.
	SpillThreshold float64
	// ReportHalfLife is the age at which the weight of a load report is halved.
	ReportHalfLife time.Duration
	// PrefixTTL is how long a reported prefix is considered cached without a new report.
	PrefixTTL time.Duration
	// MaxPrefixes limits the number of prefixes kept.
	MaxPrefixes int
	// AffinityCandidates is the number of targets that a prefix hashes to.
	AffinityCandidates int
}

// DefaultSettings suit engines whose cache events are delayed by seconds.
var DefaultSettings = Settings{
	MaxLoadFactor:      1.25,
	SpillThreshold:     0.9,
	ReportHalfLife:     2 * time.Second,
	PrefixTTL:          2 * time.Minute,
	MaxPrefixes:        8192,
	AffinityCandidates: 2,
}

// Target is a candidate for one request.
type Target struct {
	ID       fleet.InstanceID
	Capacity int // maximum concurrent requests
	Hash     uint64
}

// Query describes the request for which a target is chosen.
type Query struct {
	Prefix uint64 // hash of the prompt's prefix, 0 if there is none
	// Exclusive restricts the choice to targets without any other request.
	Exclusive bool
	// Avoid lists targets that were already tried.
	Avoid []fleet.InstanceID
}

type targetLoad struct {
	inFlight int
	reported float64
	at       time.Time
}

type cachedPrefix struct {
	target fleet.InstanceID
	at     time.Time
}

// Picker chooses targets. It is not safe for concurrent use.
type Picker struct {
	settings Settings
	random   *rand.Rand
	loads    map[fleet.InstanceID]*targetLoad
	prefixes map[uint64]cachedPrefix
	total    int // requests of this entry in flight on all targets
}

// NewPicker returns a picker that takes its random choices from random.
func NewPicker(settings Settings, random *rand.Rand) *Picker {
	return &Picker{settings: settings, random: random, loads: map[fleet.InstanceID]*targetLoad{}, prefixes: map[uint64]cachedPrefix{}}
}

// RecordStart records that a request was sent to a target.
func (p *Picker) RecordStart(id fleet.InstanceID) {
	p.load(id).inFlight++
	p.total++
}

// RecordEnd records the end of a request on a target.
func (p *Picker) RecordEnd(id fleet.InstanceID) {
	l := p.load(id)
	if l.inFlight == 0 {
		return
	}
	l.inFlight--
	p.total--
}

// InFlight returns the number of requests that this entry has in flight on a target.
func (p *Picker) InFlight(id fleet.InstanceID) int { return p.load(id).inFlight }

// RecordLoad records the load that a target reported: the number of all requests on it,
// including those of this entry.
func (p *Picker) RecordLoad(id fleet.InstanceID, requests int, now time.Time) {
	l := p.load(id)
	l.reported = math.Max(0, float64(requests-l.inFlight))
	l.at = now
}

// RecordCachedPrefix records that a target reported a prefix as cached.
func (p *Picker) RecordCachedPrefix(id fleet.InstanceID, prefix uint64, now time.Time) {
	if len(p.prefixes) >= p.settings.MaxPrefixes {
		p.evictPrefixes(now)
	}
	p.prefixes[prefix] = cachedPrefix{id, now}
}

// Retain deletes the state of targets that are not listed and run no request of this entry.
func (p *Picker) Retain(listed func(fleet.InstanceID) bool) {
	for id, l := range p.loads {
		if l.inFlight == 0 && !listed(id) {
			delete(p.loads, id)
		}
	}
}

// Free returns the candidates with capacity for another request, in the same order.
func (p *Picker) Free(candidates []Target, now time.Time) []Target {
	var out []Target
	for _, t := range candidates {
		if p.estimatedLoad(t.ID, now)+1 <= float64(max(1, t.Capacity)) {
			out = append(out, t)
		}
	}
	return out
}

// Choose returns the target for a query, or false if every candidate is excluded. The
// candidates must be in the order of Sort.
func (p *Picker) Choose(candidates []Target, q Query, now time.Time) (Target, bool) {
	if q.Exclusive {
		return p.chooseIdle(candidates, q, now)
	}
	if q.Prefix != 0 {
		if t, ok := p.chooseAffine(candidates, q, now); ok {
			return t, true
		}
	}
	return p.chooseOfTwo(candidates, q, now)
}

// ChooseZoneFirst chooses among the candidates of the request's zone if the utilization of
// the chosen one is below SpillThreshold, and among all candidates otherwise, so that a
// request leaves its zone only if the zone is full.
func (p *Picker) ChooseZoneFirst(sameZone, all []Target, q Query, now time.Time) (Target, bool) {
	if t, ok := p.Choose(sameZone, q, now); ok && p.utilization(t, now) < p.settings.SpillThreshold {
		return t, true
	}
	return p.Choose(all, q, now)
}

// chooseAffine returns the target that reported the prefix as cached, or one that the
// prefix hashes to, if its load is within the bound.
func (p *Picker) chooseAffine(candidates []Target, q Query, now time.Time) (Target, bool) {
	if len(candidates) == 0 {
		return Target{}, false
	}
	limit := p.loadBound(candidates, now)
	if s, ok := p.prefixes[q.Prefix]; ok && now.Sub(s.at) < p.settings.PrefixTTL {
		if t, ok := findByID(candidates, s.target); ok && p.isWithinBound(t, q, limit, now) {
			return t, true
		}
	}
	for i := range p.settings.AffinityCandidates {
		t := candidates[ringPosition(candidates, q.Prefix, i)]
		if p.isWithinBound(t, q, limit, now) {
			return t, true
		}
	}
	return Target{}, false
}

// chooseOfTwo returns the less loaded of two different random candidates.
func (p *Picker) chooseOfTwo(candidates []Target, q Query, now time.Time) (Target, bool) {
	n := len(candidates)
	if n == 0 {
		return Target{}, false
	}
	start := p.random.IntN(n)
	a, ok := firstNotAvoided(candidates, q, start, n)
	if !ok || n == 1 {
		return a, ok
	}
	b, ok := firstNotAvoided(candidates, q, start+1+p.random.IntN(n-1), n)
	if ok && p.utilization(b, now) < p.utilization(a, now) {
		return b, true
	}
	return a, true
}

// firstNotAvoided returns the first candidate, starting at index start, that is not avoided.
func firstNotAvoided(candidates []Target, q Query, start, n int) (Target, bool) {
	for i := range n {
		t := candidates[(start+i)%n]
		if !isAvoided(q, t.ID) {
			return t, true
		}
	}
	return Target{}, false
}

// chooseIdle returns the first target with an estimated load below half a request, or
// false if there is none.
func (p *Picker) chooseIdle(candidates []Target, q Query, now time.Time) (Target, bool) {
	for _, t := range candidates {
		if !isAvoided(q, t.ID) && p.estimatedLoad(t.ID, now) < 0.5 {
			return t, true
		}
	}
	return Target{}, false
}

func (p *Picker) isWithinBound(t Target, q Query, limit float64, now time.Time) bool {
	return !isAvoided(q, t.ID) && p.utilization(t, now) <= limit
}

// loadBound returns the maximum utilization up to which a target is chosen for its
// affinity. The mean utilization is estimated from at most meanSamples candidates.
func (p *Picker) loadBound(candidates []Target, now time.Time) float64 {
	n := min(len(candidates), meanSamples)
	start := 0
	if n < len(candidates) {
		start = p.random.IntN(len(candidates))
	}
	sum := 0.0
	for i := range n {
		sum += p.utilization(candidates[(start+i)%len(candidates)], now)
	}
	return p.settings.MaxLoadFactor*sum/float64(n) + 1/float64(max(1, candidates[0].Capacity))
}

// meanSamples limits the number of candidates from which the mean load is estimated.
const meanSamples = 16

// utilization returns the load of a target as a fraction of its capacity.
func (p *Picker) utilization(t Target, now time.Time) float64 {
	return p.estimatedLoad(t.ID, now) / float64(max(1, t.Capacity))
}

func (p *Picker) estimatedLoad(id fleet.InstanceID, now time.Time) float64 {
	l, ok := p.loads[id]
	if !ok {
		return 0
	}
	age := max(0, now.Sub(l.at))
	return float64(l.inFlight) + l.reported*math.Exp2(-float64(age)/float64(p.settings.ReportHalfLife))
}

func (p *Picker) load(id fleet.InstanceID) *targetLoad {
	l, ok := p.loads[id]
	if !ok {
		l = &targetLoad{}
		p.loads[id] = l
	}
	return l
}

// evictPrefixes deletes expired prefixes, then arbitrary ones until fewer than 3/4 of
// MaxPrefixes are left.
func (p *Picker) evictPrefixes(now time.Time) {
	for h, s := range p.prefixes {
		if now.Sub(s.at) >= p.settings.PrefixTTL {
			delete(p.prefixes, h)
		}
	}
	for h := range p.prefixes {
		if len(p.prefixes) < p.settings.MaxPrefixes*3/4 {
			return
		}
		delete(p.prefixes, h)
	}
}

// findByID returns the candidate with the given ID. The candidates are sorted by Hash.
func findByID(candidates []Target, id fleet.InstanceID) (Target, bool) {
	i := lowerBound(candidates, rank.Hash(string(id)))
	if i < len(candidates) && candidates[i].ID == id {
		return candidates[i], true
	}
	return Target{}, false
}

// ringPosition returns the index of the candidate that a prefix maps to on the hash ring.
// A target that is added or removed only remaps the prefixes next to it on the ring.
func ringPosition(candidates []Target, prefix uint64, choice int) int {
	i := lowerBound(candidates, rank.ScoreNumber(prefix, uint64(choice)))
	return i % len(candidates)
}

func lowerBound(candidates []Target, h uint64) int {
	i, _ := slices.BinarySearchFunc(candidates, h, func(t Target, h uint64) int {
		return cmp.Compare(t.Hash, h)
	})
	return i
}

// Sort sorts candidates by hash, the order that Choose requires.
func Sort(candidates []Target) {
	slices.SortFunc(candidates, func(a, b Target) int { return cmp.Compare(a.Hash, b.Hash) })
}

// NewTarget returns a candidate with the given ID and capacity.
func NewTarget(id fleet.InstanceID, capacity int) Target {
	return Target{ID: id, Capacity: capacity, Hash: rank.Hash(string(id))}
}

func isAvoided(q Query, id fleet.InstanceID) bool {
	for _, a := range q.Avoid {
		if a == id {
			return true
		}
	}
	return false
}
