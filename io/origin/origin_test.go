package origin_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/io/bounded"
	"amaranthturn/io/origin"
)

// An origin may send a manifest or a range without end; neither is a failed digest.
func TestBodyWithoutEnd(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Range") != "" {
			w.WriteHeader(http.StatusPartialContent)
		}
		block := strings.Repeat("x", 64<<10)
		var err error
		for n := 0; err == nil && n < 32<<20; n += len(block) {
			_, err = io.WriteString(w, block)
		}
	}))
	t.Cleanup(srv.Close)
	c := origin.NewClient(srv.URL, srv.Client())
	_, manifestErr := c.Manifest(t.Context(), "v")
	_, rangeErr := c.Range(t.Context(), "v", 0, 1000)
	for _, err := range []error{manifestErr, rangeErr} {
		var failed *origin.FailedError
		assert.Assert(t, errors.As(err, &failed), "%v", err)
		var tooLarge *bounded.TooLargeError
		assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
	}
}
