// Package engine implements the stand-in for a model engine. It batches requests up to a
// capacity, serves them by priority, caches prompt prefixes in limited memory, holds one
// or two versions at a time, and checks fencing numbers if configured to.
//
// # Usage
//
//	e := engine.New(engine.Settings{Instance: "runner-1", Capacity: 8}, rec, origin.ContentHashes)
//	http.Serve(l, e.Handler())
//
// Tokens are computed from the hash of the loaded weights, which makes a response
// generated from partial weights or from two versions detectable.
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

// CrashMarker in a request body makes the engine that runs the request crash.
const CrashMarker = "CRASH-THE-ENGINE"

// Limits of the prefix cache.
const (
	hashedPrefixBytes = 512 // length of the request prefix that is hashed as the cache key
	maxCachedPrefixes = 64
)

// Settings configure one engine.
type Settings struct {
	Instance             fleet.InstanceID
	Capacity             int
	TwoSlots             bool
	RefusesStaleCommands bool
	TimeToFirstToken     time.Duration // without a cached prefix; a quarter of it with one
	TokenGap             time.Duration
	LoadTime             time.Duration
	RestartTime          time.Duration // from a crash until the engine is available again
	EventDelay           time.Duration // from a cache event until it can be read
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	settings        Settings
	rec             *record.Record
	publishedHashes func() map[fleet.Version]string
	mu              sync.Mutex // guards all fields below
	boot            uint64     // incarnation of the engine process
	highestFence    uint64
	role            string
	models          map[string]*model
	running         int
	waiting         [3]int     // queued requests by priority
	queueChanged    *sync.Cond // signals a free slot or a change of waiting
	prefixUsedAt    map[uint64]time.Time
	events          []timedEvent
	lastSequence    uint64
	downUntil       time.Time
	cancelRun       context.CancelFunc
	runCtx          context.Context // done when the engine crashes
	kvCache         map[string][]byte
	shedding        shedding
}

type model struct {
	loaded    map[fleet.Version]string // content hash of the weights by version
	loadOrder []fleet.Version
	serving   fleet.Version
}

type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

// New returns an engine without a version. publishedHashes returns the content hash of
// every published version.
func New(settings Settings, rec *record.Record, publishedHashes func() map[fleet.Version]string) *Engine {
	e := &Engine{
		settings: settings, rec: rec, publishedHashes: publishedHashes, boot: uint64(time.Now().UnixNano()), role: "mixed",
		models: map[string]*model{}, prefixUsedAt: map[uint64]time.Time{}, kvCache: map[string][]byte{},
	}
	e.queueChanged = sync.NewCond(&e.mu)
	e.runCtx, e.cancelRun = context.WithCancel(context.Background())
	return e
}

// Crash makes the engine crash and restart without any loaded version.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	e.cancelRun()
	e.runCtx, e.cancelRun = context.WithCancel(context.Background())
	e.boot++
	e.models = map[string]*model{}
	e.prefixUsedAt = map[uint64]time.Time{}
	e.highestFence = 0
	e.downUntil = time.Now().Add(e.settings.RestartTime)
	e.queueChanged.Broadcast()
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/state", e.serveState)
	mux.HandleFunc("GET /admin/events", e.serveCacheEvents)
	mux.HandleFunc("PUT /admin/versions/{version}", e.checkFence(e.loadVersion))
	mux.HandleFunc("POST /admin/versions/{version}/activate", e.checkFence(e.activateVersion))
	mux.HandleFunc("DELETE /admin/versions/{version}", e.checkFence(e.unloadVersion))
	mux.HandleFunc("PUT /admin/adapters/{name}", e.checkFence(e.loadAdapter))
	mux.HandleFunc("POST /admin/role/{role}", e.checkFence(e.setRole))
	mux.HandleFunc("GET /admin/cache/{version}/{prefix}", e.exportCache)
	mux.HandleFunc("PUT /admin/cache/{version}/{prefix}", e.importCache)
	mux.HandleFunc("POST /v1/chat/completions", e.generate)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.isDown() {
			abortConnection()
		}
		mux.ServeHTTP(w, r)
	})
}

// abortConnection closes the connection without a response, as a crashed process does.
func abortConnection() { panic(http.ErrAbortHandler) }

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil)
}

// checkFence checks the fencing number and the expiry of an engine command if the engine
// is configured to.
func (e *Engine) checkFence(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fence, _ := strconv.ParseUint(r.Header.Get(engine.HeaderFence), 10, 64)
		e.mu.Lock()
		highestSeen := e.highestFence
		e.highestFence = max(e.highestFence, fence)
		e.mu.Unlock()
		if e.settings.RefusesStaleCommands && fence < highestSeen {
			http.Error(w, strconv.FormatUint(highestSeen, 10), http.StatusConflict)
			return
		}
		if expires, err := time.Parse(time.RFC3339Nano, r.Header.Get(engine.HeaderExpires)); err == nil && e.settings.RefusesStaleCommands && time.Now().After(expires) {
			http.Error(w, "order expired", http.StatusGone)
			return
		}
		next(w, r)
	}
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	st := engine.State{
		Boot: e.boot, Fence: e.highestFence, Role: e.role, TwoSlots: e.settings.TwoSlots, RefusesStaleCommands: e.settings.RefusesStaleCommands, CanResume: true,
		Running: e.running, Queued: e.waiting[0] + e.waiting[1] + e.waiting[2], Capacity: e.settings.Capacity,
		CacheUsed: float64(len(e.prefixUsedAt)) / maxCachedPrefixes,
	}
	for name, m := range e.models {
		em := engine.Model{Name: name, Serving: string(m.serving)}
		for _, v := range m.loadOrder {
			em.Loaded = append(em.Loaded, string(v))
		}
		st.Models = append(st.Models, em)
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(st)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	out := []engine.CacheEvent{}
	e.mu.Lock()
	for _, ev := range e.events {
		if ev.Sequence > after && time.Since(ev.at) > e.settings.EventDelay {
			out = append(out, ev.CacheEvent)
		}
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(out)
}

func (e *Engine) loadVersion(w http.ResponseWriter, r *http.Request) {
	v := fleet.Version(r.PathValue("version"))
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	contentHash := weights.HashOf(data)
	if e.publishedHashes()[v] != contentHash {
		e.rec.InvalidWeightsLoaded()
	}
	time.Sleep(e.settings.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.ensureModel(r.URL.Query().Get("model"))
	slots := 1
	if e.settings.TwoSlots {
		slots = 2
	}
	if _, ok := m.loaded[v]; !ok && len(m.loaded) >= slots {
		http.Error(w, "no memory for another version", http.StatusInsufficientStorage)
		return
	}
	if _, ok := m.loaded[v]; !ok {
		m.loadOrder = append(m.loadOrder, v)
	}
	m.loaded[v] = contentHash
}

func (e *Engine) ensureModel(name string) *model {
	m, ok := e.models[name]
	if !ok {
		m = &model{loaded: map[fleet.Version]string{}}
		e.models[name] = m
	}
	return m
}

func (e *Engine) activateVersion(w http.ResponseWriter, r *http.Request) {
	v := fleet.Version(r.PathValue("version"))
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.ensureModel(r.URL.Query().Get("model"))
	if _, ok := m.loaded[v]; !ok {
		http.Error(w, "not loaded", http.StatusNotFound)
		return
	}
	m.serving = v
	e.rec.ServingStarted(record.Serving{Instance: e.settings.Instance, Version: v, At: time.Now()})
}

func (e *Engine) unloadVersion(_ http.ResponseWriter, r *http.Request) {
	v := fleet.Version(r.PathValue("version"))
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.ensureModel(r.URL.Query().Get("model"))
	delete(m.loaded, v)
	remaining := m.loadOrder[:0]
	for _, o := range m.loadOrder {
		if o != v {
			remaining = append(remaining, o)
		}
	}
	m.loadOrder = remaining
	if m.serving == v {
		m.serving = ""
	}
}

func (e *Engine) loadAdapter(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
}

func (e *Engine) setRole(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.role = r.PathValue("role")
}

func (e *Engine) exportCache(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	data, ok := e.kvCache[r.URL.Path]
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
	e.kvCache[r.URL.Path] = data
}

type chatRequest struct {
	Model     string `json:"model"`
	MaxTokens int    `json:"max_tokens"`
}

// defaultMaxTokens is the number of tokens of a response when the request sets no maximum.
const defaultMaxTokens = 16

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var req chatRequest
	if err != nil || json.Unmarshal(body, &req) != nil {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return
	}
	n := req.MaxTokens
	if n <= 0 {
		n = defaultMaxTokens
	}
	if e.refuseToShed(w) {
		return
	}
	contentHash, runCtx, ok := e.acquireSlot(w, r, req.Model)
	if !ok {
		return
	}
	defer e.releaseSlot()
	e.rec.AttemptRan(r.Header.Get("X-Request-Id"))
	if strings.Contains(string(body), CrashMarker) {
		time.Sleep(e.settings.TokenGap)
		e.Crash()
		abortConnection()
	}
	if !sleep(r.Context(), runCtx, e.timeToFirstToken(body)) {
		e.abortGeneration(r, runCtx)
	}
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	for i := from; i < n; i++ {
		t := engine.Token{Index: i, Text: weights.Token(contentHash, body, i), Done: i == n-1}
		if t.Done {
			t.Finish = "stop"
		}
		data, _ := json.Marshal(t)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		if !t.Done && !sleep(r.Context(), runCtx, e.settings.TokenGap) {
			e.abortGeneration(r, runCtx)
			return
		}
	}
}

// abortGeneration aborts a generation after the caller disconnected or the engine
// crashed.
func (e *Engine) abortGeneration(_ *http.Request, runCtx context.Context) {
	if runCtx.Err() != nil {
		abortConnection()
	}
	if e.rec.IsStopping(string(e.settings.Instance)) {
		e.rec.RequestInterrupted()
	}
	abortConnection()
}

// sleep waits for d. It reports false when a or b is done first.
func sleep(a, b context.Context, d time.Duration) bool {
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

// acquireSlot waits for a free slot in the batch. Requests with a higher priority, which
// is a lower number, go first.
func (e *Engine) acquireSlot(w http.ResponseWriter, r *http.Request, name string) (string, context.Context, bool) {
	v := fleet.Version(r.Header.Get(engine.HeaderVersion))
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	priority = min(max(priority, 0), 2)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting[priority]++
	for e.running >= e.settings.Capacity || e.isHigherPriorityWaiting(priority) {
		e.queueChanged.Wait()
	}
	e.waiting[priority]--
	e.queueChanged.Broadcast()
	contentHash, ok := e.ensureModel(name).loaded[v]
	if !ok {
		w.WriteHeader(http.StatusGone)
		return "", nil, false
	}
	e.running++
	return contentHash, e.runCtx, true
}

// isHigherPriorityWaiting reports whether a request with a higher priority is queued.
func (e *Engine) isHigherPriorityWaiting(priority int) bool {
	for p := range priority {
		if e.waiting[p] > 0 {
			return true
		}
	}
	return false
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.queueChanged.Broadcast()
}

// timeToFirstToken returns the time until the first token and caches the prefix of body.
func (e *Engine) timeToFirstToken(body []byte) time.Duration {
	h := xxhash.Sum64(body[:min(len(body), hashedPrefixBytes)])
	e.mu.Lock()
	defer e.mu.Unlock()
	_, isCached := e.prefixUsedAt[h]
	e.prefixUsedAt[h] = time.Now()
	if isCached {
		return e.settings.TimeToFirstToken / 4
	}
	e.recordCacheEvent(h, true)
	if len(e.prefixUsedAt) > maxCachedPrefixes {
		e.evictOldestPrefix()
	}
	return e.settings.TimeToFirstToken
}

func (e *Engine) evictOldestPrefix() {
	var oldest uint64
	oldestUse := time.Now()
	for h, usedAt := range e.prefixUsedAt {
		if usedAt.Before(oldestUse) {
			oldest, oldestUse = h, usedAt
		}
	}
	delete(e.prefixUsedAt, oldest)
	e.recordCacheEvent(oldest, false)
}

// maxCacheEvents is the maximum number of cache events that are kept. Older ones are
// lost, as in real engines.
const maxCacheEvents = 256

func (e *Engine) recordCacheEvent(h uint64, stored bool) {
	e.lastSequence++
	e.events = append(e.events, timedEvent{engine.CacheEvent{Sequence: e.lastSequence, Prefix: h, Stored: stored}, time.Now()})
	e.events = e.events[max(0, len(e.events)-maxCacheEvents):]
}
