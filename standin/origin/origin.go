// Package origin is the stand-in of the origin of weights.
//
// # Usage
//
//	o := origin.New(rec)
//	o.Add(version)
//	http.Serve(l, o.Handler())
package origin

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"amaranthturn/core/fleet"
	"amaranthturn/standin/record"
	"amaranthturn/standin/weights"
)

// Origin is the stand-in. It is safe for concurrent use.
type Origin struct {
	rec      *record.Record
	mu       sync.Mutex // guards versions
	versions map[fleet.Version]weights.Version
	down     atomic.Bool
	throttle atomic.Int64 // the next n requests are asked to wait
	corrupt  atomic.Int64 // the next n ranges are corrupt
}

// New returns an origin without versions.
func New(rec *record.Record) *Origin {
	return &Origin{rec: rec, versions: map[fleet.Version]weights.Version{}}
}

// Add publishes a version.
func (o *Origin) Add(v weights.Version) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions[v.ID] = v
}

// Contents returns the content of every published version.
func (o *Origin) Contents() map[fleet.Version]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[fleet.Version]string{}
	for id, v := range o.versions {
		out[id] = v.Content
	}
	return out
}

// SetDown makes the origin answer nothing useful.
func (o *Origin) SetDown(on bool) { o.down.Store(on) }

// Throttle makes the next n requests be asked to wait.
func (o *Origin) Throttle(n int) { o.throttle.Store(int64(n)) }

// Corrupt makes the next n ranges carry a wrong byte.
func (o *Origin) Corrupt(n int) { o.corrupt.Store(int64(n)) }

// Handler serves the origin.
func (o *Origin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/manifests/{version}", o.manifest)
	mux.HandleFunc("GET /v1/weights/{version}", o.weights)
	return mux
}

func (o *Origin) find(w http.ResponseWriter, r *http.Request) (weights.Version, bool) {
	if o.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return weights.Version{}, false
	}
	if o.throttle.Load() > 0 && o.throttle.Add(-1) >= 0 {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusTooManyRequests)
		return weights.Version{}, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	v, ok := o.versions[fleet.Version(r.PathValue("version"))]
	if !ok {
		http.NotFound(w, r)
	}
	return v, ok
}

func (o *Origin) manifest(w http.ResponseWriter, r *http.Request) {
	if v, ok := o.find(w, r); ok {
		_, _ = w.Write(v.Manifest)
	}
}

func (o *Origin) weights(w http.ResponseWriter, r *http.Request) {
	v, ok := o.find(w, r)
	if !ok {
		return
	}
	from, to, ok := parseRange(r.Header.Get("Range"), len(v.Data))
	if !ok {
		w.WriteHeader(http.StatusRequestedRangeNotSatisfiable)
		return
	}
	part := v.Data[from : to+1]
	if o.corrupt.Load() > 0 && o.corrupt.Add(-1) >= 0 {
		part = append([]byte{part[0] ^ 0xff}, part[1:]...)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(part)))
	w.WriteHeader(http.StatusPartialContent)
	n, _ := w.Write(part)
	o.rec.OriginSent(n)
}

func parseRange(h string, size int) (from, to int, ok bool) {
	a, b, found := strings.Cut(strings.TrimPrefix(h, "bytes="), "-")
	from, err1 := strconv.Atoi(a)
	to, err2 := strconv.Atoi(b)
	if !found || err1 != nil || err2 != nil || from < 0 || to < from || to >= size {
		return 0, 0, false
	}
	return from, to, true
}
