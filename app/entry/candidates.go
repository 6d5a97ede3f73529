package entry

import (
	"context"
	"time"

	"amaranthturn/core/admit"
	"amaranthturn/core/crashblame"
	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
	"amaranthturn/core/picker"
	"amaranthturn/io/caller"
	"amaranthturn/io/peer"
)

// candidateCache caches the candidate targets of one model.
type candidateCache struct {
	version    uint64
	at         time.Time
	candidates []picker.Candidate
}

// choose picks a target and records the request as running there. It also returns whether
// the request must run there exclusively, and whether there is a target.
func (f *forwarder) choose() (picker.Candidate, bool, bool) {
	e := f.e
	now := e.now()
	candidates := e.candidatesFor(f.gen.Model, now)
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	constraint := f.constraint
	constraint.Pinned = f.state.Pinned()
	exclusive := e.ledger.Restriction(f.gen.Fingerprint, now) != crashblame.Unrestricted
	q := picker.Query{Prefix: f.prefixHash, Exclusive: exclusive, Avoid: f.state.Avoid()}
	eligible := picker.Eligible(candidates, constraint)
	t, ok := e.picker.ChooseZoneFirst(picker.InZone(eligible, candidates, e.self.Zone), eligible, q, now)
	if !ok {
		return picker.Candidate{}, false, false
	}
	e.picker.RecordStart(t.ID)
	if e.running[t.ID] == nil {
		e.running[t.ID] = map[admit.RequestID]fleet.Fingerprint{}
	}
	e.running[t.ID][f.admit.ID] = f.gen.Fingerprint
	for _, c := range candidates {
		if c.ID == t.ID {
			return c, exclusive, true
		}
	}
	return picker.Candidate{}, false, false
}

func (f *forwarder) finishAttempt(c picker.Candidate) {
	f.e.reqMu.Lock()
	defer f.e.reqMu.Unlock()
	f.e.picker.RecordEnd(c.ID)
	delete(f.e.running[c.ID], f.admit.ID)
}

// candidatesFor returns the targets of a model that accept requests, in the order that the
// picker requires.
func (e *Entry) candidatesFor(m fleet.Model, now time.Time) []picker.Candidate {
	e.memMu.Lock()
	version := e.table.Version()
	e.memMu.Unlock()
	e.reqMu.Lock()
	cached, ok := e.candidates[m]
	e.reqMu.Unlock()
	if ok && cached.version == version && now.Sub(cached.at) < candidateTTL {
		return cached.candidates
	}
	e.memMu.Lock()
	candidates := newCandidates(e.table.Serving(m, now), m)
	e.memMu.Unlock()
	e.reqMu.Lock()
	e.candidates[m] = candidateCache{version: version, at: now, candidates: candidates}
	e.reqMu.Unlock()
	return candidates
}

func newCandidates(agents []*membership.Agent, m fleet.Model) []picker.Candidate {
	targets := make([]picker.Target, 0, len(agents))
	byID := make(map[fleet.InstanceID]picker.Candidate, len(agents))
	for _, a := range agents {
		st, _ := a.Model(m)
		t := picker.NewTarget(a.Instance, a.Load.Capacity)
		targets = append(targets, t)
		byID[a.Instance] = picker.Candidate{
			Target: t, Address: a.Address, Zone: a.Zone, Incarnation: a.Incarnation, Serving: st.Serving, Loaded: st.Loaded,
		}
	}
	picker.Sort(targets)
	out := make([]picker.Candidate, 0, len(targets))
	for _, t := range targets {
		out = append(out, byID[t.ID])
	}
	return out
}

// relay forwards a request to an entry that is attached to targets of the model.
func (f *forwarder) relay(ctx context.Context) (dispatch.Failure, bool) {
	doc, _ := f.e.document()
	f.e.memMu.Lock()
	entries := membership.EntriesForCaller(f.e.table.List(), f.e.self.Zone, doc.PoolOf(f.gen.Model), f.gen.RequestID)
	f.e.memMu.Unlock()
	attached := f.e.isAttachedToPool(entries)
	for _, in := range entries {
		if in.ID == f.e.self.ID || attached {
			continue
		}
		f.state.StartAttempt(in.ID)
		f.e.opt.Metrics.Count("relays", 1)
		return f.call(ctx, in.ID, func(ctx context.Context, each func(peer.GenerateEvent) error) error {
			return f.e.opt.Pool.Relay(ctx, in.Address, f.gen, each)
		})
	}
	return dispatch.Failure{Kind: dispatch.KindNoTarget}, false
}

// isAttachedToPool reports whether this entry is attached to every target of the pool, so
// that no other entry can know additional ones.
func (e *Entry) isAttachedToPool(poolEntries []fleet.Instance) bool {
	e.memMu.Lock()
	defer e.memMu.Unlock()
	n := 0
	for _, in := range e.table.List() {
		if in.Role == fleet.RoleEntry && !in.Leaving {
			n++
		}
	}
	if n > membership.AttachAllMaxEntries {
		return false
	}
	for _, in := range poolEntries {
		if in.ID == e.self.ID {
			return true
		}
	}
	return false
}

// Relay implements peer.EntryHandler. It runs a request for another entry and does not
// forward it to a third one.
func (e *Entry) Relay(ctx context.Context, r peer.GenerateRequest, send func(peer.GenerateEvent) error) error {
	e.inFlight.Add(1)
	defer e.inFlight.Done()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	g := caller.GenerateRequest{
		RequestID: r.RequestID, Workspace: r.Workspace, Model: r.Model, Class: r.Class, Body: r.Body, Deadline: r.Deadline,
	}
	f, refusal := e.newForwarder(g, func(t caller.Token) error {
		return send(peer.GenerateEvent{Version: t.Version, Index: t.Index, Token: t.Text, Done: t.Done, FinishReason: t.FinishReason})
	})
	if refusal == nil {
		f.relayed = true
		refusal = f.admitAndRun(ctx)
	}
	if refusal != nil {
		return send(peer.GenerateEvent{Refusal: refusal})
	}
	return nil
}
