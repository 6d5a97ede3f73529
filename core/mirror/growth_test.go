package mirror_test

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/core/mirror"
	"amaranthturn/internal/liveheap"
)

// Guards against review/8 (LOST): a copy kept the value of each change, so 300 changes of a large
// configuration filled the memory of an entry and of an agent.
func TestChangesOfAnItemHoldOneValue(t *testing.T) {
	const size, changes, maxHeld = 1 << 20, 300, 3 << 20
	m, follower := mirror.New(nil), mirror.New(nil)
	before := liveheap.Bytes()
	for i := range changes {
		rev := mirror.Revision(i + 1)
		e := mirror.Event{Key: "op/c", Value: bytes.Repeat([]byte{byte(i)}, size), Revision: rev}
		m.Apply([]mirror.Event{e}, e.Position(), t0)
		if i%50 == 0 {
			follower.Merge(m.ChangesSince(follower.Position()), t0, t0)
		}
	}
	held := liveheap.Bytes() - before
	assert.Check(t, held <= maxHeld, "%d bytes are held for an item of %d", held, size)
	u := m.Usage()
	assert.Check(t, u.ItemBytes+u.DeletedBytes+u.SupersededBytes <= 2*size, "%+v", u)
	assert.Equal(t, len(follower.WithPrefix("")), 1)
}

// newMirrorOfVersions returns an empty copy of items of which states beginning with "bad" are not
// usable, nor are deletions.
func newMirrorOfVersions() *mirror.Mirror {
	return mirror.New(map[string]mirror.Retention{"op/": {
		Compare:  retentions["op/"].Compare,
		IsUsable: func(e mirror.Event) bool { return !e.Deleted && !bytes.HasPrefix(e.Value, []byte("bad")) },
	}})
}

// A copy that lags behind receives the last usable state also if a later one is not usable, in the order
// in which they were written, and no other states.
func TestLaggingCopyReceivesTheLastUsableState(t *testing.T) {
	for name, c := range map[string]struct{ written, received []string }{
		"usable":               {[]string{"v2", "v3"}, []string{"v3"}},
		"not usable":           {[]string{"v2", "v3", "bad4"}, []string{"v3", "bad4"}},
		"several not usable":   {[]string{"v2", "bad3", "bad4", "bad5"}, []string{"v2", "bad5"}},
		"usable again":         {[]string{"v2", "bad3", "v4"}, []string{"v4"}},
		"nothing usable since": {[]string{"bad2", "bad3"}, []string{"bad3"}},
		"deleted":              {[]string{"v2", ""}, []string{"v2", ""}},
	} {
		t.Run(name, func(t *testing.T) {
			m, lagging := newMirrorOfVersions(), newMirrorOfVersions()
			for _, d := range []*mirror.Mirror{m, lagging} {
				load(d, t0, at(1, 3), event("op/c", "v1", 1, 3))
			}
			for i, value := range c.written {
				e := event("op/c", value, 1, mirror.Revision(4+i))
				e.Deleted = value == ""
				m.Apply([]mirror.Event{e}, e.Position(), t0)
			}
			u := m.ChangesSince(lagging.Position())
			assert.Assert(t, !u.Full)
			var received []string
			for _, e := range u.Events {
				value := string(e.Value)
				if e.Deleted {
					value = ""
				}
				received = append(received, value)
			}
			assert.DeepEqual(t, received, c.received)
			lagging.Merge(u, t0, t0)
			assert.DeepEqual(t, lagging.ChangesSince(at(1, 3)), u)
			started := newMirrorOfVersions()
			started.Merge(m.ChangesSince(started.Position()), t0, t0)
			assert.Equal(t, fmt.Sprint(started.WithPrefix("")), fmt.Sprint(m.WithPrefix("")))
			assert.Equal(t, started.Usage(), m.Usage())
		})
	}
}
