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

// offerCache is a selection of the targets of one model.
type offerCache struct {
	version uint64
	at      time.Time
	offers  []picker.Candidate
}

// choose picks a target and counts the request there.
func (f *flight) choose() (picker.Candidate, bool, bool) {
	e := f.e
	now := e.now()
	offers := e.offersFor(f.gen.Model, now)
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	want := f.want
	want.Pinned = f.state.Pinned()
	alone := e.ledger.Restriction(f.gen.Fingerprint, now) != crashblame.Unrestricted
	q := picker.Query{Prefix: f.prefix, Exclusive: alone, Avoid: f.state.Avoid()}
	all := picker.Eligible(offers, want)
	t, ok := e.picker.ChooseNear(picker.Near(all, offers, e.self.Zone), all, q, now)
	if !ok {
		return picker.Candidate{}, false, false
	}
	e.picker.Started(t.ID)
	if e.running[t.ID] == nil {
		e.running[t.ID] = map[admit.RequestID]fleet.Fingerprint{}
	}
	e.running[t.ID][f.admit.ID] = f.gen.Fingerprint
	for _, o := range offers {
		if o.ID == t.ID {
			return o, alone, true
		}
	}
	return picker.Candidate{}, false, false
}

func (f *flight) finished(o picker.Candidate) {
	f.e.reqMu.Lock()
	defer f.e.reqMu.Unlock()
	f.e.picker.Finished(o.ID)
	delete(f.e.running[o.ID], f.admit.ID)
}

// offersFor returns the targets of a model that may be sent work, in the order
// that the picker wants.
func (e *Entry) offersFor(m fleet.Model, now time.Time) []picker.Candidate {
	e.memMu.Lock()
	version := e.table.Version()
	e.memMu.Unlock()
	e.reqMu.Lock()
	c, ok := e.offers[m]
	e.reqMu.Unlock()
	if ok && c.version == version && now.Sub(c.at) < offerLife {
		return c.offers
	}
	e.memMu.Lock()
	offers := makeOffers(e.table.Serving(m, now), m)
	e.memMu.Unlock()
	e.reqMu.Lock()
	e.offers[m] = offerCache{version: version, at: now, offers: offers}
	e.reqMu.Unlock()
	return offers
}

func makeOffers(agents []*membership.Agent, m fleet.Model) []picker.Candidate {
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

// relay passes a request to an entry that knows targets of the model.
func (f *flight) relay(ctx context.Context) (dispatch.Failure, bool) {
	doc, _ := f.e.document()
	f.e.memMu.Lock()
	homes := membership.EntriesForCaller(f.e.table.List(), f.e.self.Zone, doc.PoolOf(f.gen.Model), f.gen.RequestID)
	f.e.memMu.Unlock()
	known := f.e.knowsPool(homes)
	for _, in := range homes {
		if in.ID == f.e.self.ID || known {
			continue
		}
		f.state.StartAttempt(in.ID)
		f.e.opt.Metrics.Count("relays", 1)
		return f.call(ctx, in.ID, func(ctx context.Context, each func(peer.Event) error) error {
			return f.e.opt.Pool.Relay(ctx, in.Address, f.gen, each)
		})
	}
	return dispatch.Failure{Kind: dispatch.KindNoTarget}, false
}

// knowsPool tells whether this entry is attached to every target of the pool, so
// that no other entry could know one more.
func (e *Entry) knowsPool(homes []fleet.Instance) bool {
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
	for _, in := range homes {
		if in.ID == e.self.ID {
			return true
		}
	}
	return false
}

// Relay implements peer.EntryHandler: it runs a request for another entry and
// passes it no further.
func (e *Entry) Relay(ctx context.Context, r peer.GenerateRequest, send func(peer.Event) error) error {
	e.inFlight.Add(1)
	defer e.inFlight.Done()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	g := caller.GenerateRequest{
		RequestID: r.RequestID, Workspace: r.Workspace, Model: r.Model, Class: r.Class, Body: r.Body, Deadline: r.Deadline,
	}
	f, refusal := e.newFlight(g, func(t caller.Token) error {
		return send(peer.Event{Version: t.Version, Index: t.Index, Token: t.Text, Done: t.Done, Finish: t.FinishReason})
	})
	if refusal == nil {
		f.relayed = true
		refusal = f.admitAndRun(ctx)
	}
	if refusal != nil {
		return send(peer.Event{Refusal: refusal})
	}
	return nil
}
