package operator_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/io/bounded"
	"amaranthturn/io/operator"
)

// An entry may answer an operator without end.
func TestStatusWithoutEnd(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, `{"x":"`)
		block := strings.Repeat("x", 64<<10)
		for n := 0; err == nil && n < 96<<20; n += len(block) {
			_, err = io.WriteString(w, block)
		}
	}))
	t.Cleanup(srv.Close)
	_, err := operator.NewClient(srv.URL).Status(t.Context())
	var unreachable *operator.UnreachableError
	assert.Assert(t, errors.As(err, &unreachable), "%v", err)
	var tooLarge *bounded.TooLargeError
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
}
