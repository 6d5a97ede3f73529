package daemon

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/app/telemetry"
	"amaranthturn/core/mirror"
)

// Gauges of the heap and of the copy tell a copy that grows from garbage that is not collected yet.
func TestMemoryIsReported(t *testing.T) {
	m := telemetry.NewMetrics("entry")
	defer func() { _ = m.Close() }()
	r := &MemoryReporter{Metrics: m, Copy: func() mirror.Usage {
		return mirror.Usage{Items: 1, ItemBytes: 2, Deleted: 3, DeletedBytes: 4, Superseded: 5, SupersededBytes: 6}
	}}
	runtime.GC() // the live heap is that of the last collection
	r.report()
	time.Sleep(1200 * time.Millisecond) // tally passes its values on once a second
	srv := httptest.NewServer(m.Handler())
	defer srv.Close()
	resp, err := http.Get(srv.URL)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	page, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	for _, line := range []string{
		`store_copy_items{role="entry"} 1`, `store_copy_item_bytes{role="entry"} 2`, `store_copy_deleted{role="entry"} 3`,
		`store_copy_deleted_bytes{role="entry"} 4`, `store_copy_superseded{role="entry"} 5`, `store_copy_superseded_bytes{role="entry"} 6`,
	} {
		assert.Assert(t, strings.Contains(string(page), "amaranthturn_"+line), line)
	}
	for gauge := range heapMetrics {
		assert.Assert(t, !strings.Contains(string(page), gauge+`{role="entry"} 0`) && strings.Contains(string(page), gauge), gauge)
	}
}
