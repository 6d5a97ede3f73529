package config

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"amaranthturn/core/fleet"
)

// PlanFor returns the document resolved for one target instance.
func (d *Document) PlanFor(in fleet.Instance) TargetPlan {
	p := TargetPlan{
		OriginRegion:  fleet.Region(d.Defaults.OriginRegion),
		OrderLifetime: time.Duration(d.Defaults.Limits.OrderSeconds) * time.Second,
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

func (d *Document) modelPlan(m ModelConfig, in fleet.Instance) ModelPlan {
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
		p.MaxOriginCopies = defaultOriginCopies(p.Objective)
	}
	return p
}

// defaultOriginCopies returns the default limit on origin copies for an objective.
func defaultOriginCopies(objective string) float64 {
	if objective == fleet.ObjectiveOriginBytes.String() {
		return DefaultOriginCopies
	}
	return DefaultTimeCopies
}

// targetExceptions returns the exceptions for a target and model, wider scopes
// first, so that the narrowest takes precedence when they are applied in order.
func (d *Document) targetExceptions(m fleet.Model, in fleet.Instance) []ExceptionRule {
	return d.matchingExceptions(func(s Scope) bool {
		return !s.selectsRequests() && matchesField(s.Region, string(in.Region)) && matchesField(s.Zone, string(in.Zone)) &&
			matchesField(s.Target, string(in.ID)) && matchesField(s.Model, string(m))
	})
}

// requestExceptions returns the exceptions for a request, wider scopes first.
func (d *Document) requestExceptions(w fleet.Workspace, m fleet.Model, f fleet.Fingerprint) []ExceptionRule {
	return d.matchingExceptions(func(s Scope) bool {
		return s.selectsRequests() && matchesField(s.Workspace, string(w)) && matchesField(s.Model, string(m)) && inShare(s.Share, f)
	})
}

func (d *Document) matchingExceptions(match func(Scope) bool) []ExceptionRule {
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
		case a.Scope.isWithin(b.Scope):
			return 1
		case b.Scope.isWithin(a.Scope):
			return -1
		}
		return 0
	})
	return out
}

// VersionFor returns the version that should serve a request, or false if the model
// is not configured. The fingerprint determines whether the request is inside a
// share, so that a retry of the request gets the same version.
func (d *Document) VersionFor(w fleet.Workspace, m fleet.Model, f fleet.Fingerprint) (fleet.Version, bool) {
	i := slices.IndexFunc(d.Defaults.Models, func(c ModelConfig) bool { return c.Name == string(m) })
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

// LimitsFor returns the limits of a workspace. A workspace that is not listed gets
// the defaults and a weight of 1.
func (d *Document) LimitsFor(w fleet.Workspace) RequestLimits {
	l := RequestLimits{
		Weight:    1,
		MaxQueued: d.Defaults.Limits.QueuePerWorkspace,
		QueueWait: time.Duration(d.Defaults.Limits.QueueMillis) * time.Millisecond,
	}
	for _, workspace := range d.Workspaces {
		if workspace.Name == string(w) {
			l.Weight = workspace.Weight
		}
	}
	for _, e := range d.requestExceptions(w, "", 0) {
		if e.Set.Weight != 0 {
			l.Weight = e.Set.Weight
		}
		if e.Set.QueuePerWorkspace != 0 {
			l.MaxQueued = e.Set.QueuePerWorkspace
		}
		if c, ok := fleet.ParseClass(e.Set.MaxClass); ok && e.Set.MaxClass != "" {
			l.MaxClass, l.HasMaxClass = c, true
		}
	}
	return l
}

// FindService returns the configuration of a plain service.
func (d *Document) FindService(s fleet.Service) (ServiceConfig, bool) {
	i := slices.IndexFunc(d.Defaults.Services, func(c ServiceConfig) bool { return c.Name == string(s) })
	if i < 0 {
		return ServiceConfig{}, false
	}
	return d.Defaults.Services[i], true
}

// Explain returns the resolved settings of a target with the source of each.
func (d *Document) Explain(in fleet.Instance) []Setting {
	var out []Setting
	for _, m := range d.PlanFor(in).Models {
		prefix := "models." + string(m.Model) + "."
		settings := []Setting{
			{Key: prefix + "version", Value: string(m.Version)},
			{Key: prefix + "objective", Value: m.Objective},
			{Key: prefix + "max_origin_copies", Value: strconv.FormatFloat(m.MaxOriginCopies, 'g', -1, 64)},
			{Key: prefix + "min_serving", Value: strconv.Itoa(m.MinServing)},
		}
		for i := range settings {
			settings[i].From = "defaults"
			for _, e := range d.targetExceptions(m.Model, in) {
				if e.Set.setsField(settings[i].Key[len(prefix):]) {
					settings[i].From, settings[i].Reason = e.Name, e.Reason
				}
			}
		}
		out = append(out, settings...)
	}
	for _, s := range d.PlanFor(in).Services {
		out = append(out, Setting{Key: "services." + string(s), Value: "served", From: "defaults"})
	}
	return out
}

func (c Change) setsField(field string) bool {
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

func matchesField(scope, value string) bool { return scope == "" || scope == value }

// inShare reports whether a fingerprint is inside a share. The upper 32 bits of the
// fingerprint map it to [0, 1).
func inShare(share float64, f fleet.Fingerprint) bool {
	if share == 0 {
		return true
	}
	return float64(uint64(f)>>32)/(1<<32) < share
}

// Diff returns one line for each item that differs between two documents.
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
	diffItems(&out, "model", before.Defaults.Models, after.Defaults.Models, func(m ModelConfig) string { return m.Name })
	diffItems(&out, "service", before.Defaults.Services, after.Defaults.Services, func(s ServiceConfig) string { return s.Name })
	diffItems(&out, "workspace", before.Workspaces, after.Workspaces, func(w WorkspaceConfig) string { return w.Name })
	diffItems(&out, "exception", before.Exceptions, after.Exceptions, func(e ExceptionRule) string { return e.Name })
	return out
}

func diffItems[T comparable](out *[]string, kind string, before, after []T, name func(T) string) {
	old := map[string]T{}
	for _, item := range before {
		old[name(item)] = item
	}
	for _, item := range after {
		prev, ok := old[name(item)]
		switch {
		case !ok:
			*out = append(*out, fmt.Sprintf("+ %s %s: %+v", kind, name(item), item))
		case prev != item:
			*out = append(*out, fmt.Sprintf("~ %s %s: %+v -> %+v", kind, name(item), prev, item))
		}
		delete(old, name(item))
	}
	for _, item := range before {
		if _, removed := old[name(item)]; removed {
			*out = append(*out, fmt.Sprintf("- %s %s", kind, name(item)))
		}
	}
}

// DefaultVersion returns the version of a model in the defaults.
func (d *Document) DefaultVersion(m fleet.Model) fleet.Version {
	for _, c := range d.Defaults.Models {
		if c.Name == string(m) {
			return fleet.Version(c.Version)
		}
	}
	return ""
}

// IsolatedVersions returns the versions of a model that may only serve requests that are
// selected by an exception.
func (d *Document) IsolatedVersions(m fleet.Model) []fleet.Version {
	var out []fleet.Version
	for _, e := range d.Exceptions {
		v := fleet.Version(e.Set.Version)
		if v != "" && e.Scope.selectsRequests() && matchesField(e.Scope.Model, string(m)) && v != d.DefaultVersion(m) {
			out = append(out, v)
		}
	}
	return out
}

// PoolOf returns the pool that serves a model.
func (d *Document) PoolOf(m fleet.Model) fleet.Pool {
	for _, c := range d.Defaults.Models {
		if c.Name == string(m) {
			return fleet.Pool(c.Pool)
		}
	}
	return ""
}
