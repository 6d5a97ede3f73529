// Package switchover decides when an agent moves its engine from one version of
// a model to the next, without a coordinator.
//
// # Usage
//
//	m := switchover.New(settings, incarnation)
//	for range ticks {
//		switch a := m.Step(input, now); a.Kind {
//		case switchover.ActionLoad:     // hand the weights to the engine
//		case switchover.ActionActivate: // new requests run on a.Version
//		case switchover.ActionUnload:   // free a.Version
//		}
//		// m.Finished(a, err, now) when the engine has answered
//		// m.Open() tells whether the gate admits requests
//	}
//
// # Replicas that keep serving
//
// An engine that holds two versions loads the new one beside the old one. An
// engine that holds one must stop serving in between. Its agent first announces
// an intent. A member of the zone that serves may promise to keep serving until the
// intent ends; while it holds a promise it does not stop serving itself. The
// agent acts only with as many promises as replicas must keep serving, within the
// life of its intent, and while it has promised nothing. So at any moment at
// which an agent stops serving, that many others serve and are bound to go on,
// whatever the views of third parties are and on either side of a partition.
// Of two agents with an intent only the one that ranks lower promises, so they
// never wait for each other.
//
// # Versions that fail
//
// Until some instance serves a version, only the first in rank of each zone
// loads it. When enough instances report that it fails to load, or that the
// engine died soon after, nobody else begins.
package switchover

import (
	"slices"
	"time"

	"amaranthturn/core/fleet"
)

//go:generate stringer -type=Phase,ActionKind,Wait -output=switchover_string.go -linecomment

// Phase is how far an instance is with the desired version.
type Phase int

// The phases.
const (
	PhaseIdle      Phase = iota // idle
	PhaseFetching               // fetching
	PhaseStaged                 // staged
	PhaseDraining               // draining
	PhaseLoading                // loading
	PhaseServing                // serving
	PhaseFailed                 // failed
	PhaseUnmanaged              // unmanaged
)

// ActionKind is an order to the engine.
type ActionKind int

// The actions.
const (
	ActionNone     ActionKind = iota // none
	ActionLoad                       // load
	ActionActivate                   // activate
	ActionUnload                     // unload
)

// Wait says what a machine waits for.
type Wait int

// The waits.
const (
	WaitNothing  Wait = iota // nothing
	WaitWeights              // weights
	WaitCanary               // first_replica_of_version
	WaitPromises             // promises_of_serving_replicas
	WaitPromised             // promised_to_keep_serving
	WaitDrain                // requests_in_progress
	WaitEngine               // engine
	WaitOperator             // operator_version_failed
	WaitRetry                // retry_after_failed_load
	WaitTakeover             // earlier_orders_to_expire
	WaitView                 // fresh_view
)

// Settings are the constants of a Machine.
type Settings struct {
	Self fleet.InstanceID
	Zone fleet.Zone
	// IntentLife is how long promises may be acted on after the intent.
	IntentLife time.Duration
	// FreshFor is how old a member's state may be.
	FreshFor time.Duration
	// ProveTime is how long an engine must live on a version before a crash is
	// no longer blamed on it.
	ProveTime time.Duration
	// FailLimit is the instances that a version may fail on.
	FailLimit int
	// RetryAfter is the wait after a failed load.
	RetryAfter time.Duration
	// UnloadAfter is how long a replaced version stays in the engine, for
	// requests that are resumed at it.
	UnloadAfter time.Duration
}

// DefaultSettings returns the constants for an instance.
func DefaultSettings(self fleet.InstanceID, zone fleet.Zone) Settings {
	return Settings{
		Self: self, Zone: zone, IntentLife: 10 * time.Second, FreshFor: 5 * time.Second,
		ProveTime: 10 * time.Second, FailLimit: 2, RetryAfter: 15 * time.Second, UnloadAfter: 5 * time.Second,
	}
}

// promiseFactor is how many intent lives a promise lasts without news of the
// member that it was given to.
const promiseFactor = 3

// Promise is the word of a member to keep serving while another one switches.
type Promise struct {
	To    fleet.InstanceID
	Nonce uint64
}

// Member is what is known of another instance with the same model.
type Member struct {
	ID       fleet.InstanceID
	Zone     fleet.Zone
	Serving  fleet.Version
	Staged   fleet.Version // complete and not serving
	Phase    Phase
	Intent   uint64 // nonce, 0 without an intent
	Promises []Promise
	Leaving  bool
	Heard    time.Time // when the state was reported, by the local clock
}

// View is what an agent knows of the others.
type View struct {
	Members []Member
	// ZoneSize is the number of instances of the zone that should serve the
	// model by the platform's list, this one included.
	ZoneSize int
	// FailedOn counts the other instances that a version failed on.
	FailedOn map[fleet.Version]int
}

// Engine is the state of the engine, read back from it.
type Engine struct {
	Up       bool
	Loaded   []fleet.Version
	Serving  fleet.Version
	TwoSlots bool
}

// Input is what a step depends on.
type Input struct {
	Desired    fleet.Version
	Complete   func(fleet.Version) bool // whether the whole verified version is here
	MinServing int
	Engine     Engine
	InFlight   map[fleet.Version]int // requests in progress by version
	View       View
	Leaving    bool
	// DiedBusy tells that requests ran when the engine last died.
	DiedBusy bool
	// Unsettled tells that orders of an earlier run of the agent may still act.
	Unsettled bool
}

// Action is an order to the engine.
type Action struct {
	Kind    ActionKind
	Version fleet.Version
}

// Machine switches one model on one instance. It is not safe for concurrent use.
type Machine struct {
	set      Settings
	phase    Phase
	wait     Wait
	busy     Action // the order that the engine has not answered
	nonce    uint64
	intent   uint64
	intentAt time.Time
	acting   bool // the gate is closed for a switch
	promises map[fleet.InstanceID]given
	failures map[fleet.Version]int
	excused  map[fleet.Version]bool      // lost once while requests ran
	retryAt  map[fleet.Version]time.Time // not loaded again before
	active   fleet.Version               // what the engine was last made to serve
	activeAt time.Time
	lastGood fleet.Version
	oldSince time.Time
}

// New returns a machine. The incarnation makes the nonces of two runs differ.
func New(set Settings, incarnation fleet.Incarnation) *Machine {
	return &Machine{
		set: set, nonce: uint64(incarnation) << 16,
		promises: map[fleet.InstanceID]given{},
		failures: map[fleet.Version]int{}, excused: map[fleet.Version]bool{}, retryAt: map[fleet.Version]time.Time{},
	}
}

// Phase returns how far the desired version is.
func (m *Machine) Phase() Phase { return m.phase }

// Waiting returns what the machine waits for.
func (m *Machine) Waiting() Wait { return m.wait }

// Intent returns the nonce of the announced intent, 0 without one.
func (m *Machine) Intent() uint64 { return m.intent }

// Open tells whether the gate admits requests.
func (m *Machine) Open() bool { return !m.acting }

// Failures returns how often a version failed on this instance.
func (m *Machine) Failures(v fleet.Version) int { return m.failures[v] }

// Resumed tells that the process was paused: what was agreed before is void.
func (m *Machine) Resumed() {
	if !m.acting {
		m.intent = 0
	}
}

// Step decides the next order to the engine.
func (m *Machine) Step(in Input, now time.Time) Action {
	m.watchEngine(in, now)
	m.keepPromises(in, now)
	if m.busy.Kind != ActionNone {
		return Action{}
	}
	a := m.decide(in, now)
	m.busy = a
	return a
}

func (m *Machine) decide(in Input, now time.Time) Action {
	target := m.target(in, now)
	switch {
	case in.Leaving || in.Desired == "":
		m.settle(PhaseIdle, WaitNothing)
		return m.unloadOld(in, now)
	case target == "":
		m.settle(PhaseFailed, WaitOperator)
		return Action{}
	case !in.Engine.Up:
		m.note(in, WaitEngine)
		return Action{}
	case in.Unsettled:
		m.note(in, WaitTakeover)
		return Action{}
	case in.Engine.Serving == target:
		m.reach(in, target, now)
		return m.unloadOld(in, now)
	case slices.Contains(in.Engine.Loaded, target):
		m.phase = PhaseLoading
		return Action{ActionActivate, target}
	case !in.Complete(target):
		m.endIntent()
		m.settle(PhaseFetching, WaitWeights)
		return Action{}
	case target == in.Desired && now.Before(m.retryAt[target]):
		m.settle(PhaseStaged, WaitRetry)
		return Action{}
	case !m.acting && !m.mayBegin(in, target, now):
		// Whoever waits must not be promised anything: the first in rank may
		// need the promise of the one that would keep it.
		m.intent = 0
		m.phase = PhaseStaged
		return Action{}
	}
	return m.replace(in, target, now)
}

// target is the desired version, or the last good one while the desired one
// fails. The operator's choice is not changed by this: the phase says failed.
func (m *Machine) target(in Input, now time.Time) fleet.Version {
	if in.Desired == "" || in.Engine.Serving == in.Desired || !m.givenUp(in, now) {
		return in.Desired
	}
	if in.Engine.Serving != "" {
		return in.Engine.Serving
	}
	if m.lastGood != "" && m.lastGood != in.Desired && in.Complete(m.lastGood) {
		return m.lastGood
	}
	if m.failedOn(in) < m.failLimit(in, now) {
		return in.Desired
	}
	return ""
}

// reach records that the engine serves the target.
func (m *Machine) reach(in Input, target fleet.Version, now time.Time) {
	if m.active != target {
		m.active, m.activeAt = target, now
	}
	if now.Sub(m.activeAt) >= m.set.ProveTime {
		m.lastGood = target
	}
	m.endIntent()
	if target != in.Desired {
		m.settle(PhaseFailed, WaitOperator)
		return
	}
	m.settle(PhaseServing, WaitNothing)
}

// replace loads v beside the old version, or in its place.
func (m *Machine) replace(in Input, v fleet.Version, now time.Time) Action {
	free := len(in.Engine.Loaded) == 0 || in.Engine.TwoSlots && len(in.Engine.Loaded) < 2
	if free {
		m.phase = PhaseLoading
		m.wait = WaitEngine
		return Action{ActionLoad, v}
	}
	if old, ok := m.spare(in, v); ok {
		return Action{ActionUnload, old}
	}
	if in.Engine.Serving != "" && !m.mayStopServing(in, now) {
		return Action{}
	}
	m.acting = true
	m.phase = PhaseDraining
	m.wait = WaitDrain
	if in.InFlight[in.Engine.Serving] > 0 {
		return Action{}
	}
	return Action{ActionUnload, in.Engine.Loaded[0]}
}

// spare returns a loaded version that neither serves nor runs requests.
func (m *Machine) spare(in Input, v fleet.Version) (fleet.Version, bool) {
	for _, o := range in.Engine.Loaded {
		if o != v && o != in.Engine.Serving && in.InFlight[o] == 0 {
			return o, true
		}
	}
	return "", false
}

func (m *Machine) stale(o Member, now time.Time) bool {
	return now.Sub(o.Heard) > m.set.FreshFor
}

// unloadOld frees versions that nothing needs any more.
func (m *Machine) unloadOld(in Input, now time.Time) Action {
	old, ok := m.spare(in, in.Desired)
	if !ok || !in.Engine.Up {
		m.oldSince = time.Time{}
		return Action{}
	}
	if m.oldSince.IsZero() {
		m.oldSince = now
	}
	if now.Sub(m.oldSince) < m.set.UnloadAfter {
		return Action{}
	}
	m.oldSince = time.Time{}
	return Action{ActionUnload, old}
}

// Finished records the engine's answer to the last order.
func (m *Machine) Finished(a Action, err error, now time.Time) {
	m.busy = Action{}
	if err == nil {
		if a.Kind == ActionActivate {
			m.active, m.activeAt = a.Version, now
		}
		return
	}
	m.retryAt[a.Version] = now.Add(m.set.RetryAfter)
	if a.Kind == ActionLoad || a.Kind == ActionActivate {
		m.failures[a.Version]++
	}
}

// Refused records that the order did not reach the engine or was refused for
// being old; the version is not blamed.
func (m *Machine) Refused(a Action, now time.Time) {
	m.busy = Action{}
	m.retryAt[a.Version] = now.Add(m.set.RetryAfter / 10)
}

func (m *Machine) endIntent() {
	m.intent = 0
	m.acting = false
}

func (m *Machine) settle(p Phase, w Wait) {
	m.phase, m.wait = p, w
	if p == PhaseIdle || p == PhaseFetching {
		m.endIntent()
	}
}

// note keeps the phase that the engine's state implies and says what is waited for.
func (m *Machine) note(in Input, w Wait) {
	m.wait = w
	if in.Engine.Serving == in.Desired && in.Desired != "" {
		m.phase = PhaseServing
		return
	}
	if m.phase == PhaseServing {
		m.phase = PhaseStaged
	}
}
