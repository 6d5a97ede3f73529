package mirror_test

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthturn/core/mirror"
)

// The second copy was made before the first restoration, so its history is not that of the era in
// between: a revision that is not lower does not show that its state is later.
func TestCopyFromBeforeThePreviousRestoration(t *testing.T) {
	m := mirror.New(retentions)
	load(m, t0, at(1, 8))
	m.Apply([]mirror.Event{event("t/a", "ready", 1, 12)}, at(1, 12), t0)
	load(m, t0, at(2, 8))
	m.Apply([]mirror.Event{event("t/a", "ready", 2, 9), event("t/a", "draining", 2, 10)}, at(2, 10), t0)
	out := load(m, t0.Add(time.Second), at(3, 12), event("t/a", "ready", 3, 12))
	assert.Equal(t, len(out), 0, "a draining target came back: %v", out)
}

// As above with a configuration: daemons that start have to hear of the one in force.
func TestConfigurationThatAnEarlierCopyLacksIsHandedOn(t *testing.T) {
	m, started := mirror.New(retentions), mirror.New(retentions)
	load(m, t0, at(1, 8), event("op/c", "v1", 1, 8))
	m.Apply([]mirror.Event{event("op/c", "v2", 1, 12)}, at(1, 12), t0)
	load(m, t0, at(2, 8), event("op/c", "v1", 2, 8))
	m.Apply([]mirror.Event{event("op/c", "v3", 2, 9)}, at(2, 9), t0)
	load(m, t0, at(3, 12), event("op/c", "v2", 3, 12))
	load(started, t0, at(3, 12), event("op/c", "v2", 3, 12))
	assert.DeepEqual(t, started.Recall(m.Retained(), t0), []mirror.Event{event("op/c", "v3", 2, 9)})
}

// A daemon that was frozen during an era retains an earlier state with a higher revision than the
// one that the others retain from that era.
func TestRetainedStateOfASkippedEraIsRecalled(t *testing.T) {
	m, frozen := mirror.New(retentions), mirror.New(retentions)
	for _, d := range []*mirror.Mirror{m, frozen} {
		load(d, t0, at(1, 8), event("op/c", "v1", 1, 8))
		d.Apply([]mirror.Event{event("op/c", "v2", 1, 12)}, at(1, 12), t0)
	}
	load(m, t0, at(2, 8), event("op/c", "v1", 2, 8))
	m.Apply([]mirror.Event{event("op/c", "v3", 2, 9)}, at(2, 9), t0)
	for _, d := range []*mirror.Mirror{m, frozen} {
		load(d, t0, at(3, 8), event("op/c", "v1", 3, 8))
	}
	assert.DeepEqual(t, m.Retained(), []mirror.Event{event("op/c", "v3", 2, 9)})
	assert.DeepEqual(t, frozen.Recall(m.Retained(), t0), []mirror.Event{event("op/c", "v3", 2, 9)})
}

// A daemon that is in a later era ignores the update, so a complete copy must not be sent.
func TestNoFullUpdateForADaemonOfALaterEra(t *testing.T) {
	behind := mirror.New(retentions)
	load(behind, t0, at(1, 9), event("op/c", "v3", 1, 9), event("t/a", "ready", 1, 8))
	u := behind.ChangesSince(at(2, 6))
	assert.Equal(t, len(u.Events), 0)
}

// Copies are kept, and any of them is restored, also one from before an earlier restoration.
func TestRestoredHistoriesOfSeveralCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &restorableStore{items: map[string]mirror.Event{}, versions: map[string]int{}, position: at(1, 1)}
		copies, now := []restorableStore{store.copy()}, t0
		r := &reader{mirror.New(retentions), t, map[string]string{}, map[string]string{}}
		steps := []func(){
			func() { store.write("t/a", false) },
			func() { store.write("t/b", false) },
			func() { copies = append(copies, store.copy()) },
			func() {
				c := rapid.SampledFrom(copies).Draw(t, "copy")
				versions := maps.Clone(store.versions)
				store.restore(c)
				store.versions = versions
			},
			func() { r.read(store, now) },
			func() { r.watch(store, now) },
			func() { r.record(r.Tick(now), true) },
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
		}
	})
}

// A daemon that was cut off reads the store long after the restoration. Others state that a
// target left since: it is not missing because of the copy.
func TestStatedRemovalEndsRetention(t *testing.T) {
	m := mirror.New(retentions)
	load(m, t0, at(1, 9), event("t/a", "ready", 1, 9))
	later := t0.Add(20 * time.Second)
	assert.Equal(t, len(load(m, later, at(2, 30))), 0)
	removed := mirror.Event{Key: "t/a", Era: 2, Revision: 8, Deleted: true}
	out := m.Merge(mirror.Update{Events: []mirror.Event{removed}, At: at(2, 30), Full: true, EraBase: 6}, later, later)
	assert.Equal(t, len(out), 1)
}

// A target leaves, and starts again under its id while the store is away. It registers before the
// first read of the new era, which is no older state.
func TestTargetRebornWhileTheStoreIsAwayIsUsed(t *testing.T) {
	m := mirror.New(retentions)
	load(m, t0, at(1, 5), event("t/a", "v1", 1, 5))
	m.Apply([]mirror.Event{{Key: "t/a", Era: 1, Revision: 9, Deleted: true}}, at(1, 9), t0)
	out := load(m, t0, at(2, 7), event("t/a", "v2", 2, 7))
	assert.DeepEqual(t, out, []mirror.Event{event("t/a", "v2", 2, 7)})
}

// Another daemon is still in the era before, in which it retains a target that this one knows to
// have left.
func TestRecallDoesNotBringBackATargetThatLeft(t *testing.T) {
	m, behind := mirror.New(retentions), mirror.New(retentions)
	load(behind, t0, at(1, 2), event("t/a", "v1", 1, 2))
	load(m, t0, at(2, 3), event("t/a", "v2", 2, 3))
	load(behind, t0, at(2, 4))
	assert.Equal(t, len(load(m, t0, at(2, 4))), 1, "it has left")
	load(m, t0, at(3, 4))
	out := m.Recall(behind.Retained(), t0)
	assert.Equal(t, len(out), 0, "%v", out)
}
