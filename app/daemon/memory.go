package daemon

import (
	"context"
	"runtime/metrics"
	"time"

	"amaranthturn/app/telemetry"
	"amaranthturn/core/mirror"
)

// MemoryReporter sets gauges of what the process holds in memory: the heap, which tells what is
// held from what is not collected yet, and the copy of the store.
type MemoryReporter struct {
	Metrics *telemetry.Metrics
	Copy    func() mirror.Usage
}

// memoryReportInterval is at most the interval at which metrics are read.
const memoryReportInterval = 2 * time.Second

// The runtime's metrics of the heap, by gauge.
var heapMetrics = map[string]string{
	"heap_live_bytes":  "/gc/heap/live:bytes", // as of the last collection
	"heap_bytes":       "/memory/classes/heap/objects:bytes",
	"heap_stack_bytes": "/memory/classes/heap/stacks:bytes",
}

// Run implements Runner.
func (r *MemoryReporter) Run(ctx context.Context) {
	for Sleep(ctx, memoryReportInterval) {
		r.report()
	}
}

func (r *MemoryReporter) report() {
	for gauge, name := range heapMetrics {
		sample := []metrics.Sample{{Name: name}}
		metrics.Read(sample)
		if sample[0].Value.Kind() == metrics.KindUint64 {
			r.Metrics.Gauge(gauge, float64(sample[0].Value.Uint64()))
		}
	}
	u := r.Copy()
	for gauge, n := range map[string]int{
		"store_copy_items": u.Items, "store_copy_item_bytes": u.ItemBytes,
		"store_copy_deleted": u.Deleted, "store_copy_deleted_bytes": u.DeletedBytes,
		"store_copy_superseded": u.Superseded, "store_copy_superseded_bytes": u.SupersededBytes,
	} {
		r.Metrics.Gauge(gauge, float64(n))
	}
}
