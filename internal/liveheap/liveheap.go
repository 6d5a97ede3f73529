// Package liveheap measures what a test holds in memory.
//
// # Usage
//
//	before := liveheap.Bytes()
//	…
//	held := liveheap.Bytes() - before
package liveheap

import "runtime"

// Bytes returns the bytes of the heap that are in use after a collection.
func Bytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
