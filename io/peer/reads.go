package peer

import (
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/mirror"
	"amaranthturn/core/roster"
	"amaranthturn/io/peer/peerpb"
)

// Limits of what a message states about the reads of the store.
const (
	maxReadReports = 64
	maxReadSpans   = 64
)

func readsToWire(reports []roster.ReadReport) []*peerpb.StoreReads {
	var out []*peerpb.StoreReads
	for _, r := range reports {
		w := &peerpb.StoreReads{Instance: string(r.Instance), Incarnation: uint64(r.Incarnation), Sequence: r.Sequence, Era: uint64(r.Era)}
		for _, s := range r.Spans {
			// A span is not made longer by rounding.
			w.Spans = append(w.Spans, &peerpb.StoreSpan{FromAgeMs: uint32(s.From.Milliseconds()), ToAgeMs: uint32((s.To + time.Millisecond - 1).Milliseconds())})
		}
		out = append(out, w)
	}
	return out
}

func readsFromWire(reads []*peerpb.StoreReads) []roster.ReadReport {
	var out []roster.ReadReport
	for _, w := range reads[:min(len(reads), maxReadReports)] {
		r := roster.ReadReport{
			Reader: roster.Reader{Instance: fleet.InstanceID(w.GetInstance()), Incarnation: fleet.Incarnation(w.GetIncarnation())},
			Era:    mirror.Era(w.GetEra()), Sequence: w.GetSequence(),
		}
		spans := w.GetSpans()
		for _, s := range spans[:min(len(spans), maxReadSpans)] {
			r.Spans = append(r.Spans, roster.SpanAge{From: millis(uint64(s.GetFromAgeMs())), To: millis(uint64(s.GetToAgeMs()))})
		}
		out = append(out, r)
	}
	return out
}
