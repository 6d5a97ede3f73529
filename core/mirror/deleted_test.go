package mirror_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/mirror"
	"amaranthturn/internal/liveheap"
)

// maxDeleted is the number of deleted items that a copy keeps.
const maxDeleted = 4096

// summarized are retentions with a summary of the values of targets.
var summarized = map[string]mirror.Retention{"t/": {
	Compare: retentions["t/"].Compare, Missing: retentions["t/"].Missing, Older: retentions["t/"].Older,
	Summary: func(e mirror.Event) []byte { return bytes.Clone(e.Value[:min(len(e.Value), 8)]) },
}}

func deletion(key string, era mirror.Era, rev mirror.Revision) mirror.Event {
	return mirror.Event{Key: key, Era: era, Revision: rev, Deleted: true}
}

// churn lets n targets come and go, and returns the position afterwards.
func churn(m *mirror.Mirror, from mirror.Position, prefix string, n int) mirror.Position {
	for i := range n {
		key := fmt.Sprint("t/", prefix, i)
		m.Apply([]mirror.Event{event(key, "ready", from.Era, from.Revision+1)}, at(from.Era, from.Revision+1), t0)
		m.Apply([]mirror.Event{deletion(key, from.Era, from.Revision+2)}, at(from.Era, from.Revision+2), t0)
		from.Revision += 2
	}
	return from
}

// Guards against memory that grows with the targets that have ever been there: their last values stayed in the
// copy for good.
func TestDeletedItemsHoldLittle(t *testing.T) {
	const targets, size, maxHeld = 12_000, 16 << 10, 8 << 20
	m := mirror.New(summarized)
	before := liveheap.Bytes()
	rev := mirror.Revision(0)
	for i := range targets {
		key := fmt.Sprint("t/", i)
		m.Apply([]mirror.Event{{Key: key, Value: bytes.Repeat([]byte("x"), size), Revision: rev + 1}}, at(0, rev+1), t0)
		m.Apply([]mirror.Event{deletion(key, 0, rev+2)}, at(0, rev+2), t0)
		rev += 2
	}
	held := liveheap.Bytes() - before
	assert.Check(t, held <= maxHeld, "%d bytes are held for %d targets that have left", held, targets)
	u := m.Usage()
	assert.Check(t, u.Deleted <= maxDeleted, "%+v", u)
}

// A copy that lags behind deletions that are not kept any more receives the full copy, and has neither
// items that were deleted nor lacks any.
func TestCopyThatLagsBehindForgottenDeletions(t *testing.T) {
	m := mirror.New(nil)
	followers := []*mirror.Mirror{mirror.New(nil), mirror.New(nil)}
	full := make([]int, len(followers))
	for i := range 30_000 {
		e := event(fmt.Sprint("t/", i/2), "ready", 0, mirror.Revision(i+1))
		e.Deleted = i%2 == 1 && i%50 != 1
		m.Apply([]mirror.Event{e}, e.Position(), t0)
		for n, follower := range followers {
			if i%((n+1)*5000) > 0 {
				continue
			}
			u := m.ChangesSince(follower.Position())
			if u.Full {
				full[n]++
			}
			follower.Merge(u, t0, t0)
			assert.DeepEqual(t, follower.WithPrefix(""), m.WithPrefix(""))
		}
	}
	assert.DeepEqual(t, full, []int{1, 3}) // the first one is full
}

// What is told late of an item whose deletion is not kept any more does not bring it back. A complete read that
// is later than its deletion does.
func TestForgottenItemDoesNotComeBack(t *testing.T) {
	for name, c := range map[string]struct {
		tell    func(m, behind *mirror.Mirror, now mirror.Position)
		isThere bool
	}{
		"change": {func(m, _ *mirror.Mirror, _ mirror.Position) {
			m.Apply([]mirror.Event{event("t/a", "ready", 1, 2)}, at(1, 2), t0)
		}, false},
		"earlier complete read": {func(m, _ *mirror.Mirror, _ mirror.Position) { load(m, t0, at(1, 2), event("t/a", "ready", 1, 2)) }, false},
		"full update of a copy that is behind": {func(m, behind *mirror.Mirror, _ mirror.Position) {
			m.Merge(behind.ChangesSince(mirror.Position{}), t0, t0)
		}, false},
		"later complete read": {func(m, _ *mirror.Mirror, now mirror.Position) { load(m, t0, now, event("t/a", "ready", 1, 2)) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			m, behind := mirror.New(retentions), mirror.New(retentions)
			for _, d := range []*mirror.Mirror{m, behind} {
				load(d, t0, at(1, 2), event("t/a", "ready", 1, 2))
			}
			m.Apply([]mirror.Event{deletion("t/a", 1, 3)}, at(1, 3), t0)
			now := churn(m, at(1, 3), "x", 2*maxDeleted)
			deleted := m.Usage().Deleted
			c.tell(m, behind, now)
			_, isThere := m.Get("t/a")
			assert.Equal(t, isThere, c.isThere)
			assert.Equal(t, m.Usage().Deleted, deleted)
		})
	}
}

// Copies that drop deleted items at different times hand them to each other in full updates. One that has
// dropped an item does not keep it for another period.
func TestForgottenDeletionsAreNotKeptAgain(t *testing.T) {
	m, other := mirror.New(nil), mirror.New(nil)
	load(m, t0, at(1, 2))
	churn(m, at(1, 2), "x", maxDeleted)
	other.Merge(m.ChangesSince(mirror.Position{}), t0, t0)
	churn(m, m.Position(), "y", 10)
	deleted := m.Usage().Deleted
	m.Merge(other.ChangesSince(mirror.Position{}), t0, t0)
	assert.Equal(t, m.Usage().Deleted, deleted)
}

// The store is restored from a copy that lists a target which has left so long ago that its deletion is not kept any
// more. It is not used until it renews its record, or the record has had the time to expire.
func TestRestoredStoreListsForgottenTarget(t *testing.T) {
	for _, renews := range []bool{true, false} {
		m := mirror.New(retentions)
		load(m, t0, at(1, 2), event("t/a", "ready", 1, 2))
		m.Apply([]mirror.Event{deletion("t/a", 1, 3)}, at(1, 3), t0)
		churn(m, at(1, 3), "x", 2*maxDeleted)
		out := load(m, t0, at(2, 4), event("t/a", "ready", 2, 2))
		assert.Equal(t, len(out), 0, "%v", out)
		assert.Equal(t, len(m.Tick(t0.Add(5*time.Second))), 0)
		if renews {
			assert.Equal(t, len(m.Apply([]mirror.Event{event("t/a", "ready", 2, 5)}, at(2, 5), t0)), 1)
		} else {
			assert.DeepEqual(t, m.Tick(t0.Add(6*time.Second)), []mirror.Event{event("t/a", "ready", 2, 2)})
		}
	}
}

// Another daemon has not heard that a target left, and retains it after a restoration of the store.
func TestRecallDoesNotBringBackAForgottenTarget(t *testing.T) {
	m, behind := mirror.New(retentions), mirror.New(retentions)
	for _, d := range []*mirror.Mirror{m, behind} {
		load(d, t0, at(1, 2), event("t/a", "ready", 1, 2))
	}
	m.Apply([]mirror.Event{deletion("t/a", 1, 3)}, at(1, 3), t0)
	churn(m, at(1, 3), "x", 2*maxDeleted)
	for _, d := range []*mirror.Mirror{m, behind} {
		load(d, t0, at(2, 4))
	}
	assert.DeepEqual(t, keys(behind.Retained()), []string{"t/a"})
	assert.Equal(t, len(m.Recall(behind.Retained(), t0)), 0)
}

// After a restoration more targets are missing than deletions are kept. Each remains in force for its period.
func TestMissingTargetsAreRetainedBeyondTheDeletionsThatAreKept(t *testing.T) {
	const targets = maxDeleted + 2000
	m := mirror.New(retentions)
	var items []mirror.Event
	for i := range targets {
		items = append(items, event(fmt.Sprint("t/", i), "ready", 1, mirror.Revision(i+1)))
	}
	load(m, t0, at(1, targets), items...)
	assert.Equal(t, len(load(m, t0, at(2, 4))), 0)
	assert.Equal(t, len(m.Tick(t0.Add(time.Second))), 0)
	out := m.Tick(t0.Add(2 * time.Second))
	assert.Equal(t, len(out), targets)
	for _, e := range out {
		assert.Assert(t, e.Deleted && e.Key != "")
	}
	load(m, t0, at(2, 5))
	assert.Check(t, m.Usage().Deleted <= maxDeleted, "%+v", m.Usage())
}

// The store has dropped its history, and a daemon reads it in full. Another one, which was further before, follows
// it and knows an item that came and left in between, of which the first one has never heard. So does a third one
// that follows the second.
func TestItemThatLeftBeforeACompleteReadIsRemovedAtFollowers(t *testing.T) {
	for _, era := range []mirror.Era{0, 1} {
		reader, second, third := mirror.New(retentions), mirror.New(retentions), mirror.New(retentions)
		for _, d := range []*mirror.Mirror{reader, second, third} {
			load(d, t0, at(era, 10), event("t/b", "ready", era, 5))
		}
		third.Apply([]mirror.Event{event("t/a", "ready", era, 12)}, at(era, 12), t0)
		load(reader, t0, at(era, 20), event("t/b", "ready", era, 5))
		second.Merge(reader.ChangesSince(second.Position()), t0, t0)
		third.Merge(second.ChangesSince(third.Position()), t0, t0)
		_, ok := third.Get("t/a")
		assert.Check(t, !ok, "era %d: a target that left is in use", era)
	}
}

// As above with a daemon that has just started, of a store in its first era.
func TestItemThatLeftBeforeAFirstReadIsRemovedAtFollowers(t *testing.T) {
	started, follower := mirror.New(retentions), mirror.New(retentions)
	load(follower, t0, at(0, 10), event("t/b", "ready", 0, 5))
	follower.Apply([]mirror.Event{event("t/a", "ready", 0, 12)}, at(0, 12), t0)
	load(started, t0, at(0, 20), event("t/b", "ready", 0, 5))
	follower.Merge(started.ChangesSince(follower.Position()), t0, t0)
	_, ok := follower.Get("t/a")
	assert.Check(t, !ok, "a target that left is in use")
}
