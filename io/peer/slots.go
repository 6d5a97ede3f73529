package peer

import (
	"context"
	"time"
)

// Slots bound how many chunks an agent sends at once.
type Slots chan struct{}

// NewSlots returns n free slots.
func NewSlots(n int) Slots { return make(Slots, n) }

// Take waits for a slot, which Free gives back. It returns ErrBusy after wait, or the
// reason of ctx.
func (s Slots) Take(ctx context.Context, wait time.Duration) error {
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

// Free gives a slot back.
func (s Slots) Free() { <-s }
