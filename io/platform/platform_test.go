package platform_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
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
	_, configErr := c.Config(t.Context(), fleet.Position{}, 0)
	_, listErr := c.Instances(t.Context(), fleet.Position{}, 0)
	for _, err := range []error{configErr, listErr} {
		var failed *platform.UnreachableError
		assert.Assert(t, errors.As(err, &failed), "%v", err)
		var tooLarge *bounded.TooLargeError
		assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
	}
}

// A response without a valid era counts as one of the era asked for.
func TestMissingEraCountsAsKnownEra(t *testing.T) {
	var headers http.Header
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for k, v := range headers {
			w.Header()[k] = v
		}
		_, _ = io.WriteString(w, "[]")
	}))
	t.Cleanup(srv.Close)
	c := platform.NewClient(srv.URL, srv.Client())
	tests := []struct {
		stated    []string
		known     fleet.Era
		want      fleet.Era
		isProblem bool
	}{
		{nil, 0, 0, false},
		{nil, 3, 3, true},
		{[]string{"4"}, 3, 4, false},
		{[]string{"2"}, 3, 2, false},
		{[]string{""}, 3, 3, true},
		{[]string{"-1"}, 3, 3, true},
		{[]string{"four"}, 0, 0, true},
		{[]string{"18446744073709551616"}, 3, 3, true},
		{[]string{"4", "5"}, 3, 3, true},
	}
	for _, tt := range tests {
		headers = http.Header{platform.RevisionHeader: {"1"}}
		if tt.stated != nil {
			headers[platform.EraHeader] = tt.stated
		}
		got, err := c.Config(t.Context(), fleet.Position{Era: tt.known}, 0)
		assert.NilError(t, err)
		assert.Equal(t, got.Position, fleet.Position{Era: tt.want, Revision: 1}, "%v", tt.stated)
		assert.Equal(t, got.EraProblem != nil, tt.isProblem, "%v: %v", tt.stated, got.EraProblem)
		list, err := c.Instances(t.Context(), fleet.Position{Era: tt.known}, 0)
		assert.NilError(t, err)
		assert.Equal(t, list.Position, got.Position)
	}
}
