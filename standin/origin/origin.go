// Package origin implements the stand-in for the origin of weights.
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
	rec               *record.Record
	mu                sync.Mutex // guards versions
	versions          map[fleet.Version]weights.Version
	down              atomic.Bool
	throttledRequests atomic.Int64 // number of upcoming requests to reject with status 429
	corruptRanges     atomic.Int64 // number of upcoming ranges to corrupt
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

// ContentHashes returns the content hash of every published version.
func (o *Origin) ContentHashes() map[fleet.Version]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[fleet.Version]string{}
	for id, v := range o.versions {
		out[id] = v.ContentHash
	}
	return out
}

// SetDown makes the origin unavailable: it responds to every request with status 503.
func (o *Origin) SetDown(isDown bool) { o.down.Store(isDown) }

// ThrottleNext makes the origin reject the next n requests with status 429 and a
// Retry-After header.
func (o *Origin) ThrottleNext(n int) { o.throttledRequests.Store(int64(n)) }

// CorruptNext makes the origin send the next n ranges with one wrong byte.
func (o *Origin) CorruptNext(n int) { o.corruptRanges.Store(int64(n)) }

// Handler returns the HTTP handler of the origin.
func (o *Origin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/manifests/{version}", o.serveManifest)
	mux.HandleFunc("GET /v1/weights/{version}", o.serveWeights)
	return mux
}

func (o *Origin) findVersion(w http.ResponseWriter, r *http.Request) (weights.Version, bool) {
	if o.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return weights.Version{}, false
	}
	if o.throttledRequests.Load() > 0 && o.throttledRequests.Add(-1) >= 0 {
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

func (o *Origin) serveManifest(w http.ResponseWriter, r *http.Request) {
	if v, ok := o.findVersion(w, r); ok {
		_, _ = w.Write(v.Manifest)
	}
}

func (o *Origin) serveWeights(w http.ResponseWriter, r *http.Request) {
	v, ok := o.findVersion(w, r)
	if !ok {
		return
	}
	from, to, ok := parseRange(r.Header.Get("Range"), len(v.Data))
	if !ok {
		w.WriteHeader(http.StatusRequestedRangeNotSatisfiable)
		return
	}
	part := v.Data[from : to+1]
	if o.corruptRanges.Load() > 0 && o.corruptRanges.Add(-1) >= 0 {
		part = append([]byte{part[0] ^ 0xff}, part[1:]...)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(part)))
	w.WriteHeader(http.StatusPartialContent)
	n, _ := w.Write(part)
	o.rec.OriginBytesSent(n)
}

func parseRange(header string, size int) (from, to int, ok bool) {
	first, last, found := strings.Cut(strings.TrimPrefix(header, "bytes="), "-")
	from, err1 := strconv.Atoi(first)
	to, err2 := strconv.Atoi(last)
	if !found || err1 != nil || err2 != nil || from < 0 || to < from || to >= size {
		return 0, 0, false
	}
	return from, to, true
}
