// Package bounded reads what another process sends up to a limit. Reaching the limit is a
// *TooLargeError, so that a message that was cut does not look complete.
//
// # Usage
//
//	body, err := bounded.ReadAll(resp.Body, bounded.PartBody, maxBodyBytes)
//	var tooLarge *bounded.TooLargeError
//	if errors.As(err, &tooLarge) { … }
//
// Messages below their own limits may still be too many for the process. A Budget bounds what
// several readers hold at the same time:
//
//	share := budget.NewShare()
//	defer share.Release()
//	err := share.Hold(n) // on each growth
package bounded

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"
)

// MaxHeaderBytes is the maximum size of the headers of a response to a call of our own.
const MaxHeaderBytes = 64 << 10

// Part is a part of a message.
type Part string

// The parts.
const (
	PartHeader    Part = "header"
	PartBody      Part = "body"
	PartEvent     Part = "event"
	PartPages     Part = "pages"      // all pages of one list
	PartAllBodies Part = "all bodies" // those held at the same time
	PartAllEvents Part = "all events" // those held at the same time
	PartMessage   Part = "message"
)

// TooLargeError reports a part of a message that is larger than its limit.
type TooLargeError struct {
	Part  Part
	Limit int64 // in bytes
}

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("%s exceeds %d bytes", e.Part, e.Limit) }

// Reader reads from R and returns a *TooLargeError instead of the bytes beyond Limit.
type Reader struct {
	R     io.Reader
	Part  Part
	Limit int64 // in bytes
	read  int64
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.read > r.Limit {
		return 0, r.tooLarge()
	}
	// One byte more than allowed distinguishes a message of exactly Limit bytes.
	if left := r.Limit - r.read + 1; int64(len(p)) > left {
		p = p[:left]
	}
	n, err := r.R.Read(p)
	r.read += int64(n)
	if r.read > r.Limit {
		return n - 1, r.tooLarge()
	}
	return n, err
}

func (r *Reader) tooLarge() error { return &TooLargeError{Part: r.Part, Limit: r.Limit} }

// maxChunkBytes is the maximum that ReadAll reserves beyond what has arrived.
const maxChunkBytes = 16 << 10

// ReadAll reads r to its end. Unlike io.ReadAll, it reserves hardly more than what has arrived, since
// the rest may never come.
func ReadAll(r io.Reader, part Part, limit int64) ([]byte, error) {
	bounded := &Reader{R: r, Part: part, Limit: limit}
	var full [][]byte
	chunk := make([]byte, 0, 512)
	for {
		n, err := bounded.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return slices.Concat(append(full, chunk)...), err
		}
		if len(chunk) == cap(chunk) {
			full = append(full, chunk)
			chunk = make([]byte, 0, min(2*cap(chunk), maxChunkBytes))
		}
	}
}

// Budget is the maximum that several readers hold in memory at the same time.
type Budget struct {
	part  Part
	limit int64 // in bytes
	free  int64 // in bytes
	held  atomic.Int64
}

// NewBudget returns a budget of limit bytes. The first free bytes of each share do not count, so that
// large messages do not fail small ones.
func NewBudget(part Part, limit, free int64) *Budget {
	return &Budget{part: part, limit: limit, free: free}
}

// NewShare returns the share of one reader, which is not safe for concurrent use.
func (b *Budget) NewShare() *Share { return &Share{budget: b} }

// Share is what one reader holds.
type Share struct {
	budget  *Budget
	counted int64
}

// Hold sets the number of bytes that the reader holds. It returns a *TooLargeError if all shares
// together are above the limit.
func (s *Share) Hold(n int64) error {
	counted := max(0, n-s.budget.free)
	more := counted - s.counted
	s.counted = counted
	if held := s.budget.held.Add(more); more > 0 && held > s.budget.limit {
		return &TooLargeError{Part: s.budget.part, Limit: s.budget.limit}
	}
	return nil
}

// holdInterval is the time between two attempts of HoldWithin.
const holdInterval = 10 * time.Millisecond

// HoldWithin is like Hold for a reader that holds nothing yet, but waits until the other shares leave
// enough. If ctx ends before, it returns a *TooLargeError and the reader still holds nothing.
func (s *Share) HoldWithin(ctx context.Context, n int64) error {
	tick := time.NewTicker(holdInterval)
	defer tick.Stop()
	for !s.tryHold(n) {
		select {
		case <-ctx.Done():
			return &TooLargeError{Part: s.budget.part, Limit: s.budget.limit}
		case <-tick.C:
		}
	}
	return nil
}

// tryHold holds n bytes if the other shares leave enough, and nothing otherwise.
func (s *Share) tryHold(n int64) bool {
	counted := max(0, n-s.budget.free)
	for {
		held := s.budget.held.Load()
		if counted > 0 && held+counted > s.budget.limit {
			return false
		}
		if s.budget.held.CompareAndSwap(held, held+counted) {
			s.counted = counted
			return true
		}
	}
}

// Release returns what the reader holds.
func (s *Share) Release() { _ = s.Hold(0) }
