package bounded_test

import (
	"errors"
	"strings"
	"testing"

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
