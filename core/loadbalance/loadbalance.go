// Package loadbalance tracks the free capacity of a service's targets and selects the target
// for each request. app/gateway uses it; app/entry uses package picker.
//
// # Usage
//
//	b := loadbalance.NewBalancer(settings, random)
//	b.SetTargets(targets)
//	b.RecordReport(id, requests, age, now) // a report of the target's agent was received
//	if id, ok := b.Choose(query, now); ok {
//		b.RecordStart(id, promptTokens, now)
//		… b.RecordFirstEvent(id, promptTokens) at the first event, if there is one …
//		b.RecordEnd(id, prefillTokens, result, now)
//	}
//
// # Load patterns
//
// More requests than the targets can batch: requests beyond a target's slots would delay
// the first event of every request on the target. They are queued at the entry instead,
// where admission is fair and requests that cannot be served in time are refused.
//
// Several entries share targets: an entry counts its own requests exactly and estimates
// those of other entries from reports that are several hundred milliseconds old. A report
// counts in full until it is much older than that; if it counted less with its age, the
// entries together would keep more requests on a full target than it has slots.
//
// A slot that becomes free is seen by all entries before any of them sees that another has
// taken it. An entry therefore counts only a share of what a report shows to have become
// free, while a slot that its own request leaves is its own to fill.
//
// Many entries and few targets: between two reports all entries would choose the same
// least loaded target. Each entry therefore prefers its home targets, whose load it knows
// best.
//
// Targets that nobody reports the load of, before more requests than they can run: every entry
// would fill all slots by itself, and the targets would queue the requests past their
// objectives, or turn most of them away. Each entry begins with its share of the slots and
// keeps more in flight only while responses stay as fast as before.
//
// A target that sheds load names the time in which it wants no requests. It gets none until
// then, and its slots do not count as free.
//
// A target that states a limit for all entries together has free slots, but takes only as many
// requests as this entry's share of the limit allows. It is preferred whenever it takes one, so that the
// limit is used.
//
// A target that fails fast looks idle and would attract all requests: each failure
// excludes the target for a backoff that doubles.
package loadbalance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/ratelimit"
)

//go:generate stringer -type=Result -output=loadbalance_string.go -linecomment

// Result is the outcome of a request on a target.
type Result int

// Results of a request on a target.
const (
	ResultDone    Result = iota // done
	ResultFull                  // full
	ResultFailed                // failed
	ResultUnknown               // unknown
)

// Settings are the parameters of a Balancer.
type Settings struct {
	// ReportHold is the age up to which the requests of other entries in a report count in
	// full. It is longer than the interval between reports. ReportHalfLife is the time after
	// it in which they come to count half, because the target's agent may be gone.
	ReportHold, ReportHalfLife time.Duration
	// FreedShare is the share of the other entries' requests that a report shows to have
	// ended which an entry counts as free slots.
	FreedShare float64
	// HomeBonus is how much more load than others, as a share of the slots, a home target
	// may have and still be chosen. The entries have different home targets, so they
	// do not all fill the same target between two reports.
	HomeBonus float64
	// OtherZonePenalty is how much less load than a target of the entry's zone, as a share
	// of the slots, a target of another zone must have to be chosen.
	OtherZonePenalty float64
	// FullBackoff is how long a target that rejected a request as full gets no requests.
	FullBackoff time.Duration
	// FailureBackoff is the backoff after the first failure; it doubles up to FailureBackoffMax.
	FailureBackoff, FailureBackoffMax time.Duration
	// PrefillWeight is the load, in requests, of 1,000 prompt tokens that await prefill.
	PrefillWeight float64
}

// DefaultSettings suit engines that report several times a second and low-bandwidth links
// between regions.
var DefaultSettings = Settings{
	ReportHold: 5 * time.Second, ReportHalfLife: 700 * time.Millisecond, FreedShare: 0.1, HomeBonus: 0.5, OtherZonePenalty: 0.35,
	FullBackoff: 60 * time.Millisecond, FailureBackoff: 300 * time.Millisecond, FailureBackoffMax: 5 * time.Second,
	PrefillWeight: 2,
}

// Target holds the properties of a target that selection depends on.
type Target struct {
	ID          fleet.InstanceID
	Incarnation fleet.Incarnation
	Slots       int
	// SameZone reports whether the target is in the entry's zone.
	SameZone bool
	// Home reports whether the target is one of those in its zone that this entry prefers.
	Home bool
	// NotBefore is the end of the time in which the target wants no requests.
	NotBefore time.Time
	Engine
}

// Engine holds what the agent of a model's target reports about it. It is zero for other targets.
type Engine struct {
	// ReportsLoad reports whether an agent at the target's address has reported load.
	ReportsLoad bool
	// ReportInterval is the time between two reports of the target's load.
	ReportInterval time.Duration
	// Closed reports whether the target finishes its requests and accepts no new ones.
	Closed bool
}

// RateLimits holds this entry's shares of the limits that targets state.
type RateLimits interface {
	// Available returns how many requests a target may get now, with the part of one that was gained, and
	// whether it has a limit.
	Available(id fleet.InstanceID, i fleet.Incarnation, now time.Time) (requests float64, limited bool)
	// ShareOf returns this entry's share of a target's limit.
	ShareOf(id fleet.InstanceID, i fleet.Incarnation) ratelimit.Share
}

// targetState is a target and its load as this entry knows it.
type targetState struct {
	Target
	own            ownRequests
	prefillTokens  int // prompt tokens of own requests without a first event
	othersRequests float64
	reportedAt     time.Time // zero before the first report
	knownSince     time.Time // first use of a target without a report
	pausedUntil    time.Time // excluded from selection until then
	failures       int
	errorRate      float64 // moving average of the share of failed requests
}

// Balancer tracks the load of one service's targets. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	random   *rand.Rand
	targets  map[fleet.InstanceID]*targetState
	ordered  []*targetState
	inFlight int
	entries  int // that may use the targets, including this one; 0 if unknown
	// unreported reports that no agents report the load of the targets, which the window then
	// limits.
	unreported bool
	window     window
	limits     RateLimits // nil if there are none
}

// NewBalancer returns a balancer without targets.
func NewBalancer(settings Settings, random *rand.Rand) *Balancer {
	return &Balancer{settings: settings, random: random, targets: map[fleet.InstanceID]*targetState{}}
}

// SetEntries sets the number of entries that may use the targets, including this one.
func (b *Balancer) SetEntries(n int) { b.entries = n }

// SetRateLimits sets the shares of limits that targets state.
func (b *Balancer) SetRateLimits(l RateLimits) { b.limits = l }

// available returns how many requests a target's limit allows now, and whether it has one.
func (b *Balancer) available(s *targetState, now time.Time) (requests float64, limited bool) {
	if b.limits == nil {
		return 0, false
	}
	return b.limits.Available(s.ID, s.Incarnation, now)
}

// SetUnreported sets whether the targets have no agents that report their load.
func (b *Balancer) SetUnreported(unreported bool) { b.unreported = unreported }

// SetTargets replaces the targets. The state of a target is kept while its incarnation is
// unchanged. Requests in flight on a removed target still count in InFlight.
func (b *Balancer) SetTargets(targets []Target) {
	states := make(map[fleet.InstanceID]*targetState, len(targets))
	b.ordered = b.ordered[:0]
	for _, t := range targets {
		s, ok := b.targets[t.ID]
		if !ok || s.Incarnation != t.Incarnation {
			s = &targetState{}
		}
		s.Target = t
		states[t.ID] = s
		b.ordered = append(b.ordered, s)
	}
	b.targets = states
}

// SetEngine replaces what is known about the engine of one target.
func (b *Balancer) SetEngine(id fleet.InstanceID, e Engine) {
	if s, ok := b.targets[id]; ok {
		s.Engine = e
	}
}

// RecordReport records how many requests ran or were queued on a target at a time before now,
// including those of this entry.
func (b *Balancer) RecordReport(id fleet.InstanceID, requests int, age time.Duration, now time.Time) {
	if s, ok := b.targets[id]; ok {
		// A queue at the target ends with the requests that wait there, and not as gradually as
		// its slots are taken again.
		others := math.Min(math.Max(0, float64(requests-s.own.at(now.Add(-age)))), float64(s.Slots))
		if b.entries == 1 {
			others = 0 // own requests that have ended since
		}
		if known := b.estimatedOthers(s, now); others < known {
			others = known - b.freedShare(s.SameZone, now.Sub(s.lastKnown()))*(known-others)
		}
		s.othersRequests, s.reportedAt = others, now
	}
}

// lastKnown returns the time of the last report, or of the assumption that stands for it.
func (s *targetState) lastKnown() time.Time {
	if s.reportedAt.IsZero() {
		return s.knownSince
	}
	return s.reportedAt
}

// freedShareInterval is the time between two reports that FreedShare is for.
const freedShareInterval = 560 * time.Millisecond

// freedShare returns the share of the slots that others have freed since a report of the given
// age that this entry counts. The entries of all zones share the targets of another zone.
func (b *Balancer) freedShare(sameZone bool, age time.Duration) float64 {
	share := b.settings.FreedShare
	if !sameZone && b.entries > 0 {
		share = math.Min(share, 1/float64(b.entries))
	}
	if b.entries > 0 {
		share = math.Max(share, 1/float64(b.entries*b.entries)) // few entries rarely take the same slot
	}
	return 1 - math.Pow(1-share, float64(age)/float64(freedShareInterval))
}

// RecordStart counts a request sent to a target.
func (b *Balancer) RecordStart(id fleet.InstanceID, promptTokens int, now time.Time) {
	b.inFlight++
	if s, ok := b.targets[id]; ok {
		s.own.started(now)
		s.prefillTokens += promptTokens
	}
}

// RecordFirstEvent records the first event of a request, which shows that its prefill is
// complete.
func (b *Balancer) RecordFirstEvent(id fleet.InstanceID, promptTokens int) {
	if s, ok := b.targets[id]; ok {
		s.prefillTokens = max(0, s.prefillTokens-promptTokens)
	}
}

// RecordEnd records the end of a request. prefillTokens is the number of its prompt tokens if
// it had no first event, else 0.
func (b *Balancer) RecordEnd(id fleet.InstanceID, prefillTokens int, result Result, now time.Time) {
	b.inFlight = max(0, b.inFlight-1)
	s, ok := b.targets[id]
	if !ok {
		return
	}
	s.own.ended(now)
	s.prefillTokens = max(0, s.prefillTokens-prefillTokens)
	switch result {
	case ResultDone:
		s.failures = 0
		s.errorRate -= s.errorRate / errorWindow
	case ResultFull:
		b.window.shrink(now)
		s.pausedUntil = now.Add(b.settings.FullBackoff)
	case ResultFailed:
		b.recordFailure(s, now)
	}
}

// RecordDuration records the duration of a complete response, before its RecordEnd.
func (b *Balancer) RecordDuration(took time.Duration, now time.Time) {
	b.window.recordResponse(took, b.inFlight, b.share(), float64(b.slots()), now)
}

func (b *Balancer) slots() int {
	n := 0
	for _, s := range b.ordered {
		if !s.Closed {
			n += s.Slots
		}
	}
	return n
}

// share returns this entry's part of the slots.
func (b *Balancer) share() float64 {
	return slotSurplus * float64(b.slots()) / float64(max(1, b.entries))
}

// slotSurplus is how many requests the entries keep in flight for each slot of targets that
// nobody reports the load of. Entries that don't know of each other's requests fill some targets
// more than others.
const slotSurplus = 1.15

// ExpectedDuration returns how long responses of targets whose load nobody reports take now, or 0
// if that is unknown.
func (b *Balancer) ExpectedDuration() time.Duration {
	if !b.unreported {
		return 0
	}
	return b.window.mean
}

// RecordFailure records a failure of a target whose request has not ended.
func (b *Balancer) RecordFailure(id fleet.InstanceID, now time.Time) {
	if s, ok := b.targets[id]; ok {
		b.recordFailure(s, now)
	}
}

func (b *Balancer) recordFailure(s *targetState, now time.Time) {
	s.errorRate += (1 - s.errorRate) / errorWindow
	backoff := min(b.settings.FailureBackoff<<min(s.failures, maxDoublings), b.settings.FailureBackoffMax)
	s.pausedUntil = now.Add(backoff)
	s.failures++
}

const (
	// errorWindow is the number of requests over which the error rate is averaged.
	errorWindow = 8
	// maxDoublings bounds the shift of the backoff before its maximum is applied.
	maxDoublings = 6
	// errorPenalty is the load, as a share of the slots, added to a target on which all
	// requests fail.
	errorPenalty = 3
)

// estimatedRequests returns the number of requests on a target: this entry's own and the
// estimated number of other entries' requests.
func (b *Balancer) estimatedRequests(s *targetState, now time.Time) float64 {
	return float64(s.own.inFlight) + b.estimatedOthers(s, now)
}

func (b *Balancer) estimatedOthers(s *targetState, now time.Time) float64 {
	others, since := s.othersRequests, s.reportedAt
	if s.ReportsLoad && since.IsZero() {
		// A new target is empty, and all entries see it.
		if s.knownSince.IsZero() {
			s.knownSince = now
		}
		others, since = min((1-b.settings.FreedShare)*float64(s.Slots), float64(s.Slots-1)), s.knownSince
	}
	excess := max(0, now.Sub(since)-max(b.settings.ReportHold, 2*s.ReportInterval))
	others *= math.Exp2(-float64(excess) / float64(b.settings.ReportHalfLife))
	if others < minOthers {
		return 0
	}
	return others
}

// minOthers is the number of other entries' requests below which a target counts as free of
// them. The estimate approaches zero and never reaches it.
const minOthers = 0.1

// FreeSlots returns the estimated number of free slots on all available targets.
func (b *Balancer) FreeSlots(now time.Time) int {
	free := 0
	for _, s := range b.ordered {
		if !b.isAvailable(s, now) {
			continue
		}
		n := max(0, s.Slots-int(math.Ceil(b.estimatedRequests(s, now))))
		if allowed, limited := b.available(s, now); limited {
			n = min(n, int(allowed))
		}
		free += n
	}
	return free
}

// InFlight returns the number of this entry's requests in flight.
func (b *Balancer) InFlight() int { return b.inFlight }

// maxReportDelay is how long after its time a report counts as missing, and not as delayed by a busy
// agent or link.
const maxReportDelay = 400 * time.Millisecond

// isSilent reports whether the next report on a target is missing. Its agent stands on the same instance,
// so that the target has probably paused, too.
func (s *targetState) isSilent(now time.Time) bool {
	return s.ReportsLoad && !s.reportedAt.IsZero() && now.Sub(s.reportedAt) > s.ReportInterval+maxReportDelay
}

// areAllSilent reports whether the reports on all available targets are missing.
func (b *Balancer) areAllSilent(now time.Time) bool {
	for _, s := range b.ordered {
		if b.isAvailable(s, now) && !s.isSilent(now) {
			return false
		}
	}
	return true
}

func (b *Balancer) isAvailable(s *targetState, now time.Time) bool {
	if s.Closed || now.Before(s.pausedUntil) || now.Before(s.NotBefore) {
		return false
	}
	n, limited := b.available(s, now)
	return !limited || n >= 1
}

// Throughput is what limited targets take from this entry.
type Throughput struct {
	Requests float64        // now
	Rate     ratelimit.Rate // from now on
}

// Limited returns what the targets take if each of them has a limit, is paused or closed.
func (b *Balancer) Limited(now time.Time) (t Throughput, limited bool) {
	for _, s := range b.ordered {
		if s.Closed || now.Before(s.NotBefore) {
			continue
		}
		n, ok := b.available(s, now)
		if !ok {
			return Throughput{}, false
		}
		limited = true
		t.Requests += n
		t.Rate += b.limits.ShareOf(s.ID, s.Incarnation).Rate
	}
	return t, limited
}

// PausedUntil returns when the first target that is not closed wants requests again, if all
// of them want none now.
func (b *Balancer) PausedUntil(now time.Time) (time.Time, bool) {
	var first time.Time
	for _, s := range b.ordered {
		switch {
		case s.Closed:
		case !now.Before(s.NotBefore):
			return time.Time{}, false
		case first.IsZero() || s.NotBefore.Before(first):
			first = s.NotBefore
		}
	}
	return first, !first.IsZero()
}

// Query holds the constraints of one selection.
type Query struct {
	// Avoid lists targets on which the request failed.
	Avoid []fleet.InstanceID
	// AllowFull allows targets without free slots.
	AllowFull bool
	// Reporting excludes targets whose agents have stopped reporting, unless all have: then this process
	// was paused or the reports are delayed.
	Reporting bool
	// IsEligible, if set, reports whether a target may get the request.
	IsEligible func(fleet.InstanceID) bool
}

// Choose returns the available target with the lowest score, which prefers home targets and
// targets of the entry's zone, or false when no such target has a free slot.
func (b *Balancer) Choose(q Query, now time.Time) (fleet.InstanceID, bool) {
	best, ties := -1, 0
	lowest := math.Inf(1)
	reporting := q.Reporting && !b.areAllSilent(now)
	for i, s := range b.ordered {
		requests := b.estimatedRequests(s, now)
		switch {
		case !b.isAvailable(s, now) || slices.Contains(q.Avoid, s.ID) || reporting && s.isSilent(now):
			continue
		case !q.AllowFull && requests > float64(s.Slots)-0.5:
			continue
		case q.IsEligible != nil && !q.IsEligible(s.ID):
			continue
		}
		score := b.score(s, requests, now)
		switch {
		case score < lowest:
			best, lowest, ties = i, score, 1
		case score == lowest:
			ties++
			if b.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	if best < 0 {
		return "", false
	}
	return b.ordered[best].ID, true
}

// limitedBonus is how much more load than others, as a share of the slots, a target with a limit may have
// and still be chosen when the limit allows a request. It exceeds all differences but those of failing targets.
const limitedBonus = 2

func (b *Balancer) score(s *targetState, requests float64, now time.Time) float64 {
	score := (requests+b.settings.PrefillWeight*float64(s.prefillTokens)/1000)/float64(max(1, s.Slots)) + errorPenalty*s.errorRate
	switch {
	case s.Home:
		score -= b.settings.HomeBonus
	case !s.SameZone:
		score += b.settings.OtherZonePenalty
	}
	if _, limited := b.available(s, now); limited {
		score -= limitedBonus
	}
	return score
}

// AdmissionLimit limits admission by the load of one service's targets: the limit is the
// number of requests in flight plus the free slots, or what the window allows if nobody reports
// the load.
type AdmissionLimit struct {
	Balancer *Balancer
	// Now returns the current time.
	Now func() time.Time
}

// Value implements admit.Limiter.
func (l AdmissionLimit) Value() int {
	limit := l.Balancer.InFlight() + l.Balancer.FreeSlots(l.Now())
	if l.Balancer.unreported {
		limit = min(limit, l.Balancer.window.limit(l.Balancer.share(), l.Balancer.random, l.Now()))
	}
	return limit
}

// Observe implements admit.Limiter. It does nothing because the limit follows from the
// balancer.
func (l AdmissionLimit) Observe(time.Duration, int, time.Time) {}

// IsHome reports whether a target is a home target of an entry. Both are given by their
// index in the zone's sorted list and the length of that list. Every entry has at least one
// home target and every target is the home of at least one entry.
func IsHome(entry, entries, target, targets int) bool {
	if entries <= 0 || targets <= 0 {
		return false
	}
	if entries >= targets {
		return entry*targets/entries == target
	}
	return target*entries/targets == entry
}
