package entry

import (
	"context"
	"slices"
	"time"

	"amaranthturn/core/admit"
	"amaranthturn/core/crashblame"
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

// chosenTarget is the target of an attempt.
type chosenTarget struct {
	picker.Candidate
	exclusive bool // the request must run there as the only one
}

// chooseTarget picks a target and records the request as running there. It also returns whether
// there is a target.
func (h *requestHandler) chooseTarget() (chosenTarget, bool) {
	e := h.e
	now := e.now()
	candidates := e.candidatesFor(h.gen.Model, now)
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	eligible := h.eligible(candidates)
	restriction := e.ledger.Restriction(h.gen.Fingerprint, now)
	exclusive := restriction != crashblame.Unrestricted
	c, ok := h.pick(candidates, eligible, picker.Query{Prefix: h.prefixHash, Exclusive: exclusive, Avoid: h.state.Avoid()}, now)
	if ok {
		h.recordStart(c.ID)
	}
	if ok && restriction == crashblame.Refuse {
		e.ledger.RecordTrial(h.gen.Fingerprint, now)
		e.requestAnnouncement()
	}
	return chosenTarget{c, exclusive}, ok
}

// chooseReplacement picks a target with free capacity beside the targets of the attempts in progress,
// takes a retry and records the request as running there. Targets that failed the request come
// last. A request that is suspected of crashing targets is not replaced.
func (h *requestHandler) chooseReplacement(inProgress []fleet.InstanceID) (chosenTarget, bool) {
	e := h.e
	now := e.now()
	candidates := e.candidatesFor(h.gen.Model, now)
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	if e.ledger.Restriction(h.gen.Fingerprint, now) != crashblame.Unrestricted {
		return chosenTarget{}, false
	}
	eligible := e.picker.Free(h.eligible(candidates), now)
	q := picker.Query{Prefix: h.prefixHash, Avoid: slices.Concat(inProgress, h.state.Avoid())}
	c, ok := h.pick(candidates, eligible, q, now)
	if !ok {
		q.Avoid = inProgress
		c, ok = h.pick(candidates, eligible, q, now)
	}
	if !ok || !h.takeRetry() {
		return chosenTarget{}, false
	}
	h.recordStart(c.ID)
	return chosenTarget{Candidate: c}, true
}

func (h *requestHandler) eligible(candidates []picker.Candidate) []picker.Target {
	constraint := h.versions()
	constraint.Pinned = h.state.Pinned()
	return picker.Eligible(candidates, constraint)
}

// pick chooses one of the eligible candidates. reqMu must be held.
func (h *requestHandler) pick(candidates []picker.Candidate, eligible []picker.Target, q picker.Query, now time.Time) (picker.Candidate, bool) {
	t, ok := h.e.picker.ChooseZoneFirst(picker.InZone(eligible, candidates, h.e.self.Zone), eligible, q, now)
	if !ok {
		return picker.Candidate{}, false
	}
	i := slices.IndexFunc(candidates, func(c picker.Candidate) bool { return c.ID == t.ID })
	return candidates[i], true
}

// recordStart records that the request runs on a target, at most once on each. reqMu must be held.
func (h *requestHandler) recordStart(id fleet.InstanceID) {
	e := h.e
	e.picker.RecordStart(id)
	if e.running[id] == nil {
		e.running[id] = map[admit.RequestID]fleet.Fingerprint{}
	}
	e.running[id][h.admit.ID] = h.gen.Fingerprint
}

func (h *requestHandler) recordEnd(id fleet.InstanceID) {
	h.e.reqMu.Lock()
	defer h.e.reqMu.Unlock()
	h.e.picker.RecordEnd(id)
	delete(h.e.running[id], h.admit.ID)
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

// chooseRelay returns an entry that is attached to targets of the model.
func (h *requestHandler) chooseRelay() (fleet.Instance, bool) {
	doc, _ := h.e.document()
	h.e.memMu.Lock()
	entries := membership.EntriesForCaller(h.e.table.List(), h.e.self.Zone, doc.PoolOf(h.gen.Model), h.gen.RequestID)
	h.e.memMu.Unlock()
	attached := h.e.isAttachedToPool(entries)
	for _, in := range entries {
		if in.ID == h.e.self.ID || attached {
			continue
		}
		return in, true
	}
	return fleet.Instance{}, false
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
	ctx, end := e.stop.RequestContext(ctx)
	defer end()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	g := caller.GenerateRequest{
		RequestID: r.RequestID, Workspace: r.Workspace, Model: r.Model, Class: r.Class, Body: r.Body, Deadline: r.Deadline,
	}
	h, refusal := e.newRequestHandler(g, func(t caller.Token) error {
		return send(peer.GenerateEvent{Version: t.Version, Index: t.Index, Token: t.Text, Done: t.Done, FinishReason: t.FinishReason})
	})
	if refusal == nil {
		h.relayed = true
		refusal = h.admitAndRun(ctx)
	}
	if refusal != nil {
		return send(peer.GenerateEvent{Refusal: refusal})
	}
	return nil
}
