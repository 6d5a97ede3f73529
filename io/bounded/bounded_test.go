package bounded_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/io/bounded"
)

// A message of exactly the limit is complete; one byte more is an error and not a shorter message.
func TestMessageAtItsLimit(t *testing.T) {
	got, err := bounded.ReadAll(strings.NewReader("12345"), bounded.PartBody, 5)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "12345")
	for _, body := range []string{"123456", strings.Repeat("x", 4096)} {
		got, err = bounded.ReadAll(strings.NewReader(body), bounded.PartBody, 5)
		var tooLarge *bounded.TooLargeError
		assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
		assert.Equal(t, tooLarge.Limit, int64(5))
		assert.Equal(t, string(got), body[:5])
	}
}

// A reader that goes on after the error, as a parser of headers may, gets the error again.
func TestErrorStays(t *testing.T) {
	r := &bounded.Reader{R: strings.NewReader("123456"), Part: bounded.PartHeader, Limit: 2}
	for _, want := range []int{2, 0, 0} {
		n, err := r.Read(make([]byte, 8))
		assert.Equal(t, n, want)
		assert.Error(t, err, "header exceeds 2 bytes")
	}
}

// A reader that waits for the others holds nothing meanwhile, and goes on when one of them is done.
func TestShareWaitsForTheOthers(t *testing.T) {
	b := bounded.NewBudget(bounded.PartAllBodies, 100, 10)
	first, second, small := b.NewShare(), b.NewShare(), b.NewShare()
	assert.NilError(t, first.HoldWithin(t.Context(), 70))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	var tooLarge *bounded.TooLargeError
	assert.Assert(t, errors.As(second.HoldWithin(ended, 60), &tooLarge))
	assert.NilError(t, small.HoldWithin(ended, 10), "what is free is never refused")
	assert.NilError(t, b.NewShare().Hold(50), "the share that waited holds nothing")
	time.AfterFunc(20*time.Millisecond, first.Release)
	assert.NilError(t, second.HoldWithin(t.Context(), 60))
}
