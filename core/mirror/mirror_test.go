package mirror_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthturn/core/mirror"
)

var t0 = time.Unix(1_000_000, 0)

func at(era mirror.Era, rev mirror.Revision) mirror.Position {
	return mirror.Position{Era: era, Revision: rev}
}

func put(key string, rev mirror.Revision) mirror.Event {
	return mirror.Event{Key: key, Value: []byte{byte(rev)}, Revision: rev}
}

// A full read that began before a write must not overwrite a newer item that a watch
// returned in the meantime.
func TestLoadKeepsNewerItems(t *testing.T) {
	m := mirror.New(nil)
	m.Apply([]mirror.Event{put("t/a", 9)}, at(0, 9), t0)
	m.Load(mirror.Snapshot{Prefix: "t/", Items: []mirror.Event{put("t/a", 5), put("t/b", 6)}, At: at(0, 7)}, t0, t0)
	a, ok := m.Get("t/a")
	assert.Assert(t, ok)
	assert.Equal(t, a.Revision, mirror.Revision(9))
	m.Load(mirror.Snapshot{Prefix: "t/", Items: []mirror.Event{put("t/b", 6)}, At: at(0, 12)}, t0, t0)
	_, ok = m.Get("t/a")
	assert.Assert(t, !ok, "an item that a later full read lacks must be deleted")
}

func TestDeletedStaysDeleted(t *testing.T) {
	m := mirror.New(nil)
	m.Apply([]mirror.Event{put("k", 3)}, at(0, 3), t0)
	m.Apply([]mirror.Event{{Key: "k", Revision: 5, Deleted: true}}, at(0, 5), t0)
	assert.Equal(t, len(m.Apply([]mirror.Event{put("k", 3), put("k", 4)}, at(0, 5), t0)), 0)
	_, ok := m.Get("k")
	assert.Assert(t, !ok)
	assert.Equal(t, len(m.Apply([]mirror.Event{put("k", 6)}, at(0, 6), t0)), 1)
}

// A copy that has received any part of the changes must equal another copy once it has
// applied that copy's changes since its own revision, also after the log was truncated.
func TestSinceMakesCopiesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := mirror.New(nil), mirror.New(nil)
		n := rapid.IntRange(1, 9000).Draw(t, "changes")
		received := mirror.Revision(rapid.IntRange(0, n).Draw(t, "heard"))
		for i := 1; i <= n; i++ {
			e := put(string(rune('a'+i%7)), mirror.Revision(i))
			e.Deleted = i%11 == 0
			a.Apply([]mirror.Event{e}, e.Position(), t0)
			if e.Revision <= received {
				b.Apply([]mirror.Event{e}, e.Position(), t0)
			}
		}
		b.Merge(a.ChangesSince(b.Position()), t0, t0)
		assert.Equal(t, b.Position(), a.Position())
		assert.DeepEqual(t, b.WithPrefix(""), a.WithPrefix(""))
	})
}
