package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"amaranthturn/core/forward"
	"amaranthturn/core/roster"
)

// A target that serves older weights than its agent or record states was not told from a late request.
func TestResponseOnOlderWeightsThanReportedIsLogged(t *testing.T) {
	g, c := newTestGateway(t)
	var logs bytes.Buffer
	g.log.requests = zerolog.New(&logs)
	d := &declaredVersions{}
	g.declared["m"] = d
	d.Add(2, c.t, c.t)
	a := &targetAttempt{
		handler: &requestHandler{g: g, call: &forward.Call{ID: "a"}, startedAt: c.t}, target: roster.Target{ID: "i"},
		startVersions: []roster.LoadedVersion{{Model: "m", Version: 2}}, startedAt: c.t,
	}
	logged := func(stated uint64, after time.Duration) string {
		logs.Reset()
		g.mu.Lock()
		defer g.mu.Unlock()
		a.recordStartVersion(stated, c.t.Add(after))
		return logs.String()
	}
	limit := g.settings.Bounds.VersionChangeLimit
	assert.Equal(t, logged(0, limit), "", "not stated")
	assert.Equal(t, logged(2, limit), "")
	assert.Assert(t, strings.Contains(logged(1, limit-1), "older weights than reported"))
	assert.Assert(t, strings.Contains(logged(1, limit), "weights that are too old"))
}
