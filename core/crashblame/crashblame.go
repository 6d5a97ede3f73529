// Package crashblame detects requests that crash the targets that run them, and has them
// refused after a configured number of crashed targets.
//
// # Usage
//
//	switch l.Restriction(fp, now) {
//	case suspect.Clear: // run it on any target
//	case suspect.Alone: // run it on a target without other requests
//	case suspect.Stop:  // refuse it as not_run
//	}
//	l.Crashed(running, now) // the fingerprints of the requests that ran on a crashed target
//
// # Blame
//
// A crash adds one unit of blame, divided equally among the requests that ran on the
// target. A request with enough blame runs alone: if it crashes that target too, it gets
// the full unit of blame, and a request that only ran next to the crashing request
// finishes and is cleared.
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
	// MaxCrashedTargets is the number of targets that one request may crash before it is stopped.
	MaxCrashedTargets int
	// ExclusiveThreshold is the minimum blame at which a request runs alone.
	ExclusiveThreshold float64
	// HalfLife is the time in which blame decays to half.
	HalfLife time.Duration
	// Capacity limits the number of fingerprints kept.
	Capacity int
}

// DefaultSettings stop a request after it crashed two targets.
var DefaultSettings = Settings{MaxCrashedTargets: 2, ExclusiveThreshold: 0.05, HalfLife: 10 * time.Minute, Capacity: 4096}

// stopTolerance is subtracted from the threshold of Stop, so that Targets crashes with full
// blame reach it although the blame of the earlier ones has decayed.
const stopTolerance = 0.5

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
	e, ok := l.records[f]
	if !ok {
		return Unrestricted
	}
	b := l.decayedBlame(e, now)
	switch {
	case b >= float64(l.settings.MaxCrashedTargets)-stopTolerance:
		return Refuse
	case b >= l.settings.ExclusiveThreshold:
		return Exclusive
	}
	return Unrestricted
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
		e, ok := l.records[f]
		if !ok {
			continue
		}
		e.blame = l.decayedBlame(e, now) - 1/float64(len(running))
		e.updatedAt = now
		if e.blame < l.settings.ExclusiveThreshold {
			delete(l.records, f)
		}
	}
}

// RecordCompletion clears a request that completed alone on a target without a crash, and halves
// the blame of one that completed next to others.
func (l *Ledger) RecordCompletion(f fleet.Fingerprint, alone bool, now time.Time) {
	e, ok := l.records[f]
	if !ok {
		return
	}
	if alone {
		delete(l.records, f)
		return
	}
	e.blame = l.decayedBlame(e, now) / 2
	e.updatedAt = now
}

// Merge merges the blame records of another entry. The higher value wins.
func (l *Ledger) Merge(blames []Blame, now time.Time) {
	for _, r := range blames {
		if math.IsNaN(r.Value) || r.Value <= 0 {
			continue
		}
		value := min(r.Value, float64(l.settings.MaxCrashedTargets)+1)
		e, ok := l.records[r.Fingerprint]
		if !ok {
			l.add(r.Fingerprint, value, now)
			continue
		}
		if value > l.decayedBlame(e, now) {
			e.blame, e.updatedAt = value, now
		}
	}
}

// MostBlamed returns the n fingerprints with the most blame, or fewer, to send to other entries.
func (l *Ledger) MostBlamed(n int, now time.Time) []Blame {
	var out []Blame
	for f, e := range l.records {
		if b := l.decayedBlame(e, now); b >= l.settings.ExclusiveThreshold {
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
	e, ok := l.records[f]
	if !ok {
		l.evictIfFull(now)
		e = &blameRecord{updatedAt: now}
		l.records[f] = e
	}
	e.blame = l.decayedBlame(e, now) + blame
	e.updatedAt = now
}

// evictIfFull deletes the least blamed fingerprint if the ledger is full.
func (l *Ledger) evictIfFull(now time.Time) {
	if len(l.records) < l.settings.Capacity {
		return
	}
	var leastBlamed fleet.Fingerprint
	lowest := math.Inf(1)
	for f, e := range l.records {
		if b := l.decayedBlame(e, now); b < lowest || b == lowest && f < leastBlamed {
			leastBlamed, lowest = f, b
		}
	}
	delete(l.records, leastBlamed)
}

func (l *Ledger) decayedBlame(e *blameRecord, now time.Time) float64 {
	age := max(0, now.Sub(e.updatedAt))
	return e.blame * math.Exp2(-float64(age)/float64(l.settings.HalfLife))
}
