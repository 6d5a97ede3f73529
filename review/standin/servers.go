//go:build review

package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	modelName  = "m0"
	chunkCount = 64
	chunkBytes = 32768
	layerCount = 16
	heartbeat  = 1200 * time.Millisecond
)

// chunk returns the bytes of a piece of a version of the weights.
func chunk(version, index int) []byte {
	seed := sha256.Sum256([]byte(fmt.Sprintf("%d/%d", version, index)))
	return bytes.Repeat(seed[:], chunkBytes/len(seed))
}

// origin serves weights. Its link is shared by all answers.
type origin struct {
	mu     sync.Mutex // one answer at a time
	newest atomic.Int64
	rec    *record
	// spoil, if set, may change the body of an answer.
	spoil func(path string, body []byte) []byte
	// isDown lets the origin close each connection without an answer.
	isDown atomic.Bool
}

const originBytesPerSecond = 9.9e6 / 8

func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if o.isDown.Load() {
		panic(http.ErrAbortHandler)
	}
	version, err := strconv.Atoi(r.URL.Query().Get("Version"))
	if err != nil {
		version = int(o.newest.Load())
	}
	newest := int(o.newest.Load())
	if version > newest || version <= newest-2 {
		w.WriteHeader(http.StatusGone)
		return
	}
	var body []byte
	isManifest := strings.HasPrefix(r.URL.Path, names["manifest"])
	if isManifest {
		digests := []string{}
		for i := range chunkCount {
			sum := sha256.Sum256(chunk(version, i))
			digests = append(digests, hex.EncodeToString(sum[:]))
		}
		body, _ = json.Marshal(map[string]any{"Model": modelName, "Version": version, "ChunkBytes": chunkBytes, "layers": layerCount, "Digests": digests})
		w.Header().Set("Content-Type", "application/json")
	} else {
		index, _ := strconv.Atoi(r.URL.Query().Get("Quantity"))
		body = chunk(version, index)
	}
	spoilt := false
	if o.spoil != nil {
		changed := o.spoil(r.URL.Path, bytes.Clone(body))
		spoilt = !bytes.Equal(changed, body)
		body = changed
	}
	o.rec.add("origin answers %s of version %d, spoilt: %v", map[bool]string{true: "the digests", false: "a piece"}[isManifest], version, spoilt)
	o.mu.Lock()
	time.Sleep(time.Duration(float64(len(body)) / originBytesPerSecond * float64(time.Second)))
	o.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// modelRunner is a model runner.
type modelRunner struct {
	id, address string
	born        int64
	slots       int
	stageDelay  time.Duration // of each staging call
	firstDelay  time.Duration // until the first event
	keepsOn     bool          // does not drop a request whose connection is closed
	// begins, if set, is called when a request begins to run on a version.
	begins func(id string, version int)
	st     *store
	rec    *record
	// onStage, if set, is called with the number of pieces that have been staged since the start.
	onStage func(pieces int)

	mu       sync.Mutex // guards all fields below
	staged   map[int][]byte
	puts     int               // pieces that were staged since the start
	badSince map[int]time.Time // of the staged pieces that have turned bad
	spoilt   bool              // the layers were taken with a piece that had been bad for over rotLimit
	version  int               // 0: holds no layers
	busy     bool
	sequence int
	running  int
	beats    int
}

func newModelRunner(id, address string, st *store, rec *record) *modelRunner {
	m := &modelRunner{id: id, address: address, born: time.Now().UnixMilli(), slots: 16, st: st, rec: rec, staged: map[int][]byte{}, badSince: map[int]time.Time{}, version: 1}
	for i := range chunkCount {
		m.staged[i] = chunk(1, i)
	}
	return m
}

// models returns what the runner holds. mu must be held.
func (m *modelRunner) models() []any {
	if m.version == 0 {
		return []any{}
	}
	return []any{map[string]any{"Name": modelName, "Version": m.version, "Adapters": []any{},
		"layers": []any{map[string]any{"From": 0, "Target": layerCount, "Version": m.version}}}}
}

// register writes the runner's record.
func (m *modelRunner) register() {
	m.mu.Lock()
	m.beats++
	v := map[string]any{"Service": "pool", "Address": m.address, "Zone": "ms-delta-a", "Version": "v1", "Slots": m.slots, "State": "ready",
		"ColdLeftMs": 0, "Stage": "both", "Models": m.models(), "Sequence": m.beats, "born": m.born}
	m.mu.Unlock()
	m.st.putJSON(names["serverKey"]+m.id, v)
}

func (m *modelRunner) heartbeats() {
	for {
		m.register()
		time.Sleep(heartbeat)
	}
}

// accept takes a place and returns the version that serves, or 0 if there is none.
func (m *modelRunner) accept() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy || m.version == 0 || m.running >= m.slots {
		return 0
	}
	m.running++
	return m.version
}

func (m *modelRunner) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
}

func (m *modelRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == names["report"]:
		m.mu.Lock()
		body, _ := json.Marshal(map[string]any{"Stage": "both", "Models": m.models(), "Busy": m.busy, "Sequence": m.sequence, "Queued": 0, "InFlight": m.running,
			"KvUsed": 0, "KvTotal": 317000 * layerCount, "Handles": 0, "born": m.born, "pace": 1.0})
		m.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	case r.URL.Path == names["order"]:
		m.serveOrder(w, r)
	case strings.HasPrefix(r.URL.Path, names["stagePut"]), strings.HasPrefix(r.URL.Path, names["stageGet"]):
		m.serveStage(w, r)
	default:
		m.serveRequest(w, r)
	}
}

func (m *modelRunner) serveStage(w http.ResponseWriter, r *http.Request) {
	time.Sleep(m.stageDelay)
	index, _ := strconv.Atoi(r.URL.Query().Get("Quantity"))
	if strings.HasPrefix(r.URL.Path, names["stagePut"]) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		m.mu.Lock()
		m.staged[index] = body
		m.puts++
		puts := m.puts
		delete(m.badSince, index)
		m.mu.Unlock()
		if m.onStage != nil {
			m.onStage(puts)
		}
		return
	}
	m.mu.Lock()
	body, ok := m.staged[index]
	m.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func (m *modelRunner) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op           string
		Version      int
		Precondition *int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.busy, o.Precondition != nil && *o.Precondition != m.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	case m.version == o.Version:
		return
	}
	whole, longBad := true, 0
	for i := range chunkCount {
		whole = whole && bytes.Equal(m.staged[i], chunk(o.Version, i))
		if since, ok := m.badSince[i]; ok && time.Since(since) > rotLimit {
			longBad++
			m.rec.add("piece %d at runner %s has been bad for %.3f s", i, m.id, time.Since(since).Seconds())
		}
	}
	m.spoilt = longBad > 0
	m.sequence++
	m.busy = true
	m.rec.add("runner %s begins to load version %d, staged pieces whole: %v", m.id, o.Version, whole)
	go m.load(o.Version)
	w.WriteHeader(http.StatusAccepted)
}

// load loads a version once what runs has ended.
func (m *modelRunner) load(version int) {
	for {
		m.mu.Lock()
		idle := m.running == 0
		m.mu.Unlock()
		if idle {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	m.mu.Lock()
	m.busy, m.version = false, version
	m.mu.Unlock()
	m.rec.add("runner %s holds version %d", m.id, version)
	m.register()
}

// notRun rejects a request that was not run.
func notRun(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set(names["attempt"], r.Header.Get(names["attempt"]))
	w.Header().Set(names["notExecuted"], "1")
	w.WriteHeader(status)
}

const (
	streamEvents  = 6
	eventInterval = 40 * time.Millisecond
)

// awaitFirst waits for the first event and reports whether the request goes on.
func (m *modelRunner) awaitFirst(ctx context.Context) bool {
	if m.keepsOn {
		ctx = context.Background()
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(m.firstDelay):
		return true
	}
}

func (m *modelRunner) serveRequest(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if want := r.Header.Get(names["expectRunner"]); want != "" && want != m.id {
		w.Header().Set(names["runner"], m.id)
		notRun(w, r, http.StatusMisdirectedRequest)
		return
	}
	version := m.accept()
	if version == 0 {
		notRun(w, r, http.StatusServiceUnavailable)
		return
	}
	defer m.release()
	m.rec.add("runner %s accepts %s on version %d", m.id, r.Header.Get(names["attempt"]), version)
	h := w.Header()
	h.Set(names["attempt"], r.Header.Get(names["attempt"]))
	h.Set(names["seal"], "seal."+m.id)
	h.Set(names["versions"], strconv.Itoa(version))
	h.Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get(names["lastEvent"]))
	if !m.awaitFirst(r.Context()) {
		return
	}
	if m.begins != nil {
		m.begins(r.Header.Get(names["attempt"]), version)
	}
	for i := first + 1; i <= streamEvents; i++ {
		time.Sleep(eventInterval)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if r.Context().Err() != nil {
			return
		}
	}
}

// orderRunner is a runner of the plain service.
type orderRunner struct {
	id, address string
	born        int64
	work        time.Duration
	st          *store
	rec         *record
	slots       int
	running     atomic.Int64
	// seen, if set, is called with each request that is run and its body.
	seen func(r *http.Request, body []byte)
}

func (o *orderRunner) heartbeats() {
	for i := 1; ; i++ {
		o.st.putJSON(names["serverKey"]+o.id, map[string]any{"Service": "orders", "Address": o.address, "Zone": "ms-delta-a", "Version": "v1", "Slots": o.slots,
			"State": "ready", "ColdLeftMs": 0, "Sequence": i, "born": o.born})
		time.Sleep(heartbeat)
	}
}

func (o *orderRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get(names["expectRunner"]); want != "" && want != o.id {
		w.Header().Set(names["runner"], o.id)
		notRun(w, r, http.StatusMisdirectedRequest)
		return
	}
	if int(o.running.Add(1)) > 2*o.slots {
		o.running.Add(-1)
		notRun(w, r, http.StatusServiceUnavailable)
		return
	}
	defer o.running.Add(-1)
	o.rec.add("runner %s runs %s: %s %s, host %s, %d bytes", o.id, r.Header.Get(names["attempt"]), r.Method, r.RequestURI, r.Host, len(body))
	if o.seen != nil {
		o.seen(r, body)
	}
	time.Sleep(o.work)
	h := w.Header()
	h.Set(names["attempt"], r.Header.Get(names["attempt"]))
	h.Set(names["seal"], "seal."+o.id)
	answer := []byte("done " + r.Header.Get(names["attempt"]))
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// spoilDigests lets the origin spoil one character in each of the next n answers with digests.
func (o *origin) spoilDigests(n int64) {
	var left atomic.Int64
	left.Store(n)
	o.spoil = func(path string, body []byte) []byte {
		if !strings.HasPrefix(path, names["manifest"]) || left.Add(-1) < 0 {
			return body
		}
		i := bytes.LastIndexByte(body, ']') - 3 // in the last digest
		if body[i] == '0' {
			body[i] = '1'
		} else {
			body[i] = '0'
		}
		return body
	}
}

// rotLimit is how long before the layers are taken a piece may turn bad without breaking the rule.
const rotLimit = 3 * time.Second

// rot lets some of the pieces that lie at the runner turn bad.
func (m *modelRunner) rot(pieces ...int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, i := range pieces {
		bad := bytes.Clone(m.staged[i])
		bad[0] ^= 1
		m.staged[i] = bad
		m.badSince[i] = time.Now()
	}
	m.rec.add("pieces %v at runner %s turn bad", pieces, m.id)
}

// hasSpoiltLayers reports whether the runner holds layers that break the rule.
func (m *modelRunner) hasSpoiltLayers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.spoilt && !m.busy
}
