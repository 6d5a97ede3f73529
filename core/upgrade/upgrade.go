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
	// Named is when the first version that the engine lacks was named, zero when it was
	// before this process knew.
	Named    time.Time
	Place    Place
	Schedule Schedule
}

// Place is an engine's position among the engines of its group.
type Place struct{ Index, Count int }

func (p Place) share() float64 {
	if p.Count < 2 {
		return 0
	}
	return float64(p.Index) / float64(p.Count)
}

// Schedule spreads a change of version over the time that it may take.
type Schedule struct {
	// Limit is the time from the naming after which no request may begin on older weights.
	Limit time.Duration
	// Fetch is the time in which an engine's weights arrive over its own link.
	Fetch time.Duration
}

const (
	// margin is kept from the limit for the way of the news and of the order.
	margin = 700 * time.Millisecond
	// firstShare of the engines fetch at once; the others fetch from them, later, so that
	// the first ones have their links for themselves.
	firstShare = 0.25
)

// spread is the time from the first load to the last.
func (s Schedule) spread() time.Duration { return max(0, s.Limit-margin-s.Fetch) }

// FetchAfter returns how long after the naming an engine begins to fetch.
func (s Schedule) FetchAfter(p Place) time.Duration {
	return time.Duration(max(0, p.share()-firstShare) * float64(s.spread()))
}

// LoadAfter returns how long after the naming an engine begins to load.
func (s Schedule) LoadAfter(p Place) time.Duration {
	return s.Fetch + time.Duration(p.share()*float64(s.spread()))
}

// Decide returns what to do.
func Decide(in Input, now time.Time) Action {
	switch {
	case in.Busy || !in.Staged || in.Wanted == 0 || in.Serving >= in.Wanted:
		return ActionNone
	case in.Serving == 0 || in.Named.IsZero():
		return ActionLoad
	case now.Before(in.Named.Add(in.Schedule.LoadAfter(in.Place))):
		return ActionNone
	}
	return ActionLoad
}
