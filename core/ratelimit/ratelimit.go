// Package ratelimit holds the limits that targets state for all entries together: how many requests
// a second a target takes, whichever entry sends them.
//
// # Usage
//
//	l := ratelimit.NewLedger()
//	limit, changed := l.RecordAnswer(ratelimit.Answer{Target: t, IsStated: true, Rate: 1.6, SentAt: sentAt}, now)
//	l.Divide(t, position, entries, now)    // whenever a limit or the list of entries has changed
//	if n, limited := l.Available(t.ID, t.Incarnation, now); limited && n < 1 { … choose another target … }
//	if l.Take(t, now) { … send; l.Return(t, now) if nothing was sent … }
//	out := l.Limits()                      // to another entry
//	changed := l.Merge(received, now)      // from another entry
//
// # Who holds the sum
//
// No process counts the requests of all entries. The entries rank themselves for each limited target by
// rendezvous hashing. The first ones, at least minShare of the rate for each, divide the rate evenly, and
// the others send nothing there. A request can't be divided, so a low rate belongs to one entry. Each share
// is a token bucket that begins empty: an entry that takes over a share has saved nothing, so that two
// entries which know different lists exceed the rate only by what is gained meanwhile.
//
// # What is in force
//
// Answers overtake each other, and most entries send nothing to a limited target, so what an answer shows
// reaches them through others. Each change of a target's limit has a revision, one above the last that the
// entry knew. The highest one is in force; of two changes with the same revision, the stricter one is.
// Revisions need no common time, and do not become younger when they are passed on.
//
// A limit ends when the answer to a request states none that was sent after the last answer which did. An
// answer to an earlier request may be older than the limit. A limit of 0 must be able to end, too, and so
// no rate counts as less than probeRate.
package ratelimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/notice"
)

// Rate is a number of requests per second.
type Rate float64

const (
	// MaxRate is the highest rate that counts. It is beyond what any target takes.
	MaxRate Rate = 1e6
	// probeRate is the lowest rate at which requests are sent to a limited target. Only answers
	// show that its limit has ended.
	probeRate Rate = 0.5
	// minShare is the lowest share of a rate that is divided. Smaller shares would save less than one
	// request between two callers, and would notice the end of a limit late.
	minShare Rate = 0.75
	// burstTime and burstRequests limit what the entries together may save: the requests of a time, and
	// some more. Callers don't come evenly.
	burstTime     = 2 * time.Second
	burstRequests = 2
	// maxTargets limits the targets whose limits are kept. Those that changed first are dropped.
	maxTargets = 4096
	// maxRevision is the highest revision that is believed from others.
	maxRevision = 1 << 48
	// keepFor is how long the limit of a target that is not listed is kept. Its record may come
	// back from a copy of the store.
	keepFor = 10 * time.Minute
)

// Limit is what an entry knows of a target's limit.
type Limit struct {
	notice.Target
	Revision  uint64
	IsInForce bool // false after the limit has ended
	Rate      Rate // as stated
}

// isStricter reports whether l is the stricter one of two limits with the same revision.
func (l Limit) isStricter(o Limit) bool {
	if l.IsInForce != o.IsInForce {
		return l.IsInForce
	}
	return l.IsInForce && l.Rate < o.Rate
}

// effective returns the rate at which the entries together send to the target.
func (l Limit) effective() Rate { return max(l.Rate, probeRate) }

// Sharing returns how many entries divide the limit.
func (l Limit) Sharing() int { return max(1, int(l.effective()/minShare)) }

// Answer is the answer of a target to a request.
type Answer struct {
	Target   notice.Target
	IsStated bool // the answer states a limit
	Rate     Rate
	SentAt   time.Time // when the request was sent
}

// Share is an entry's part of a limit.
type Share struct {
	Rate    Rate // 0 if other entries divide the limit
	Entries int  // that divide it
}

type state struct {
	Limit
	changedAt time.Time // when this entry learned of the revision
	statedAt  time.Time // of the last answer that stated the limit, or else changedAt
	share     Share
	burst     float64
	tokens    float64
	updatedAt time.Time // of tokens
}

// Ledger keeps the limits and this entry's tokens. It is not safe for concurrent use.
type Ledger struct {
	targets map[notice.Target]*state
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{targets: map[notice.Target]*state{}} }

// RecordAnswer records what an answer shows, and reports whether it changed the limit.
func (l *Ledger) RecordAnswer(a Answer, now time.Time) (Limit, bool) {
	s, ok := l.targets[a.Target]
	switch {
	case !a.IsStated && (!ok || !s.IsInForce || !a.SentAt.After(s.statedAt)):
		return Limit{}, false
	case !ok:
		s = l.add(a.Target, now)
	}
	known := s.Limit
	if a.IsStated {
		a.Rate = min(max(a.Rate, 0), MaxRate)
		s.statedAt = now
		// An answer to a request from before the last change may be older than that.
		if known.IsInForce && (a.Rate == known.Rate || a.Rate > known.Rate && !a.SentAt.After(s.changedAt)) {
			return known, false
		}
	}
	l.apply(s, Limit{Target: a.Target, Revision: known.Revision + 1, IsInForce: a.IsStated, Rate: a.Rate}, now)
	return s.Limit, true
}

// Merge records the limits that another entry knows, and returns those that were news.
func (l *Ledger) Merge(received []Limit, now time.Time) []Limit {
	var news []Limit
	for _, r := range received {
		r.Rate = min(max(r.Rate, 0), MaxRate)
		if r.Revision == 0 || r.Revision > maxRevision || math.IsNaN(float64(r.Rate)) {
			continue
		}
		s, ok := l.targets[r.Target]
		if ok && (r.Revision < s.Revision || r.Revision == s.Revision && !r.isStricter(s.Limit)) {
			continue
		}
		if !ok {
			s = l.add(r.Target, now)
		}
		l.apply(s, r, now)
		news = append(news, r)
	}
	return news
}

// apply puts a limit in force, or ends it. Its share is unknown until Divide.
func (l *Ledger) apply(s *state, limit Limit, now time.Time) {
	s.settle(now)
	if !limit.IsInForce || !s.IsInForce {
		s.share, s.tokens = Share{}, 0
	}
	s.Limit, s.changedAt, s.statedAt = limit, now, now
}

func (l *Ledger) add(t notice.Target, now time.Time) *state {
	s := &state{Limit: Limit{Target: t}, changedAt: now, updatedAt: now}
	l.targets[t] = s
	if len(l.targets) > maxTargets {
		delete(l.targets, slices.MinFunc(slices.Collect(maps.Values(l.targets)), func(a, b *state) int {
			return a.changedAt.Compare(b.changedAt)
		}).Target)
	}
	return s
}

// Limits returns all limits that are known, to be sent to another entry. Those that have ended are
// among them, because others may still know them as in force.
func (l *Ledger) Limits() []Limit {
	if len(l.targets) == 0 {
		return nil
	}
	out := make([]Limit, 0, len(l.targets))
	for _, s := range l.targets {
		out = append(out, s.Limit)
	}
	slices.SortFunc(out, func(a, b Limit) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

// InForce returns the limits in force.
func (l *Ledger) InForce() []Limit {
	return slices.DeleteFunc(l.Limits(), func(x Limit) bool { return !x.IsInForce })
}

// Divide sets this entry's position among those that may use a target, -1 if it may not. It returns the
// share and whether that has changed.
func (l *Ledger) Divide(t notice.Target, position, entries int, now time.Time) (Share, bool) {
	s, ok := l.targets[t]
	if !ok || !s.IsInForce {
		return Share{}, false
	}
	sharing := min(s.Sharing(), max(1, entries))
	share := Share{Entries: sharing}
	if position >= 0 && position < sharing {
		share.Rate = s.effective() / Rate(sharing)
	}
	s.settle(now)
	changed := share != s.share
	s.share = share
	s.burst = math.Max(1, (float64(s.Rate)*burstTime.Seconds()+burstRequests)/float64(sharing))
	if share.Rate == 0 {
		s.burst = 0
	}
	s.tokens = math.Min(s.tokens, s.burst)
	return share, changed
}

// settle adds the tokens gained until now.
func (s *state) settle(now time.Time) {
	if d := now.Sub(s.updatedAt); d > 0 {
		s.tokens = math.Min(s.burst, s.tokens+d.Seconds()*float64(s.share.Rate))
		s.updatedAt = now
	}
}

// Available returns how many requests this entry may send to a target now, with the part of one that it has
// gained, and whether the target has a limit at all.
func (l *Ledger) Available(id fleet.InstanceID, i fleet.Incarnation, now time.Time) (requests float64, limited bool) {
	if len(l.targets) == 0 {
		return 0, false
	}
	s, ok := l.targets[notice.Target{ID: id, Incarnation: i}]
	if !ok || !s.IsInForce {
		return 0, false
	}
	s.settle(now)
	return s.tokens, true
}

// ShareOf returns this entry's part of a target's limit, which is zero if the target has none.
func (l *Ledger) ShareOf(id fleet.InstanceID, i fleet.Incarnation) Share {
	s, ok := l.targets[notice.Target{ID: id, Incarnation: i}]
	if !ok || !s.IsInForce {
		return Share{}
	}
	return s.share
}

// Take takes the token of one request, and reports whether there was one. A target without a limit has none.
func (l *Ledger) Take(t notice.Target, now time.Time) bool {
	if n, limited := l.Available(t.ID, t.Incarnation, now); !limited || n < 1 {
		return false
	}
	l.targets[t].tokens--
	return true
}

// Return returns the token of a request that was not sent.
func (l *Ledger) Return(t notice.Target, now time.Time) {
	s, ok := l.targets[t]
	if !ok || !s.IsInForce {
		return
	}
	s.settle(now)
	s.tokens = math.Min(s.burst, s.tokens+1)
}

// Forget drops the limits of targets that have not been listed for long.
func (l *Ledger) Forget(isListed func(notice.Target) bool, now time.Time) {
	maps.DeleteFunc(l.targets, func(t notice.Target, s *state) bool {
		return now.Sub(s.changedAt) > keepFor && !isListed(t)
	})
}
