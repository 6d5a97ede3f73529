package config

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"amaranthturn/core/fleet"
	"amaranthturn/core/tomlcheck"
)

// RefusedError is returned for a refused document and lists all its problems.
type RefusedError struct {
	Problems []tomlcheck.Problem
}

// Error implements error.
func (e *RefusedError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "; ")
}

// Parse returns the document in body, or a *RefusedError that lists all problems.
func Parse(body []byte) (*Document, error) {
	if len(body) > MaxDocumentBytes {
		text := fmt.Sprintf("%d bytes, more than the maximum of %d", len(body), MaxDocumentBytes)
		return nil, &RefusedError{Problems: []tomlcheck.Problem{{Key: "document", Text: text}}}
	}
	doc := &Document{}
	if problems := tomlcheck.Decode(body, doc); len(problems) > 0 {
		return nil, &RefusedError{Problems: problems}
	}
	doc.fillDefaults()
	c := checker{doc: doc, lines: tomlcheck.Index(body)}
	c.checkAll()
	if len(c.problems) > 0 {
		tomlcheck.Sort(c.problems)
		return nil, &RefusedError{Problems: c.problems}
	}
	return doc, nil
}

func (d *Document) fillDefaults() {
	f := &d.Defaults
	f.Objective = cmp.Or(f.Objective, fleet.ObjectiveTime.String())
	f.MinServing = cmp.Or(f.MinServing, DefaultMinServing)
	f.KeepOldSeconds = cmp.Or(f.KeepOldSeconds, DefaultKeepOldSeconds)
	l := &f.Limits
	l.QueuePerWorkspace = cmp.Or(l.QueuePerWorkspace, DefaultQueuePerWorkspace)
	l.QueueMillis = cmp.Or(l.QueueMillis, DefaultQueueMillis)
	l.RetryShare = cmp.Or(l.RetryShare, DefaultRetryShare)
	l.CrashTargets = cmp.Or(l.CrashTargets, DefaultCrashTargets)
	l.OrderSeconds = cmp.Or(l.OrderSeconds, DefaultOrderSeconds)
	for i := range d.Workspaces {
		d.Workspaces[i].Weight = cmp.Or(d.Workspaces[i].Weight, 1)
	}
}

// checker collects the problems of one document.
type checker struct {
	doc      *Document
	lines    tomlcheck.Lines
	problems []tomlcheck.Problem
}

func (c *checker) addProblem(key, format string, args ...any) {
	c.problems = append(c.problems, c.lines.Problem(key, format, args...))
}

func (c *checker) checkAll() {
	if c.doc.Schema != Schema {
		c.addProblem("schema", "is %d, this program reads %d", c.doc.Schema, Schema)
	}
	c.checkDefaults()
	c.checkNames()
	for i := range c.doc.Exceptions {
		c.checkException(i)
	}
	c.checkOverlaps()
}

func (c *checker) checkDefaults() {
	d := c.doc.Defaults
	c.checkObjective("defaults.objective", d.Objective)
	if d.MaxOriginCopies != 0 {
		c.checkRange("defaults.max_origin_copies", d.MaxOriginCopies, 1, 1000)
	}
	c.checkRange("defaults.min_serving", float64(d.MinServing), 1, 10_000)
	c.checkRange("defaults.keep_old_seconds", float64(d.KeepOldSeconds), 1, 86_400)
	l := d.Limits
	c.checkRange("defaults.limits.queue_per_workspace", float64(l.QueuePerWorkspace), 1, 100_000)
	c.checkRange("defaults.limits.queue_millis", float64(l.QueueMillis), 1, 600_000)
	c.checkRange("defaults.limits.retry_share", l.RetryShare, 0, 1)
	c.checkRange("defaults.limits.crash_targets", float64(l.CrashTargets), 1, 10)
	c.checkRange("defaults.limits.order_seconds", float64(l.OrderSeconds), 10, 86_400)
}

func (c *checker) checkNames() {
	seen := map[string]bool{}
	unique := func(kind, key, name string) {
		if strings.TrimSpace(name) == "" {
			c.addProblem(key, "%s has no name", kind)
			return
		}
		if seen[kind+name] {
			c.addProblem(key, "%s %q is defined twice", kind, name)
		}
		seen[kind+name] = true
	}
	for i, m := range c.doc.Defaults.Models {
		key := fmt.Sprintf("defaults.models.%d", i)
		unique("model", key+".name", m.Name)
		c.checkVersion(key+".version", m.Version)
		if m.Pool == "" {
			c.addProblem(key+".pool", "model %q has no pool", m.Name)
		}
	}
	for i, s := range c.doc.Defaults.Services {
		key := fmt.Sprintf("defaults.services.%d", i)
		unique("service", key+".name", s.Name)
		if s.Pool == "" {
			c.addProblem(key+".pool", "service %q has no pool", s.Name)
		}
	}
	for i, w := range c.doc.Workspaces {
		key := fmt.Sprintf("workspaces.%d", i)
		unique("workspace", key+".name", w.Name)
		c.checkRange(key+".weight", w.Weight, 0.001, 1000)
	}
	for i, e := range c.doc.Exceptions {
		unique("exception", fmt.Sprintf("exceptions.%d.name", i), e.Name)
	}
}

func (c *checker) checkException(i int) {
	e := c.doc.Exceptions[i]
	key := fmt.Sprintf("exceptions.%d", i)
	if strings.TrimSpace(e.Reason) == "" {
		c.addProblem(key+".reason", "exception %q has no written reason", e.Name)
	}
	if e.Set == (Change{}) {
		c.addProblem(key+".set", "exception %q changes nothing", e.Name)
	}
	if e.Scope == (Scope{}) {
		c.addProblem(key+".scope", "exception %q has no scope: change the defaults instead", e.Name)
	}
	if e.Scope.selectsTargets() && e.Scope.selectsRequests() {
		c.addProblem(key+".scope", "exception %q mixes a scope of targets with a scope of requests", e.Name)
	}
	c.checkScope(key+".scope", e)
	c.checkChange(key+".set", e)
}

func (c *checker) checkScope(key string, e ExceptionRule) {
	if e.Scope.Model != "" && !c.doc.hasModel(e.Scope.Model) {
		c.addProblem(key+".model", "model %q is not in the defaults", e.Scope.Model)
	}
	if e.Scope.Workspace != "" && !c.doc.hasWorkspace(e.Scope.Workspace) {
		c.addProblem(key+".workspace", "workspace %q is not in the list of workspaces", e.Scope.Workspace)
	}
	if e.Scope.Share != 0 {
		c.checkRange(key+".share", e.Scope.Share, 0.0001, 1)
	}
}

func (c *checker) checkChange(key string, e ExceptionRule) {
	set := e.Set
	if set.Version != "" {
		c.checkVersion(key+".version", set.Version)
		if e.Scope.Model == "" {
			c.addProblem(key+".version", "exception %q sets a version and names no model", e.Name)
		}
	}
	c.checkNumbers(key, set)
	if set.Objective != "" {
		c.checkObjective(key+".objective", set.Objective)
	}
	if _, ok := fleet.ParseClass(set.MaxClass); !ok {
		c.addProblem(key+".max_class", "%q is not a class", set.MaxClass)
	}
	if e.Scope.selectsRequests() && (set.Objective != "" || set.MaxOriginCopies != 0 || set.MinServing != 0) {
		c.addProblem(key, "exception %q sets a target value for a scope of requests", e.Name)
	}
	if set.changesLimits() && (e.Scope.Workspace == "" || e.Scope.Share != 0 || e.Scope.Model != "") {
		c.addProblem(key, "exception %q sets a workspace limit: its scope must be a single workspace", e.Name)
	}
}

// checkNumbers checks the numeric values that an exception sets. Zero means unset.
func (c *checker) checkNumbers(key string, set Change) {
	if set.MaxOriginCopies != 0 {
		c.checkRange(key+".max_origin_copies", set.MaxOriginCopies, 1, 1000)
	}
	if set.MinServing != 0 {
		c.checkRange(key+".min_serving", float64(set.MinServing), 1, 10_000)
	}
	if set.Weight != 0 {
		c.checkRange(key+".weight", set.Weight, 0.001, 1000)
	}
	if set.QueuePerWorkspace != 0 {
		c.checkRange(key+".queue_per_workspace", float64(set.QueuePerWorkspace), 1, 100_000)
	}
}

func (c *checker) checkVersion(key, version string) {
	if !fleet.Version(version).Valid() {
		c.addProblem(key, "%q: %v", version, fleet.ErrBadVersion)
	}
}

func (c *checker) checkObjective(key, name string) {
	if _, ok := fleet.ParseObjective(name); !ok {
		c.addProblem(key, "%q is not an objective (time, origin_bytes)", name)
	}
}

func (c *checker) checkRange(key string, v, minimum, maximum float64) {
	if math.IsNaN(v) || v < minimum || v > maximum {
		c.addProblem(key, "%v is not between %v and %v", v, minimum, maximum)
	}
}

// checkOverlaps refuses two exceptions that set the same value for the same target or
// request, unless one scope is entirely within the other. In that case the narrower
// exception takes precedence.
func (c *checker) checkOverlaps() {
	for i, a := range c.doc.Exceptions {
		for _, b := range c.doc.Exceptions[:i] {
			if !a.Set.conflictsWith(b.Set) || !a.Scope.overlaps(b.Scope) {
				continue
			}
			if a.Scope != b.Scope && (a.Scope.isWithin(b.Scope) || b.Scope.isWithin(a.Scope)) {
				continue
			}
			c.addProblem(fmt.Sprintf("exceptions.%d.scope", i), "exceptions %q and %q overlap and set the same value", b.Name, a.Name)
		}
	}
}

func (s Scope) selectsTargets() bool  { return s.Region != "" || s.Zone != "" || s.Target != "" }
func (s Scope) selectsRequests() bool { return s.Workspace != "" || s.Share != 0 }

// overlaps reports whether a target or request can be in both scopes. A scope of
// targets and a scope of requests apply to different decisions and never overlap.
func (s Scope) overlaps(o Scope) bool {
	if s.selectsTargets() != o.selectsTargets() && s.selectsRequests() != o.selectsRequests() {
		return false
	}
	compatible := func(a, b string) bool { return a == "" || b == "" || a == b }
	return compatible(s.Region, o.Region) && compatible(s.Zone, o.Zone) && compatible(s.Target, o.Target) &&
		compatible(s.Model, o.Model) && compatible(s.Workspace, o.Workspace)
}

// isWithin reports whether everything that s selects is also selected by o.
func (s Scope) isWithin(o Scope) bool {
	narrower := func(a, b string) bool { return b == "" || a == b }
	share := func(v float64) float64 {
		if v == 0 {
			return 1
		}
		return v
	}
	return narrower(s.Region, o.Region) && narrower(s.Zone, o.Zone) && narrower(s.Target, o.Target) &&
		narrower(s.Model, o.Model) && narrower(s.Workspace, o.Workspace) && share(s.Share) <= share(o.Share)
}

func (c Change) changesLimits() bool {
	return c.Weight != 0 || c.QueuePerWorkspace != 0 || c.MaxClass != ""
}

// conflictsWith reports whether both changes set the same field.
func (c Change) conflictsWith(o Change) bool {
	return c.Version != "" && o.Version != "" ||
		c.Objective != "" && o.Objective != "" ||
		c.MaxOriginCopies != 0 && o.MaxOriginCopies != 0 ||
		c.MinServing != 0 && o.MinServing != 0 ||
		c.Weight != 0 && o.Weight != 0 ||
		c.QueuePerWorkspace != 0 && o.QueuePerWorkspace != 0 ||
		c.MaxClass != "" && o.MaxClass != ""
}

func (d *Document) hasModel(name string) bool {
	return slices.ContainsFunc(d.Defaults.Models, func(m ModelConfig) bool { return m.Name == name })
}

func (d *Document) hasWorkspace(name string) bool {
	return slices.ContainsFunc(d.Workspaces, func(w WorkspaceConfig) bool { return w.Name == name })
}
