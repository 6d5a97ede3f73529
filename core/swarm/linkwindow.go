package swarm

import (
	"time"

	"amaranthturn/core/fleet"
)

const (
	// slowFetchTime is the time of a fetch from another instance above which the link may carry too much at
	// once.
	slowFetchTime = 400 * time.Millisecond
	// maxLinkTime is how long a fetch counts as one that uses the link. A fetch that takes longer waits at
	// its source.
	maxLinkTime = time.Second
)

// linkWindow limits the chunks that are in flight over the link of this instance, from whatever sources:
// messages of live requests wait on the link behind all of them. It is not safe for concurrent use.
type linkWindow struct {
	max      int // 0 if there is no limit
	size     int
	slowPeer fleet.InstanceID // the source of the last fetch, if that was slow
}

// newLinkWindow returns a window of one chunk, which grows with the first fetches if the link is fast.
func newLinkWindow(limit int) linkWindow { return linkWindow{max: limit, size: min(1, limit)} }

// recordFetch adapts the window to the time of a fetch. Slow fetches from different instances have the link
// of this one in common. The origin is shared by all, so that a slow fetch from it says nothing of the link.
func (w *linkWindow) recordFetch(s Source, took time.Duration) {
	switch {
	case took <= slowFetchTime/2:
		w.size, w.slowPeer = min(w.size+1, w.max), ""
	case took > slowFetchTime && s.Kind != SourceOrigin:
		if w.slowPeer != "" && w.slowPeer != s.Peer {
			w.size = max(1, w.size/2)
		}
		w.slowPeer = s.Peer
	}
}

// isLinkFull reports whether no other fetch may be started now.
func (p *Planner) isLinkFull(now time.Time) bool {
	if p.link.max == 0 {
		return false
	}
	n := 0
	for _, f := range p.flights {
		if now.Sub(f.started) < maxLinkTime {
			n++
		}
	}
	return n >= p.link.size
}
