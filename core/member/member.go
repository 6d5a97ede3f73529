// Package member keeps an entry's view of the target instances: the platform's
// lagging list, and the heartbeats that say what is true sooner.
//
// # Usage
//
//	t := member.NewTable(member.DefaultSettings)
//	t.SetList(instances, now)
//	fresh := t.Heard(report, now)
//	for _, a := range t.Serving(model, now) { … }
//
// # Rules
//
// An agent may be sent work while its lease, renewed by each heartbeat, has not
// run out, and neither the list nor the agent itself says that it leaves. A
// broken connection ends the lease at once. Of two runs under one instance the
// one with the higher incarnation counts; what an older run says later is
// dropped. After a pause of this process no lease is trusted until a heartbeat
// has come in since.
package member

import (
	"cmp"
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/switchover"
)

//go:generate stringer -type=State -output=member_string.go -linecomment

// State is what an entry thinks of an agent.
type State int

// The states.
const (
	StateLive    State = iota // live
	StateExpired              // lease_expired
	StateLeaving              // leaving
	StateGone                 // gone
)

// Settings are the constants of a Table.
type Settings struct {
	// Lease is how long an agent may be sent work after a heartbeat.
	Lease time.Duration
	// ForgetAfter is how long an agent that is not in the list is remembered.
	ForgetAfter time.Duration
}

// DefaultSettings keep a leaving target without new work well within 3 s.
var DefaultSettings = Settings{Lease: 2500 * time.Millisecond, ForgetAfter: 2 * time.Minute}

// ModelState is what an agent reports about one model.
type ModelState struct {
	Model       fleet.Model
	Desired     fleet.Version
	Serving     fleet.Version
	Staged      fleet.Version
	Loaded      []fleet.Version
	Phase       switchover.Phase
	ChunksHeld  int
	ChunksTotal int
	WaitsFor    string
	Failures    int
	Intent      uint64
	Promises    []switchover.Promise
	TwoSlots    bool
}

// Load is what an engine reports about its queue; it lags.
type Load struct {
	Running   int
	Queued    int
	Capacity  int
	CacheUsed float64
}

// Report is one heartbeat of an agent.
type Report struct {
	Instance    fleet.InstanceID
	Incarnation fleet.Incarnation
	Region      fleet.Region
	Zone        fleet.Zone
	Pool        fleet.Pool
	Address     string
	Revision    fleet.Revision
	Leaving     bool
	Models      []ModelState
	Services    []fleet.Service
	Load        Load
	Cached      []uint64
	Sequence    uint64
	OriginBytes fleet.Bytes
	PeerBytes   fleet.Bytes
	Crashed     []fleet.Fingerprint
	CrashBoot   uint64 // the run of the engine that ended with Crashed
	ChecksOrder bool
	// WantAck asks the entry to answer at once, which measures the link.
	WantAck bool
}

// Agent is an agent as the table knows it.
type Agent struct {
	Report
	Heard    time.Time
	broken   bool
	gone     bool // left the platform's list
	leaving  bool // leaving by the platform's list
	listedAt time.Time
}

// Table is the view. It is not safe for concurrent use.
type Table struct {
	set    Settings
	agents map[fleet.InstanceID]*Agent
	list   map[fleet.InstanceID]fleet.Instance
	// trustFrom is the earliest heartbeat that counts.
	trustFrom time.Time
	version   uint64
}

// NewTable returns an empty view.
func NewTable(set Settings) *Table {
	return &Table{set: set, agents: map[fleet.InstanceID]*Agent{}, list: map[fleet.InstanceID]fleet.Instance{}}
}

// SetList takes the platform's list.
func (t *Table) SetList(list []fleet.Instance, now time.Time) {
	t.version++
	t.list = make(map[fleet.InstanceID]fleet.Instance, len(list))
	for _, in := range list {
		t.list[in.ID] = in
	}
	for id, a := range t.agents {
		in, listed := t.list[id]
		a.gone = !listed
		a.leaving = listed && in.Leaving
		if listed {
			a.listedAt = now
		}
	}
	t.forget(now)
}

// Heard takes a heartbeat and tells whether it was news; what an older run or an
// older stream says is not.
func (t *Table) Heard(r Report, now time.Time) bool {
	a, ok := t.agents[r.Instance]
	if !ok {
		a = &Agent{listedAt: now}
		t.agents[r.Instance] = a
		t.version++
	}
	if r.Incarnation < a.Incarnation || r.Incarnation == a.Incarnation && r.Sequence <= a.Sequence && a.Sequence > 0 {
		return false
	}
	if changed(a.Report, r) || t.StateOf(a, now) != StateLive {
		t.version++
	}
	a.Report = r
	a.Heard = now
	a.broken = false
	if in, listed := t.list[r.Instance]; listed {
		a.leaving = in.Leaving
		a.gone = false
	}
	return true
}

// Broken ends the lease of an agent run whose connection broke.
func (t *Table) Broken(id fleet.InstanceID, inc fleet.Incarnation) {
	if a, ok := t.agents[id]; ok && a.Incarnation == inc && !a.broken {
		a.broken = true
		t.version++
	}
}

// Resumed tells that this process was paused: leases renewed before are void.
func (t *Table) Resumed(now time.Time) {
	t.trustFrom = now
	t.version++
}

// StateOf returns what to think of an agent now.
func (t *Table) StateOf(a *Agent, now time.Time) State {
	switch {
	case a.Leaving || a.leaving:
		return StateLeaving
	case a.gone:
		return StateGone
	case a.broken || now.Sub(a.Heard) > t.set.Lease || a.Heard.Before(t.trustFrom):
		return StateExpired
	}
	return StateLive
}

// Get returns an agent.
func (t *Table) Get(id fleet.InstanceID) (*Agent, bool) {
	a, ok := t.agents[id]
	return a, ok
}

// Version changes whenever a new selection may differ from the last, but for
// leases that run out with time.
func (t *Table) Version() uint64 { return t.version }

// All returns every agent, sorted by id.
func (t *Table) All() []*Agent { return t.selectAgents(func(*Agent) bool { return true }) }

// Serving returns the live agents whose engine serves a version of the model.
func (t *Table) Serving(m fleet.Model, now time.Time) []*Agent {
	return t.selectAgents(func(a *Agent) bool {
		st, ok := a.Model(m)
		return ok && st.Serving != "" && st.Phase != switchover.PhaseDraining && t.StateOf(a, now) == StateLive
	})
}

// Offering returns the live agents of a plain service.
func (t *Table) Offering(s fleet.Service, now time.Time) []*Agent {
	return t.selectAgents(func(a *Agent) bool {
		return slices.Contains(a.Services, s) && t.StateOf(a, now) == StateLive
	})
}

// With returns the agents that should have the model, whatever their state.
func (t *Table) With(m fleet.Model) []*Agent {
	return t.selectAgents(func(a *Agent) bool {
		_, ok := a.Model(m)
		return ok
	})
}

// List returns the platform's list, sorted by id.
func (t *Table) List() []fleet.Instance {
	out := make([]fleet.Instance, 0, len(t.list))
	for _, in := range t.list {
		out = append(out, in)
	}
	slices.SortFunc(out, func(a, b fleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Instance returns the platform's row of an instance.
func (t *Table) Instance(id fleet.InstanceID) (fleet.Instance, bool) {
	in, ok := t.list[id]
	return in, ok
}

// Model returns the state of one model.
func (r *Report) Model(m fleet.Model) (ModelState, bool) {
	i := slices.IndexFunc(r.Models, func(s ModelState) bool { return s.Model == m })
	if i < 0 {
		return ModelState{}, false
	}
	return r.Models[i], true
}

// selectAgents returns copies: callers look at them after they gave up the lock.
func (t *Table) selectAgents(ok func(*Agent) bool) []*Agent {
	var out []*Agent
	for _, a := range t.agents {
		if ok(a) {
			c := *a
			out = append(out, &c)
		}
	}
	slices.SortFunc(out, func(a, b *Agent) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

func (t *Table) forget(now time.Time) {
	for id, a := range t.agents {
		if a.gone && now.Sub(a.listedAt) > t.set.ForgetAfter && now.Sub(a.Heard) > t.set.ForgetAfter {
			delete(t.agents, id)
		}
	}
}

// changed tells whether two reports lead to different selections.
func changed(a, b Report) bool {
	if a.Incarnation != b.Incarnation || a.Leaving != b.Leaving || !slices.Equal(a.Services, b.Services) {
		return true
	}
	return !slices.EqualFunc(a.Models, b.Models, func(x, y ModelState) bool {
		return x.Model == y.Model && x.Serving == y.Serving && x.Phase == y.Phase && slices.Equal(x.Loaded, y.Loaded)
	})
}
