// Package upgrade decides when an engine that serves one version of its weights loads
// another, so that the fleet switches within the time limit and as few engines as possible
// are out of service at once. app/gateway and app/sidecar use it; app/agent uses package
// switchover.
//
// # Usage
//
//	switch upgrade.Decide(in, now) {
//	case upgrade.ActionLoad: // send the load command for the staged version to the engine
//	}
//
// # Load pattern
//
// A version is declared while the engines are at capacity. From the load command on, an
// engine accepts no new requests until the running ones have ended and the weights are
// loaded. Engines that serve a version load at a scheduled time that depends on their
// position in the group; an engine that serves nothing loads at once.
package upgrade

import "time"

//go:generate stringer -type=Action -output=upgrade_string.go -linecomment

// Action is the action to take for an engine now.
type Action int

// Actions of an engine.
const (
	ActionNone Action = iota // none
	ActionLoad               // load
)

// Input is the state that a decision depends on.
type Input struct {
	Wanted  uint64 // version
	Serving uint64 // 0 when the engine serves nothing
	Busy    bool   // an engine command is in progress
	Staged  bool   // all chunks of the wanted version are available locally
	// DeclaredAt is when the first version that the engine lacks was declared. It is zero if
	// that was before this process began to receive declarations.
	DeclaredAt time.Time
	Position   Position
	Schedule   Schedule
}

// Position is an engine's position among the engines of its group.
type Position struct{ Index, Count int }

// fraction returns the position as a share of the group, in [0, 1).
func (p Position) fraction() float64 {
	if p.Count < 2 {
		return 0
	}
	return float64(p.Index) / float64(p.Count)
}

// Schedule spreads the loads of a version switch over the time limit.
type Schedule struct {
	Timeline
	// FetchTime is the time in which an engine receives the weights over its own link.
	FetchTime time.Duration
}

// immediateFetchShare is the share of the engines that fetch at once. The others fetch
// from them later, so that the first engines have their links to themselves.
const immediateFetchShare = 0.25

// loadWindow returns the time from the first load to the last.
func (s Schedule) loadWindow() time.Duration { return max(0, s.LastLoad()-s.FetchTime) }

// FetchAfter returns how long after the declaration an engine begins to fetch.
func (s Schedule) FetchAfter(p Position) time.Duration {
	return time.Duration(max(0, p.fraction()-immediateFetchShare) * float64(s.loadWindow()))
}

// LoadAfter returns how long after the declaration an engine begins to load.
func (s Schedule) LoadAfter(p Position) time.Duration {
	return s.FetchTime + time.Duration(p.fraction()*float64(s.loadWindow()))
}

// Decide returns the action for an engine at the given time.
func Decide(in Input, now time.Time) Action {
	switch {
	case in.Busy || !in.Staged || in.Wanted == 0 || in.Serving >= in.Wanted:
		return ActionNone
	case in.Serving == 0 || in.DeclaredAt.IsZero():
		return ActionLoad
	case now.Before(in.DeclaredAt.Add(in.Schedule.LoadAfter(in.Position))):
		return ActionNone
	}
	return ActionLoad
}
