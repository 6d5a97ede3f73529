// Package crashblame detects requests that crash the targets that run them, and has them
// refused after a number of crashed targets: a Ledger by their contents, a PartLedger by the
// parts of their prompts.
//
// # Usage
//
//	switch l.Restriction(fp, now) {
//	case crashblame.Unrestricted: // run it on any target
//	case crashblame.Exclusive:    // run it on a target without other requests
//	case crashblame.Refuse:       // refuse it as not_run
//	}
//	l.RecordCrash(running, now)              // fingerprints of the requests on a crashed target
//	l.RecordCompletion(fp, exclusively, now) // a request that ended without a crash
//
// # Blame
//
// A crash adds one unit of blame, divided equally among the requests that ran on the
// target. A request with enough blame runs on a target without other requests: if it
// crashes that target too, it gets the full unit of blame, and a request that only ran next
// to the crashing request finishes and its blame is cleared.
//
// # Parts of prompts
//
//	l.RecordBegun(parts, now)           // the first event of a response
//	l.RecordCrash(id, parts, now)       // broken off between the header and the first event
//	l.Restriction(parts, now)           // before each attempt
//	l.Merge(reports, proven, now)       // what another entry's Exchange returned
//
// Requests with a part that crashes targets may have nothing else in common. A response that
// begins proves its parts sound, which clears the parts that sound requests share with
// crashing ones. When RecordBegun, RecordCrash or Merge returns true, the next exchange with
// another entry should not wait.
package crashblame

import (
	"math"
	"slices"
	"time"

	"amaranthturn/core/fleet"
)

//go:generate stringer -type=Restriction -output=crashblame_string.go -linecomment

// Restriction determines where a request may run.
type Restriction int

// The restrictions.
const (
	Unrestricted Restriction = iota // clear
	Exclusive                       // alone
	Refuse                          // stop
)

// Settings configure a Ledger.
type Settings struct {
	// MaxCrashedTargets is the number of targets that one request may crash before it is
	// refused.
	MaxCrashedTargets int
	// ExclusiveThreshold is the minimum blame at which a request is Exclusive.
	ExclusiveThreshold float64
	// HalfLife is the time in which blame decays to half.
	HalfLife time.Duration
	// Capacity limits the number of fingerprints kept.
	Capacity int
}

// DefaultSettings refuse a request after it crashed two targets.
var DefaultSettings = Settings{MaxCrashedTargets: 2, ExclusiveThreshold: 0.05, HalfLife: 10 * time.Minute, Capacity: 4096}

// refuseTolerance is subtracted from MaxCrashedTargets to get the blame at which a request
// is refused, so that MaxCrashedTargets crashes with full blame reach it although the blame
// of the earlier ones has decayed.
const refuseTolerance = 0.5

// Blame is the blame of one fingerprint as exchanged between entries.
type Blame struct {
	Fingerprint fleet.Fingerprint
	Value       float64
}

type blameRecord struct {
	blame     float64
	updatedAt time.Time
}

// Ledger tracks the blame of fingerprints. It is not safe for concurrent use.
type Ledger struct {
	settings Settings
	records  map[fleet.Fingerprint]*blameRecord
}

// NewLedger returns an empty ledger.
func NewLedger(settings Settings) *Ledger {
	return &Ledger{settings: settings, records: map[fleet.Fingerprint]*blameRecord{}}
}

// SetMaxCrashedTargets sets the number of targets that one request may crash.
func (l *Ledger) SetMaxCrashedTargets(n int) { l.settings.MaxCrashedTargets = n }

// Restriction returns the current restriction of a request.
func (l *Ledger) Restriction(f fleet.Fingerprint, now time.Time) Restriction {
	r, ok := l.records[f]
	if !ok {
		return Unrestricted
	}
	b := l.decayedBlame(r, now)
	switch {
	case b >= float64(l.settings.MaxCrashedTargets)-refuseTolerance:
		return Refuse
	case b >= l.settings.ExclusiveThreshold:
		return Exclusive
	}
	return Unrestricted
}

// Blame returns the blame of a request.
func (l *Ledger) Blame(f fleet.Fingerprint, now time.Time) float64 {
	if r, ok := l.records[f]; ok {
		return l.decayedBlame(r, now)
	}
	return 0
}

// RecordCrash adds blame to the requests that ran on a target when it crashed.
func (l *Ledger) RecordCrash(running []fleet.Fingerprint, now time.Time) {
	distinct := slices.Clone(running)
	slices.Sort(distinct)
	distinct = slices.Compact(distinct)
	for _, f := range distinct {
		l.add(f, 1/float64(len(distinct)), now)
	}
}

// RetractCrash removes the blame of a crash that did not happen: the target was only
// unreachable, and the same incarnation responds again.
func (l *Ledger) RetractCrash(running []fleet.Fingerprint, now time.Time) {
	for _, f := range running {
		r, ok := l.records[f]
		if !ok {
			continue
		}
		r.blame = l.decayedBlame(r, now) - 1/float64(len(running))
		r.updatedAt = now
		if r.blame < l.settings.ExclusiveThreshold {
			delete(l.records, f)
		}
	}
}

// RecordCompletion clears the blame of a request that completed on a target without other
// requests, and halves that of one that completed next to others.
func (l *Ledger) RecordCompletion(f fleet.Fingerprint, exclusively bool, now time.Time) {
	r, ok := l.records[f]
	if !ok {
		return
	}
	if exclusively {
		delete(l.records, f)
		return
	}
	r.blame = l.decayedBlame(r, now) / 2
	r.updatedAt = now
}

// Merge merges the blame records of another entry. The higher value wins.
func (l *Ledger) Merge(blames []Blame, now time.Time) {
	for _, b := range blames {
		if math.IsNaN(b.Value) || b.Value <= 0 {
			continue
		}
		value := min(b.Value, float64(l.settings.MaxCrashedTargets)+1)
		r, ok := l.records[b.Fingerprint]
		if !ok {
			l.add(b.Fingerprint, value, now)
			continue
		}
		if value > l.decayedBlame(r, now) {
			r.blame, r.updatedAt = value, now
		}
	}
}

// MostBlamed returns up to n fingerprints with the most blame, to send to other entries.
func (l *Ledger) MostBlamed(n int, now time.Time) []Blame {
	var out []Blame
	for f, r := range l.records {
		if b := l.decayedBlame(r, now); b >= l.settings.ExclusiveThreshold {
			out = append(out, Blame{f, b})
		}
	}
	slices.SortFunc(out, func(a, b Blame) int {
		switch {
		case a.Value != b.Value && a.Value > b.Value:
			return -1
		case a.Value != b.Value:
			return 1
		case a.Fingerprint < b.Fingerprint:
			return -1
		}
		return 1
	})
	return out[:min(n, len(out))]
}

// Len returns the number of fingerprints kept.
func (l *Ledger) Len() int { return len(l.records) }

func (l *Ledger) add(f fleet.Fingerprint, blame float64, now time.Time) {
	r, ok := l.records[f]
	if !ok {
		l.evictIfFull(now)
		r = &blameRecord{updatedAt: now}
		l.records[f] = r
	}
	r.blame = l.decayedBlame(r, now) + blame
	r.updatedAt = now
}

// evictIfFull deletes the least blamed fingerprint if the ledger is full.
func (l *Ledger) evictIfFull(now time.Time) {
	if len(l.records) < l.settings.Capacity {
		return
	}
	var leastBlamed fleet.Fingerprint
	lowest := math.Inf(1)
	for f, r := range l.records {
		if b := l.decayedBlame(r, now); b < lowest || b == lowest && f < leastBlamed {
			leastBlamed, lowest = f, b
		}
	}
	delete(l.records, leastBlamed)
}

func (l *Ledger) decayedBlame(r *blameRecord, now time.Time) float64 {
	age := max(0, now.Sub(r.updatedAt))
	return r.blame * math.Exp2(-float64(age)/float64(l.settings.HalfLife))
}
