package entry

import (
	"slices"
	"time"

	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
	"amaranthturn/core/rank"
)

// crashesTargets reports whether the request is known to crash the targets that run it and is not
// to be run once more as a trial.
func (h *requestHandler) crashesTargets() bool {
	e := h.e
	e.reqMu.Lock()
	refused := e.ledger.Restriction(h.gen.Fingerprint, e.now()) == crashblame.Refuse
	e.reqMu.Unlock()
	if !refused {
		return false
	}
	position := e.trialRank(h.gen.Fingerprint)
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	return !e.ledger.IsTrialDue(h.gen.Fingerprint, position, e.now())
}

// trialRank returns the position of this entry among all entries for trials of a request.
func (e *Entry) trialRank(f fleet.Fingerprint) int {
	e.memMu.Lock()
	defer e.memMu.Unlock()
	var ids []fleet.InstanceID
	for _, in := range e.table.List() {
		if in.Role == fleet.RoleEntry && !in.Leaving {
			ids = append(ids, in.ID)
		}
	}
	return max(0, slices.Index(rank.Top("trial/"+f.String(), ids, len(ids)), e.self.ID))
}

// recordBlame adds the blame for a crash to the requests that ran there, and tells other entries. reqMu
// must be held.
func (e *Entry) recordBlame(id crashblame.CrashID, running []fleet.Fingerprint, now time.Time) {
	if e.ledger.RecordCrash(id, running, now) {
		e.requestAnnouncement()
	}
}

// engineCrash names the crash of an agent's engine.
func engineCrash(r membership.Report) crashblame.CrashID {
	return crashblame.CrashOf("engine/"+r.Instance, r.CrashedIncarnation)
}

// provisionalCrash is a crash recorded because a connection was lost. It is kept until it is
// known whether the target has crashed.
type provisionalCrash struct {
	incarnation fleet.Incarnation
	at          time.Time
}

// id names the crash of a target, the same at all entries.
func (c provisionalCrash) id(target fleet.InstanceID) crashblame.CrashID {
	return crashblame.CrashOf(target, uint64(c.incarnation))
}

// maxHeartbeatDelay is how long heartbeats from before a crash may still arrive.
const maxHeartbeatDelay = time.Second

// recordCrash records one crash of a target for all requests that ran there.
func (e *Entry) recordCrash(target fleet.InstanceID) {
	e.memMu.Lock()
	var incarnation fleet.Incarnation
	if a, ok := e.table.Get(target); ok {
		incarnation = a.Incarnation
	}
	e.memMu.Unlock()
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	var fingerprints []fleet.Fingerprint
	for _, fp := range e.running[target] {
		fingerprints = append(fingerprints, fp)
	}
	delete(e.running, target)
	if len(fingerprints) > 0 {
		crash := provisionalCrash{incarnation: incarnation, at: e.now()}
		e.recordBlame(crash.id(target), fingerprints, e.now())
		e.provisionalCrashes[target] = crash
	}
}

// retractCrash retracts a provisional crash if the same incarnation of the target still
// sends heartbeats. reqMu must be held.
func (e *Entry) retractCrash(r membership.Report, now time.Time) {
	crash, ok := e.provisionalCrashes[r.Instance]
	switch {
	case !ok:
	case r.Incarnation != crash.incarnation:
		delete(e.provisionalCrashes, r.Instance)
	case now.Sub(crash.at) > maxHeartbeatDelay:
		e.ledger.RetractCrash(crash.id(r.Instance), now)
		delete(e.provisionalCrashes, r.Instance)
	}
}
