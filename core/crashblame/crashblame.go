// Package crashblame detects requests that crash the targets that run them, and has them
// refused after a number of crashed targets: a Ledger by their contents, a PartLedger by the
// parts of their prompts.
//
// # Usage
//
//	switch l.Restriction(fp, now) {
//	case crashblame.Unrestricted: // run it on any target
//	case crashblame.Exclusive:    // run it on a target without other requests
//	case crashblame.Refuse:       // refuse it as not_run, unless l.IsTrialDue(fp, rank, now)
//	}
//	l.RecordCrash(id, running, now)  // fingerprints of the requests on a crashed target
//	l.RecordProof(fp, now)           // a request that completed although it was suspected
//	l.RetractCrash(id, now)          // the target of a crash is alive
//	l.Merge(received, now)           // what another entry's Exchange returned
//
// # Blame
//
// A crash adds one unit of blame, divided equally among the requests that ran on the
// target. A request with enough blame runs on a target without other requests: if it
// crashes that target too, it gets the full unit of blame, and a request that only ran next
// to the crashing request finishes and its blame is cleared. Where requests can't run alone,
// each of them gets a share that others do not lower: RecordShare.
//
// Each unit carries the name of its crash and its age. Entries exchange units: those of different
// crashes add up, those of one crash count once, and the lower share of it holds, since a share
// only falls when more becomes known. Blame does not decay while the request comes.
//
// # Sound requests
//
// A request that completed is excused for the next crashes beside it, as many as a request may
// cause. One that is refused without ever having completed is run again as a trial, by one entry at
// a time and after times that grow with each trial.
//
// # Parts of prompts
//
//	l.RecordBegun(parts, now)           // the first event of a response
//	l.RecordCrash(id, parts, now)       // broken off between the header and the first event
//	l.Restriction(parts, now)           // before each attempt
//	l.Merge(reports, proven, now)       // what another entry's Exchange returned
//
// Requests with a part that crashes targets may have nothing else in common. A response that
// begins proves its parts sound, which clears the parts that sound requests share with
// crashing ones. When RecordBegun, RecordCrash or Merge returns true, the next exchange with
// another entry should not wait.
package crashblame

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthturn/core/clock"
	"amaranthturn/core/fleet"
)

//go:generate stringer -type=Restriction -output=crashblame_string.go -linecomment

// Restriction determines where a request may run.
type Restriction int

// The restrictions.
const (
	Unrestricted Restriction = iota // clear
	Exclusive                       // alone
	Refuse                          // stop
)

// CrashID names one crash.
type CrashID uint64

// CrashOf returns the name of the crash of one incarnation of a target, the same at all entries.
func CrashOf(t fleet.InstanceID, incarnation uint64) CrashID {
	return CrashID(xxhash.Sum64String(string(t) + "\x00" + strconv.FormatUint(incarnation, 10)))
}

// Settings configure a Ledger.
type Settings struct {
	// MaxCrashedTargets is the number of targets that one request may crash before it is
	// refused.
	MaxCrashedTargets int
	// ExclusiveThreshold is the minimum blame at which a request is Exclusive, or 0 if
	// requests can't run alone.
	ExclusiveThreshold float64
	// TrialDelay is the time from the last crash to the first trial of a refused request.
	TrialDelay time.Duration
	// Capacity limits the number of fingerprints kept.
	Capacity int
}

// DefaultSettings refuse a request after it crashed two targets.
var DefaultSettings = Settings{MaxCrashedTargets: 2, ExclusiveThreshold: 0.05, TrialDelay: 5 * time.Minute, Capacity: 4096}

const (
	// refuseTolerance is subtracted from MaxCrashedTargets to get the blame at which a request
	// is refused, since small shares of it may be those of sound requests beside it.
	refuseTolerance = 0.25
	// Lifetime is how long blame is kept after the crash, and after a request was last refused
	// because of it.
	Lifetime = 10 * time.Minute
	// clearedLifetime is how long a unit without a share is kept, so that others learn of it.
	clearedLifetime = time.Minute
	// relayAllowance is added to the age of what another entry tells. A message looks younger by the
	// time that it takes, and entries would renew what none of them uses by telling each other.
	relayAllowance = time.Second
	// maxUnits limits the units kept for one request.
	maxUnits = 16
	// MaxExchanged limits the units in one message.
	MaxExchanged = 64
	// maxAge limits the age of a unit, so that it can be subtracted from a time.
	maxAge = 24 * time.Hour
	// trialBackoff is the factor by which the delay grows with each crash and trial.
	trialBackoff = 8
	// maxTrialBackoffs limits the growth of the delay.
	maxTrialBackoffs = 4
	// trialInterval is the time between the trials that two entries may begin. It is longer than
	// news takes to reach the other one.
	trialInterval = 3 * time.Second
)

// Blame is one unit of blame of a request, as exchanged between entries.
type Blame struct {
	Fingerprint fleet.Fingerprint
	Crash       CrashID
	Share       float64       // 0 if the request is cleared of the crash
	Age         time.Duration // since the crash
	Idle        time.Duration // since the request was last refused, at most Age
	IsTrial     bool          // no crash: an entry has begun a trial of the request
}

type unit struct {
	share   float64
	at      time.Time
	isTrial bool
}

type blameRecord struct {
	units     map[CrashID]unit
	usedAt    time.Time // of the last crash or refusal
	changedAt time.Time
}

// Ledger tracks the blame of fingerprints. It is not safe for concurrent use.
type Ledger struct {
	settings Settings
	records  map[fleet.Fingerprint]*blameRecord
	blamed   map[CrashID][]fleet.Fingerprint // with a share
	// answers are the first answers of blamed incarnations that a later one may have given.
	answers map[CrashID]answer
	proofs  *proofs
}

// answer is an answer to a request that was sent after a crash.
type answer struct{ sentAt, receivedAt time.Time }

// NewLedger returns an empty ledger.
func NewLedger(settings Settings) *Ledger {
	return &Ledger{settings: settings, records: map[fleet.Fingerprint]*blameRecord{}, blamed: map[CrashID][]fleet.Fingerprint{}, answers: map[CrashID]answer{}, proofs: newProofs()}
}

// SetMaxCrashedTargets sets the number of targets that one request may crash.
func (l *Ledger) SetMaxCrashedTargets(n int) { l.settings.MaxCrashedTargets = n }

// Restriction returns the current restriction of a request that has come.
func (l *Ledger) Restriction(f fleet.Fingerprint, now time.Time) Restriction {
	r, ok := l.live(f, now)
	if !ok {
		return Unrestricted
	}
	b := r.blame()
	switch {
	case l.isRefused(b):
		r.usedAt = clock.Later(r.usedAt, now)
		return Refuse
	case l.settings.ExclusiveThreshold > 0 && b >= l.settings.ExclusiveThreshold:
		return Exclusive
	}
	return Unrestricted
}

func (l *Ledger) isRefused(blame float64) bool {
	return blame >= float64(l.settings.MaxCrashedTargets)-refuseTolerance
}

// Blame returns the blame of a request.
func (l *Ledger) Blame(f fleet.Fingerprint, now time.Time) float64 {
	if r, ok := l.live(f, now); ok {
		return r.blame()
	}
	return 0
}

// IsTrialDue reports whether a refused request may be run once more. The rank of this entry among
// those that may do so for the request begins with 0; entries with a higher one wait longer. The first one
// need not wait for long if targets have answered that count as crashed: they may be alive.
func (l *Ledger) IsTrialDue(f fleet.Fingerprint, rank int, now time.Time) bool {
	r, ok := l.live(f, now)
	if !ok {
		return false
	}
	backoffs := int(math.Round(r.blame())) - l.settings.MaxCrashedTargets
	last := time.Time{}
	for _, u := range r.units {
		if u.isTrial {
			backoffs++
		}
		if u.isTrial || u.share > 0 {
			last = clock.Later(last, u.at)
		}
	}
	if rank == 0 && !l.isRefused(l.confirmedBlame(r)) {
		return now.Sub(last) >= answeredTrialDelay
	}
	delay := l.settings.TrialDelay
	for range min(max(0, backoffs), maxTrialBackoffs) {
		delay *= trialBackoff
	}
	return now.Sub(last) >= delay+time.Duration(rank)*trialInterval
}

// answeredTrialDelay is the delay of a trial while answers of blamed targets are not confirmed.
const answeredTrialDelay = 1500 * time.Millisecond

// confirmedBlame returns the blame without crashes after which their targets have answered.
func (l *Ledger) confirmedBlame(r *blameRecord) float64 {
	sum := 0.0
	for id, u := range r.units {
		if a, ok := l.answers[id]; !ok || !u.at.Before(a.sentAt) {
			sum += u.share
		}
	}
	return sum
}

// RecordTrial records that a refused request is run once more.
func (l *Ledger) RecordTrial(f fleet.Fingerprint, now time.Time) {
	if r, ok := l.live(f, now); ok {
		r.put(CrashOf("trial "+fleet.InstanceID(f.String()), uint64(now.UnixNano())), unit{at: now, isTrial: true}, now)
	}
}

// RecordCrash adds blame to the requests that ran on a target when it crashed, divided among them. It
// returns whether other entries should be told.
func (l *Ledger) RecordCrash(id CrashID, running []fleet.Fingerprint, now time.Time) (changed bool) {
	distinct := slices.Clone(running)
	slices.Sort(distinct)
	distinct = slices.Compact(distinct)
	for _, f := range distinct {
		if l.RecordShare(id, f, 1/float64(len(distinct)), now) {
			changed = true
		}
	}
	return changed
}

// RecordShare adds a share of the blame for a crash to one request. It returns whether other entries
// should be told.
func (l *Ledger) RecordShare(id CrashID, f fleet.Fingerprint, share float64, now time.Time) (changed bool) {
	return l.add(f, id, unit{share: share, at: now}, now, now)
}

// RetractCrash removes the blame of a crash that did not happen: the target was only
// unreachable, and the same incarnation responds again.
func (l *Ledger) RetractCrash(id CrashID, now time.Time) {
	l.retract(id, func(time.Time) bool { return true }, now)
}

// RecordAnswer retracts the crash of a target that has answered a request which was sent after it, on a
// connection from before it. A target that starts again under its ID answers on new connections, possibly
// before its new incarnation is known: such an answer counts with ConfirmAnswers.
func (l *Ledger) RecordAnswer(id CrashID, connectedAt, sentAt, now time.Time) {
	l.retract(id, func(crashedAt time.Time) bool { return crashedAt.After(connectedAt) && crashedAt.Before(sentAt) }, now)
	_, known := l.answers[id]
	if !known && slices.ContainsFunc(l.blamed[id], func(f fleet.Fingerprint) bool { return l.records[f].units[id].at.Before(sentAt) }) {
		l.answers[id] = answer{sentAt, now}
	}
}

// ConfirmAnswers retracts the crashes of targets that answered on new connections before a time. If later
// incarnations had given the answers, they would be known.
func (l *Ledger) ConfirmAnswers(before, now time.Time) {
	for id, a := range l.answers {
		if a.receivedAt.Before(before) {
			l.retract(id, func(crashedAt time.Time) bool { return crashedAt.Before(a.sentAt) }, now)
			delete(l.answers, id)
		}
	}
}

// EndIncarnation records that a later incarnation of a target has begun, which may have given the answers
// that are not confirmed.
func (l *Ledger) EndIncarnation(id CrashID) { delete(l.answers, id) }

// retract clears the blame for a crash of the requests whose share of it is from a time that applies.
func (l *Ledger) retract(id CrashID, applies func(crashedAt time.Time) bool, now time.Time) {
	for _, f := range slices.Clone(l.blamed[id]) {
		if applies(l.records[f].units[id].at) {
			l.setShare(f, id, 0, now)
		}
	}
}

// RecordProof clears the blame of a request that completed, on a target without other requests if
// requests can run alone.
func (l *Ledger) RecordProof(f fleet.Fingerprint, now time.Time) {
	l.proofs.prove(f, now, now)
	l.scaleShares(f, 0, now)
}

// RecordSharedCompletion halves the blame of a request that completed next to others.
func (l *Ledger) RecordSharedCompletion(f fleet.Fingerprint, now time.Time) {
	l.scaleShares(f, 0.5, now)
}

func (l *Ledger) scaleShares(f fleet.Fingerprint, factor float64, now time.Time) {
	r, ok := l.live(f, now)
	if !ok {
		return
	}
	for id, u := range r.units {
		if u.share > 0 {
			l.setShare(f, id, u.share*factor, now)
		}
	}
}

// Merge merges the units of another entry, and returns whether others should be told.
func (l *Ledger) Merge(blames []Blame, now time.Time) (changed bool) {
	for _, b := range blames[:min(len(blames), MaxExchanged)] {
		// The comparison is false for a share that is no number.
		if isShare := b.Share >= 0 && b.Share <= 1; !isShare || b.Crash == 0 || b.Age < 0 || b.Idle < 0 || b.Idle >= Lifetime-relayAllowance {
			continue
		}
		u := unit{share: b.Share, at: now.Add(-min(b.Age, maxAge)), isTrial: b.IsTrial}
		if u.isTrial {
			u.share = 0
		}
		if l.add(b.Fingerprint, b.Crash, u, now.Add(-b.Idle-relayAllowance), now) {
			changed = true
		}
	}
	return changed
}

// Exchange returns units to send to other entries: those that changed last and those of the requests
// with the most blame.
func (l *Ledger) Exchange(now time.Time) []Blame {
	type candidate struct {
		f         fleet.Fingerprint
		blame     float64
		changedAt time.Time
	}
	var all []candidate
	for f := range l.records {
		if r, ok := l.live(f, now); ok {
			all = append(all, candidate{f, r.blame(), r.changedAt})
		}
	}
	var out []Blame
	sent := map[fleet.Fingerprint]bool{}
	for i, compare := range []func(a, b candidate) int{
		func(a, b candidate) int { return b.changedAt.Compare(a.changedAt) },
		func(a, b candidate) int { return cmp.Compare(b.blame, a.blame) },
	} {
		slices.SortFunc(all, func(a, b candidate) int { return cmp.Or(compare(a, b), cmp.Compare(a.f, b.f)) })
		for _, c := range all {
			if sent[c.f] || len(out)+len(l.records[c.f].units) > MaxExchanged*(i+1)/2 {
				continue
			}
			out, sent[c.f] = append(out, l.records[c.f].exchanged(c.f, now)...), true
		}
	}
	return out
}

func (r *blameRecord) exchanged(f fleet.Fingerprint, now time.Time) []Blame {
	var out []Blame
	for id, u := range r.units {
		age := max(0, now.Sub(u.at))
		out = append(out, Blame{Fingerprint: f, Crash: id, Share: u.share, Age: age, Idle: min(age, max(0, now.Sub(r.usedAt))), IsTrial: u.isTrial})
	}
	slices.SortFunc(out, func(a, b Blame) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Crash, b.Crash)) })
	return out
}

// Len returns the number of fingerprints kept.
func (l *Ledger) Len() int { return len(l.records) }

// live returns the record of a request, without units that are no longer needed.
func (l *Ledger) live(f fleet.Fingerprint, now time.Time) (*blameRecord, bool) {
	r, ok := l.records[f]
	if !ok {
		return nil, false
	}
	if now.Sub(r.usedAt) >= Lifetime {
		l.delete(f)
		return nil, false
	}
	for id, u := range r.units {
		if u.share == 0 && !u.isTrial && now.Sub(clock.Later(u.at, r.changedAt)) >= clearedLifetime {
			delete(r.units, id)
		}
	}
	if len(r.units) == 0 {
		l.delete(f)
		return nil, false
	}
	return r, true
}

func (l *Ledger) delete(f fleet.Fingerprint) {
	for id := range l.records[f].units {
		l.unindex(f, id)
	}
	delete(l.records, f)
}

// add adds a unit, or lowers the share of a known one, and returns whether it did.
func (l *Ledger) add(f fleet.Fingerprint, id CrashID, u unit, usedAt, now time.Time) bool {
	r, ok := l.live(f, now)
	old, isKnown := unit{}, false
	if ok {
		r.usedAt = clock.Later(r.usedAt, usedAt)
		old, isKnown = r.units[id]
	}
	if isKnown && old.share <= u.share || !isKnown && u.share == 0 && !u.isTrial && now.Sub(u.at) >= clearedLifetime {
		return false
	}
	if isKnown && old.at.Before(u.at) {
		u.at = old.at // a copy only looks younger than it is
	}
	if !ok {
		l.evictIfFull(now)
		r = &blameRecord{units: map[CrashID]unit{}, usedAt: usedAt}
		l.records[f] = r
	}
	if u.share > 0 && l.isExcused(f, r, u.at) {
		u.share = 0
	}
	l.unindex(f, id)
	r.put(id, u, now)
	if u.share > 0 {
		l.blamed[id] = append(l.blamed[id], f)
	}
	for len(r.units) > maxUnits {
		l.dropOldest(f, r)
	}
	return true
}

// isExcused reports whether a request that completed is not blamed for a crash: one before the
// completion, or one of the first after it.
func (l *Ledger) isExcused(f fleet.Fingerprint, r *blameRecord, at time.Time) bool {
	provenAt, ok := l.proofs.at(f)
	if !ok || at.Sub(provenAt) >= ProofLifetime {
		return false
	}
	since := 0
	for _, u := range r.units {
		if !u.isTrial && u.at.After(provenAt) {
			since++
		}
	}
	return !at.After(provenAt) || since < l.settings.MaxCrashedTargets
}

func (l *Ledger) setShare(f fleet.Fingerprint, id CrashID, share float64, now time.Time) {
	r := l.records[f]
	u := r.units[id]
	u.share = share
	r.put(id, u, now)
	if share == 0 {
		l.unindex(f, id)
	}
}

// unindex removes a request from those that are blamed for a crash.
func (l *Ledger) unindex(f fleet.Fingerprint, id CrashID) {
	rest := slices.DeleteFunc(l.blamed[id], func(other fleet.Fingerprint) bool { return other == f })
	if len(rest) == 0 {
		delete(l.blamed, id)
		delete(l.answers, id)
		return
	}
	l.blamed[id] = rest
}

func (l *Ledger) dropOldest(f fleet.Fingerprint, r *blameRecord) {
	var oldest CrashID
	for id, u := range r.units {
		if o, ok := r.units[oldest]; !ok || u.at.Before(o.at) || u.at.Equal(o.at) && id < oldest {
			oldest = id
		}
	}
	l.unindex(f, oldest)
	delete(r.units, oldest)
}

// evictIfFull deletes the least blamed fingerprint if the ledger is full.
func (l *Ledger) evictIfFull(now time.Time) {
	if len(l.records) < l.settings.Capacity {
		return
	}
	var least fleet.Fingerprint
	var leastRecord *blameRecord
	for f, r := range l.records {
		if now.Sub(r.usedAt) >= Lifetime {
			l.delete(f)
			return
		}
		if leastRecord == nil || cmp.Or(cmp.Compare(r.blame(), leastRecord.blame()), r.usedAt.Compare(leastRecord.usedAt), cmp.Compare(f, least)) < 0 {
			least, leastRecord = f, r
		}
	}
	l.delete(least)
}

func (r *blameRecord) put(id CrashID, u unit, now time.Time) {
	r.units[id] = u
	r.changedAt = now
}

func (r *blameRecord) blame() float64 {
	sum := 0.0
	for _, u := range r.units {
		sum += u.share
	}
	return sum
}
