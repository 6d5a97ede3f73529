package platform_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	client "amaranthturn/io/platform"
	"amaranthturn/standin/platform"
)

func at(era fleet.Era, rev fleet.Revision) fleet.Position {
	return fleet.Position{Era: era, Revision: rev}
}

// TestRestoredRevisionsAreGivenOutAgain checks that a restored store loses what was published
// since the copy, and that a long poll for a position of the earlier era does not wait.
func TestRestoredRevisionsAreGivenOutAgain(t *testing.T) {
	p := platform.New()
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	c := client.NewClient(srv.URL, srv.Client())
	assert.Equal(t, p.Publish([]byte("one")), at(0, 1))
	p.SetInstances([]fleet.Instance{{ID: "a"}})
	snapshot := p.Snapshot()
	assert.Equal(t, p.Publish([]byte("two")), at(0, 2))
	p.SetInstances([]fleet.Instance{{ID: "a"}, {ID: "b"}})
	p.Restore(snapshot)

	began := time.Now()
	got, err := c.Config(t.Context(), at(0, 2), 20*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, got.Position, at(1, 1))
	assert.Equal(t, string(got.Body), "one")
	list, err := c.Instances(t.Context(), at(0, 2), 20*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, list.Position, at(1, 1))
	assert.Equal(t, len(list.Instances), 1)
	assert.Assert(t, time.Since(began) < 10*time.Second, "the long polls did not wait")
	_, err = c.Config(t.Context(), at(1, 1), 0)
	assert.Assert(t, errors.Is(err, client.ErrUnchanged))
	assert.Equal(t, p.Publish([]byte("three")), at(1, 2))

	p.SetDown(true)
	for _, path := range []string{"/v1/config", "/v1/instances"} {
		resp, err := http.Get(srv.URL + path)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.Header.Get(client.EraHeader), "1", "%s with status %d", path, resp.StatusCode)
	}
}
