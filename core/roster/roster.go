// Package roster keeps a daemon's view of the targets: which exist, which may receive
// requests, and which are missing only because the platform's store was unavailable.
// app/gateway and app/sidecar use it; app/entry and app/agent use package membership.
//
// # Usage
//
//	r := roster.New(settings)
//	r.Update(target)       // the platform lists a target
//	r.Remove(id, now)      // the platform's record of a target was deleted
//	r.RemoveAt(id, d, now) // the same, and between which times
//	r.StoreUnavailable()   // reads fail
//	r.StoreRecovered(now)  // reads succeed again
//	removed := r.Expire(now)
//	r.Reads().Record(self, startedAt, now) // this entry has read the store
//	r.Reads().Merge(self, reports, now)    // what another entry knows of reads
//	removed = r.RemoveShown()              // missing records that cannot have expired
//	list := r.Usable(service)
//
// # Expired records
//
// While the store is unavailable, targets cannot renew their records in it, and some
// records expire. Live targets are listed again shortly after the store recovers. A target
// whose record disappears in that time remains usable until ExpiryGrace has passed since the
// recovery. If the record is still missing then, the target is removed.
//
// That one entry does not reach the store says nothing about the targets, so entries tell each other
// when they have read it. A record expires after three renewals were missed. If the store answered
// entries during half of that time or more before the deletion, the target could renew its record: it
// has left, and is removed at once. The rest may be unknown because nobody read the store, an entry
// has just started, or others are of an earlier version; then the record is kept as above.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/mirror"
)

//go:generate stringer -type=State -output=roster_string.go -linecomment

// State is the state that a target reports.
type State int

// The states.
const (
	StateUnknown  State = iota // unknown
	StateReady                 // ready
	StateDraining              // draining
)

// LoadedVersion is a version of a model that a target holds.
type LoadedVersion struct {
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
	// Incarnation is the start of this incarnation; a target may restart under the same id.
	Incarnation fleet.Incarnation
	// Sequence rises with each renewal of the record within an incarnation.
	Sequence uint64
	Loaded   []LoadedVersion
}

// Version returns the version of model m that the target serves, or 0 for none.
func (t *Target) Version(m fleet.Model) uint64 {
	for _, l := range t.Loaded {
		if l.Model == m {
			return l.Version
		}
	}
	return 0
}

// Settings are the parameters of a Roster.
type Settings struct {
	// ExpiryGrace is how long after the store's recovery a record may be missing.
	ExpiryGrace time.Duration
	// Renewal is how often targets renew their records. Zero means defaultRenewal.
	Renewal time.Duration
}

// DefaultSettings follow the platform's guarantee that the records of live targets are
// listed again within about two seconds.
var DefaultSettings = Settings{ExpiryGrace: 2200 * time.Millisecond}

// Records that are not renewed expire after missedRenewals intervals. defaultRenewal is the
// interval if the platform states none.
const (
	missedRenewals = 3
	defaultRenewal = 1200 * time.Millisecond
)

// Retention returns how long the records of targets that a restored store lacks, or lists in
// a state that may be older, remain in force. A listed record that is not renewed expires
// within that time.
func (s Settings) Retention(renewal time.Duration, compare func(a, b mirror.Event) int) mirror.Retention {
	return mirror.Retention{Compare: compare, Missing: s.ExpiryGrace, Older: missedRenewals*orDefault(renewal) + s.ExpiryGrace}
}

func orDefault(renewal time.Duration) time.Duration {
	if renewal <= 0 {
		return defaultRenewal
	}
	return renewal
}

// Compare returns a number below, at or above 0 if t is an earlier state of a target than u,
// the same or a later one. Within an incarnation, a target that drains does not become ready
// again, and each renewal has a higher sequence.
func (t *Target) Compare(u *Target) int {
	return cmp.Or(cmp.Compare(t.Incarnation, u.Incarnation), cmp.Compare(t.State, u.State), cmp.Compare(t.Sequence, u.Sequence))
}

type record struct {
	Target
	missingSince time.Time // zero while the target is listed
	deletion     Deletion
}

// Roster is the view. It is not safe for concurrent use.
type Roster struct {
	settings         Settings
	records          map[fleet.InstanceID]*record
	storeUnavailable bool
	storeRecoveredAt time.Time
	version          uint64
	missing          int // records that are missing from the store
	reads            *Reads
	// checkedReads is the version of the reads for which the missing records were last looked at.
	checkedReads uint64
	// services are those whose records count, nil for all.
	services map[fleet.Service]bool
	// latest and usable are derived from the records when they are needed. They are nil after a
	// change of the view.
	latest map[string]*record // by address, the target that started last
	usable map[fleet.Service][]Target
}

// New returns an empty view.
func New(settings Settings) *Roster {
	return &Roster{settings: settings, records: map[fleet.InstanceID]*record{}, reads: newReads(orDefault(settings.Renewal))}
}

// Reads returns what is known of the entries' reads of the store.
func (r *Roster) Reads() *Reads { return r.reads }

// changed records a change of the view.
func (r *Roster) changed() {
	r.version++
	r.latest, r.usable = nil, nil
}

// put adds or replaces a record.
func (r *Roster) put(rec *record) {
	r.delete(rec.ID)
	r.records[rec.ID] = rec
	r.changed()
}

// delete removes the record of a target if there is one.
func (r *Roster) delete(id fleet.InstanceID) {
	rec, ok := r.records[id]
	if !ok {
		return
	}
	if !rec.missingSince.IsZero() {
		r.missing--
	}
	delete(r.records, id)
	r.changed()
}

// SetServices sets the services that are configured. A record of another one may come from another
// writer; it names no target and hides none that has the same address.
func (r *Roster) SetServices(names []fleet.Service) {
	services := make(map[fleet.Service]bool, len(names))
	for _, n := range names {
		services[n] = true
	}
	if r.services != nil && maps.Equal(services, r.services) {
		return
	}
	r.services = services
	r.changed()
}

// counts reports whether a record is of a configured service.
func (r *Roster) counts(rec *record) bool { return r.services == nil || r.services[rec.Service] }

// Version returns a number that increases with each change of the view.
func (r *Roster) Version() uint64 { return r.version }

// Update adds or updates a target that the platform lists.
func (r *Roster) Update(t Target) {
	r.put(&record{Target: t})
}

// Remove handles the deletion of a target's record at an unknown time and reports whether the
// target was removed from the view immediately.
func (r *Roster) Remove(id fleet.InstanceID, now time.Time) bool {
	return r.RemoveAt(id, Deletion{}, now)
}

// RemoveAt handles the deletion of a target's record and reports whether the target was removed from
// the view immediately.
func (r *Roster) RemoveAt(id fleet.InstanceID, d Deletion, now time.Time) bool {
	rec, ok := r.records[id]
	if !ok {
		return false
	}
	if rec.State == StateReady && r.mayHaveExpired(now) && !r.reads.showRemoval(d) {
		if rec.missingSince.IsZero() {
			rec.missingSince, rec.deletion = now, d
			r.missing++
			r.version++
		}
		return false
	}
	r.delete(id)
	return true
}

// Kept says why a target is kept although its record is missing.
type Kept struct {
	StoreUnavailable bool
	// Until is when the grace ends, unless the store is unavailable.
	Until time.Time
	// Shown is for how much of the window before the deletion reads of the store are known. The
	// record is a removal if it is Needed or more.
	Shown, Needed time.Duration
}

// KeptFor returns why a target is kept whose record is missing, or false if it is not.
func (r *Roster) KeptFor(id fleet.InstanceID) (Kept, bool) {
	rec, ok := r.records[id]
	if !ok || rec.missingSince.IsZero() {
		return Kept{}, false
	}
	k := Kept{StoreUnavailable: r.storeUnavailable, Shown: r.reads.shown(rec.deletion), Needed: r.reads.window() / 2}
	if !r.storeUnavailable {
		k.Until = r.storeRecoveredAt.Add(r.settings.ExpiryGrace)
	}
	return k, true
}

// RemoveShown removes the targets whose record is missing and cannot have expired, as has become
// known since, and returns their ids in order.
func (r *Roster) RemoveShown() []fleet.InstanceID {
	if r.missing == 0 || r.checkedReads == r.reads.version {
		return nil
	}
	r.checkedReads = r.reads.version
	return r.removeMissing(func(rec *record) bool { return r.reads.showRemoval(rec.deletion) })
}

// Drop removes a target whose record is there but names no target, and reports whether it was in
// the view. Unlike a missing record, it cannot have expired.
func (r *Roster) Drop(id fleet.InstanceID) bool {
	_, ok := r.records[id]
	r.delete(id)
	return ok
}

// mayHaveExpired reports whether a missing record may have expired because the target could
// not renew it.
func (r *Roster) mayHaveExpired(now time.Time) bool {
	return r.storeUnavailable || !r.storeRecoveredAt.IsZero() && now.Sub(r.storeRecoveredAt) < r.settings.ExpiryGrace
}

// StoreUnavailable records that the store does not respond.
func (r *Roster) StoreUnavailable() { r.storeUnavailable = true }

// StoreRecovered records that the store responds.
func (r *Roster) StoreRecovered(now time.Time) {
	if !r.storeUnavailable {
		return
	}
	r.storeUnavailable = false
	r.storeRecoveredAt = now
}

// Expire removes the targets whose record is still missing after ExpiryGrace and returns
// their ids.
func (r *Roster) Expire(now time.Time) []fleet.InstanceID {
	if r.missing == 0 || r.mayHaveExpired(now) {
		return nil
	}
	return r.removeMissing(func(*record) bool { return true })
}

// removeMissing removes the targets whose record is missing and meets a condition, and returns
// their ids in order.
func (r *Roster) removeMissing(condition func(*record) bool) []fleet.InstanceID {
	var out []fleet.InstanceID
	for id, rec := range r.records {
		if !rec.missingSince.IsZero() && condition(rec) {
			r.delete(id)
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Usable returns the targets of a service that may receive requests, sorted by id. If
// several records have the same address, only the target that started last can be running
// there: the records of the earlier ones have not expired yet. The result is shared and must not
// be modified.
func (r *Roster) Usable(s fleet.Service) []Target {
	if r.usable == nil {
		r.usable = map[fleet.Service][]Target{}
		latest := r.latestByAddress()
		for _, rec := range r.records {
			if r.counts(rec) && rec.State == StateReady && rec.Incarnation >= latest[rec.Address].Incarnation {
				r.usable[rec.Service] = append(r.usable[rec.Service], rec.Target)
			}
		}
		for _, targets := range r.usable {
			sortByID(targets)
		}
	}
	return r.usable[s]
}

// latestByAddress returns the target at each address that started last.
func (r *Roster) latestByAddress() map[string]*record {
	if r.latest == nil {
		r.latest = make(map[string]*record, len(r.records))
		for _, rec := range r.records {
			if l, ok := r.latest[rec.Address]; r.counts(rec) && (!ok || rec.Incarnation > l.Incarnation) {
				r.latest[rec.Address] = rec
			}
		}
	}
	return r.latest
}

func sortByID(targets []Target) {
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
}

// All returns every target, sorted by id.
func (r *Roster) All() []Target {
	out := make([]Target, 0, len(r.records))
	for _, rec := range r.records {
		out = append(out, rec.Target)
	}
	sortByID(out)
	return out
}

// At returns the target at an address, or the one that started last if there are several.
func (r *Roster) At(address string) (Target, bool) {
	latest, ok := r.latestByAddress()[address]
	if !ok {
		return Target{}, false
	}
	return latest.Target, true
}

// Get returns the target with an id.
func (r *Roster) Get(id fleet.InstanceID) (Target, bool) {
	rec, ok := r.records[id]
	if !ok {
		return Target{}, false
	}
	return rec.Target, true
}
