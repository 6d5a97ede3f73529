package mirror

import (
	"cmp"
	"strings"
)

// maxDeletedItems is the number of deleted items that are kept, for daemons that lag behind and for
// comparison after a restoration. A daemon that lags further receives the full copy.
const maxDeletedItems = 4096

// treeDegree is that of the B-tree of changes, which has up to twice as many items in a node.
const treeDegree = 32

// change is the place of a state in the order in which the states were written.
type change struct {
	at  Position
	key string
}

func changeOf(e Event) change { return change{e.Position(), e.Key} }

func (c change) isBefore(d change) bool {
	return cmp.Or(c.at.Compare(d.at), strings.Compare(c.key, d.key)) < 0
}

// list records the state that is listed for an item. The one before it is kept as long as the listed
// one is not usable.
func (m *Mirror) list(e Event) {
	old, ok := m.items[e.Key]
	if ok {
		m.order.Delete(changeOf(old))
		if old.Deleted {
			m.deleted--
		}
	}
	if e.Deleted {
		m.deleted++
		if len(e.Value) == 0 {
			e.Value = m.summary(old)
		}
	}
	r, hasRetention := m.retention(e.Key)
	if isUsable := !hasRetention || r.IsUsable == nil || r.IsUsable(e); isUsable {
		m.dropUsable(e.Key)
	} else if _, isKept := m.usable[e.Key]; ok && !isKept && old.Position().Before(e.Position()) && r.IsUsable(old) {
		m.usable[e.Key] = old
		m.order.ReplaceOrInsert(changeOf(old))
	}
	m.items[e.Key] = e
	m.order.ReplaceOrInsert(changeOf(e))
}

// summary returns what is kept of an item's value once it is deleted.
func (m *Mirror) summary(last Event) []byte {
	r, ok := m.retention(last.Key)
	if last.Deleted || !ok || r.Summary == nil {
		return last.Value
	}
	return r.Summary(last)
}

// forgetDeleted drops the items that were deleted first if there are too many. Those of which an
// earlier state is still retained are needed.
func (m *Mirror) forgetDeleted() {
	if m.deleted <= maxDeletedItems {
		return
	}
	excess := m.deleted - maxDeletedItems*3/4 // a quarter at once, since the scan passes all items that are older
	var first []change
	m.order.Ascend(func(c change) bool {
		e := m.items[c.key]
		if _, isRetained := m.retained[c.key]; e.Deleted && e.Position() == c.at && !isRetained {
			first = append(first, c)
		}
		return len(first) < excess
	})
	for _, c := range first {
		m.dropUsable(c.key)
		m.order.Delete(c)
		delete(m.items, c.key)
		m.deleted--
		if m.forgotten.Before(c.at) {
			m.forgotten = c.at
		}
	}
}

// mayBeForgotten reports whether an item that is not known, and was in the given state, may be one that was
// deleted and is not kept any more.
func (m *Mirror) mayBeForgotten(e Event) bool {
	return m.forgotten != Position{} && !m.forgotten.Before(e.Position())
}

// forgottenState returns an earlier state of an item that is not known: that it was deleted, if that may have
// been forgotten. A complete read that is later shows that the item is there. What a restored store lists may be
// from before the deletion if its revision is.
func (m *Mirror) forgottenState(e Event, readAt Position) (Event, bool) {
	f := m.forgotten
	wasWrittenBefore := m.mayBeForgotten(e) && (e.Deleted || readAt.Before(f))
	isListedAgain := !e.Deleted && f.Era < e.Era && e.Revision <= f.Revision && !m.retainUntil(e).IsZero()
	return Event{Key: e.Key, Era: f.Era, Revision: f.Revision, Deleted: true}, wasWrittenBefore || isListedAgain
}

func (m *Mirror) dropUsable(key string) {
	if e, ok := m.usable[key]; ok {
		m.order.Delete(changeOf(e))
		delete(m.usable, key)
	}
}

// lastUsable returns the last usable state of the item whose listed state is given, or the listed
// one if there is none.
func (m *Mirror) lastUsable(listed Event) Event {
	if e, ok := m.usable[listed.Key]; ok {
		return e
	}
	return listed
}

// IsSuperseded reports whether a later state of the event's item is listed in the same era and can come
// in force, so that the event need not be looked at. It is only known of items whose states may be unusable.
func (m *Mirror) IsSuperseded(e Event) bool {
	r, ok := m.retention(e.Key)
	if !ok || r.IsUsable == nil {
		return false
	}
	last := m.lastUsable(m.items[e.Key])
	return e.Era == last.Era && e.Revision < last.Revision
}
