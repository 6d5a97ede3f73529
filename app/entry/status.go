package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"amaranthturn/core/config"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
	"amaranthturn/core/switchover"
	"amaranthturn/io/operator"
	"amaranthturn/io/peer"
)

// askAtOnce bounds the entries that are asked at a time for a fleet-wide answer.
const askAtOnce = 32

// Fleet implements peer.EntryHandler.
func (e *Entry) Fleet(ctx context.Context, forward bool) peer.Fleet {
	out := e.ownFleet()
	if !forward {
		return out
	}
	e.memMu.Lock()
	list := e.table.List()
	e.memMu.Unlock()
	ask := &fleetAsk{e: e, best: map[fleet.InstanceID]peer.FleetMember{}, slots: make(chan struct{}, askAtOnce)}
	ask.merge(out.Members)
	for _, in := range list {
		if in.Role == fleet.RoleEntry && in.ID != e.self.ID {
			ask.wg.Add(1)
			go ask.run(ctx, in)
		}
	}
	ask.wg.Wait()
	out.Members = ask.members()
	out.Entries = append(out.Entries, ask.entries...)
	slices.SortFunc(out.Entries, func(a, b peer.EntryState) int { return compare(a.Instance, b.Instance) })
	return out
}

func compare(a, b fleet.InstanceID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// ownFleet answers from this entry's own view.
func (e *Entry) ownFleet() peer.Fleet {
	now := e.now()
	e.cfgMu.Lock()
	_, rev := e.node.Document()
	refusal, refused := e.node.Refusal()
	e.cfgMu.Unlock()
	out := peer.Fleet{Entry: e.self.ID, Revision: rev}
	if refused {
		out.RefusedRevision = refusal.Revision
		out.Refused = refusal.Problem.Error()
	}
	out.Entries = []peer.EntryState{{Instance: e.self.ID, Address: e.self.Address, Revision: rev}}
	e.memMu.Lock()
	defer e.memMu.Unlock()
	for _, a := range e.table.All() {
		out.Members = append(out.Members, peer.FleetMember{Report: a.Report, Age: now.Sub(a.LastSeen)})
	}
	return out
}

// fleetAsk gathers the views of all entries.
type fleetAsk struct {
	e       *Entry
	wg      sync.WaitGroup
	slots   chan struct{}
	mu      sync.Mutex // guards best and entries
	best    map[fleet.InstanceID]peer.FleetMember
	entries []peer.EntryState
}

func (a *fleetAsk) run(ctx context.Context, in fleet.Instance) {
	defer a.wg.Done()
	a.slots <- struct{}{}
	defer func() { <-a.slots }()
	got, err := a.e.opt.Pool.Fleet(ctx, in.Address, false)
	if err != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.entries = append(a.entries, peer.EntryState{Instance: in.ID, Address: in.Address, Problem: err.Error()})
		return
	}
	a.merge(got.Members)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = append(a.entries, got.Entries...)
}

// merge keeps the freshest word about each agent; a higher incarnation is newer
// whatever its age.
func (a *fleetAsk) merge(list []peer.FleetMember) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range list {
		old, ok := a.best[m.Report.Instance]
		newer := m.Report.Incarnation > old.Report.Incarnation ||
			m.Report.Incarnation == old.Report.Incarnation && m.Age < old.Age
		if !ok || newer {
			a.best[m.Report.Instance] = m
		}
	}
}

func (a *fleetAsk) members() []peer.FleetMember {
	var out []peer.FleetMember
	for _, m := range a.best {
		out = append(out, m)
	}
	slices.SortFunc(out, func(x, y peer.FleetMember) int { return compare(x.Report.Instance, y.Report.Instance) })
	return out
}

// lagAfter is the age from which an instance counts as lagging.
const lagAfter = 5 * time.Second

// Status implements operator.Source.
func (e *Entry) Status(ctx context.Context) operator.Status {
	all := e.Fleet(ctx, true)
	doc, _ := e.document()
	e.memMu.Lock()
	list := e.table.List()
	e.memMu.Unlock()
	return buildStatus(all, doc, list, e.now())
}

// buildStatus puts the operators' answer together.
func buildStatus(all peer.Fleet, doc *config.Document, list []fleet.Instance, now time.Time) operator.Status {
	st := operator.Status{Entry: string(all.Entry), Revision: uint64(all.Revision)}
	if all.Refused != "" {
		st.Refused = &operator.Refused{Revision: uint64(all.RefusedRevision), Problems: all.Refused}
	}
	if doc == nil {
		return st
	}
	st.Exceptions = exceptionRows(doc, now)
	st.Converged = st.Refused == nil
	for _, en := range all.Entries {
		row := operator.EntryStatus{Instance: string(en.Instance), Revision: uint64(en.Revision), AgeMS: en.Age.Milliseconds(), Problem: en.Problem}
		st.Entries = append(st.Entries, row)
		if en.Problem == "" && en.Revision != all.Revision {
			st.Converged = false
		}
	}
	counts := &modelCounts{rows: map[modelKey]*operator.ModelStatus{}}
	heard := map[fleet.InstanceID]peer.FleetMember{}
	for _, m := range all.Members {
		heard[m.Report.Instance] = m
		st.OriginBytes += int64(m.Report.OriginBytes)
	}
	for _, in := range list {
		if in.Role != fleet.RoleTarget {
			continue
		}
		m, ok := heard[in.ID]
		rows := instanceRows(doc, in, m, ok, all.Revision)
		for _, r := range rows {
			counts.add(r)
			if r.Lags && !in.Leaving {
				st.Converged = false
			}
		}
		st.Instances = append(st.Instances, rows...)
	}
	st.Models = counts.list()
	return st
}

func exceptionRows(doc *config.Document, now time.Time) []operator.ExceptionStatus {
	var out []operator.ExceptionStatus
	for _, x := range doc.Exceptions {
		row := operator.ExceptionStatus{Name: x.Name, Reason: x.Reason}
		if !x.Expires.IsZero() {
			at := x.Expires
			row.Expires = &at
			row.Overdue = now.After(at)
		}
		out = append(out, row)
	}
	return out
}

// instanceRows describes one instance, a row for each model it should serve.
func instanceRows(doc *config.Document, in fleet.Instance, m peer.FleetMember, heard bool, rev fleet.Revision) []operator.InstanceStatus {
	base := operator.InstanceStatus{Instance: string(in.ID), Zone: string(in.Zone), State: stateWord(in, m, heard), AgeMS: -1}
	if heard {
		base.Revision = uint64(m.Report.Revision)
		base.AgeMS = m.Age.Milliseconds()
	}
	base.Lags = !heard || m.Age > lagAfter || m.Report.Revision < rev
	if !heard {
		base.WaitsFor = "not_heard_of"
	}
	plan := doc.PlanFor(in)
	if len(plan.Models) == 0 {
		return []operator.InstanceStatus{base}
	}
	var out []operator.InstanceStatus
	for _, p := range plan.Models {
		out = append(out, modelRow(base, p, m))
	}
	return out
}

func stateWord(in fleet.Instance, m peer.FleetMember, heard bool) string {
	switch {
	case in.Leaving || heard && m.Report.Leaving:
		return membership.StateLeaving.String()
	case !heard:
		return "not_heard_of"
	case m.Age > membership.DefaultSettings.Lease:
		return membership.StateExpired.String()
	}
	return membership.StateLive.String()
}

func modelRow(row operator.InstanceStatus, p config.ModelPlan, m peer.FleetMember) operator.InstanceStatus {
	row.Model = string(p.Model)
	row.Desired = string(p.Version)
	st, ok := m.Report.Model(p.Model)
	if !ok {
		row.Lags = true
		return row
	}
	row.Serving = string(st.Serving)
	row.Phase = st.Phase.String()
	row.Held, row.Total = st.ChunksHeld, st.ChunksTotal
	row.WaitsFor = st.WaitsFor
	row.Lags = row.Lags || st.Serving != p.Version
	return row
}

type modelKey struct{ model, version string }

type modelCounts struct {
	rows map[modelKey]*operator.ModelStatus
}

func (c *modelCounts) get(model, version string) *operator.ModelStatus {
	k := modelKey{model, version}
	if c.rows[k] == nil {
		c.rows[k] = &operator.ModelStatus{Model: model, Version: version}
	}
	return c.rows[k]
}

func (c *modelCounts) add(r operator.InstanceStatus) {
	if r.Model == "" {
		return
	}
	desired := c.get(r.Model, r.Desired)
	desired.Desired++
	switch {
	case r.Phase == switchover.PhaseFailed.String():
		desired.Stuck++
	case r.Serving != r.Desired:
		desired.Loading++
	}
	if r.Serving != "" {
		c.get(r.Model, r.Serving).Serving++
	}
}

func (c *modelCounts) list() []operator.ModelStatus {
	var out []operator.ModelStatus
	for _, r := range c.rows {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b operator.ModelStatus) int {
		if d := compare(fleet.InstanceID(a.Model), fleet.InstanceID(b.Model)); d != 0 {
			return d
		}
		return b.Desired - a.Desired
	})
	return out
}

// Explain implements operator.Source.
func (e *Entry) Explain(ctx context.Context, id string) (operator.Explanation, error) {
	e.memMu.Lock()
	in, ok := e.table.Instance(fleet.InstanceID(id))
	e.memMu.Unlock()
	doc, rev := e.document()
	if !ok || doc == nil {
		return operator.Explanation{}, operator.ErrNoInstance
	}
	out := operator.Explanation{Instance: id, Revision: uint64(rev), Settings: doc.Explain(in)}
	all := e.Fleet(ctx, true)
	i := slices.IndexFunc(all.Members, func(m peer.FleetMember) bool { return m.Report.Instance == in.ID })
	var m peer.FleetMember
	if i >= 0 {
		m = all.Members[i]
	}
	out.State = instanceRows(doc, in, m, i >= 0, rev)
	return out, nil
}
