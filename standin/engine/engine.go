// Package engine is the stand-in of a model engine: it batches up to a capacity,
// serves by priority, caches prompt prefixes in limited memory, holds one version
// or two, and checks fencing numbers or not.
//
// # Usage
//
//	e := engine.New(engine.Settings{Instance: "runner-1", Capacity: 8}, rec, known)
//	http.Serve(l, e.Handler())
//
// Tokens are computed from the hash of the weights that were loaded, so that an
// answer by partial weights or by two versions shows.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthturn/core/fleet"
	"amaranthturn/io/engine"
	"amaranthturn/standin/record"
	"amaranthturn/standin/weights"
)

// CrashMarker in a request makes the engine that runs it die.
const CrashMarker = "CRASH-THE-ENGINE"

// prefixBytes and prefixCache size the prefix cache.
const (
	prefixBytes = 512
	prefixCache = 64
)

// Settings describe one engine.
type Settings struct {
	Instance   fleet.InstanceID
	Capacity   int
	TwoSlots   bool
	RefusesOld bool
	FirstToken time.Duration // without a cached prefix; a quarter with one
	TokenGap   time.Duration
	LoadTime   time.Duration
	Restart    time.Duration // from a crash until the engine is up again
	EventLag   time.Duration
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	set     Settings
	rec     *record.Record
	known   func() map[fleet.Version]string
	mu      sync.Mutex // guards all below
	boot    uint64
	fence   uint64
	role    string
	models  map[string]*model
	running int
	waiting [3]int
	turn    *sync.Cond
	prefix  map[uint64]time.Time
	events  []event
	seq     uint64
	downTil time.Time
	die     context.CancelFunc
	life    context.Context
	kv      map[string][]byte
}

type model struct {
	loaded  map[fleet.Version]string // content of the weights
	order   []fleet.Version
	serving fleet.Version
}

type event struct {
	engine.CacheEvent
	at time.Time
}

// New returns an engine without a version. known returns the content of every
// published version.
func New(set Settings, rec *record.Record, known func() map[fleet.Version]string) *Engine {
	e := &Engine{
		set: set, rec: rec, known: known, boot: uint64(time.Now().UnixNano()), role: "mixed",
		models: map[string]*model{}, prefix: map[uint64]time.Time{}, kv: map[string][]byte{},
	}
	e.turn = sync.NewCond(&e.mu)
	e.life, e.die = context.WithCancel(context.Background())
	return e
}

// Crash makes the engine die and come back empty.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	e.die()
	e.life, e.die = context.WithCancel(context.Background())
	e.boot++
	e.models = map[string]*model{}
	e.prefix = map[uint64]time.Time{}
	e.fence = 0
	e.downTil = time.Now().Add(e.set.Restart)
	e.turn.Broadcast()
}

// Handler serves the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/state", e.state)
	mux.HandleFunc("GET /admin/events", e.cacheEvents)
	mux.HandleFunc("PUT /admin/versions/{version}", e.ordered(e.load))
	mux.HandleFunc("POST /admin/versions/{version}/activate", e.ordered(e.activate))
	mux.HandleFunc("DELETE /admin/versions/{version}", e.ordered(e.unload))
	mux.HandleFunc("PUT /admin/adapters/{name}", e.ordered(e.adapter))
	mux.HandleFunc("POST /admin/role/{role}", e.ordered(e.setRole))
	mux.HandleFunc("GET /admin/cache/{version}/{prefix}", e.exportCache)
	mux.HandleFunc("PUT /admin/cache/{version}/{prefix}", e.importCache)
	mux.HandleFunc("POST /v1/chat/completions", e.generate)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.isDown() {
			abort()
		}
		mux.ServeHTTP(w, r)
	})
}

// abort ends the connection without an answer, as a dead process would.
func abort() { panic(http.ErrAbortHandler) }

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downTil)
}

// ordered checks the fencing number and the expiry of an order, where this engine
// does.
func (e *Engine) ordered(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n, _ := strconv.ParseUint(r.Header.Get(engine.HeaderFence), 10, 64)
		e.mu.Lock()
		seen := e.fence
		e.fence = max(e.fence, n)
		e.mu.Unlock()
		if e.set.RefusesOld && n < seen {
			http.Error(w, strconv.FormatUint(seen, 10), http.StatusConflict)
			return
		}
		if t, err := time.Parse(time.RFC3339Nano, r.Header.Get(engine.HeaderExpires)); err == nil && e.set.RefusesOld && time.Now().After(t) {
			http.Error(w, "order expired", http.StatusGone)
			return
		}
		next(w, r)
	}
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	st := engine.State{
		Boot: e.boot, Fence: e.fence, Role: e.role, TwoSlots: e.set.TwoSlots, RefusesOld: e.set.RefusesOld, CanResume: true,
		Running: e.running, Queued: e.waiting[0] + e.waiting[1] + e.waiting[2], Capacity: e.set.Capacity,
		CacheUsed: float64(len(e.prefix)) / prefixCache,
	}
	for name, m := range e.models {
		em := engine.Model{Name: name, Serving: string(m.serving)}
		for _, v := range m.order {
			em.Loaded = append(em.Loaded, string(v))
		}
		st.Models = append(st.Models, em)
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(st)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	out := []engine.CacheEvent{}
	e.mu.Lock()
	for _, ev := range e.events {
		if ev.Sequence > after && time.Since(ev.at) > e.set.EventLag {
			out = append(out, ev.CacheEvent)
		}
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(out)
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	v := fleet.Version(r.PathValue("version"))
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	content := weights.ContentOf(data)
	if e.known()[v] != content {
		e.rec.BadWeights()
	}
	time.Sleep(e.set.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.model(r.URL.Query().Get("model"))
	slots := 1
	if e.set.TwoSlots {
		slots = 2
	}
	if _, ok := m.loaded[v]; !ok && len(m.loaded) >= slots {
		http.Error(w, "no memory for another version", http.StatusInsufficientStorage)
		return
	}
	if _, ok := m.loaded[v]; !ok {
		m.order = append(m.order, v)
	}
	m.loaded[v] = content
}

func (e *Engine) model(name string) *model {
	m, ok := e.models[name]
	if !ok {
		m = &model{loaded: map[fleet.Version]string{}}
		e.models[name] = m
	}
	return m
}

func (e *Engine) activate(w http.ResponseWriter, r *http.Request) {
	v := fleet.Version(r.PathValue("version"))
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.model(r.URL.Query().Get("model"))
	if _, ok := m.loaded[v]; !ok {
		http.Error(w, "not loaded", http.StatusNotFound)
		return
	}
	m.serving = v
	e.rec.Serves(record.Serving{Instance: e.set.Instance, Version: v, At: time.Now()})
}

func (e *Engine) unload(_ http.ResponseWriter, r *http.Request) {
	v := fleet.Version(r.PathValue("version"))
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.model(r.URL.Query().Get("model"))
	delete(m.loaded, v)
	kept := m.order[:0]
	for _, o := range m.order {
		if o != v {
			kept = append(kept, o)
		}
	}
	m.order = kept
	if m.serving == v {
		m.serving = ""
	}
}

func (e *Engine) adapter(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }

func (e *Engine) setRole(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.role = r.PathValue("role")
}

func (e *Engine) exportCache(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	data, ok := e.kv[r.URL.Path]
	e.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (e *Engine) importCache(_ http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kv[r.URL.Path] = data
}

type chat struct {
	Model     string `json:"model"`
	MaxTokens int    `json:"max_tokens"`
}

// defaultTokens is the length of an answer that names no bound.
const defaultTokens = 16

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var c chat
	if err != nil || json.Unmarshal(body, &c) != nil {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return
	}
	n := c.MaxTokens
	if n <= 0 {
		n = defaultTokens
	}
	content, life, ok := e.enter(w, r, c.Model)
	if !ok {
		return
	}
	defer e.leave()
	e.rec.Ran(r.Header.Get("X-Request-Id"))
	if strings.Contains(string(body), CrashMarker) {
		time.Sleep(e.set.TokenGap)
		e.Crash()
		abort()
	}
	if !pause(r.Context(), life, e.firstToken(body)) {
		e.cut(r, life)
	}
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	for i := from; i < n; i++ {
		t := engine.Token{Index: i, Text: weights.Token(content, body, i), Done: i == n-1}
		if t.Done {
			t.Finish = "stop"
		}
		data, _ := json.Marshal(t)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		if !t.Done && !pause(r.Context(), life, e.set.TokenGap) {
			e.cut(r, life)
			return
		}
	}
}

// cut ends a generation whose caller is gone, or whose engine died.
func (e *Engine) cut(_ *http.Request, life context.Context) {
	if life.Err() != nil {
		abort()
	}
	if e.rec.IsStopping(string(e.set.Instance)) {
		e.rec.Cut()
	}
	abort()
}

func pause(a, b context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-a.Done():
		return false
	case <-b.Done():
		return false
	case <-t.C:
		return true
	}
}

// enter waits for a place in the batch, the most urgent first.
func (e *Engine) enter(w http.ResponseWriter, r *http.Request, name string) (string, context.Context, bool) {
	v := fleet.Version(r.Header.Get(engine.HeaderVersion))
	prio, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	prio = min(max(prio, 0), 2)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting[prio]++
	for e.running >= e.set.Capacity || e.urgent(prio) {
		e.turn.Wait()
	}
	e.waiting[prio]--
	e.turn.Broadcast()
	content, ok := e.model(name).loaded[v]
	if !ok {
		w.WriteHeader(http.StatusGone)
		return "", nil, false
	}
	e.running++
	return content, e.life, true
}

// urgent tells whether a more urgent request waits.
func (e *Engine) urgent(prio int) bool {
	for p := range prio {
		if e.waiting[p] > 0 {
			return true
		}
	}
	return false
}

func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.turn.Broadcast()
}

// firstToken returns the time of the first token and caches the prefix.
func (e *Engine) firstToken(body []byte) time.Duration {
	h := xxhash.Sum64(body[:min(len(body), prefixBytes)])
	e.mu.Lock()
	defer e.mu.Unlock()
	_, hit := e.prefix[h]
	e.prefix[h] = time.Now()
	if hit {
		return e.set.FirstToken / 4
	}
	e.note(h, true)
	if len(e.prefix) > prefixCache {
		e.evict()
	}
	return e.set.FirstToken
}

func (e *Engine) evict() {
	var oldest uint64
	at := time.Now()
	for h, t := range e.prefix {
		if t.Before(at) {
			oldest, at = h, t
		}
	}
	delete(e.prefix, oldest)
	e.note(oldest, false)
}

// maxEvents bounds the kept cache events; older ones are lost, as in engines.
const maxEvents = 256

func (e *Engine) note(h uint64, stored bool) {
	e.seq++
	e.events = append(e.events, event{engine.CacheEvent{Sequence: e.seq, Prefix: h, Stored: stored}, time.Now()})
	e.events = e.events[max(0, len(e.events)-maxEvents):]
}
