package roster

import (
	"cmp"
	"slices"
	"time"

	"amaranthturn/core/clock"
	"amaranthturn/core/fleet"
	"amaranthturn/core/mirror"
)

// Reader is one incarnation of an entry that reads the store.
type Reader struct {
	Instance    fleet.InstanceID
	Incarnation fleet.Incarnation
}

// SpanAge is a time in which the store answered the reads of one entry, as ages of its beginning
// and its end.
type SpanAge struct{ From, To time.Duration }

// ReadReport is when an entry read the store.
type ReadReport struct {
	Reader
	Era mirror.Era
	// Sequence increases with each read of this incarnation. A report that was passed on, and
	// took longer than another one, is recognised by it.
	Sequence uint64
	Spans    []SpanAge // in order
}

// Limits of what is kept and told of the reads.
const (
	// maxSpans limits the spans of a reader.
	maxSpans = 16
	// maxReaders limits the readers that are remembered.
	maxReaders = 512
	// reportedReaders is how many readers are told: half of them are those known over the longest
	// time, half those that read last.
	reportedReaders = 8
	// horizonWindows is how long reads are remembered, in times within which a record expires.
	horizonWindows = 4
)

type span struct{ from, to time.Time }

type readerSpans struct {
	Reader
	sequence uint64
	spans    []span // in order, disjoint
}

func (r *readerSpans) end() time.Time { return r.spans[len(r.spans)-1].to }

func (r *readerSpans) length() time.Duration {
	var sum time.Duration
	for _, s := range r.spans {
		sum += s.to.Sub(s.from)
	}
	return sum
}

// Reads is when the store answered any entry, as far as this entry knows. It shows that targets
// could renew their records. Times that nobody vouches for may be outages.
type Reads struct {
	renewal time.Duration
	era     mirror.Era
	readers map[fleet.InstanceID]*readerSpans
	version uint64 // increases with each change
}

func newReads(renewal time.Duration) *Reads {
	return &Reads{renewal: renewal, readers: map[fleet.InstanceID]*readerSpans{}}
}

// window is the time without a renewal after which a record expires.
func (r *Reads) window() time.Duration { return missedRenewals * r.renewal }

// Record records that this entry has read the store in a call that began and ended at the given
// times. A call that took longer than a renewal only shows that the store was there at its end.
func (r *Reads) Record(self Reader, from, to time.Time) {
	if to.Sub(from) > r.renewal {
		from = to
	}
	known, ok := r.readers[self.Instance]
	if !ok || known.Incarnation != self.Incarnation {
		known = &readerSpans{Reader: self}
		r.readers[self.Instance] = known
	}
	known.sequence++
	r.version++
	// Between two reads the store was hardly away and back again.
	if n := len(known.spans); n > 0 && from.Sub(known.end()) <= r.renewal/4 {
		last := &known.spans[n-1]
		last.from, last.to = clock.Earlier(last.from, from), clock.Later(last.to, to)
	} else {
		known.spans = append(known.spans, span{from, to})
	}
	r.forget(to)
}

// Enter forgets the reads before a restoration of the store, which says nothing about the records
// that it lists since then.
func (r *Reads) Enter(era mirror.Era) {
	if era != r.era {
		r.Clear()
		r.era = era
	}
}

// Clear forgets all reads. After a pause of the process their ages are unknown.
func (r *Reads) Clear() {
	clear(r.readers)
	r.version++
}

// Merge adds what another entry knows. It ignores what it says of the entry self.
func (r *Reads) Merge(self fleet.InstanceID, reports []ReadReport, now time.Time) {
	for _, p := range reports {
		if p.Era != r.era || p.Instance == self || len(p.Spans) == 0 {
			continue
		}
		known, ok := r.readers[p.Instance]
		if !ok && len(r.readers) >= maxReaders {
			continue
		}
		added := &readerSpans{Reader: p.Reader, sequence: p.Sequence, spans: r.spansOf(p.Spans, now)}
		if len(added.spans) == 0 || ok && !isNews(added, known) {
			continue
		}
		r.readers[p.Instance] = added
		r.version++
	}
	r.forget(now)
}

// isNews reports whether a report on a reader replaces the known one. One that arrived sooner is
// nearer to the truth: the time that it took is unknown and makes the reads appear later.
func isNews(added, known *readerSpans) bool {
	order := cmp.Or(cmp.Compare(added.Incarnation, known.Incarnation), cmp.Compare(added.sequence, known.sequence))
	return order > 0 || order == 0 && added.end().Before(known.end())
}

// spansOf returns valid spans of a report that is received now.
func (r *Reads) spansOf(ages []SpanAge, now time.Time) []span {
	if len(ages) > maxSpans {
		ages = ages[len(ages)-maxSpans:]
	}
	var out []span
	for _, a := range ages {
		s := span{now.Add(-a.From), now.Add(-a.To)}
		isOrdered := a.From >= a.To && a.To >= 0 && (len(out) == 0 || s.from.After(out[len(out)-1].to))
		if isOrdered && a.To < r.horizon() && a.From <= 2*r.horizon() {
			out = append(out, s)
		}
	}
	return out
}

func (r *Reads) horizon() time.Duration { return horizonWindows * r.window() }

// forget drops what is too old to matter.
func (r *Reads) forget(now time.Time) {
	for id, known := range r.readers {
		known.spans = slices.DeleteFunc(known.spans, func(s span) bool { return now.Sub(s.to) > r.horizon() })
		if len(known.spans) == 0 {
			delete(r.readers, id)
			continue
		}
		if n := len(known.spans); n > maxSpans {
			known.spans = slices.Delete(known.spans, 0, n-maxSpans)
		}
		known.spans[0].from = clock.Later(known.spans[0].from, now.Add(-r.horizon()))
	}
}

// Reports returns what other entries are told: the readers that are known over the longest time, and
// those that read last.
func (r *Reads) Reports(now time.Time) []ReadReport {
	r.forget(now)
	all := make([]*readerSpans, 0, len(r.readers))
	for _, known := range r.readers {
		all = append(all, known)
	}
	byLength := func(a, b *readerSpans) int {
		return cmp.Or(cmp.Compare(b.length(), a.length()), cmp.Compare(a.Instance, b.Instance))
	}
	slices.SortFunc(all, byLength)
	if len(all) > reportedReaders {
		rest := all[reportedReaders/2:]
		slices.SortFunc(rest, func(a, b *readerSpans) int { return cmp.Or(b.end().Compare(a.end()), byLength(a, b)) })
		all = all[:reportedReaders]
	}
	var out []ReadReport
	for _, known := range all {
		p := ReadReport{Reader: known.Reader, Era: r.era, Sequence: known.sequence}
		for _, s := range known.spans {
			p.Spans = append(p.Spans, SpanAge{From: now.Sub(s.from), To: max(0, now.Sub(s.to))})
		}
		out = append(out, p)
	}
	return out
}

// all returns the times in which the store answered any entry, in order and disjoint.
func (r *Reads) all() []span {
	var spans []span
	for _, known := range r.readers {
		spans = append(spans, known.spans...)
	}
	slices.SortFunc(spans, func(a, b span) int { return a.from.Compare(b.from) })
	var out []span
	for _, s := range spans {
		if n := len(out); n > 0 && !s.from.After(out[n-1].to) {
			out[n-1].to = clock.Later(out[n-1].to, s.to)
			continue
		}
		out = append(out, s)
	}
	return out
}

// Deletion is what is known of the time at which a record was deleted: after the copy of the store
// was last current without it, and not later than the copy with it. The zero Deletion is unknown.
type Deletion struct{ After, By time.Time }

// shown returns the least time within the window before a deletion for which reads show that the
// store was there, whenever in its interval the deletion was.
func (r *Reads) shown(d Deletion) time.Duration {
	if d.After.IsZero() || d.By.Before(d.After) {
		return 0
	}
	spans, window := r.all(), r.window()
	// The time shown is a piecewise linear function of the time of the deletion. It is least at a
	// bend or at an end.
	at := []time.Time{d.After, d.By}
	for _, s := range spans {
		at = append(at, s.from, s.to, s.from.Add(window), s.to.Add(window))
	}
	least := window
	for _, t := range at {
		if !t.Before(d.After) && !t.After(d.By) {
			least = min(least, overlap(spans, t.Add(-window), t))
		}
	}
	return least
}

// showRemoval reports whether a record cannot have expired if it was deleted then. A target renews
// its record several times within the window. To expire, all of that must fail, which takes outages of
// more than half of the window.
func (r *Reads) showRemoval(d Deletion) bool { return r.shown(d) >= r.window()/2 }

// overlap returns how much of the time from a to b the spans cover.
func overlap(spans []span, a, b time.Time) time.Duration {
	var sum time.Duration
	for _, s := range spans {
		sum += max(0, clock.Earlier(s.to, b).Sub(clock.Later(s.from, a)))
	}
	return sum
}
