package mirror_test

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthturn/core/mirror"
)

// The states of the targets t/… are versions, or ready and draining.
var retentions = map[string]mirror.Retention{"op/": {Compare: func(a, b mirror.Event) int { return bytes.Compare(a.Value, b.Value) }}, "t/": {
	Compare: func(a, b mirror.Event) int {
		if string(a.Value) == "ready" || string(b.Value) == "ready" {
			return len(a.Value) - len(b.Value)
		}
		return bytes.Compare(a.Value, b.Value)
	},
	Missing: 2 * time.Second, Older: 6 * time.Second,
}}

func event(key, value string, era mirror.Era, rev mirror.Revision) mirror.Event {
	return mirror.Event{Key: key, Value: []byte(value), Era: era, Revision: rev}
}

func load(m *mirror.Mirror, now time.Time, at mirror.Position, items ...mirror.Event) []mirror.Event {
	return m.Load(mirror.Snapshot{Items: items, At: at}, now, now)
}

// A revision that is given out again after a restoration must not be taken for the earlier
// one.
func TestRevisionGivenOutAgain(t *testing.T) {
	m := mirror.New(retentions)
	load(m, t0, at(1, 9), event("op/c", "v3", 1, 9))
	out := load(m, t0, at(2, 6), event("op/c", "v1", 2, 5))
	assert.Equal(t, len(out), 1, "items with a version are reported as listed")
	assert.DeepEqual(t, m.Retained(), []mirror.Event{event("op/c", "v3", 1, 9)})
	assert.DeepEqual(t, m.Apply([]mirror.Event{event("op/c", "v4", 2, 9)}, at(2, 9), t0), []mirror.Event{event("op/c", "v4", 2, 9)})
	assert.Equal(t, len(m.Retained()), 0)
	assert.Equal(t, m.Position(), at(2, 9))
}

// A target that the copy lacks stays in force until it has had the time to register again.
func TestMissingTargetIsRetained(t *testing.T) {
	m := mirror.New(retentions)
	load(m, t0, at(1, 9), event("t/a", "ready", 1, 8), event("t/b", "ready", 1, 9))
	assert.Equal(t, len(load(m, t0, at(2, 6))), 0)
	assert.Equal(t, len(m.Apply([]mirror.Event{event("t/a", "ready", 2, 7)}, at(2, 7), t0)), 1)
	assert.Equal(t, len(m.Tick(t0.Add(1900*time.Millisecond))), 0)
	out := m.Tick(t0.Add(2 * time.Second))
	assert.Equal(t, len(out), 1)
	assert.Equal(t, out[0].Key, "t/b")
	assert.Assert(t, out[0].Deleted)
}

// The copy lists a target that has left or drains since: it must not come back.
func TestOlderStateOfTargetDoesNotComeBack(t *testing.T) {
	for _, later := range []mirror.Event{
		{Key: "t/a", Era: 1, Revision: 9, Deleted: true},
		event("t/a", "draining", 1, 9),
	} {
		m := mirror.New(retentions)
		load(m, t0, at(1, 5), event("t/a", "ready", 1, 5))
		m.Apply([]mirror.Event{later}, at(1, 9), t0)
		assert.Equal(t, len(load(m, t0, at(2, 6), event("t/a", "ready", 2, 5))), 0)
		// It is gone from the store as well, or it lives and renews its record.
		expired := mirror.Event{Key: "t/a", Era: 2, Revision: 12, Deleted: true}
		assert.DeepEqual(t, m.Apply([]mirror.Event{expired}, at(2, 12), t0), []mirror.Event{expired})
		assert.Equal(t, len(m.Tick(t0.Add(time.Hour))), 0)
	}
}

// A record that is still listed after its period is that of a target that lives.
func TestListedStateAppliesAfterItsPeriod(t *testing.T) {
	m := mirror.New(retentions)
	load(m, t0, at(1, 5), event("t/a", "ready", 1, 5))
	m.Apply([]mirror.Event{{Key: "t/a", Era: 1, Revision: 9, Deleted: true}}, at(1, 9), t0)
	load(m, t0, at(2, 6), event("t/a", "ready", 2, 5))
	assert.Equal(t, len(m.Tick(t0.Add(5*time.Second))), 0)
	assert.DeepEqual(t, m.Tick(t0.Add(6*time.Second)), []mirror.Event{event("t/a", "ready", 2, 5)})
}

// A state that has a higher revision than the known one is later, whether it is from the copy
// or was written since.
func TestLaterStateOfTheCopyApplies(t *testing.T) {
	m := mirror.New(retentions)
	load(m, t0, at(1, 3), event("t/a", "ready", 1, 3))
	out := load(m, t0, at(2, 6), event("t/a", "draining", 2, 5))
	assert.DeepEqual(t, out, []mirror.Event{event("t/a", "draining", 2, 5)})
}

// A target drains after the restoration and before the first read of the new era, with a
// revision below that of the known state.
func TestDrainingBeforeTheFirstReadOfAnEra(t *testing.T) {
	m := mirror.New(retentions)
	load(m, t0, at(1, 9), event("t/a", "ready", 1, 9))
	out := load(m, t0, at(2, 6), event("t/a", "draining", 2, 6))
	assert.DeepEqual(t, out, []mirror.Event{event("t/a", "draining", 2, 6)})
}

// A daemon that is cut off from the store, was frozen or has just started sends an older era.
func TestUpdateOfAnEarlierEraIsIgnored(t *testing.T) {
	behind, m := mirror.New(retentions), mirror.New(retentions)
	load(behind, t0, at(1, 99), event("op/c", "v3", 1, 99))
	load(m, t0, at(2, 6), event("op/c", "v1", 2, 5))
	later := t0.Add(time.Minute)
	assert.Equal(t, len(m.Merge(behind.ChangesSince(m.Position()), later, later)), 0)
	assert.Equal(t, m.Position(), at(2, 6))
	assert.Equal(t, m.CurrentAt(), t0, "an older copy does not show that this one is current")
	assert.Equal(t, len(m.Merge(mirror.Update{At: at(1, 120), Events: []mirror.Event{event("op/c", "v2", 1, 120)}}, later, later)), 0)
}

// A follower learns of the era from another daemon only, and loses what that one does not list.
func TestFollowerEntersTheEra(t *testing.T) {
	reader, follower := mirror.New(retentions), mirror.New(retentions)
	load(reader, t0, at(1, 9), event("op/c", "v3", 1, 9), event("t/a", "ready", 1, 8))
	follower.Merge(reader.ChangesSince(follower.Position()), t0, t0)
	follower.Apply([]mirror.Event{event("t/x", "ready", 1, 10)}, at(1, 10), t0) // unknown to the reader
	load(reader, t0, at(2, 6), event("op/c", "v1", 2, 5))
	u := reader.ChangesSince(follower.Position())
	assert.Assert(t, u.Full)
	follower.Merge(u, t0, t0)
	assert.Equal(t, follower.Position(), at(2, 6))
	assert.DeepEqual(t, keys(follower.Retained()), []string{"op/c", "t/a", "t/x"})
	follower.Tick(t0.Add(3 * time.Second))
	assert.DeepEqual(t, follower.WithPrefix(""), reader.WithPrefix(""))
}

// A daemon that starts after a restoration knows only what the copy holds, until it hears from
// another one.
func TestStartedDaemonRecallsRetainedStates(t *testing.T) {
	old, started := mirror.New(retentions), mirror.New(retentions)
	load(old, t0, at(1, 9), event("op/c", "v3", 1, 9), event("t/a", "ready", 1, 8))
	load(old, t0, at(2, 6), event("op/c", "v1", 2, 5))
	load(started, t0, at(2, 6), event("op/c", "v1", 2, 5))
	assert.DeepEqual(t, keys(started.Recall(old.Retained(), t0)), []string{"op/c", "t/a"})
	assert.Equal(t, len(started.Recall(old.Retained(), t0)), 0, "known")
	assert.Equal(t, len(started.Tick(t0.Add(2*time.Second))), 1)
	// What one daemon has given up does not come back from another that entered the era later.
	assert.Equal(t, len(started.Recall([]mirror.Event{event("t/a", "ready", 1, 8)}, t0.Add(2*time.Second))), 0)
	assert.Equal(t, len(started.Apply([]mirror.Event{event("op/c", "v4", 2, 9)}, at(2, 9), t0)), 1)
	assert.Equal(t, len(started.Recall(old.Retained(), t0.Add(2*time.Second))), 0, "written again since")
}

// The store is restored again before what was lost is written again.
func TestSecondRestorationWithinSeconds(t *testing.T) {
	m := mirror.New(retentions)
	load(m, t0, at(1, 9), event("op/c", "v3", 1, 9), event("t/a", "ready", 1, 8))
	load(m, t0, at(2, 6), event("op/c", "v1", 2, 5))
	later := t0.Add(time.Second)
	assert.Equal(t, len(load(m, later, at(3, 6), event("op/c", "v1", 3, 5))), 1)
	assert.DeepEqual(t, keys(m.Retained()), []string{"op/c", "t/a"})
	assert.Equal(t, len(m.Tick(t0.Add(2500*time.Millisecond))), 0)
	assert.Equal(t, len(m.Tick(t0.Add(3*time.Second))), 1)
}

func keys(events []mirror.Event) []string {
	var out []string
	for _, e := range events {
		out = append(out, e.Key)
	}
	return out
}

// restorableStore is the model of the store for TestRestoredHistories.
type restorableStore struct {
	items    map[string]mirror.Event
	log      []mirror.Event
	position mirror.Position
	versions map[string]int // last version that a writer has written
}

func (s *restorableStore) write(key string, deleted bool) {
	s.position.Revision++
	if !deleted {
		s.versions[key]++
	}
	e := event(key, fmt.Sprintf("%06d", s.versions[key]), s.position.Era, s.position.Revision)
	e.Deleted = deleted
	s.items[key] = e
	s.log = append(s.log, e)
}

func (s *restorableStore) snapshot() mirror.Snapshot {
	out := mirror.Snapshot{At: s.position}
	for _, e := range s.items {
		if !e.Deleted {
			e.Era = s.position.Era
			out.Items = append(out.Items, e)
		}
	}
	return out
}

func (s *restorableStore) copy() restorableStore {
	return restorableStore{items: maps.Clone(s.items), log: slices.Clone(s.log), position: s.position}
}

func (s *restorableStore) restore(c restorableStore) {
	s.items, s.log = maps.Clone(c.items), slices.Clone(c.log)
	s.position = mirror.Position{Era: s.position.Era + 1, Revision: c.position.Revision}
}

// reader is a daemon with what it has in force.
type reader struct {
	*mirror.Mirror
	t       *rapid.T
	inForce map[string]string
	newest  map[string]string // by key of a target
}

// record applies changes. An older version of a target comes in force only after its period.
func (r *reader) record(changes []mirror.Event, afterPeriod bool) {
	for _, e := range changes {
		value := string(e.Value)
		switch {
		case e.Deleted:
			delete(r.inForce, e.Key)
			continue
		case e.Key == "op/c":
			value = max(value, r.inForce[e.Key]) // by its version
		case !afterPeriod:
			assert.Assert(r.t, value >= r.newest[e.Key], "%s: version %s after %s", e.Key, value, r.newest[e.Key])
			r.newest[e.Key] = value
		}
		r.inForce[e.Key] = value
	}
}

func (r *reader) read(s *restorableStore, now time.Time) {
	r.record(r.Load(s.snapshot(), now, now), false)
}

func (r *reader) watch(s *restorableStore, now time.Time) {
	at := r.Position()
	if at.Era != s.position.Era {
		return
	}
	var events []mirror.Event
	for _, e := range s.log {
		if e.Revision > at.Revision {
			e.Era = at.Era
			events = append(events, e)
		}
	}
	r.record(r.Apply(events, s.position, now), false)
}

func (r *reader) follow(from *reader, now time.Time) {
	if from.Position().Revision > 0 {
		r.record(r.Merge(from.ChangesSince(r.Position()), now, now), false)
		r.record(r.Recall(from.Retained(), now), false)
	}
}

// Whatever is written, restored, read and exchanged, no older version of an item comes in force
// before its period has passed, and all daemons have the store's content in the end.
func TestRestoredHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &restorableStore{items: map[string]mirror.Event{}, versions: map[string]int{}, position: at(1, 1)}
		saved, now := store.copy(), t0
		var readers []*reader
		for range 3 {
			readers = append(readers, &reader{mirror.New(retentions), t, map[string]string{}, map[string]string{}})
		}
		steps := []func(r *reader){
			func(*reader) { store.write("op/c", false) },
			func(*reader) {
				store.write("t/"+rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target"), rapid.Bool().Draw(t, "leaves"))
			},
			func(*reader) { saved = store.copy() },
			func(*reader) { store.restore(saved) },
			func(r *reader) { r.read(store, now) },
			func(r *reader) { r.watch(store, now) },
			func(r *reader) { r.follow(rapid.SampledFrom(readers).Draw(t, "from"), now) },
			func(r *reader) { r.record(r.Tick(now), true) },
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")](readers[rapid.IntRange(0, len(readers)-1).Draw(t, "daemon")])
		}
		store.write("op/c", false) // the operator has written the newest version again
		now = now.Add(time.Minute)
		want := map[string]string{}
		for _, e := range store.items {
			if !e.Deleted {
				want[e.Key] = string(e.Value)
			}
		}
		for _, r := range readers {
			r.record(r.Load(store.snapshot(), now, now), true)
			r.record(r.Tick(now.Add(time.Minute)), true)
			assert.DeepEqual(t, r.inForce, want)
		}
	})
}
