// Package suspect finds requests that crash the targets that run them, and stops
// them after a small number of targets.
//
// # Usage
//
//	switch l.Restriction(fp, now) {
//	case suspect.Clear: // run it anywhere
//	case suspect.Alone: // run it on a target that runs nothing else
//	case suspect.Stop:  // refuse it: not_run
//	}
//	l.Crashed(running, now) // every fingerprint that ran on a target that died
//
// # Blame
//
// A crash is one unit of blame, shared equally by the requests that ran there.
// A request with enough blame runs alone, so that a second crash blames it whole,
// and a request that merely ran beside the culprit finishes and is cleared.
package suspect

import (
	"math"
	"slices"
	"time"

	"amaranthturn/core/fleet"
)

//go:generate stringer -type=Restriction -output=suspect_string.go -linecomment

// Restriction is how a request may run.
type Restriction int

// The restrictions.
const (
	Clear Restriction = iota // clear
	Alone                    // alone
	Stop                     // stop
)

// Settings are the thresholds of a Ledger.
type Settings struct {
	// Targets is how many targets one request may crash before it is stopped.
	Targets int
	// AloneAt is the blame from which a request runs alone.
	AloneAt float64
	// HalfLife is the time in which blame halves.
	HalfLife time.Duration
	// Capacity bounds the remembered fingerprints.
	Capacity int
}

// DefaultSettings stop a request after two targets.
var DefaultSettings = Settings{Targets: 2, AloneAt: 0.05, HalfLife: 10 * time.Minute, Capacity: 4096}

// stopSlack lets two whole crashes reach the stop although the first decays.
const stopSlack = 0.5

// Blame is the blame of one fingerprint, as exchanged between entries.
type Blame struct {
	Fingerprint fleet.Fingerprint
	Value       float64
}

type entry struct {
	blame float64
	at    time.Time
}

// Ledger holds the blame of fingerprints. It is not safe for concurrent use.
type Ledger struct {
	set     Settings
	entries map[fleet.Fingerprint]*entry
}

// NewLedger returns an empty ledger.
func NewLedger(set Settings) *Ledger {
	return &Ledger{set: set, entries: map[fleet.Fingerprint]*entry{}}
}

// SetTargets changes how many targets one request may crash.
func (l *Ledger) SetTargets(n int) { l.set.Targets = n }

// Restriction tells how a request may run now.
func (l *Ledger) Restriction(f fleet.Fingerprint, now time.Time) Restriction {
	e, ok := l.entries[f]
	if !ok {
		return Clear
	}
	b := l.decayed(e, now)
	switch {
	case b >= float64(l.set.Targets)-stopSlack:
		return Stop
	case b >= l.set.AloneAt:
		return Alone
	}
	return Clear
}

// Crashed blames the requests that ran on a target when it died.
func (l *Ledger) Crashed(running []fleet.Fingerprint, now time.Time) {
	distinct := slices.Clone(running)
	slices.Sort(distinct)
	distinct = slices.Compact(distinct)
	for _, f := range distinct {
		l.add(f, 1/float64(len(distinct)), now)
	}
}

// Withdraw takes back the blame of a crash that did not happen: the target was only out
// of reach, and the same run of it answers again.
func (l *Ledger) Withdraw(running []fleet.Fingerprint, now time.Time) {
	for _, f := range running {
		e, ok := l.entries[f]
		if !ok {
			continue
		}
		e.blame = l.decayed(e, now) - 1/float64(len(running))
		e.at = now
		if e.blame < l.set.AloneAt {
			delete(l.entries, f)
		}
	}
}

// Finished clears a request that ran to its end without a crash.
func (l *Ledger) Finished(f fleet.Fingerprint, alone bool, now time.Time) {
	e, ok := l.entries[f]
	if !ok {
		return
	}
	if alone {
		delete(l.entries, f)
		return
	}
	e.blame = l.decayed(e, now) / 2
	e.at = now
}

// Merge takes the blame that another entry knows; the higher value holds.
func (l *Ledger) Merge(rows []Blame, now time.Time) {
	for _, r := range rows {
		if math.IsNaN(r.Value) || r.Value <= 0 {
			continue
		}
		value := min(r.Value, float64(l.set.Targets)+1)
		e, ok := l.entries[r.Fingerprint]
		if !ok {
			l.add(r.Fingerprint, value, now)
			continue
		}
		if value > l.decayed(e, now) {
			e.blame, e.at = value, now
		}
	}
}

// Worst returns at most n rows with the most blame, for the other entries.
func (l *Ledger) Worst(n int, now time.Time) []Blame {
	var out []Blame
	for f, e := range l.entries {
		if b := l.decayed(e, now); b >= l.set.AloneAt {
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

// Len returns how many fingerprints are remembered.
func (l *Ledger) Len() int { return len(l.entries) }

func (l *Ledger) add(f fleet.Fingerprint, blame float64, now time.Time) {
	e, ok := l.entries[f]
	if !ok {
		l.makeRoom(now)
		e = &entry{at: now}
		l.entries[f] = e
	}
	e.blame = l.decayed(e, now) + blame
	e.at = now
}

// makeRoom drops the least blamed fingerprint when the ledger is full.
func (l *Ledger) makeRoom(now time.Time) {
	if len(l.entries) < l.set.Capacity {
		return
	}
	var least fleet.Fingerprint
	low := math.Inf(1)
	for f, e := range l.entries {
		if b := l.decayed(e, now); b < low || b == low && f < least {
			least, low = f, b
		}
	}
	delete(l.entries, least)
}

func (l *Ledger) decayed(e *entry, now time.Time) float64 {
	age := max(0, now.Sub(e.at))
	return e.blame * math.Exp2(-float64(age)/float64(l.set.HalfLife))
}
