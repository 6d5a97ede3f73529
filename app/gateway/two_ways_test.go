package gateway

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/clock"
	"amaranthturn/core/forward"
	"amaranthturn/core/mirror"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

// twoWays is an entry that receives documents from the store and through the copy of another entry,
// each of them late by any time, and requests that arrive and end meanwhile.
type twoWays struct {
	t        *testing.T
	random   *rand.Rand
	clock    *fakeClock
	reader   *Gateway // reads the store at once
	entry    *Gateway
	era      mirror.Era
	revision mirror.Revision
	item     mirror.Event // the newest configuration in the store
	older    mirror.Event // an earlier one, which a copy of the store has
	version  int
	restored bool

	storeReply *mirror.Update // of the read in progress
	isFullRead bool
	stream     []peer.StoreChanges // sent by the reader and not received
	streamAt   mirror.Position

	seen    uint64 // newest version that handled a request
	running map[*requestHandler]*allowedLimits
	counts  struct{ requests, documents, restorations int }
}

// allowedLimits are the least and the most time that a request may be allowed.
type allowedLimits struct{ least, most time.Duration }

// write stores a configuration with any timeout.
func (w *twoWays) write() {
	w.version += 1 + w.random.IntN(3)
	w.revision++
	w.older = w.item
	w.item = mirror.Event{Key: platform.ConfigKey, Era: w.era, Revision: w.revision, Value: fmt.Appendf(nil,
		`{"Version":%d,"Routes":[{"Name":"r","Host":"h","Prefix":"/","Kind":"streaming","TimeoutMs":%d,"Service":"s"}],"Services":[{"Name":"s"}]}`,
		w.version, 1000*(60+w.random.IntN(500)))}
	w.counts.documents++
	w.reader.mu.Lock()
	defer w.reader.mu.Unlock()
	w.reader.applyUpdate(mirror.Update{Events: []mirror.Event{w.item}, At: w.at(), EraBase: w.revision}, receipt{asOf: w.clock.t})
}

func (w *twoWays) at() mirror.Position { return mirror.Position{Era: w.era, Revision: w.revision} }

// restore restores the store from a copy that has an earlier configuration.
func (w *twoWays) restore() {
	if w.older.Key == "" {
		return
	}
	w.era++
	w.item = w.older
	w.item.Era = w.era
	w.revision = w.item.Revision
	w.restored = true
	w.counts.restorations++
	w.reader.loadStore(w.at(), w.clock.t, w.item)
}

// readStore begins a read of the store, which returns what is there now.
func (w *twoWays) readStore() {
	if w.storeReply != nil {
		return
	}
	w.entry.mu.Lock()
	after := w.entry.mirror.Position()
	w.entry.mu.Unlock()
	u := mirror.Update{At: w.at(), EraBase: w.revision}
	w.isFullRead = after.Era != w.era
	if w.isFullRead || w.item.Revision > after.Revision {
		u.Events = []mirror.Event{w.item}
	}
	w.storeReply = &u
}

// expect raises what the running requests may be allowed by the documents that an update brings, each
// of which may be in force until the next one of the same update.
func (w *twoWays) expect(events []mirror.Event) {
	inForce := w.entry.doc.Load().Version
	for _, e := range events {
		c, err := platform.Decode(e)
		assert.NilError(w.t, err)
		if c.Document == nil || c.Document.Version <= inForce {
			continue
		}
		inForce = c.Document.Version
		r, _ := c.Document.Match("h", "/x")
		for _, limits := range w.running {
			limits.most = max(limits.most, r.Timeout)
		}
	}
}

func (w *twoWays) receiveFromStore() {
	if w.storeReply == nil {
		return
	}
	u := *w.storeReply
	w.storeReply = nil
	w.expect(u.Events)
	if w.isFullRead {
		w.entry.loadStore(u.At, w.clock.t, u.Events...)
		return
	}
	w.entry.mu.Lock()
	defer w.entry.mu.Unlock()
	w.entry.applyUpdate(u, receipt{asOf: w.clock.t})
}

// sendCopy makes the reader send what its stream lacks.
func (w *twoWays) sendCopy() {
	w.reader.mu.Lock()
	defer w.reader.mu.Unlock()
	u := peer.StoreChanges{Update: w.reader.mirror.ChangesSince(w.streamAt), Retained: w.reader.mirror.Retained()}
	w.stream = append(w.stream, u)
	w.streamAt = u.At
}

func (w *twoWays) receiveCopy() {
	if len(w.stream) == 0 {
		return
	}
	u := w.stream[0]
	w.stream = w.stream[1:]
	w.expect(append(u.Events, u.Retained...))
	w.entry.handleStoreUpdate(u, w.clock.t, false)
}

// followAnew begins a new stream. What was under way in the earlier one is lost.
func (w *twoWays) followAnew() {
	w.entry.mu.Lock()
	defer w.entry.mu.Unlock()
	w.stream, w.streamAt = nil, w.entry.mirror.Position()
}

func (w *twoWays) arrive() {
	h := &requestHandler{g: w.entry, call: &forward.Call{ID: "a1", Host: "h", Path: "/x"}, startedAt: w.clock.t}
	refusal := h.prepare()
	assert.Assert(w.t, refusal == nil, "refused: %+v", refusal)
	assert.Assert(w.t, h.configVersion >= w.seen, "version %d after %d", h.configVersion, w.seen)
	w.seen = h.configVersion
	h.startDeadline(w.t.Context())
	w.running[h] = &allowedLimits{h.route.Timeout, h.route.Timeout}
	w.counts.requests++
}

func (w *twoWays) end() {
	for h := range w.running {
		h.endDeadline()
		delete(w.running, h)
		return
	}
}

// check compares the deadlines of the running requests with what they are allowed, and the version in force with those that handled requests.
func (w *twoWays) check() {
	doc := w.entry.doc.Load()
	assert.Assert(w.t, doc.Version >= w.seen)
	r, _ := doc.Match("h", "/x")
	for h, limits := range w.running {
		limits.least = max(limits.least, r.Timeout)
		got := h.deadline.Time().Sub(h.startedAt)
		assert.Assert(w.t, limits.least <= got && got <= limits.most, "%v, allowed %+v", got, *limits)
	}
}

// Documents arrive through the copy of another entry and from the store, each late and in any order,
// also across restorations of the store. No request may be handled by an older document than an
// earlier request was, or be refused, and each keeps the longest time that it was allowed.
func TestDocumentsThroughTwoWaysDoNotGoBack(t *testing.T) {
	var total struct{ requests, documents, restorations int }
	for seed := range uint64(150) {
		w := &twoWays{t: t, random: rand.New(rand.NewPCG(seed, 40)), era: 1, running: map[*requestHandler]*allowedLimits{}}
		w.entry, w.clock = newTestGateway(t)
		w.reader, _ = newTestGateway(t)
		w.reader.clock = w.clock
		w.reader.loadStore(w.at(), w.clock.t)
		w.write()
		w.entry.loadStore(w.at(), w.clock.t, w.item)
		steps := []func(){
			w.write, w.write, w.readStore, w.readStore, w.receiveFromStore, w.receiveFromStore, w.sendCopy, w.sendCopy, w.receiveCopy, w.receiveCopy,
			w.followAnew, w.arrive, w.arrive, w.arrive, w.end, w.end,
		}
		for range 300 {
			w.clock.t = w.clock.t.Add(time.Duration(w.random.IntN(100)) * time.Millisecond)
			if w.random.IntN(150) == 0 {
				w.restore()
			}
			steps[w.random.IntN(len(steps))]()
			w.check()
		}
		w.receiveFromStore()
		w.readStore()
		w.receiveFromStore()
		w.check()
		if !w.restored {
			assert.Equal(t, w.entry.doc.Load().Version, uint64(w.version))
		}
		for len(w.running) > 0 {
			w.end()
		}
		assert.Equal(t, len(w.entry.inProgress), 0)
		total.requests += w.counts.requests
		total.documents += w.counts.documents
		total.restorations += w.counts.restorations
	}
	t.Logf("%+v", total)
}

// The same with all of them at once.
func TestDocumentsThroughTwoWaysAtOnce(t *testing.T) {
	g, _ := newTestGateway(t)
	g.clock = clock.System{}
	const versions = 400
	event := func(v int) mirror.Event {
		return mirror.Event{Key: platform.ConfigKey, Era: 1, Revision: mirror.Revision(v), Value: fmt.Appendf(nil,
			`{"Version":%d,"Routes":[{"Name":"r","Host":"h","Prefix":"/","TimeoutMs":%d,"Service":"s"}],"Services":[{"Name":"s"}]}`, v, 60_000+1000*(v*7919%300))}
	}
	g.loadStore(mirror.Position{Era: 1, Revision: 1}, g.now(), event(1))
	var ways, callers sync.WaitGroup
	done := make(chan struct{})
	for way := range 2 {
		ways.Go(func() {
			random := rand.New(rand.NewPCG(uint64(way), 41))
			for v := 2; v <= versions; v += 1 + random.IntN(3) {
				u := peer.StoreChanges{Update: mirror.Update{Events: []mirror.Event{event(v)}, At: mirror.Position{Era: 1, Revision: mirror.Revision(v)}}}
				g.handleStoreUpdate(u, g.now(), false)
				time.Sleep(time.Duration(random.IntN(300)) * time.Microsecond)
			}
		})
	}
	for range 6 {
		callers.Go(func() {
			for last := uint64(0); ; {
				select {
				case <-done:
					return
				default:
				}
				h := &requestHandler{g: g, call: &forward.Call{ID: "a1", Host: "h", Path: "/x"}, startedAt: g.now()}
				if refusal := h.prepare(); refusal != nil {
					t.Errorf("refused: %+v", refusal)
					return
				}
				ctx := h.startDeadline(t.Context())
				if h.configVersion < last || ctx.Err() != nil || h.deadline.Time().Sub(h.startedAt) < h.route.Timeout {
					t.Errorf("version %d after %d, %v, %v", h.configVersion, last, ctx.Err(), h.deadline.Time().Sub(h.startedAt))
				}
				last = h.configVersion
				h.endDeadline()
			}
		})
	}
	ways.Wait()
	close(done)
	callers.Wait()
	assert.Equal(t, len(g.inProgress), 0)
}
