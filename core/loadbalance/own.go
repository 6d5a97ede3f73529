package loadbalance

import "time"

// ownRequests are this entry's requests to one target. A report of the target's load is older than
// some of them, and counts others that have ended since.
type ownRequests struct {
	spans    []span // by start, without those that ended long ago
	inFlight int
}

// span is the time in which a request was in flight; end is zero as long as it is.
type span struct{ start, end time.Time }

// ownHistory is how long an ended request is kept, which is the maximum age of a report that it can
// be told apart in.
const ownHistory = 3 * time.Second

func (o *ownRequests) started(now time.Time) {
	o.prune(now)
	o.spans = append(o.spans, span{start: now})
	o.inFlight++
}

// ended records the end of a request. It is taken to be the one that started first, since the
// caller doesn't tell.
func (o *ownRequests) ended(now time.Time) {
	if o.inFlight == 0 {
		return
	}
	o.inFlight--
	for i := range o.spans {
		if o.spans[i].end.IsZero() {
			o.spans[i].end = now
			break
		}
	}
	o.prune(now)
}

// at returns how many requests were in flight at a time.
func (o *ownRequests) at(t time.Time) int {
	n := 0
	for _, s := range o.spans {
		if !s.start.After(t) && (s.end.IsZero() || s.end.After(t)) {
			n++
		}
	}
	return n
}

func (o *ownRequests) prune(now time.Time) {
	n := 0
	for n < len(o.spans) && !o.spans[n].end.IsZero() && now.Sub(o.spans[n].end) > ownHistory {
		n++
	}
	o.spans = append(o.spans[:0], o.spans[n:]...)
}
