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

// maxParallelQueries is the maximum number of entries that are queried in parallel for the
// state of the fleet.
const maxParallelQueries = 32

// Fleet implements peer.EntryHandler.
func (e *Entry) Fleet(ctx context.Context, forward bool) peer.Fleet {
	out := e.ownFleet()
	if !forward {
		return out
	}
	e.memMu.Lock()
	list := e.table.List()
	e.memMu.Unlock()
	query := &fleetQuery{e: e, newest: map[fleet.InstanceID]peer.FleetMember{}, slots: make(chan struct{}, maxParallelQueries)}
	query.merge(out.Members)
	for _, in := range list {
		if in.Role == fleet.RoleEntry && in.ID != e.self.ID {
			query.wg.Add(1)
			go query.run(ctx, in)
		}
	}
	query.wg.Wait()
	out.Members = query.members()
	out.Entries = append(out.Entries, query.entries...)
	slices.SortFunc(out.Entries, func(a, b peer.EntryState) int { return compareIDs(a.Instance, b.Instance) })
	return out
}

func compareIDs(a, b fleet.InstanceID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// ownFleet returns the fleet as this entry knows it.
func (e *Entry) ownFleet() peer.Fleet {
	now := e.now()
	e.cfgMu.Lock()
	at := e.node.Position()
	refusal, refused := e.node.Refusal()
	withheld, isWithheld := e.node.Withheld()
	e.cfgMu.Unlock()
	out := peer.Fleet{Entry: e.self.ID, Position: at}
	if refused {
		out.RefusedPosition = refusal.Position
		out.Refused = refusal.Problem.Error()
	}
	if isWithheld {
		out.Withheld = withheld
	}
	out.Entries = []peer.EntryState{{Instance: e.self.ID, Address: e.self.Address, Position: at}}
	e.memMu.Lock()
	defer e.memMu.Unlock()
	for _, a := range e.table.All() {
		out.Members = append(out.Members, peer.FleetMember{Report: a.Report, Age: now.Sub(a.LastSeen)})
	}
	return out
}

// fleetQuery collects the views of all entries.
type fleetQuery struct {
	e       *Entry
	wg      sync.WaitGroup
	slots   chan struct{}
	mu      sync.Mutex // guards newest and entries
	newest  map[fleet.InstanceID]peer.FleetMember
	entries []peer.EntryState
}

func (q *fleetQuery) run(ctx context.Context, in fleet.Instance) {
	defer q.wg.Done()
	q.slots <- struct{}{}
	defer func() { <-q.slots }()
	reply, err := q.e.opt.Pool.Fleet(ctx, in.Address, false)
	if err != nil {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.entries = append(q.entries, peer.EntryState{Instance: in.ID, Address: in.Address, Problem: err.Error()})
		return
	}
	q.merge(reply.Members)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.entries = append(q.entries, reply.Entries...)
}

// merge keeps the newest report of each agent. A higher incarnation is newer regardless of
// its age.
func (q *fleetQuery) merge(list []peer.FleetMember) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, m := range list {
		old, ok := q.newest[m.Report.Instance]
		newer := m.Report.Incarnation > old.Report.Incarnation ||
			m.Report.Incarnation == old.Report.Incarnation && m.Age < old.Age
		if !ok || newer {
			q.newest[m.Report.Instance] = m
		}
	}
}

func (q *fleetQuery) members() []peer.FleetMember {
	var out []peer.FleetMember
	for _, m := range q.newest {
		out = append(out, m)
	}
	slices.SortFunc(out, func(x, y peer.FleetMember) int { return compareIDs(x.Report.Instance, y.Report.Instance) })
	return out
}

// lagThreshold is the age of the last report above which an instance counts as lagging.
const lagThreshold = 5 * time.Second

// Status implements operator.Source.
func (e *Entry) Status(ctx context.Context) operator.Status {
	all := e.Fleet(ctx, true)
	doc, _ := e.document()
	e.memMu.Lock()
	list := e.table.List()
	e.memMu.Unlock()
	return buildStatus(all, doc, list, e.now())
}

// buildStatus builds the response to an operator's status request.
func buildStatus(all peer.Fleet, doc *config.Document, list []fleet.Instance, now time.Time) operator.Status {
	st := operator.Status{Entry: string(all.Entry), Revision: uint64(all.Position.Revision), Era: uint64(all.Position.Era)}
	if all.Refused != "" {
		st.Refused = &operator.Refused{
			Revision: uint64(all.RefusedPosition.Revision), Era: uint64(all.RefusedPosition.Era), Problems: all.Refused,
		}
	}
	if !all.Withheld.IsZero() {
		st.Withheld = &operator.Withheld{Revision: uint64(all.Withheld.Revision), Era: uint64(all.Withheld.Era)}
	}
	if doc == nil {
		return st
	}
	st.Exceptions = exceptionStatuses(doc, now)
	st.Converged = st.Refused == nil
	for _, state := range all.Entries {
		entry := operator.EntryStatus{Instance: string(state.Instance), Revision: uint64(state.Position.Revision), Era: uint64(state.Position.Era), AgeMS: state.Age.Milliseconds(), Problem: state.Problem}
		st.Entries = append(st.Entries, entry)
		if state.Problem == "" && state.Position != all.Position {
			st.Converged = false
		}
	}
	counts := &modelCounts{statuses: map[modelKey]*operator.ModelStatus{}}
	reported := map[fleet.InstanceID]peer.FleetMember{}
	for _, m := range all.Members {
		reported[m.Report.Instance] = m
		st.OriginBytes += int64(m.Report.OriginBytes)
	}
	for _, in := range list {
		if in.Role != fleet.RoleTarget {
			continue
		}
		m, ok := reported[in.ID]
		instances := instanceStatuses(doc, in, m, ok, all.Position)
		for _, r := range instances {
			counts.add(r)
			if r.Lags && !in.Leaving {
				st.Converged = false
			}
		}
		st.Instances = append(st.Instances, instances...)
	}
	st.Models = counts.list()
	return st
}

func exceptionStatuses(doc *config.Document, now time.Time) []operator.ExceptionStatus {
	var out []operator.ExceptionStatus
	for _, x := range doc.Exceptions {
		status := operator.ExceptionStatus{Name: x.Name, Reason: x.Reason}
		if !x.Expires.IsZero() {
			at := x.Expires
			status.Expires = &at
			status.Overdue = now.After(at)
		}
		out = append(out, status)
	}
	return out
}

// instanceStatuses returns the status of one instance, one record for each model that it
// should serve.
func instanceStatuses(doc *config.Document, in fleet.Instance, m peer.FleetMember, reported bool, at fleet.Position) []operator.InstanceStatus {
	base := operator.InstanceStatus{Instance: string(in.ID), Zone: string(in.Zone), State: stateName(in, m, reported), AgeMS: -1}
	if reported {
		base.Revision, base.Era = uint64(m.Report.Position.Revision), uint64(m.Report.Position.Era)
		base.AgeMS = m.Age.Milliseconds()
	}
	base.Lags = !reported || m.Age > lagThreshold || m.Report.Position.Before(at)
	if !reported {
		base.WaitsFor = "not_heard_of"
	}
	plan := doc.PlanFor(in)
	if len(plan.Models) == 0 {
		return []operator.InstanceStatus{base}
	}
	var out []operator.InstanceStatus
	for _, p := range plan.Models {
		out = append(out, modelStatus(base, p, m))
	}
	return out
}

func stateName(in fleet.Instance, m peer.FleetMember, reported bool) string {
	switch {
	case in.Leaving || reported && m.Report.Leaving:
		return membership.StateLeaving.String()
	case !reported:
		return "not_heard_of"
	case m.Age > membership.DefaultSettings.Lease:
		return membership.StateExpired.String()
	}
	return membership.StateLive.String()
}

func modelStatus(status operator.InstanceStatus, p config.ModelPlan, m peer.FleetMember) operator.InstanceStatus {
	status.Model = string(p.Model)
	status.Desired = string(p.Version)
	st, ok := m.Report.Model(p.Model)
	if !ok {
		status.Lags = true
		return status
	}
	status.Serving = string(st.Serving)
	status.Phase = st.Phase.String()
	status.ChunksHeld, status.ChunksTotal = st.ChunksHeld, st.ChunksTotal
	status.WaitsFor = st.WaitsFor
	status.Lags = status.Lags || st.Serving != p.Version
	return status
}

type modelKey struct{ model, version string }

type modelCounts struct {
	statuses map[modelKey]*operator.ModelStatus
}

func (c *modelCounts) get(model, version string) *operator.ModelStatus {
	k := modelKey{model, version}
	if c.statuses[k] == nil {
		c.statuses[k] = &operator.ModelStatus{Model: model, Version: version}
	}
	return c.statuses[k]
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
	for _, r := range c.statuses {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b operator.ModelStatus) int {
		if d := compareIDs(fleet.InstanceID(a.Model), fleet.InstanceID(b.Model)); d != 0 {
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
	doc, at := e.document()
	if !ok || doc == nil {
		return operator.Explanation{}, operator.ErrNoInstance
	}
	out := operator.Explanation{Instance: id, Revision: uint64(at.Revision), Era: uint64(at.Era), Settings: doc.Explain(in)}
	all := e.Fleet(ctx, true)
	i := slices.IndexFunc(all.Members, func(m peer.FleetMember) bool { return m.Report.Instance == in.ID })
	var m peer.FleetMember
	if i >= 0 {
		m = all.Members[i]
	}
	out.State = instanceStatuses(doc, in, m, i >= 0, at)
	return out, nil
}
