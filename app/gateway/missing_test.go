package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	"amaranthturn/core/gossip"
	"amaranthturn/core/mirror"
	"amaranthturn/core/roster"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

// storeItem is an item of the store in a response.
type storeItem struct {
	Key       string
	Value     []byte
	Revision  uint64
	Tombstone bool
}

// storeStub is the store. It answers at the end of a watch's wait, or at once if there are changes.
type storeStub struct {
	clock *fakeClock
	isUp  bool
	at    uint64
	log   []storeItem
	// entries run while time passes. Unless they are apart, they exchange.
	entries     []*testEntry
	isApart     bool
	exchangedAt time.Time
}

// advance lets time pass.
func (s *storeStub) advance(d time.Duration) {
	for end := s.clock.t.Add(d); s.clock.t.Before(end); {
		s.clock.t = earliest(end, s.clock.t.Add(tickInterval))
		for _, e := range s.entries {
			e.tick()
		}
		if s.isApart || s.clock.t.Sub(s.exchangedAt) < exchangeInterval {
			continue
		}
		s.exchangedAt = s.clock.t
		for i, e := range s.entries {
			e.mergeFrom(s.entries[(i+1)%len(s.entries)].Gateway, s.clock.t)
		}
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// write writes or deletes the record of a target.
func (s *storeStub) write(id string, deleted bool) {
	s.at++
	item := storeItem{Key: platform.TargetKeys + id, Revision: s.at, Tombstone: deleted}
	if !deleted {
		item.Value = targetEvent(id, "ready", 1, 0, mirror.Revision(s.at)).Value
	}
	s.log = append(s.log, item)
}

// storeAccess is one entry's access to the store.
type storeAccess struct {
	store *storeStub
	isCut bool
}

// RoundTrip implements http.RoundTripper.
func (a *storeAccess) RoundTrip(r *http.Request) (*http.Response, error) {
	s := a.store
	if !s.isUp || a.isCut {
		return nil, errors.New("connection reset")
	}
	s.advance(5 * time.Millisecond)
	after, _ := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64) // absent in a full read
	var items []storeItem
	for _, item := range s.log {
		if item.Revision > after && strings.HasPrefix(item.Key, r.URL.Query().Get("Prefix")) {
			items = append(items, item)
		}
	}
	if wait, err := strconv.Atoi(r.URL.Query().Get("WaitMs")); err == nil && len(items) == 0 {
		s.advance(time.Duration(wait) * time.Millisecond)
	}
	body, err := json.Marshal(map[string]any{"At": s.at, "Items": items, "events": items})
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(string(body)))}, nil
}

// testEntry is an entry whose steps a test takes one by one.
type testEntry struct {
	*Gateway
	t      *testing.T
	reader *storeReader
	access *storeAccess
}

func newTestEntry(t *testing.T, name fleet.InstanceID, s *storeStub) *testEntry {
	g, _ := newTestGateway(t)
	g.clock, g.settings.Instance = s.clock, name
	g.entryList = gossip.New(gossip.DefaultSettings, gossip.Record{Instance: name, Incarnation: 1, Region: "r", Zone: "z", Address: string(name)})
	access := &storeAccess{store: s}
	g.store = platform.NewStore("store", &http.Client{Transport: access})
	e := &testEntry{Gateway: g, t: t, reader: &storeReader{g: g}, access: access}
	s.entries = append(s.entries, e)
	return e
}

// read reads the store once, as the loop does.
func (e *testEntry) read() error {
	err := e.reader.read(e.t.Context())
	e.recordStoreResult(err)
	return err
}

// readIfDue reads if the entry has to.
func (e *testEntry) readIfDue() {
	if e.shouldReadStore() {
		assert.NilError(e.t, e.read())
	} else {
		e.access.store.advance(readCheckInterval)
	}
}

var errTold = errors.New("told")

// follow applies what another entry tells those that follow it.
func (e *testEntry) follow(other *testEntry) {
	e.mu.Lock()
	at := e.mirror.Position()
	e.mu.Unlock()
	err := other.Follow(e.t.Context(), at, time.Second, func(u peer.StoreChanges) error {
		e.handleStoreUpdate(u, e.now(), false)
		return errTold
	})
	assert.Assert(e.t, errors.Is(err, errTold) || errors.Is(err, context.Canceled))
}

func (e *testEntry) usable() int {
	e.tick()
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.roster.Usable("s"))
}

// newReaderAndFollower returns an entry that reads the store for another one, which know the targets
// a and b for some seconds.
func newReaderAndFollower(t *testing.T) (s *storeStub, reader, follower *testEntry) {
	s = &storeStub{clock: &fakeClock{time.Unix(1_000_000, 0)}, isUp: true}
	s.write("a", false)
	s.write("b", false)
	reader, follower = newTestEntry(t, "e1", s), newTestEntry(t, "e2", s)
	assert.NilError(t, reader.read())
	assert.NilError(t, follower.read())
	s.advance(exchangeInterval)
	if follower.entryList.IsReader(s.clock.t) {
		reader, follower = follower, reader
	}
	for range 5 {
		assert.NilError(t, reader.read())
		follower.follow(reader)
	}
	assert.Equal(t, follower.usable(), 2)
	return s, reader, follower
}

// The entry that reads for others is cut off from the store, which is there. A target that leaves is
// taken for one whose record has expired, and used on.
func TestTargetLeavesWhileReaderIsCutOff(t *testing.T) {
	s, reader, follower := newReaderAndFollower(t)
	reader.access.isCut = true
	assert.Assert(t, reader.read() != nil)
	follower.follow(reader)
	for left, id := range []string{"a", "b"} {
		s.advance(300 * time.Millisecond)
		leftAt := s.clock.t
		s.write(id, true)
		for follower.mirror.Position().Revision < mirror.Revision(s.at) {
			follower.readIfDue()
			follower.follow(reader)
		}
		assert.Equal(t, follower.usable(), 1-left, "target %s is used after its removal", id)
		assert.Assert(t, s.clock.t.Sub(leftAt) < 1700*time.Millisecond, "%v", s.clock.t.Sub(leftAt))
		for range 2 {
			follower.readIfDue()
			follower.follow(reader)
		}
	}
}

// The twin: the store is away for all, and records expire. Their targets stay in use.
func TestRecordExpiresWhileStoreIsAway(t *testing.T) {
	s, reader, follower := newReaderAndFollower(t)
	s.isUp = false
	assert.Assert(t, reader.read() != nil)
	follower.follow(reader)
	s.advance(3 * time.Second)
	assert.Assert(t, follower.read() != nil)
	s.isUp = true
	s.write("a", true)
	s.write("b", true)
	returnedAt := s.clock.t
	follower.readIfDue()
	assert.Equal(t, follower.usable(), 2, "the records expired")
	assert.NilError(t, reader.read())
	follower.follow(reader)
	s.advance(returnedAt.Add(1900 * time.Millisecond).Sub(s.clock.t))
	assert.Equal(t, follower.usable(), 2)
	assert.Equal(t, reader.usable(), 2)
	s.write("a", false)
	assert.NilError(t, reader.read())
	follower.follow(reader)
	s.advance(2 * roster.DefaultSettings.ExpiryGrace)
	assert.Equal(t, follower.usable(), 1, "b is still missing")
	assert.Equal(t, reader.usable(), 1, "b is still missing")
}

// An entry that is cut off from the store and from the others learns of a removal late, and later still
// that others have read the store before it.
func TestRemovalIsRecognisedWhenOthersTellOfTheirReads(t *testing.T) {
	s, reader, follower := newReaderAndFollower(t)
	follower.access.isCut, s.isApart = true, true
	s.write("a", true)
	for range 4 {
		assert.NilError(t, reader.read())
	}
	assert.Assert(t, follower.read() != nil)
	update := peer.StoreChanges{Update: reader.mirror.ChangesSince(follower.mirror.Position())}
	follower.handleStoreUpdate(update, s.clock.t, false) // of an earlier version, which tells nothing of reads
	assert.Equal(t, follower.usable(), 2, "the record may have expired")
	follower.mergeFrom(reader.Gateway, s.clock.t)
	assert.Equal(t, follower.usable(), 1)
}
