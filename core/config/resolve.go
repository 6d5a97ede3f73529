package config

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"amaranthturn/core/fleet"
)

// PlanFor resolves the document for one target instance.
func (d *Document) PlanFor(in fleet.Instance) TargetPlan {
	p := TargetPlan{
		OriginRegion: fleet.Region(d.Defaults.OriginRegion),
		OrderLife:    time.Duration(d.Defaults.Limits.OrderSeconds) * time.Second,
	}
	for _, m := range d.Defaults.Models {
		if m.Pool == string(in.Pool) {
			p.Models = append(p.Models, d.modelPlan(m, in))
		}
	}
	for _, s := range d.Defaults.Services {
		if s.Pool == string(in.Pool) {
			p.Services = append(p.Services, fleet.Service(s.Name))
		}
	}
	return p
}

func (d *Document) modelPlan(m ModelRow, in fleet.Instance) ModelPlan {
	p := ModelPlan{
		Model:           fleet.Model(m.Name),
		Version:         fleet.Version(m.Version),
		Objective:       d.Defaults.Objective,
		MaxOriginCopies: d.Defaults.MaxOriginCopies,
		MinServing:      d.Defaults.MinServing,
		KeepOld:         time.Duration(d.Defaults.KeepOldSeconds) * time.Second,
		From:            "defaults",
	}
	for _, e := range d.targetExceptions(p.Model, in) {
		if e.Set.Version != "" {
			p.Version = fleet.Version(e.Set.Version)
			p.From = e.Name
		}
		if e.Set.Objective != "" {
			p.Objective = e.Set.Objective
		}
		if e.Set.MaxOriginCopies != 0 {
			p.MaxOriginCopies = e.Set.MaxOriginCopies
		}
		if e.Set.MinServing != 0 {
			p.MinServing = e.Set.MinServing
		}
	}
	if p.MaxOriginCopies == 0 {
		p.MaxOriginCopies = defaultCopies(p.Objective)
	}
	return p
}

// defaultCopies returns the bound on origin copies that goes with an objective.
func defaultCopies(objective string) float64 {
	if objective == fleet.ObjectiveOriginBytes.String() {
		return DefaultOriginCopies
	}
	return DefaultTimeCopies
}

// targetExceptions returns the exceptions for a target and model, wider scopes
// first, so that applying them in order lets the narrowest win.
func (d *Document) targetExceptions(m fleet.Model, in fleet.Instance) []ExceptionRule {
	return d.matching(func(s Scope) bool {
		return !s.requests() && covers(s.Region, string(in.Region)) && covers(s.Zone, string(in.Zone)) &&
			covers(s.Target, string(in.ID)) && covers(s.Model, string(m))
	})
}

// requestExceptions returns the exceptions for a request, wider scopes first.
func (d *Document) requestExceptions(w fleet.Workspace, m fleet.Model, f fleet.Fingerprint) []ExceptionRule {
	return d.matching(func(s Scope) bool {
		return s.requests() && covers(s.Workspace, string(w)) && covers(s.Model, string(m)) && inShare(s.Share, f)
	})
}

func (d *Document) matching(match func(Scope) bool) []ExceptionRule {
	var out []ExceptionRule
	for _, e := range d.Exceptions {
		if match(e.Scope) {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b ExceptionRule) int {
		switch {
		case a.Scope == b.Scope:
			return 0
		case a.Scope.inside(b.Scope):
			return 1
		case b.Scope.inside(a.Scope):
			return -1
		}
		return 0
	})
	return out
}

// VersionFor returns the version that a request should be answered by. The
// fingerprint places the request inside or outside a share, so that a request
// that is sent again gets the same version.
func (d *Document) VersionFor(w fleet.Workspace, m fleet.Model, f fleet.Fingerprint) (fleet.Version, bool) {
	i := slices.IndexFunc(d.Defaults.Models, func(r ModelRow) bool { return r.Name == string(m) })
	if i < 0 {
		return "", false
	}
	v := fleet.Version(d.Defaults.Models[i].Version)
	for _, e := range d.requestExceptions(w, m, f) {
		if e.Set.Version != "" {
			v = fleet.Version(e.Set.Version)
		}
	}
	return v, true
}

// LimitsFor returns the limits of a workspace. An unlisted workspace has the
// defaults and a weight of one.
func (d *Document) LimitsFor(w fleet.Workspace) RequestLimits {
	l := RequestLimits{
		Weight:    1,
		Queue:     d.Defaults.Limits.QueuePerWorkspace,
		QueueWait: time.Duration(d.Defaults.Limits.QueueMillis) * time.Millisecond,
	}
	for _, row := range d.Workspaces {
		if row.Name == string(w) {
			l.Weight = row.Weight
		}
	}
	for _, e := range d.requestExceptions(w, "", 0) {
		if e.Set.Weight != 0 {
			l.Weight = e.Set.Weight
		}
		if e.Set.QueuePerWorkspace != 0 {
			l.Queue = e.Set.QueuePerWorkspace
		}
		if c, ok := fleet.ParseClass(e.Set.MaxClass); ok && e.Set.MaxClass != "" {
			l.MaxClass, l.HasClass = c, true
		}
	}
	return l
}

// ServiceRow returns the row of a plain service.
func (d *Document) ServiceRow(s fleet.Service) (ServiceRow, bool) {
	i := slices.IndexFunc(d.Defaults.Services, func(r ServiceRow) bool { return r.Name == string(s) })
	if i < 0 {
		return ServiceRow{}, false
	}
	return d.Defaults.Services[i], true
}

// Explain lists the resolved settings of a target and what gave each.
func (d *Document) Explain(in fleet.Instance) []Setting {
	var out []Setting
	for _, m := range d.PlanFor(in).Models {
		prefix := "models." + string(m.Model) + "."
		rows := []Setting{
			{Key: prefix + "version", Value: string(m.Version)},
			{Key: prefix + "objective", Value: m.Objective},
			{Key: prefix + "max_origin_copies", Value: strconv.FormatFloat(m.MaxOriginCopies, 'g', -1, 64)},
			{Key: prefix + "min_serving", Value: strconv.Itoa(m.MinServing)},
		}
		for i := range rows {
			rows[i].From = "defaults"
			for _, e := range d.targetExceptions(m.Model, in) {
				if e.Set.sets(rows[i].Key[len(prefix):]) {
					rows[i].From, rows[i].Reason = e.Name, e.Reason
				}
			}
		}
		out = append(out, rows...)
	}
	for _, s := range d.PlanFor(in).Services {
		out = append(out, Setting{Key: "services." + string(s), Value: "served", From: "defaults"})
	}
	return out
}

func (c Change) sets(field string) bool {
	switch field {
	case "version":
		return c.Version != ""
	case "objective":
		return c.Objective != ""
	case "max_origin_copies":
		return c.MaxOriginCopies != 0
	case "min_serving":
		return c.MinServing != 0
	}
	return false
}

func covers(scope, value string) bool { return scope == "" || scope == value }

// inShare places a fingerprint by its upper 32 bits in [0, 1).
func inShare(share float64, f fleet.Fingerprint) bool {
	if share == 0 {
		return true
	}
	return float64(uint64(f)>>32)/(1<<32) < share
}

// Diff returns one line for each row that differs between two documents.
func Diff(before, after *Document) []string {
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if before.Defaults.Objective != after.Defaults.Objective {
		add("~ defaults.objective: %s -> %s", before.Defaults.Objective, after.Defaults.Objective)
	}
	if before.Defaults.Limits != after.Defaults.Limits {
		add("~ defaults.limits: %+v -> %+v", before.Defaults.Limits, after.Defaults.Limits)
	}
	if b, a := before.Defaults, after.Defaults; b.MaxOriginCopies != a.MaxOriginCopies || b.MinServing != a.MinServing ||
		b.KeepOldSeconds != a.KeepOldSeconds || b.OriginRegion != a.OriginRegion {
		add("~ defaults: max_origin_copies %v -> %v, min_serving %d -> %d, keep_old_seconds %d -> %d, origin_region %s -> %s",
			b.MaxOriginCopies, a.MaxOriginCopies, b.MinServing, a.MinServing, b.KeepOldSeconds, a.KeepOldSeconds, b.OriginRegion, a.OriginRegion)
	}
	diffRows(&out, "model", before.Defaults.Models, after.Defaults.Models, func(m ModelRow) string { return m.Name })
	diffRows(&out, "service", before.Defaults.Services, after.Defaults.Services, func(s ServiceRow) string { return s.Name })
	diffRows(&out, "workspace", before.Workspaces, after.Workspaces, func(w WorkspaceRow) string { return w.Name })
	diffRows(&out, "exception", before.Exceptions, after.Exceptions, func(e ExceptionRule) string { return e.Name })
	return out
}

func diffRows[T comparable](out *[]string, kind string, before, after []T, name func(T) string) {
	old := map[string]T{}
	for _, r := range before {
		old[name(r)] = r
	}
	for _, r := range after {
		prev, ok := old[name(r)]
		switch {
		case !ok:
			*out = append(*out, fmt.Sprintf("+ %s %s: %+v", kind, name(r), r))
		case prev != r:
			*out = append(*out, fmt.Sprintf("~ %s %s: %+v -> %+v", kind, name(r), prev, r))
		}
		delete(old, name(r))
	}
	for _, r := range before {
		if _, gone := old[name(r)]; gone {
			*out = append(*out, fmt.Sprintf("- %s %s", kind, name(r)))
		}
	}
}

// DefaultVersion returns the version of a model in the defaults.
func (d *Document) DefaultVersion(m fleet.Model) fleet.Version {
	for _, r := range d.Defaults.Models {
		if r.Name == string(m) {
			return fleet.Version(r.Version)
		}
	}
	return ""
}

// Isolated returns the versions of a model that only the requests of some
// exception may be answered by.
func (d *Document) Isolated(m fleet.Model) []fleet.Version {
	var out []fleet.Version
	for _, e := range d.Exceptions {
		v := fleet.Version(e.Set.Version)
		if v != "" && e.Scope.requests() && covers(e.Scope.Model, string(m)) && v != d.DefaultVersion(m) {
			out = append(out, v)
		}
	}
	return out
}

// PoolOf returns the pool that serves a model.
func (d *Document) PoolOf(m fleet.Model) fleet.Pool {
	for _, r := range d.Defaults.Models {
		if r.Name == string(m) {
			return fleet.Pool(r.Pool)
		}
	}
	return ""
}
