package gateway

import (
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/roster"
	"amaranthturn/core/trace"
)

// reader is this entry as a reader of the store.
func (g *Gateway) reader() roster.Reader {
	return roster.Reader{Instance: g.settings.Instance, Incarnation: fleet.Incarnation(g.startedAt.UnixNano())}
}

// recordRead records that the store has answered a read that began at the given time. mu must be
// held.
func (g *Gateway) recordRead(startedAt time.Time) {
	if now := g.now(); !g.copyPauses.PausedSince(startedAt, now) {
		g.roster.Reads().Record(g.reader(), startedAt, now)
	}
}

// mergeReads applies when entries have read the store as another entry knows it. mu must be held.
func (g *Gateway) mergeReads(reports []roster.ReadReport, now time.Time) {
	if g.copyPauses.PausedSince(now, now) {
		return // the message may have waited in a buffer
	}
	g.roster.Reads().Merge(g.settings.Instance, reports, now)
}

// removeTarget handles that the record of a target is gone. mu must be held.
func (g *Gateway) removeTarget(id fleet.InstanceID, d roster.Deletion, now time.Time) {
	removed := g.roster.RemoveAt(id, d, now)
	line := g.log.members.Info().Str("target", string(id)).Bool("at_once", removed)
	if kept, ok := g.roster.KeptFor(id); ok {
		line = line.Dur("store_known_ms", kept.Shown).Dur("store_needed_ms", kept.Needed)
		if kept.StoreUnavailable {
			line = line.Str("kept", "may have expired, the store is out of reach").Str("kept_until", roster.DefaultSettings.ExpiryGrace.String()+" after its recovery")
		} else {
			line = line.Str("kept", "may have expired while the store was out of reach").Str("kept_until", kept.Until.Format(time.RFC3339Nano))
		}
	}
	line.Msg(trace.MessageTargetRemoved)
}

// removeMissing removes the targets whose records have been missing for too long, or are known by
// now to have been removed. mu must be held.
func (g *Gateway) removeMissing(now time.Time) {
	left := g.roster.RemoveShown()
	for _, id := range left {
		g.log.members.Info().Str("target", string(id)).Msg(trace.MessageTargetShownRemoved)
	}
	expired := g.roster.Expire(now)
	if len(expired) > 0 {
		g.log.members.Info().Int("targets", len(expired)).Msg(trace.MessageTargetsExpired)
	}
	if len(left)+len(expired) > 0 {
		g.refreshBalancers(now)
	}
}
