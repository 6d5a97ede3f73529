package roster_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	"amaranthturn/core/roster"
)

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
