package gateway

import (
	"time"

	"amaranthturn/core/clock"
	"amaranthturn/core/fleet"
)

// declarationsOf returns the declared versions of a model. mu must be held.
func (g *Gateway) declarationsOf(m fleet.Model) *declaredVersions {
	d, ok := g.declared[m]
	if !ok {
		d = &declaredVersions{}
		g.declared[m] = d
	}
	return d
}

// declarationTimes returns the time from which VersionChangeLimit is counted for a version whose
// declaration is received now, and the one from which other entries are told that it is known. A
// declaration that no watch awaited may be as old as the copy before it. mu must be held.
func (g *Gateway) declarationTimes(r receipt, now time.Time) (since, known time.Time) {
	since = g.declaredSince(r.previous, r.asOf, now)
	known = g.knownSince(since, r.previous, now)
	if r.wasMissed && g.initialReadDone {
		since = clock.Earlier(since, clock.Later(r.previous, now.Add(-directReadAge)))
		if g.entryList.IsReader(now) { // the others know it through this entry
			known = clock.Earlier(known, since)
		}
	}
	return since, known
}

// declaredSince returns the time from which VersionChangeLimit is counted for a version whose
// declaration is received now. The copy of the store was last current at previous, and is
// current as of asOf with the declaration. If the declaration may be older than this process,
// older weights are used only during the stable period, in which the limit does not apply to a
// process that has just started. After a pause of this process, or of the one that read the
// change, nothing is known but that the declaration is not older than the copy. After a watch
// or stream has stalled, an update may be late by at most directReadAge, since an entry then
// reads the store itself.
func (g *Gateway) declaredSince(previous, asOf, now time.Time) time.Time {
	stable := g.settings.Bounds.StablePeriod - g.settings.Bounds.VersionChangeLimit
	beforeStart := now.Add(stable)
	switch {
	case !g.initialReadDone && !g.copyPauses.PausedSince(g.startedAt, now):
		// If the first read took longer than one call may, the store was unavailable.
		return clock.Later(g.startedAt, now.Add(-fullReadTimeout)).Add(stable)
	case !g.initialReadDone:
		return beforeStart
	case now.Sub(asOf) > copyPauseThreshold, g.copyPauses.PausedSince(previous, now):
		return clock.Later(previous, beforeStart)
	case now.Sub(previous) <= watchWait:
		return now
	}
	return clock.Later(previous, now.Add(-directReadAge))
}

// knownSince returns the time from which other entries are told that a declaration received now
// is known. After a pause it is the assumed time, since all entries that read the store
// may have been paused, but at most directReadAge ago: a longer pause concerns this entry only.
func (g *Gateway) knownSince(since, previous, now time.Time) time.Time {
	if g.initialReadDone && g.copyPauses.PausedSince(previous, now) {
		return clock.Later(since, now.Add(-directReadAge))
	}
	return now
}
