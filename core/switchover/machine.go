// Package switchover decides when an agent switches its engine from one version
// of a model to the next, without a coordinator. app/agent uses it; app/sidecar uses
// package upgrade.
//
// # Usage
//
//	m := switchover.New(settings, incarnation)
//	for range ticks {
//		switch a := m.Step(input, now); a.Kind {
//		case switchover.ActionLoad:     // send the weights to the engine
//		case switchover.ActionActivate: // new requests run on a.Version
//		case switchover.ActionUnload:   // free a.Version
//		}
//		// m.RecordResponse(a, err, now) when the engine has responded
//		// m.AdmitsRequests() reports whether requests may be sent to the engine
//	}
//
// # Replicas that keep serving
//
// An engine with two slots loads the new version while the old one keeps serving.
// An engine with one slot must stop serving during the switch. Its agent first
// announces an intent. A serving member of the same zone may promise to keep
// serving until the intent ends; while its promise is in force it does not stop
// serving itself. The agent stops serving only when it has received as many
// promises as replicas must keep serving, its intent has not expired, and it has
// made no promise that is in force. Whenever an agent stops serving, that many other
// members therefore serve and are bound to continue. This holds on either side of
// a partition and does not depend on the views of third parties. If two agents
// have an intent, only the lower ranked one promises, so they never wait for each
// other.
//
// # Versions that fail
//
// Until some instance serves a version, only the highest ranked instance of each
// zone loads it. Once enough instances report that the version fails to load, or
// that the engine crashed soon after activating it, no other instance begins.
package switchover

import (
	"slices"
	"time"

	"amaranthturn/core/fleet"
)

//go:generate stringer -type=Phase,ActionKind,Wait -output=switchover_string.go -linecomment

// Phase is the progress of an instance towards serving the desired version.
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

// ActionKind is the kind of an engine command.
type ActionKind int

// The actions.
const (
	ActionNone     ActionKind = iota // none
	ActionLoad                       // load
	ActionActivate                   // activate
	ActionUnload                     // unload
)

// Wait is the condition that a machine waits for.
type Wait int

// The waits.
const (
	WaitNothing      Wait = iota // nothing
	WaitWeights                  // weights
	WaitCanary                   // first_replica_of_version
	WaitPromises                 // promises_of_serving_replicas
	WaitPromiseGiven             // promised_to_keep_serving
	WaitDrain                    // requests_in_progress
	WaitEngine                   // engine
	WaitOperator                 // operator_version_failed
	WaitRetry                    // retry_after_failed_load
	WaitTakeover                 // earlier_orders_to_expire
	WaitView                     // fresh_view
)

// Settings are the parameters of a Machine.
type Settings struct {
	Self fleet.InstanceID
	Zone fleet.Zone
	// IntentTTL is how long after announcing an intent an agent may act on
	// promises made for it.
	IntentTTL time.Duration
	// MaxStateAge is the maximum age of a member's state.
	MaxStateAge time.Duration
	// ProvingPeriod is how long an engine must run on a version before a crash is
	// no longer attributed to that version.
	ProvingPeriod time.Duration
	// MaxFailedInstances is the number of failed instances at which a version stops
	// spreading.
	MaxFailedInstances int
	// RetryDelay is the delay before a failed load is retried.
	RetryDelay time.Duration
	// UnloadDelay is how long a replaced version stays loaded for requests
	// that are resumed on it.
	UnloadDelay time.Duration
}

// DefaultSettings returns the default settings for an instance.
func DefaultSettings(self fleet.InstanceID, zone fleet.Zone) Settings {
	return Settings{
		Self: self, Zone: zone, IntentTTL: 10 * time.Second, MaxStateAge: 5 * time.Second,
		ProvingPeriod: 10 * time.Second, MaxFailedInstances: 2, RetryDelay: 15 * time.Second, UnloadDelay: 5 * time.Second,
	}
}

// promiseTTLFactor is the lifetime of a promise, in intent lifetimes, while no update
// arrives from the member that received it.
const promiseTTLFactor = 3

// Promise is a commitment of a member to keep serving while the member To switches.
type Promise struct {
	To    fleet.InstanceID
	Nonce uint64
}

// Member is the last known state of another instance with the same model.
type Member struct {
	ID       fleet.InstanceID
	Zone     fleet.Zone
	Serving  fleet.Version
	Staged   fleet.Version // complete and not serving
	Phase    Phase
	Intent   uint64 // nonce, 0 without an intent
	Promises []Promise
	Leaving  bool
	LastSeen time.Time // when the state was received, by the local clock
}

// View is an agent's view of the other instances.
type View struct {
	Members []Member
	// ZoneSize is the number of instances of the zone, including this one, that
	// the platform's list assigns the model to.
	ZoneSize int
	// FailedOn counts, by version, the other instances on which it failed.
	FailedOn map[fleet.Version]int
}

// Engine is the state reported by the engine.
type Engine struct {
	Up       bool
	Loaded   []fleet.Version
	Serving  fleet.Version
	TwoSlots bool
}

// Input is the input of Machine.Step.
type Input struct {
	Desired    fleet.Version
	Complete   func(fleet.Version) bool // whether all chunks of the version are stored and verified
	MinServing int
	Engine     Engine
	InFlight   map[fleet.Version]int // requests in progress by version
	View       View
	Leaving    bool
	// CrashedWithRequests reports whether requests were running when the engine last crashed.
	CrashedWithRequests bool
	// CommandsOutstanding reports whether earlier engine commands, for example of a previous
	// incarnation of the agent, may still take effect.
	CommandsOutstanding bool
}

// Action is an engine command.
type Action struct {
	Kind    ActionKind
	Version fleet.Version
}

// Machine switches one model on one instance. It is not safe for concurrent use.
type Machine struct {
	settings     Settings
	phase        Phase
	wait         Wait
	pending      Action // the command that the engine has not responded to yet
	nonce        uint64
	intent       uint64
	intentAt     time.Time
	switching    bool // a switch has begun and no requests are admitted
	promises     map[fleet.InstanceID]givenPromise
	failures     map[fleet.Version]int
	crashExcused map[fleet.Version]bool      // versions with one crash attributed to requests
	retryAt      map[fleet.Version]time.Time // earliest time of the next load
	active       fleet.Version               // the version last activated in the engine
	activeAt     time.Time
	lastGood     fleet.Version
	unusedSince  time.Time
}

// New returns a machine. Nonces include the incarnation, so those of two incarnations of an
// agent differ.
func New(settings Settings, incarnation fleet.Incarnation) *Machine {
	return &Machine{
		settings: settings, nonce: uint64(incarnation) << 16,
		promises: map[fleet.InstanceID]givenPromise{},
		failures: map[fleet.Version]int{}, crashExcused: map[fleet.Version]bool{}, retryAt: map[fleet.Version]time.Time{},
	}
}

// Phase returns the progress towards the desired version.
func (m *Machine) Phase() Phase { return m.phase }

// Waiting returns the condition that the machine waits for.
func (m *Machine) Waiting() Wait { return m.wait }

// Intent returns the nonce of the announced intent, or 0 if there is none.
func (m *Machine) Intent() uint64 { return m.intent }

// AdmitsRequests reports whether the agent may send requests to the engine.
func (m *Machine) AdmitsRequests() bool { return !m.switching }

// Failures returns how often version v failed on this instance.
func (m *Machine) Failures(v fleet.Version) int { return m.failures[v] }

// Resumed must be called after a pause of the process. Unless a switch has begun, it
// drops the announced intent, so that earlier promises for it have no effect.
func (m *Machine) Resumed() {
	if !m.switching {
		m.intent = 0
	}
}

// Step returns the next engine command.
func (m *Machine) Step(in Input, now time.Time) Action {
	m.checkActiveVersion(in, now)
	m.updatePromises(in, now)
	if m.pending.Kind != ActionNone {
		return Action{}
	}
	a := m.decide(in, now)
	m.pending = a
	return a
}

func (m *Machine) decide(in Input, now time.Time) Action {
	version := m.chooseVersion(in, now)
	switch {
	case in.Leaving || in.Desired == "":
		m.setState(PhaseIdle, WaitNothing)
		return m.unloadUnused(in, now)
	case version == "":
		m.setState(PhaseFailed, WaitOperator)
		return Action{}
	case !in.Engine.Up:
		m.setWaiting(in, WaitEngine)
		return Action{}
	case in.CommandsOutstanding:
		m.setWaiting(in, WaitTakeover)
		return Action{}
	case in.Engine.Serving == version:
		m.recordServing(in, version, now)
		return m.unloadUnused(in, now)
	case slices.Contains(in.Engine.Loaded, version):
		m.phase = PhaseLoading
		return Action{ActionActivate, version}
	case !in.Complete(version):
		m.endSwitch()
		m.setState(PhaseFetching, WaitWeights)
		return Action{}
	case version == in.Desired && now.Before(m.retryAt[version]):
		m.setState(PhaseStaged, WaitRetry)
		return Action{}
	case !m.switching && !m.mayLoad(in, version, now):
		// An instance that may not load yet drops its intent, so that no member is bound
		// by a promise to it: the highest ranked instance may need a promise from that
		// member.
		m.intent = 0
		m.phase = PhaseStaged
		return Action{}
	}
	return m.replace(in, version, now)
}

// chooseVersion returns the version to serve: the desired one or, while that fails, the
// last good one. The operator's choice stays in effect, and the phase is failed.
func (m *Machine) chooseVersion(in Input, now time.Time) fleet.Version {
	if in.Desired == "" || in.Engine.Serving == in.Desired || !m.desiredIsFailing(in, now) {
		return in.Desired
	}
	if in.Engine.Serving != "" {
		return in.Engine.Serving
	}
	if m.lastGood != "" && m.lastGood != in.Desired && in.Complete(m.lastGood) {
		return m.lastGood
	}
	if m.failedInstances(in) < m.failedInstanceLimit(in, now) {
		return in.Desired
	}
	return ""
}

// recordServing records that the engine serves the chosen version v.
func (m *Machine) recordServing(in Input, v fleet.Version, now time.Time) {
	if m.active != v {
		m.active, m.activeAt = v, now
	}
	if now.Sub(m.activeAt) >= m.settings.ProvingPeriod {
		m.lastGood = v
	}
	m.endSwitch()
	if v != in.Desired {
		m.setState(PhaseFailed, WaitOperator)
		return
	}
	m.setState(PhaseServing, WaitNothing)
}

// replace loads v into a free slot or, without one, frees a slot. It stops serving for
// that only with enough promises and after the requests in progress have ended.
func (m *Machine) replace(in Input, v fleet.Version, now time.Time) Action {
	hasFreeSlot := len(in.Engine.Loaded) == 0 || in.Engine.TwoSlots && len(in.Engine.Loaded) < 2
	if hasFreeSlot {
		m.phase = PhaseLoading
		m.wait = WaitEngine
		return Action{ActionLoad, v}
	}
	if old, ok := m.unusedVersion(in, v); ok {
		return Action{ActionUnload, old}
	}
	if in.Engine.Serving != "" && !m.mayStopServing(in, now) {
		return Action{}
	}
	m.switching = true
	m.phase = PhaseDraining
	m.wait = WaitDrain
	if in.InFlight[in.Engine.Serving] > 0 {
		return Action{}
	}
	return Action{ActionUnload, in.Engine.Loaded[0]}
}

// unusedVersion returns a loaded version other than v that is not served and has no requests
// in progress.
func (m *Machine) unusedVersion(in Input, v fleet.Version) (fleet.Version, bool) {
	for _, loaded := range in.Engine.Loaded {
		if loaded != v && loaded != in.Engine.Serving && in.InFlight[loaded] == 0 {
			return loaded, true
		}
	}
	return "", false
}

func (m *Machine) isStale(o Member, now time.Time) bool {
	return now.Sub(o.LastSeen) > m.settings.MaxStateAge
}

// unloadUnused unloads a version that has been unused for UnloadDelay.
func (m *Machine) unloadUnused(in Input, now time.Time) Action {
	old, ok := m.unusedVersion(in, in.Desired)
	if !ok || !in.Engine.Up {
		m.unusedSince = time.Time{}
		return Action{}
	}
	if m.unusedSince.IsZero() {
		m.unusedSince = now
	}
	if now.Sub(m.unusedSince) < m.settings.UnloadDelay {
		return Action{}
	}
	m.unusedSince = time.Time{}
	return Action{ActionUnload, old}
}

// RecordResponse records the engine's response to the last command.
func (m *Machine) RecordResponse(a Action, err error, now time.Time) {
	m.pending = Action{}
	if err == nil {
		if a.Kind == ActionActivate {
			m.active, m.activeAt = a.Version, now
		}
		return
	}
	m.retryAt[a.Version] = now.Add(m.settings.RetryDelay)
	if a.Kind == ActionLoad || a.Kind == ActionActivate {
		m.failures[a.Version]++
	}
}

// RecordRefused records that the command was not sent, or that the engine refused it as
// stale. It does not count as a failure of the version.
func (m *Machine) RecordRefused(a Action, now time.Time) {
	m.pending = Action{}
	m.retryAt[a.Version] = now.Add(m.settings.RetryDelay / 10)
}

func (m *Machine) endSwitch() {
	m.intent = 0
	m.switching = false
}

func (m *Machine) setState(p Phase, w Wait) {
	m.phase, m.wait = p, w
	if p == PhaseIdle || p == PhaseFetching {
		m.endSwitch()
	}
}

// setWaiting sets the wait condition and corrects the phase to match the engine's state.
func (m *Machine) setWaiting(in Input, w Wait) {
	m.wait = w
	if in.Engine.Serving == in.Desired && in.Desired != "" {
		m.phase = PhaseServing
		return
	}
	if m.phase == PhaseServing {
		m.phase = PhaseStaged
	}
}
