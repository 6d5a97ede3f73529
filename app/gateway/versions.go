package gateway

import (
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/roster"
	"amaranthturn/core/upgrade"
	"amaranthturn/io/peer"
)

// pinnedTargets returns a function that reports whether a target may have the version of weights that the
// stream is pinned to, or nil if it is not. A target with another version would reject the stream. mu and
// Gateway.mu must be held.
func (h *requestHandler) pinnedTargets() func(fleet.InstanceID) bool {
	version := h.stream.Version()
	if version == 0 {
		return nil
	}
	return func(id fleet.InstanceID) bool {
		t, ok := h.g.roster.Get(id)
		return ok && h.g.mayHaveVersion(t, version)
	}
}

// mayHaveVersion reports whether a target has a version of weights, or is not known to have others. mu
// must be held.
func (g *Gateway) mayHaveVersion(t roster.Target, version uint64) bool {
	loaded := g.loadedVersions(t)
	return len(loaded) == 0 || slices.ContainsFunc(loaded, func(l roster.LoadedVersion) bool { return l.Version == version })
}

// isVersionReplaced reports whether the stream is pinned to older weights than the newest ones and no target
// may continue it any more. mu and Gateway.mu must be held.
func (h *requestHandler) isVersionReplaced(now time.Time) bool {
	version, g := h.stream.Version(), h.g
	if version == 0 || h.engine == nil || len(h.engine.Models) != 1 {
		return false
	}
	d, ok := g.declared[h.engine.Models[0].Name]
	if !ok || version >= d.Newest() {
		return false
	}
	return version < d.MinVersion(g.versionTimeline().LastSend(g.startTime.Average()), now) ||
		!slices.ContainsFunc(g.roster.Usable(h.serviceName), func(t roster.Target) bool { return g.mayHaveVersion(t, version) })
}

func (g *Gateway) versionTimeline() upgrade.Timeline {
	return upgrade.Timeline{Limit: g.settings.Bounds.VersionChangeLimit}
}

// lastReport returns the last report of a target's agent. It may be of a later incarnation than the
// listed one, which has then ended. mu must be held.
func (g *Gateway) lastReport(t roster.Target) (peer.TargetLoad, bool) {
	r, ok := g.loads[t.ID]
	return r, ok && r.Incarnation >= t.Incarnation
}

// loadedVersions returns the versions that a target serves, as reported by its agent or else
// by its record in the store. mu must be held.
func (g *Gateway) loadedVersions(t roster.Target) []roster.LoadedVersion {
	if r, ok := g.lastReport(t); ok {
		return []roster.LoadedVersion{{Model: r.Model, Version: r.Version}}
	}
	return t.Loaded
}

// canServe reports whether a model's target may receive requests. Its weights are loaded and
// not older than the time limit for a version change allows. mu must be held.
func (g *Gateway) canServe(t roster.Target, now time.Time) bool {
	if r, ok := g.lastReport(t); ok && !r.Accepting {
		return false
	}
	return slices.ContainsFunc(g.loadedVersions(t), func(l roster.LoadedVersion) bool {
		return l.Version > 0 && !g.isTooOldToSend(t, l, now)
	})
}

// hasOldWeightsOnly reports whether the time limit for a version change allows no request to a target. mu
// must be held.
func (g *Gateway) hasOldWeightsOnly(t roster.Target, now time.Time) bool {
	loaded := g.loadedVersions(t)
	return len(loaded) > 0 && !slices.ContainsFunc(loaded, func(l roster.LoadedVersion) bool { return !g.isTooOldToSend(t, l, now) })
}

// isTooOldToSend reports whether a target may get no request for weights that it serves. mu must be held.
func (g *Gateway) isTooOldToSend(t roster.Target, l roster.LoadedVersion, now time.Time) bool {
	d, ok := g.declared[l.Model]
	engine := upgrade.Engine{Serving: l.Version, Loadable: g.loadableVersion(t, l.Model)}
	return ok && !g.versionTimeline().MaySend(d.Declarations, engine, g.startTime.Average(), now)
}

// loadableVersion returns the newest version of a model that a target's agent can load in time, or 0 if it
// reports none. mu must be held.
func (g *Gateway) loadableVersion(t roster.Target, m fleet.Model) uint64 {
	if r, ok := g.lastReport(t); ok && r.Model == m {
		return r.Loadable
	}
	return 0
}
