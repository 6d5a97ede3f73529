package sidecar

import (
	"context"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/io/peer"
)

// loadListener is one stream of reports on the engine's load. A change wakes only the streams that
// have to send it.
type loadListener struct {
	period time.Duration
	wake   chan struct{}
	// sent and sentAt are the last report, guarded by the agent's mu.
	sent   peer.TargetLoad
	sentAt time.Time
}

// WatchLoad implements peer.LoadHandler.
func (s *Sidecar) WatchLoad(ctx context.Context, period time.Duration, send func(peer.TargetLoad) error) error {
	l := &loadListener{period: period, wake: make(chan struct{}, 1)}
	s.mu.Lock()
	s.listeners[l] = struct{}{}
	s.mu.Unlock()
	defer s.removeListener(l)
	check := time.NewTicker(loadCheckInterval)
	defer check.Stop()
	for {
		if load, ok := s.dueLoad(l); ok {
			if err := send(load); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
		case <-check.C:
		}
	}
}

func (s *Sidecar) removeListener(l *loadListener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
}

// dueLoad returns the report that a stream has to send now, if there is one, and records it as sent.
func (s *Sidecar) dueLoad(l *loadListener) (peer.TargetLoad, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, load := s.now(), s.currentLoad()
	if !shouldSendLoad(l.sent, load, now.Sub(l.sentAt), l.period) {
		return peer.TargetLoad{}, false
	}
	l.sent, l.sentAt = load, now
	return load, true
}

// notifyListeners wakes the streams that have to send a report now. mu must be held.
func (s *Sidecar) notifyListeners() {
	now, load := s.now(), s.currentLoad()
	for l := range s.listeners {
		if !shouldSendLoad(l.sent, load, now.Sub(l.sentAt), l.period) {
			continue
		}
		select {
		case l.wake <- struct{}{}:
		default: // it is awake already
		}
	}
}

// loadCheckInterval is the maximum time after which a load stream checks whether a message is
// due.
const loadCheckInterval = time.Second

// shouldSendLoad reports whether a load is sent to a listener whose previous message has the
// given age. A load is sent at once when the target serves other weights, can load others or stops
// accepting requests, and otherwise after the period that the listener requested.
func shouldSendLoad(sent, l peer.TargetLoad, age, period time.Duration) bool {
	return age >= period || sent.Incarnation != l.Incarnation || sent.Accepting != l.Accepting || sent.Leaving != l.Leaving || sent.Model != l.Model || sent.Version != l.Version || sent.Loadable != l.Loadable
}

// currentLoad returns the load that is reported to the entries. mu must be held.
func (s *Sidecar) currentLoad() peer.TargetLoad {
	r := s.report
	l := peer.TargetLoad{
		Incarnation: r.Incarnation, Running: r.Running, Queued: r.Queued, CacheUsed: r.CacheUsed, CacheTotal: r.CacheTotal, Pace: r.Pace,
	}
	if m, e, ok := s.model(); ok {
		l.Model, l.Version, l.Loadable = m.Name, s.servingVersion(m.Name, e), s.loadable
	}
	l.Leaving = s.isEngineUp && (r.Leaving || s.hasLeavingNotice(r.Incarnation))
	l.Accepting = s.isEngineUp && !r.Busy && l.Version != 0 && !s.proof.Withholds(l.Version)
	return l
}

// hasLeavingNotice reports whether the incarnation of the engine that reports has stated that it leaves.
// The list may still have an earlier one, whose statement says nothing about it. mu must be held.
func (s *Sidecar) hasLeavingNotice(reported fleet.Incarnation) bool {
	t := s.engineTarget()
	return (reported == 0 || reported == t.Incarnation) && s.notices.IsLeaving(t)
}
