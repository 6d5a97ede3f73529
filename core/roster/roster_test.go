package roster_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthturn/core/fleet"
	"amaranthturn/core/roster"
	"amaranthturn/internal/fixedseed"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

var t0 = time.Unix(1_000_000, 0)

func ready(id fleet.InstanceID) roster.Target {
	return roster.Target{ID: id, Service: "s", Address: "10.0.0.1:1", State: roster.StateReady}
}

// Records expire while the store is unavailable. Live targets must remain usable until the
// grace after its recovery has passed; a target that is still missing then is removed.
func TestExpiredRecords(t *testing.T) {
	r := roster.New(roster.DefaultSettings)
	r.Update(ready("back"))
	r.Update(ready("gone"))
	r.StoreUnavailable()
	r.StoreRecovered(t0)
	assert.Assert(t, !r.Remove("back", t0.Add(10*time.Millisecond)))
	assert.Assert(t, !r.Remove("gone", t0.Add(10*time.Millisecond)))
	assert.Equal(t, len(r.Usable("s")), 2)
	r.Update(ready("back"))
	assert.Equal(t, len(r.Expire(t0.Add(time.Second))), 0)
	assert.DeepEqual(t, r.Expire(t0.Add(roster.DefaultSettings.ExpiryGrace)), []fleet.InstanceID{"gone"})
	assert.Equal(t, len(r.Usable("s")), 1)
}

func TestRemovedImmediatelyWhileStoreResponds(t *testing.T) {
	r := roster.New(roster.DefaultSettings)
	r.Update(ready("a"))
	assert.Assert(t, r.Remove("a", t0))
	assert.Equal(t, len(r.Usable("s")), 0)
}

// The record of a draining target disappears because the target left, not because it could
// not be renewed. The target must be removed immediately.
func TestDrainingHasNoGrace(t *testing.T) {
	r := roster.New(roster.DefaultSettings)
	x := ready("a")
	x.State = roster.StateDraining
	r.Update(x)
	r.StoreUnavailable()
	assert.Equal(t, len(r.Usable("s")), 0)
	assert.Assert(t, r.Remove("a", t0))
}

// After a power loss the store still lists the earlier targets together with those that
// started at the same addresses. Only the latter are usable.
func TestOneTargetPerAddress(t *testing.T) {
	r := roster.New(roster.DefaultSettings)
	before, after := ready("before"), ready("after")
	before.Incarnation, after.Incarnation = 1, 2
	r.Update(after)
	r.Update(before)
	list := r.Usable("s")
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].ID, fleet.InstanceID("after"))
}

// A record that becomes unusable while the store is unavailable has not expired.
func TestUnusableRecordIsNotTakenForAnExpiredOne(t *testing.T) {
	r := roster.New(roster.DefaultSettings)
	r.Update(roster.Target{ID: "a", Service: "s", Address: "x:1", State: roster.StateReady})
	r.StoreUnavailable()
	assert.Assert(t, r.Drop("a"))
	assert.Equal(t, len(r.Usable("s")), 0)
	assert.Assert(t, !r.Drop("a"))
}

// usableOf returns what Usable is to return, from all records.
func usableOf(all []roster.Target, s fleet.Service) []roster.Target {
	var out []roster.Target
	for _, t := range all {
		isLatest := !slices.ContainsFunc(all, func(o roster.Target) bool { return o.Address == t.Address && o.Incarnation > t.Incarnation })
		if t.Service == s && t.State == roster.StateReady && isLatest {
			out = append(out, t)
		}
	}
	return out
}

// What is derived from the records follows every change of them.
func TestDerivedViewFollowsRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := roster.New(roster.DefaultSettings)
		now := t0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom([]fleet.InstanceID{"a", "b", "c", "d"}).Draw(t, "id")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				x := ready(id)
				x.Service = rapid.SampledFrom([]fleet.Service{"s", "u"}).Draw(t, "service")
				x.Address = rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "address")
				x.Incarnation = fleet.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))
				x.State = rapid.SampledFrom([]roster.State{roster.StateReady, roster.StateDraining}).Draw(t, "state")
				r.Update(x)
			case 2:
				r.Remove(id, now)
			case 3:
				r.Drop(id)
			case 4:
				r.StoreUnavailable()
			case 5:
				r.StoreRecovered(now)
			case 6:
				r.Expire(now)
			}
			for _, s := range []fleet.Service{"s", "u"} {
				assert.DeepEqual(t, r.Usable(s), usableOf(r.All(), s))
			}
			for _, x := range r.All() {
				at, ok := r.At(x.Address)
				assert.Assert(t, ok && at.Address == x.Address && at.Incarnation >= x.Incarnation)
			}
		}
	})
}

// The view is asked for far more often than it changes.
func TestUsableIsNotComputedAgain(t *testing.T) {
	r := roster.New(roster.DefaultSettings)
	for i := range 300 {
		x := ready(fleet.InstanceID(fmt.Sprintf("t%d", i)))
		x.Address = fmt.Sprintf("10.0.0.%d:1", i)
		r.Update(x)
	}
	assert.Equal(t, len(r.Usable("s")), 300)
	assert.Equal(t, testing.AllocsPerRun(10, func() { r.Usable("s"); r.At("10.0.0.7:1"); r.Expire(t0) }), 0.0)
}

// Another writer put records of a service that no configuration names, with the addresses of targets: all
// requests of the targets' service were refused.
func TestRecordOfUnknownServiceHidesNoTarget(t *testing.T) {
	r := roster.New(roster.DefaultSettings)
	r.Update(roster.Target{ID: "a", Service: "s", Address: "10.0.0.1:1", State: roster.StateReady, Incarnation: 1})
	r.Update(roster.Target{ID: "x", Service: "other", Address: "10.0.0.1:1", State: roster.StateReady, Incarnation: 2})
	r.SetServices([]fleet.Service{"s"})
	assert.Equal(t, len(r.Usable("s")), 1)
	at, ok := r.At("10.0.0.1:1")
	assert.Assert(t, ok)
	assert.Equal(t, at.ID, fleet.InstanceID("a"))
	r.SetServices([]fleet.Service{"s", "other"})
	assert.Equal(t, len(r.Usable("s")), 0, "the address belongs to the target that started last")
	assert.Equal(t, len(r.Usable("other")), 1)
}
