package sidecar

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/swarm"
)

// Weights that were complete counted as loadable in time after the time of the last load, so that an engine
// which was not told to load, or whose weights came too late, got requests again until half a second before
// the limit.
func TestNothingIsLoadableInTimeAfterTheLastLoad(t *testing.T) {
	s, c, _ := newModelAgent(t)
	s.settings.Bounds.VersionChangeLimit = 8 * time.Second
	s.declarationsOf("m").Add(2, c.t, c.t)
	w := &versionWeights{s: s, model: "m", version: 2}
	w.planner = swarm.NewPlanner(swarm.Settings{Self: "10.0.0.1:1"}, &swarm.Manifest{Version: "m@2", Model: "m", Chunks: make([]swarm.Chunk, 1)}, rand.New(rand.NewPCG(1, 1)), c.t)
	s.weights[2] = w
	_, e, ok := s.model()
	assert.Assert(t, ok)
	lastLoad := c.t.Add(s.schedule(e).LastLoad())
	assert.Equal(t, s.loadableVersion(c.t), uint64(0), "nothing has arrived")
	w.planner.AddHeld(0, c.t)
	for _, known := range []uint64{0, 2} {
		s.loadable = known
		assert.Equal(t, s.loadableVersion(lastLoad.Add(-1)), uint64(2))
		assert.Equal(t, s.loadableVersion(lastLoad), uint64(0), "loadable before: %d", known)
	}
}
