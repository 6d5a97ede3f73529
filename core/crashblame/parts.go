package crashblame

import (
	"cmp"
	"slices"
	"time"

	"amaranthturn/core/clock"
	"amaranthturn/core/fleet"
)

// Limits of a PartLedger.
const (
	// MaxCrashes is the number of reports with a part from which on requests with it are
	// refused.
	MaxCrashes = 3
	// MaxParts is the number of parts of one request that are considered.
	MaxParts = 32
	// MaxReports and MaxProofs are the numbers of reports and proofs kept.
	MaxReports = 64
	MaxProofs  = 16384
	// ProofLifetime is how long a part counts as sound after a response with it began.
	ProofLifetime = 10 * time.Minute
	// ReportLifetime is how long a report is kept after it was last used.
	ReportLifetime = 10 * time.Minute
)

// ReportID identifies a crash: the hash of an attempt and its target.
type ReportID uint64

// Report is a crash before the first event of a response, as exchanged between entries.
type Report struct {
	ID    ReportID
	Parts []fleet.Fingerprint // sorted, shared parts of the request's prompt
	Age   time.Duration       // time since the last use
}

// Proof is a part that is known to be sound, as exchanged between entries.
type Proof struct {
	Part fleet.Fingerprint
	Age  time.Duration // time since a response with the part began
}

type reportRecord struct {
	id     ReportID
	parts  []fleet.Fingerprint // sorted, distinct
	usedAt time.Time           // made, or a request was refused because of it
}

// PartLedger detects parts of prompts that crash every target which begins to write a
// response on them. It is not safe for concurrent use.
//
// A part that was sound within ProofLifetime and then begins to crash targets is not
// detected: a response that breaks off looks the same when only the target is faulty.
type PartLedger struct {
	reports []*reportRecord
	proofs  *proofs
}

// NewPartLedger returns an empty ledger.
func NewPartLedger() *PartLedger {
	return &PartLedger{proofs: newProofs()}
}

// RecordBegun records that a response to a request with these parts began, which proves
// them sound. It returns whether other entries should be told: a part that was blamed
// is proven.
func (l *PartLedger) RecordBegun(parts []fleet.Fingerprint, now time.Time) (changed bool) {
	for _, p := range parts[:min(len(parts), MaxParts)] {
		if l.proofs.prove(p, now, now) {
			changed = changed || l.isReported(p, now)
		}
	}
	return changed
}

// RecordCrash records that a target broke the connection after the header of a response and
// before its first event. It returns whether a report was made: there is none if all parts
// are proven, since faulty responses break off in the same way.
func (l *PartLedger) RecordCrash(id ReportID, parts []fleet.Fingerprint, now time.Time) (changed bool) {
	parts = parts[:min(len(parts), MaxParts)]
	if !slices.ContainsFunc(parts, func(p fleet.Fingerprint) bool { return !l.proofs.isValid(p, now) }) {
		return false
	}
	return l.add(id, parts, now, now)
}

// Restriction returns Refuse if an unproven part of the request stands in at least
// MaxCrashes reports and the request also has the unproven parts that all these reports
// have in common, because any of them may be the one that crashes targets.
func (l *PartLedger) Restriction(parts []fleet.Fingerprint, now time.Time) Restriction {
	for _, p := range parts[:min(len(parts), MaxParts)] {
		if l.proofs.isValid(p, now) {
			continue
		}
		with := l.reportsWith(p, now)
		if len(with) < MaxCrashes || !l.hasCommonParts(parts, with, now) {
			continue
		}
		for _, r := range with {
			r.usedAt = clock.Later(r.usedAt, now)
		}
		return Refuse
	}
	return Unrestricted
}

// Suspect returns whether an unproven part of the request stands in a report, so that the
// request should not be sent to another target after a crash.
func (l *PartLedger) Suspect(parts []fleet.Fingerprint, now time.Time) bool {
	return slices.ContainsFunc(parts[:min(len(parts), MaxParts)], func(p fleet.Fingerprint) bool {
		return !l.proofs.isValid(p, now) && l.isReported(p, now)
	})
}

// Exchange returns the reports and the proofs of parts in them, to send to other entries.
func (l *PartLedger) Exchange(now time.Time) ([]Report, []Proof) {
	l.removeExpired(now)
	var reports []Report
	var proven []Proof
	seen := map[fleet.Fingerprint]bool{}
	for _, r := range l.reports {
		reports = append(reports, Report{ID: r.id, Parts: slices.Clone(r.parts), Age: max(0, now.Sub(r.usedAt))})
		for _, p := range r.parts {
			if provenAt, ok := l.proofs.at(p); ok && !seen[p] && now.Sub(provenAt) < ProofLifetime {
				proven = append(proven, Proof{Part: p, Age: max(0, now.Sub(provenAt))})
			}
			seen[p] = true
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID)) })
	slices.SortFunc(proven, func(a, b Proof) int { return cmp.Compare(a.Part, b.Part) })
	return reports, proven
}

// Merge adds the reports and proofs of another entry. It returns whether other entries
// should be told: a report is new, or a part in a report is newly proven.
func (l *PartLedger) Merge(reports []Report, proven []Proof, now time.Time) (changed bool) {
	for _, r := range reports[:min(len(reports), MaxReports)] {
		// An incomplete report would blame the wrong parts.
		if r.Age < 0 || r.Age >= ReportLifetime-relayAllowance || len(r.Parts) == 0 || len(r.Parts) > MaxParts {
			continue
		}
		if l.add(r.ID, r.Parts, now.Add(-r.Age-relayAllowance), now) {
			changed = true
		}
	}
	for _, p := range proven[:min(len(proven), MaxReports*MaxParts)] {
		if p.Age < 0 || p.Age >= ProofLifetime-relayAllowance {
			continue
		}
		if l.proofs.prove(p.Part, now.Add(-p.Age-relayAllowance), now) && l.isReported(p.Part, now) {
			changed = true
		}
	}
	return changed
}

// add adds or renews a report and returns whether it is new.
func (l *PartLedger) add(id ReportID, parts []fleet.Fingerprint, usedAt, now time.Time) bool {
	l.removeExpired(now)
	if i := slices.IndexFunc(l.reports, func(r *reportRecord) bool { return r.id == id }); i >= 0 {
		l.reports[i].usedAt = clock.Later(l.reports[i].usedAt, usedAt)
		return false
	}
	distinct := slices.Clone(parts)
	slices.Sort(distinct)
	added := &reportRecord{id: id, parts: slices.Compact(distinct), usedAt: usedAt}
	l.reports = append(l.reports, added)
	if len(l.reports) <= MaxReports {
		return true
	}
	oldest := slices.MinFunc(l.reports, func(a, b *reportRecord) int {
		return cmp.Or(a.usedAt.Compare(b.usedAt), cmp.Compare(a.id, b.id))
	})
	l.reports = slices.DeleteFunc(l.reports, func(r *reportRecord) bool { return r == oldest })
	return oldest != added
}

func (l *PartLedger) removeExpired(now time.Time) {
	l.reports = slices.DeleteFunc(l.reports, func(r *reportRecord) bool { return r.isExpired(now) })
}

func (r *reportRecord) isExpired(now time.Time) bool { return now.Sub(r.usedAt) >= ReportLifetime }

func (r *reportRecord) has(p fleet.Fingerprint) bool {
	_, ok := slices.BinarySearch(r.parts, p)
	return ok
}

func (l *PartLedger) reportsWith(p fleet.Fingerprint, now time.Time) []*reportRecord {
	var with []*reportRecord
	for _, r := range l.reports {
		if r.has(p) && !r.isExpired(now) {
			with = append(with, r)
		}
	}
	return with
}

func (l *PartLedger) isReported(p fleet.Fingerprint, now time.Time) bool {
	return slices.ContainsFunc(l.reports, func(r *reportRecord) bool { return r.has(p) && !r.isExpired(now) })
}

// hasCommonParts returns whether a request has all unproven parts that the reports have in
// common.
func (l *PartLedger) hasCommonParts(parts []fleet.Fingerprint, reports []*reportRecord, now time.Time) bool {
	for _, p := range reports[0].parts {
		isCommon := !slices.ContainsFunc(reports, func(r *reportRecord) bool { return !r.has(p) })
		if isCommon && !l.proofs.isValid(p, now) && !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}
