// Package membership maintains an entry's view of the target instances. It combines the
// platform's list, which lags, with the heartbeats of agents, which report changes
// sooner. app/entry and app/agent use it; app/gateway and app/sidecar use package roster.
//
// # Usage
//
//	t := membership.NewTable(membership.DefaultSettings)
//	t.SetList(instances, now)
//	isCurrent := t.RecordHeartbeat(report, now)
//	for _, a := range t.Serving(model, now) { /* route requests to a */ }
//
// # Rules
//
// An agent is eligible for work while its lease, which each heartbeat renews, has
// not expired, and neither the list nor the agent itself reports that it is
// leaving. A broken connection ends the lease at once. If two incarnations of an agent
// report under one instance ID, the higher one counts; later reports of the older one
// are dropped. After a pause of this process no lease is valid until
// the next heartbeat of its agent.
package membership

import (
	"cmp"
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/switchover"
)

//go:generate stringer -type=State -output=membership_string.go -linecomment

// State is an entry's view of an agent.
type State int

// The states.
const (
	StateLive    State = iota // live
	StateExpired              // lease_expired
	StateLeaving              // leaving
	StateRemoved              // gone
)

// Settings holds the parameters of a Table.
type Settings struct {
	// Lease is the time after a heartbeat during which an agent is eligible for work.
	Lease time.Duration
	// ForgetAfter is the time after which an agent that is not in the list and sends
	// no heartbeats is deleted.
	ForgetAfter time.Duration
	// RestoredGrace is the time for which the list from before a restoration of the
	// platform's store supplements the restored one, until instances have registered again.
	RestoredGrace time.Duration
}

// DefaultSettings has a lease short enough that a leaving target receives no new work
// well within 3 s.
var DefaultSettings = Settings{Lease: 2500 * time.Millisecond, ForgetAfter: 2 * time.Minute, RestoredGrace: 10 * time.Second}

// ModelState is the state of one model as reported by an agent.
type ModelState struct {
	Model       fleet.Model
	Desired     fleet.Version
	Serving     fleet.Version
	Staged      fleet.Version
	Loaded      []fleet.Version
	Phase       switchover.Phase
	ChunksHeld  int
	ChunksTotal int
	WaitsFor    string // the printed switchover.Wait
	Failures    int
	Intent      uint64
	Promises    []switchover.Promise
	TwoSlots    bool
}

// Load is the queue state that an engine reports. It lags behind the actual state.
type Load struct {
	Running   int
	Queued    int
	Capacity  int
	CacheUsed float64
}

// Report is one heartbeat of an agent.
type Report struct {
	Instance            fleet.InstanceID
	Incarnation         fleet.Incarnation
	Region              fleet.Region
	Zone                fleet.Zone
	Pool                fleet.Pool
	Address             string
	Position            fleet.Position // of the plan in force
	Leaving             bool
	Models              []ModelState
	Services            []fleet.Service
	Load                Load
	Cached              []uint64 // hashes of prompt prefixes that the engine cached recently
	Sequence            uint64   // of the heartbeats of this incarnation
	OriginBytes         fleet.Bytes
	PeerBytes           fleet.Bytes
	Crashed             []fleet.Fingerprint
	CrashedIncarnation  uint64 // identifies the engine incarnation that crashed with the requests in Crashed
	ChecksCommandSender bool   // the engine verifies the sender of its commands
	// WantAck requests an immediate acknowledgement, which measures the round-trip
	// time of the link.
	WantAck bool
}

// Agent is the table's record of an agent.
type Agent struct {
	Report
	LastSeen      time.Time
	disconnected  bool
	removed       bool // no longer in the platform's list
	listedLeaving bool // leaving according to the platform's list
	listedAt      time.Time
}

// Table is an entry's view of the target instances. It is not safe for concurrent use.
type Table struct {
	settings Settings
	agents   map[fleet.InstanceID]*Agent
	list     map[fleet.InstanceID]fleet.Instance
	latest   []fleet.Instance // the platform's latest list
	// previous is the list from before a restoration of the platform's store. It
	// supplements the latest one until previousUntil.
	previous      []fleet.Instance
	previousUntil time.Time
	// trustFrom is the time before which heartbeats do not count.
	trustFrom time.Time
	version   uint64
}

// NewTable returns an empty table.
func NewTable(settings Settings) *Table {
	return &Table{settings: settings, agents: map[fleet.InstanceID]*Agent{}, list: map[fleet.InstanceID]fleet.Instance{}}
}

// SetList replaces the platform's list.
func (t *Table) SetList(list []fleet.Instance, now time.Time) {
	t.latest = list
	t.applyList(now)
}

// SetRestoredList replaces the platform's list by the first one after the platform's store
// was restored from a copy. It can lack instances that are live and contain ones that were
// leaving or have left; no instance gets work for being listed.
func (t *Table) SetRestoredList(list []fleet.Instance, now time.Time) {
	t.previous, t.previousUntil = t.List(), now.Add(t.settings.RestoredGrace)
	t.SetList(list, now)
}

// EndGrace drops the list from before a restoration after RestoredGrace. It reports whether
// the list changed.
func (t *Table) EndGrace(now time.Time) bool {
	if t.previous == nil || now.Before(t.previousUntil) {
		return false
	}
	t.applyList(now)
	return true
}

func (t *Table) applyList(now time.Time) {
	t.version++
	if !now.Before(t.previousUntil) {
		t.previous = nil
	}
	t.list = make(map[fleet.InstanceID]fleet.Instance, len(t.latest))
	for _, in := range t.latest {
		t.list[in.ID] = in
	}
	for _, in := range t.previous {
		if listed, ok := t.list[in.ID]; ok {
			listed.Leaving = listed.Leaving || in.Leaving
			in = listed
		}
		t.list[in.ID] = in
	}
	for id, a := range t.agents {
		in, listed := t.list[id]
		a.removed = !listed
		a.listedLeaving = listed && in.Leaving
		if listed {
			a.listedAt = now
		}
	}
	t.removeStale(now)
}

// RecordHeartbeat records a heartbeat and reports whether it was current. A heartbeat of an
// older incarnation or an older stream is dropped.
func (t *Table) RecordHeartbeat(r Report, now time.Time) bool {
	a, ok := t.agents[r.Instance]
	if !ok {
		a = &Agent{listedAt: now}
		t.agents[r.Instance] = a
		t.version++
	}
	if r.Incarnation < a.Incarnation || r.Incarnation == a.Incarnation && r.Sequence <= a.Sequence && a.Sequence > 0 {
		return false
	}
	if selectionChanged(a.Report, r) || t.StateOf(a, now) != StateLive {
		t.version++
	}
	a.Report = r
	a.LastSeen = now
	a.disconnected = false
	if in, listed := t.list[r.Instance]; listed {
		a.listedLeaving = in.Leaving
		a.removed = false
	}
	return true
}

// ConnectionLost ends the lease of an agent incarnation whose connection was lost.
func (t *Table) ConnectionLost(id fleet.InstanceID, inc fleet.Incarnation) {
	if a, ok := t.agents[id]; ok && a.Incarnation == inc && !a.disconnected {
		a.disconnected = true
		t.version++
	}
}

// Resumed records that this process was paused: leases renewed before now are invalid.
func (t *Table) Resumed(now time.Time) {
	t.trustFrom = now
	t.version++
}

// StateOf returns the state of an agent at the given time.
func (t *Table) StateOf(a *Agent, now time.Time) State {
	switch {
	case a.Leaving || a.listedLeaving:
		return StateLeaving
	case a.removed:
		return StateRemoved
	case a.disconnected || now.Sub(a.LastSeen) > t.settings.Lease || a.LastSeen.Before(t.trustFrom):
		return StateExpired
	}
	return StateLive
}

// Get returns the record of an agent.
func (t *Table) Get(id fleet.InstanceID) (*Agent, bool) {
	a, ok := t.agents[id]
	return a, ok
}

// Version changes whenever a new selection can differ from the previous one. The
// expiry of leases over time does not change it.
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

// WithService returns the live agents that run a plain service.
func (t *Table) WithService(s fleet.Service, now time.Time) []*Agent {
	return t.selectAgents(func(a *Agent) bool {
		return slices.Contains(a.Services, s) && t.StateOf(a, now) == StateLive
	})
}

// WithModel returns the agents that report the model, regardless of their state.
func (t *Table) WithModel(m fleet.Model) []*Agent {
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

// Instance returns the platform's record of an instance.
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

// selectAgents returns copies, because callers use them after releasing the lock.
func (t *Table) selectAgents(match func(*Agent) bool) []*Agent {
	var out []*Agent
	for _, a := range t.agents {
		if match(a) {
			c := *a
			out = append(out, &c)
		}
	}
	slices.SortFunc(out, func(a, b *Agent) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

func (t *Table) removeStale(now time.Time) {
	for id, a := range t.agents {
		if a.removed && now.Sub(a.listedAt) > t.settings.ForgetAfter && now.Sub(a.LastSeen) > t.settings.ForgetAfter {
			delete(t.agents, id)
		}
	}
}

// selectionChanged reports whether two reports lead to different selections.
func selectionChanged(a, b Report) bool {
	if a.Incarnation != b.Incarnation || a.Leaving != b.Leaving || !slices.Equal(a.Services, b.Services) {
		return true
	}
	return !slices.EqualFunc(a.Models, b.Models, func(x, y ModelState) bool {
		return x.Model == y.Model && x.Serving == y.Serving && x.Phase == y.Phase && slices.Equal(x.Loaded, y.Loaded)
	})
}
