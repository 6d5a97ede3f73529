package engine

import (
	"net/http"
	"strconv"
	"time"
)

// pauseGrace is how long after the first refusal requests may still arrive that were on their way.
const pauseGrace = 500 * time.Millisecond

// shedding is a time in which the engine refuses requests.
type shedding struct {
	until     time.Time
	refusedAt time.Time // first refusal
	late      int       // requests that arrived between pauseGrace after it and until
}

// Shed makes the engine refuse requests for d and ask for a pause until then.
func (e *Engine) Shed(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shedding = shedding{until: time.Now().Add(d)}
}

// ShedRequests returns whether requests were refused since Shed, and how many came although the engine had
// asked for a pause.
func (e *Engine) ShedRequests() (refused bool, late int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.shedding.refusedAt.IsZero(), e.shedding.late
}

// refuseToShed refuses a request with the remaining pause and reports whether it did.
func (e *Engine) refuseToShed(w http.ResponseWriter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, s := time.Now(), &e.shedding
	if !now.Before(s.until) {
		return false
	}
	switch {
	case s.refusedAt.IsZero():
		s.refusedAt = now
	case now.Sub(s.refusedAt) > pauseGrace:
		s.late++
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(s.until.Sub(now).Seconds(), 'f', 3, 64))
	http.Error(w, "shedding load", http.StatusServiceUnavailable)
	return true
}
