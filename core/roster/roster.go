// Package roster is a daemon's view of the targets: which exist, which may be sent work,
// and which only seem to be gone because the platform's store was away.
//
// # Usage
//
//	r := roster.New(settings)
//	r.Heard(target, now)         // the platform lists a target
//	r.Removed(id, now)           // the platform's entry is gone
//	r.StoreLost(now)             // reads fail; r.StoreBack(now) when they work again
//	list := r.Usable(service, now)
//
// # Lapsed entries
//
// While the store is away targets cannot renew their entries, and some lapse. Living
// targets are back in the list shortly after the store's return. An entry that goes
// missing in that time is used until LapseGrace has passed since the return; one that is
// still missing then is gone.
package roster

import (
	"cmp"
	"slices"
	"time"

	"amaranthturn/core/fleet"
)

//go:generate stringer -type=State -output=roster_string.go -linecomment

// State is what a target says of itself.
type State int

// The states.
const (
	StateUnknown  State = iota // unknown
	StateReady                 // ready
	StateDraining              // draining
)

// Held is a model's version on a target.
type Held struct {
	Model   fleet.Model
	Version uint64
	Layers  int // loaded layers
}

// Target is one incarnation of a target.
type Target struct {
	ID      fleet.InstanceID
	Service fleet.Service
	Address string
	Zone    fleet.Zone
	Slots   int
	State   State
	// Born is the start of this incarnation; a target may start again under its id.
	Born fleet.Incarnation
	Held []Held
}

// Version returns the version of a model that the target serves, 0 for none.
func (t *Target) Version(m fleet.Model) uint64 {
	for _, h := range t.Held {
		if h.Model == m {
			return h.Version
		}
	}
	return 0
}

// Settings are the constants of a Roster.
type Settings struct {
	// LapseGrace is how long after the store's return an entry may be missing.
	LapseGrace time.Duration
}

// DefaultSettings follow the platform's promise that entries of living targets are back
// within about two seconds.
var DefaultSettings = Settings{LapseGrace: 2200 * time.Millisecond}

type row struct {
	Target
	removed time.Time // zero while the entry is listed
}

// Roster is the view. It is not safe for concurrent use.
type Roster struct {
	set     Settings
	rows    map[fleet.InstanceID]*row
	lost    bool
	back    time.Time // when the store was last reached again
	version uint64
}

// New returns an empty view.
func New(set Settings) *Roster { return &Roster{set: set, rows: map[fleet.InstanceID]*row{}} }

// Version changes whenever the view does.
func (r *Roster) Version() uint64 { return r.version }

// Heard takes a listed target.
func (r *Roster) Heard(t Target) {
	r.version++
	r.rows[t.ID] = &row{Target: t}
}

// Removed takes the end of a target's entry and tells whether the target counts as gone
// at once.
func (r *Roster) Removed(id fleet.InstanceID, now time.Time) bool {
	x, ok := r.rows[id]
	if !ok {
		return false
	}
	r.version++
	if x.State == StateReady && r.mayHaveLapsed(now) {
		if x.removed.IsZero() {
			x.removed = now
		}
		return false
	}
	delete(r.rows, id)
	return true
}

func (r *Roster) mayHaveLapsed(now time.Time) bool {
	return r.lost || !r.back.IsZero() && now.Sub(r.back) < r.set.LapseGrace
}

// StoreLost records that the store does not answer.
func (r *Roster) StoreLost() { r.lost = true }

// StoreBack records that the store answers.
func (r *Roster) StoreBack(now time.Time) {
	if !r.lost {
		return
	}
	r.lost = false
	r.back = now
}

// Expire drops the targets whose entry is still missing after the grace, and returns
// them.
func (r *Roster) Expire(now time.Time) []fleet.InstanceID {
	if r.mayHaveLapsed(now) {
		return nil
	}
	var out []fleet.InstanceID
	for id, x := range r.rows {
		if !x.removed.IsZero() {
			delete(r.rows, id)
			out = append(out, id)
			r.version++
		}
	}
	return out
}

// Usable returns the targets of a service that may be sent work, sorted by id. Where
// several entries name one address, only the target that started last can be there: the
// entries of those before have not lapsed yet.
func (r *Roster) Usable(s fleet.Service) []Target {
	last := map[string]fleet.Incarnation{}
	for _, x := range r.rows {
		last[x.Address] = max(last[x.Address], x.Born)
	}
	var out []Target
	for _, x := range r.rows {
		if x.Service == s && x.State == StateReady && x.Born >= last[x.Address] {
			out = append(out, x.Target)
		}
	}
	slices.SortFunc(out, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// All returns every target, sorted by id.
func (r *Roster) All() []Target {
	out := make([]Target, 0, len(r.rows))
	for _, x := range r.rows {
		out = append(out, x.Target)
	}
	slices.SortFunc(out, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// At returns the target at an address, the last one to start where there are several.
func (r *Roster) At(address string) (Target, bool) {
	var last *row
	for _, x := range r.rows {
		if x.Address == address && (last == nil || x.Born > last.Born) {
			last = x
		}
	}
	if last == nil {
		return Target{}, false
	}
	return last.Target, true
}

// Get returns a target.
func (r *Roster) Get(id fleet.InstanceID) (Target, bool) {
	x, ok := r.rows[id]
	if !ok {
		return Target{}, false
	}
	return x.Target, true
}
