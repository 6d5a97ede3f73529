//go:build review

package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Weights of the model.
const (
	modelName  = "model-1"
	layers     = 16
	chunks     = 64
	chunkBytes = 32768
	warmTime   = 300 * time.Millisecond
)

// piece returns a piece of a version's weights.
func piece(version uint64, i int) []byte {
	r := rand.New(rand.NewPCG(version, uint64(i)))
	out := make([]byte, chunkBytes)
	for j := range out {
		out[j] = byte(r.Uint32())
	}
	return out
}

// origin serves the weights.
type origin struct {
	mu     sync.Mutex
	newest uint64
}

func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseUint(r.URL.Query().Get("Version"), 10, 64)
	o.mu.Lock()
	newest := o.newest
	o.mu.Unlock()
	if version == 0 {
		version = newest
	}
	if version > newest || version+1 < newest {
		w.WriteHeader(http.StatusGone)
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, name("path_manifest")):
		var digests []string
		for i := range chunks {
			sum := sha256.Sum256(piece(version, i))
			digests = append(digests, hex.EncodeToString(sum[:]))
		}
		reply(w, map[string]any{"Model": modelName, "Version": version, "ChunkBytes": chunkBytes, "layers": layers, "Digests": digests})
	case strings.HasPrefix(r.URL.Path, name("path_piece")):
		i, _ := strconv.Atoi(r.URL.Query().Get("Quantity"))
		_, _ = w.Write(piece(version, i))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// engine is a model's server on a machine of its own.
type engine struct {
	f             *fleet
	service       string
	address       string
	slots         int
	prefill, step time.Duration // until the first event, and between two events
	events        int
	// onBegin is called when a request begins to write its answer. If it returns true, the server crashes.
	onBegin func(e *engine, r *http.Request) bool
	// headerFirst sends the header of an answer before its first event, and not with it.
	headerFirst bool

	mu       sync.Mutex
	id       string
	born     int64
	starts   int
	sequence uint64 // of the record
	orders   uint64
	busy     bool
	version  uint64 // that all layers have, 0 for none
	staged   map[int][]byte
	running  int
	queued   int
	free     chan struct{}
	down     bool
	srv      *http.Server
	conns    map[net.Conn]bool
	over     chan struct{} // closed when this incarnation ends
}

func (f *fleet) addEngine(ip, service string, slots int) *engine {
	e := &engine{f: f, service: service, slots: slots, prefill: 60 * time.Millisecond, step: 40 * time.Millisecond, events: 15, staged: map[int][]byte{}, address: net.JoinHostPort(ip, "8001")}
	for i := range chunks {
		e.staged[i] = piece(1, i)
	}
	e.begin(1)
	go e.renew()
	return e
}

// begin starts an incarnation that holds a version, or no layers.
func (e *engine) begin(version uint64) {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		fail(err)
	}
	e.mu.Lock()
	e.starts++
	ip, _, _ := net.SplitHostPort(e.address)
	e.id = "i-" + strings.ReplaceAll(ip[strings.LastIndexByte(ip, '.')+1:], ".", "-") + "-" + strconv.Itoa(e.starts)
	e.born, e.version, e.orders, e.busy, e.down, e.running, e.queued, e.sequence = time.Now().UnixMilli(), version, 0, false, false, 0, 0, 0
	e.free = make(chan struct{}, e.slots)
	e.conns, e.over = map[net.Conn]bool{}, make(chan struct{})
	e.srv = &http.Server{Handler: e, ConnState: e.track}
	srv := e.srv
	e.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	e.beat()
}

func (e *engine) track(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == http.StateClosed {
		delete(e.conns, c)
		return
	}
	e.conns[c] = true
}

func (e *engine) renew() {
	for {
		time.Sleep(1200 * time.Millisecond)
		e.beat()
	}
}

func (e *engine) models() []map[string]any {
	if e.version == 0 {
		return []map[string]any{}
	}
	return []map[string]any{{"Name": modelName, "Version": e.version, "Adapters": []string{}, "layers": []map[string]any{{"From": 0, "Target": layers, "Version": e.version}}}}
}

func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.sequence++
	e.f.store.put(name("prefix_servers")+e.id, map[string]any{
		"Service": e.service, "Address": e.address, "Zone": "addis-a", "Version": "v1", "Slots": e.slots, "State": "ready", "ColdLeftMs": 0, "Stage": "both",
		"Models": e.models(), "Sequence": e.sequence, "born": e.born,
	})
}

// crash ends the incarnation at once: its connections are reset, and after some time another one begins.
func (e *engine) crash(down time.Duration) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	id, srv, conns := e.id, e.srv, slices.Collect(maps.Keys(e.conns))
	close(e.over)
	e.mu.Unlock()
	e.f.rec.line("server %s crashes", id)
	for _, c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = srv.Close()
	time.AfterFunc(3600*time.Millisecond, func() { e.f.store.remove(name("prefix_servers") + id) })
	time.AfterFunc(down, func() { e.begin(0) })
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == name("path_report"):
		e.mu.Lock()
		out := map[string]any{
			"Stage": "both", "Models": e.models(), "Busy": e.busy, "Sequence": e.orders, "Queued": e.queued, "InFlight": e.running,
			"KvUsed": 1000 * e.running, "KvTotal": 317000, "Handles": 0, "born": e.born, "pace": 1.0,
		}
		e.mu.Unlock()
		reply(w, out)
	case strings.HasPrefix(r.URL.Path, name("path_stage_put")):
		i, _ := strconv.Atoi(r.URL.Query().Get("Quantity"))
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.staged[i] = body
		e.mu.Unlock()
	case strings.HasPrefix(r.URL.Path, name("path_stage_get")):
		i, err := strconv.Atoi(r.URL.Query().Get("Quantity"))
		e.mu.Lock()
		body, ok := e.staged[i]
		e.mu.Unlock()
		if err != nil || !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(body)
	case r.URL.Path == name("path_order"):
		e.order(w, r)
	default:
		e.serve(w, r)
	}
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op           string
		Version      uint64
		Precondition *uint64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy || o.Precondition != nil && *o.Precondition != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case e.version == o.Version:
		return
	}
	e.orders++
	e.busy = true
	for i := range chunks {
		if !bytes.Equal(e.staged[i], piece(o.Version, i)) {
			e.f.rec.line("server %s takes piece %d of version %d, which is spoilt", e.id, i, o.Version)
		}
	}
	go e.load(o.Version, e.born)
	w.WriteHeader(http.StatusAccepted)
}

// load loads the staged weights after what is running.
func (e *engine) load(version uint64, born int64) {
	for {
		e.mu.Lock()
		if e.born != born || e.running == 0 && e.queued == 0 {
			e.mu.Unlock()
			break
		}
		e.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(warmTime)
	e.mu.Lock()
	if e.born == born {
		e.version, e.busy = version, false
	}
	e.mu.Unlock()
	e.beat()
}

// serve runs a request: it waits for a slot, reads the prompt and writes a stream of events.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(name("attempt"))
	h := w.Header()
	h.Set(name("attempt"), id)
	e.mu.Lock()
	want, expected := r.Header.Get(name("expect_runner")), r.Header.Get(name("expect_version"))
	switch {
	case want != "" && want != e.id, expected != "" && expected != strconv.FormatUint(e.version, 10):
		h.Set(name("runner_id"), e.id)
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case e.version == 0 || e.busy || e.queued >= 2*e.slots:
		e.mu.Unlock()
		h.Set(name("not_executed"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.queued++
	free, over, server, version := e.free, e.over, e.id, e.version
	e.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case free <- struct{}{}:
	case <-r.Context().Done():
	case <-over:
		<-r.Context().Done()
	}
	e.mu.Lock()
	e.queued--
	e.mu.Unlock()
	if r.Context().Err() != nil {
		return
	}
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	defer func() {
		<-free
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if !e.wait(r, over, e.prefill) {
		return
	}
	e.f.rec.line("server %s runs %s (parts %s)", server, id, r.Header.Get(name("prompt_prefix")))
	from := 0
	if last := r.Header.Get(name("last_event")); last != "" {
		from, _ = strconv.Atoi(last)
	}
	h.Set(name("seal"), "seal."+server)
	h.Set("Content-Type", "text/event-stream")
	h.Set(name("weight_versions"), strconv.FormatUint(version, 10))
	if e.headerFirst {
		_ = http.NewResponseController(w).Flush()
		e.wait(r, over, 5*time.Millisecond)
	}
	if e.onBegin != nil && e.onBegin(e, r) {
		<-r.Context().Done()
		return
	}
	for i := from + 1; i <= e.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if i < e.events && !e.wait(r, over, e.step) {
			return
		}
	}
}

// wait waits and reports whether the request still runs.
func (e *engine) wait(r *http.Request, over chan struct{}, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
	case <-over:
		<-r.Context().Done() // the connection is about to be reset
	}
	return false
}

// modelService returns the services of a model and of the origin of its weights.
func modelService(service, originAddress string, slots int) []map[string]any {
	return []map[string]any{
		{
			"Name": service, "HealthPath": "/healthz", "MaxConns": 264, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{
				"Slots": slots, name("kv_capacity"): 317000, name("kv_token"): 262144, "LinkMbps": 400000.0, "Stride": 5, "Models": []map[string]any{{"Name": modelName, "pace": 1.0, "LoadS": 4.0, "WarmS": 0.3}},
				"SizeMb": 149000.0, "step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322, "read_per_s": 20700.0, "pairs_per_m": 1.18, "chunk": 2048, "report_lag_ms": 200.0,
				"usual": map[string]any{"prompt": 979, "answer": 75}, "layers": layers, "layer_mb": 4090.0, "act_bytes": 16384, "Chunks": chunks, "ChunkBytes": chunkBytes,
			},
		},
		{"Name": "portal", "Origin": originAddress, "Zone": "addis-a", "LinkMbps": 9.9, "MaxConns": 48},
	}
}
