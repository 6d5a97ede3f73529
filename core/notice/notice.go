// Package notice keeps what targets state about themselves in their answers: that they leave,
// or that they want no requests for a time. app/gateway and app/sidecar use it.
//
// # Usage
//
//	l := notice.NewLedger()
//	if l.RecordLeaving(target, now) { … do not choose the target again … }
//	until := l.RecordPause(target, duration, now)
//	if l.IsLeaving(target) || now.Before(l.PausedUntil(target)) { … choose another one … }
//	l.Merge(received, now) // from another daemon
//	out := l.Leaving()     // to another daemon
//
// # Load patterns
//
// A target leaves while the store is unavailable, or its record still says that it is ready:
// its own answers are the only sign. A notice of leaving holds until the target starts again
// under the same ID, and daemons exchange it while the target may be listed. A target that sheds load names the time in which it wants
// no requests; the latest end counts, and it concerns the daemon that received the answer only.
package notice

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthturn/core/fleet"
)

// MaxPause is the longest pause that a target can ask for. A longer one, which is probably an
// error, counts as this long.
const MaxPause = 5 * time.Minute

// maxTargets limits the targets whose notices are kept. Those that do not leave are dropped first,
// then those that are oldest.
const maxTargets = 16384

// Target is one incarnation of a target.
type Target struct {
	ID          fleet.InstanceID
	Incarnation fleet.Incarnation
}

type state struct {
	leaving     bool
	pausedUntil time.Time
	recordedAt  time.Time // of the pause, or else when it was first known that the target leaves
	isGone      bool      // not listed for keepFor; not sent to other daemons
}

// Ledger keeps the notices. It is not safe for concurrent use.
type Ledger struct {
	targets map[Target]*state
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{targets: map[Target]*state{}} }

// RecordLeaving records that a target leaves, and reports whether that was unknown.
func (l *Ledger) RecordLeaving(t Target, now time.Time) bool {
	if l.IsLeaving(t) {
		return false
	}
	l.record(t, now).leaving = true
	return true
}

// RecordPause records for how long a target wants no requests, and returns the end of the
// pause. Each answer binds by itself: answers to requests sent together arrive in any order, and
// a shorter pause ends no longer one.
func (l *Ledger) RecordPause(t Target, d time.Duration, now time.Time) time.Time {
	s := l.record(t, now)
	if until := now.Add(min(d, MaxPause)); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	return s.pausedUntil
}

func (l *Ledger) record(t Target, now time.Time) *state {
	s, ok := l.targets[t]
	if !ok {
		s = &state{}
		l.targets[t] = s
	}
	s.recordedAt = now
	if len(l.targets) > maxTargets {
		l.dropOldest()
	}
	return s
}

func (l *Ledger) dropOldest() {
	least := slices.MinFunc(slices.Collect(maps.Keys(l.targets)), func(a, b Target) int {
		s, u := l.targets[a], l.targets[b]
		if s.leaving != u.leaving {
			if s.leaving {
				return 1
			}
			return -1
		}
		return s.recordedAt.Compare(u.recordedAt)
	})
	delete(l.targets, least)
}

// IsLeaving reports whether a target leaves.
func (l *Ledger) IsLeaving(t Target) bool {
	s, ok := l.targets[t]
	return ok && s.leaving
}

// PausedUntil returns the end of a target's pause, or zero.
func (l *Ledger) PausedUntil(t Target) time.Time {
	if s, ok := l.targets[t]; ok {
		return s.pausedUntil
	}
	return time.Time{}
}

// Leaving returns the targets that leave, to be sent to another daemon.
func (l *Ledger) Leaving() []Target {
	var out []Target
	for t, s := range l.targets {
		if s.leaving && !s.isGone {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

// Merge records the targets that leave as another daemon knows them, and returns those that
// were unknown.
func (l *Ledger) Merge(leaving []Target, now time.Time) []Target {
	var out []Target
	for _, t := range leaving {
		if l.RecordLeaving(t, now) {
			out = append(out, t)
		}
	}
	return out
}

// Forget drops the pauses of targets that have not been listed for keepFor. Such a target that
// leaves is no longer sent to other daemons until it is listed again.
func (l *Ledger) Forget(isListed func(Target) bool, now time.Time) {
	for t, s := range l.targets {
		s.isGone = now.Sub(s.recordedAt) > keepFor && !isListed(t)
		if s.isGone && !s.leaving {
			delete(l.targets, t)
		}
	}
}

// keepFor is how long the target of a notice that is not listed counts as there. Its record may
// come back from a copy of the store, or from a daemon that was cut off.
const keepFor = 10 * time.Minute
