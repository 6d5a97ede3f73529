package gateway

import (
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/roster"
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
	svc, ok := h.doc.Service(h.serviceName)
	if version == 0 || !ok || svc.Engine == nil || len(svc.Engine.Models) != 1 {
		return false
	}
	d, ok := g.declared[svc.Engine.Models[0].Name]
	if !ok || version >= d.Newest() {
		return false
	}
	return version < d.MinVersion(g.oldVersionServeTime(), now) ||
		!slices.ContainsFunc(g.roster.Usable(h.serviceName), func(t roster.Target) bool { return g.mayHaveVersion(t, version) })
}

// isTooOldToSend reports whether a target has only weights that may get no requests any more. mu must be
// held.
func (g *Gateway) isTooOldToSend(t roster.Target, now time.Time) bool {
	loaded := g.loadedVersions(t)
	return len(loaded) > 0 && !slices.ContainsFunc(loaded, func(l roster.LoadedVersion) bool {
		d, ok := g.declared[l.Model]
		return !ok || l.Version == 0 || l.Version >= d.MinVersion(g.oldVersionServeTime(), now)
	})
}
