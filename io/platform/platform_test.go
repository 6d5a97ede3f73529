package platform_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/io/bounded"
	"amaranthturn/io/platform"
)

// The platform may send a document or a list without end; neither is invalid JSON or a document
// that was cut.
func TestBodyWithoutEnd(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(platform.RevisionHeader, "1")
		block := strings.Repeat("[", 64<<10)
		var err error
		for n := 0; err == nil && n < 32<<20; n += len(block) {
			_, err = io.WriteString(w, block)
		}
	}))
	t.Cleanup(srv.Close)
	c := platform.NewClient(srv.URL, srv.Client())
	_, configErr := c.Config(t.Context(), 0, 0)
	_, listErr := c.Instances(t.Context(), 0, 0)
	for _, err := range []error{configErr, listErr} {
		var failed *platform.UnreachableError
		assert.Assert(t, errors.As(err, &failed), "%v", err)
		var tooLarge *bounded.TooLargeError
		assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
	}
}
