package peer

import (
	"context"
	"time"
)

// Slots limits the number of chunks that an agent sends concurrently.
type Slots chan struct{}

// NewSlots returns n free slots.
func NewSlots(n int) Slots { return make(Slots, n) }

// Acquire acquires a slot, which Release releases. It returns ErrBusy if no slot is free
// within wait, or the error of ctx if ctx ends first.
func (s Slots) Acquire(ctx context.Context, wait time.Duration) error {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case s <- struct{}{}:
		return nil
	case <-t.C:
		return ErrBusy
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Release releases a slot.
func (s Slots) Release() { <-s }
