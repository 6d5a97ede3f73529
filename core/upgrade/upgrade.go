// Package upgrade decides when an engine that serves one version of its weights is to load
// another, so that a fleet changes within its time without losing more capacity at once
// than it must.
//
// # Usage
//
//	switch upgrade.Decide(in, now) {
//	case upgrade.ActionLoad: // order the engine to load what is staged
//	}
//
// # Load pattern
//
// A version is named while the engines are full. Each engine takes no new request from
// the order until the running ones have ended and the weights are loaded. Engines that
// serve wait for their turn, by their place in the group; an engine that serves nothing
// loads at once.
package upgrade

import "time"

//go:generate stringer -type=Action -output=upgrade_string.go -linecomment

// Action is what to do now.
type Action int

// The actions.
const (
	ActionNone Action = iota // none
	ActionLoad               // load
)

// Input is what a decision depends on.
type Input struct {
	Wanted  uint64 // version
	Serving uint64 // 0 when the engine serves nothing
	Busy    bool   // an order is in progress
	Staged  bool   // every piece of the wanted version is at hand
	// Named is when the version was named, zero when it was before this process knew.
	Named time.Time
	// Place is the engine's position among the Count engines of its group.
	Place, Count int
	// Window is the time from the naming in which all engines begin to change.
	Window time.Duration
}

// Decide returns what to do.
func Decide(in Input, now time.Time) Action {
	switch {
	case in.Busy || !in.Staged || in.Wanted == 0 || in.Serving >= in.Wanted:
		return ActionNone
	case in.Serving == 0 || in.Named.IsZero():
		return ActionLoad
	case now.Before(turn(in)):
		return ActionNone
	}
	return ActionLoad
}

func turn(in Input) time.Time {
	if in.Count < 2 {
		return in.Named
	}
	return in.Named.Add(in.Window * time.Duration(in.Place) / time.Duration(in.Count))
}

// Window returns the time in which engines begin to change, of the time in which all
// requests have to begin on the new version: what is left is for the running requests to
// end and the weights to load.
func Window(limit, loadTime, runningTime time.Duration) time.Duration {
	return max(0, limit-loadTime-runningTime)
}
