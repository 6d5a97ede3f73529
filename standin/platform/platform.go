// Package platform is the stand-in of the platform's configuration service and
// instance list. Daemons can only read and watch it.
//
// # Usage
//
//	p := platform.New()
//	rev := p.Publish(document)
//	p.SetInstances(list)
//	http.Serve(l, p.Handler())
package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/io/platform"
)

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	mu      sync.Mutex // guards all below
	config  value
	old     value
	list    value
	rows    []fleet.Instance
	stale   bool
	changed chan struct{}
	down    atomic.Bool
	reads   atomic.Int64
}

type value struct {
	rev  uint64
	body []byte
}

// New returns a platform without a configuration.
func New() *Platform {
	return &Platform{changed: make(chan struct{})}
}

// Publish publishes a document and returns its revision.
func (p *Platform) Publish(body []byte) fleet.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.old = p.config
	p.config = value{p.config.rev + 1, body}
	p.wake()
	return fleet.Revision(p.config.rev)
}

// SetInstances publishes the instance list.
func (p *Platform) SetInstances(list []fleet.Instance) {
	rows := make([]platform.InstanceRow, len(list))
	for i, in := range list {
		rows[i] = platform.RowOf(in)
	}
	body, err := json.Marshal(rows)
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows = list
	p.list = value{p.list.rev + 1, body}
	p.wake()
}

// Instances returns the published list.
func (p *Platform) Instances() []fleet.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]fleet.Instance(nil), p.rows...)
}

// SetDown makes the platform answer nothing useful.
func (p *Platform) SetDown(on bool) { p.down.Store(on) }

// SetStale makes the platform answer the configuration before the last.
func (p *Platform) SetStale(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = on
	p.wake()
}

// Reads returns how many calls were made.
func (p *Platform) Reads() int64 { return p.reads.Load() }

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler serves the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, p.currentConfig) })
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, p.currentList) })
	return mux
}

func (p *Platform) currentConfig() (value, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stale {
		return p.old, p.changed
	}
	return p.config, p.changed
}

func (p *Platform) currentList() (value, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list, p.changed
}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request, current func() (value, <-chan struct{})) {
	p.reads.Add(1)
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		if p.down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		v, changed := current()
		if v.rev > after {
			w.Header().Set(platform.RevisionHeader, strconv.FormatUint(v.rev, 10))
			_, _ = w.Write(v.body)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}
