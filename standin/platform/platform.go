// Package platform implements the stand-in for the platform's configuration service and
// instance list. Daemons can only read and watch it.
//
// # Usage
//
//	p := platform.New()
//	position := p.Publish(document)
//	p.SetInstances(list)
//	http.Serve(l, p.Handler())
//	snapshot := p.Snapshot()
//	p.Restore(snapshot) // loses what was published since, in a new era
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
	mu             sync.Mutex // guards all fields below except down and reads
	config         document
	previousConfig document
	instanceList   document
	instances      []fleet.Instance
	isStale        bool
	era            fleet.Era
	changed        chan struct{} // closed and replaced on every change
	down           atomic.Bool
	reads          atomic.Int64
}

type document struct {
	revision uint64
	body     []byte
}

// New returns a platform without a configuration.
func New() *Platform {
	return &Platform{changed: make(chan struct{})}
}

// Snapshot is a copy of the published documents.
type Snapshot struct {
	config, previousConfig, instanceList document
	instances                            []fleet.Instance
}

// Snapshot returns a copy of the published documents.
func (p *Platform) Snapshot() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Snapshot{config: p.config, previousConfig: p.previousConfig, instanceList: p.instanceList, instances: p.instances}
}

// Restore replaces the published documents by those of an earlier copy and begins a new
// era. Later publications use the revisions that follow those of the copy.
func (p *Platform) Restore(s Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config, p.previousConfig, p.instanceList, p.instances = s.config, s.previousConfig, s.instanceList, s.instances
	p.era++
	p.notifyWatchers()
}

// Publish publishes a document and returns its position.
func (p *Platform) Publish(body []byte) fleet.Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.previousConfig = p.config
	p.config = document{p.config.revision + 1, body}
	p.notifyWatchers()
	return fleet.Position{Era: p.era, Revision: fleet.Revision(p.config.revision)}
}

// SetInstances publishes the instance list.
func (p *Platform) SetInstances(list []fleet.Instance) {
	records := make([]platform.InstanceRecord, len(list))
	for i, in := range list {
		records[i] = platform.NewInstanceRecord(in)
	}
	body, err := json.Marshal(records)
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = list
	p.instanceList = document{p.instanceList.revision + 1, body}
	p.notifyWatchers()
}

// Instances returns the published instance list.
func (p *Platform) Instances() []fleet.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]fleet.Instance(nil), p.instances...)
}

// SetDown makes the platform unavailable: it responds to every call with status 503.
func (p *Platform) SetDown(isDown bool) { p.down.Store(isDown) }

// SetStale makes the platform serve the configuration that preceded the latest one.
func (p *Platform) SetStale(isStale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isStale = isStale
	p.notifyWatchers()
}

// Reads returns the number of calls that the platform received.
func (p *Platform) Reads() int64 { return p.reads.Load() }

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler returns the HTTP handler of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, p.currentConfig) })
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, p.currentInstances) })
	return mux
}

func (p *Platform) currentConfig() document {
	if p.isStale {
		return p.previousConfig
	}
	return p.config
}

func (p *Platform) currentInstances() document { return p.instanceList }

// state is a document with the era in which it was read.
type state struct {
	document
	era     fleet.Era
	changed <-chan struct{}
}

func (p *Platform) read(current func() document) state {
	p.mu.Lock()
	defer p.mu.Unlock()
	return state{document: current(), era: p.era, changed: p.changed}
}

// isNews reports whether a state is newer than revision after of era, which is empty if the
// client does not state it.
func (s state) isNews(era string, after uint64) bool {
	if era != "" && era != strconv.FormatUint(uint64(s.era), 10) {
		return s.revision > 0
	}
	return s.revision > after
}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request, current func() document) {
	p.reads.Add(1)
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMillis, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timeout.Stop()
	for {
		st := p.read(current)
		w.Header().Set(platform.EraHeader, strconv.FormatUint(uint64(st.era), 10))
		if p.down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if st.isNews(query.Get("era"), after) {
			w.Header().Set(platform.RevisionHeader, strconv.FormatUint(st.revision, 10))
			_, _ = w.Write(st.body)
			return
		}
		select {
		case <-st.changed:
		case <-timeout.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}
