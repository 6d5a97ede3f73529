package upgrade_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthturn/core/upgrade"
)

// enginePause is how long the platform's documentation lets a sound engine fall silent.
const enginePause = 1250 * time.Millisecond

// An engine that paused after a request had arrived began it on the older version after the limit.
func TestRequestBeginsBeforeLimitAlthoughEnginePauses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timeline := upgrade.Timeline{Limit: time.Duration(rapid.IntRange(2500, 20_000).Draw(t, "limit_ms")) * time.Millisecond}
		start := time.Duration(rapid.IntRange(0, 900).Draw(t, "start_ms")) * time.Millisecond
		sentAfter := time.Duration(rapid.IntRange(0, 25_000).Draw(t, "sent_ms")) * time.Millisecond
		loadable := uint64(rapid.IntRange(0, 1).Draw(t, "loadable"))
		var d upgrade.Declarations
		d.Add(2, t0, t0)
		d.Add(3, t0.Add(time.Second), t0.Add(time.Second))
		if timeline.MaySend(d, upgrade.Engine{Serving: 1, Loadable: loadable}, start, t0.Add(sentAfter)) {
			assert.Assert(t, sentAfter+start+enginePause <= timeline.Limit)
		}
	})
}

// Engines that could load in time were closed until the time of their load.
func TestEngineThatCanLoadIsOpenUntilItsLoad(t *testing.T) {
	var d upgrade.Declarations
	d.Add(2, t0, t0)
	d.Add(3, t0.Add(2*time.Second), t0.Add(2*time.Second))
	const start = 200 * time.Millisecond
	lastLoad := t0.Add(schedule.LastLoad())
	for name, c := range map[string]struct {
		engine upgrade.Engine
		at     time.Time
		want   bool
	}{
		"loadable":                        {upgrade.Engine{Serving: 1, Loadable: 2}, lastLoad, true},
		"not loaded in time":              {upgrade.Engine{Serving: 1, Loadable: 2}, t0.Add(schedule.Limit), false},
		"not loadable":                    {upgrade.Engine{Serving: 1}, lastLoad, false},
		"loaded, a newer one is loadable": {upgrade.Engine{Serving: 2, Loadable: 3}, lastLoad.Add(2 * time.Second), true},
		"loaded, the newer one is not":    {upgrade.Engine{Serving: 2, Loadable: 2}, lastLoad.Add(2 * time.Second), false},
		"not loaded, but a newer one is":  {upgrade.Engine{Serving: 1, Loadable: 3}, lastLoad, true},
		"loadable version is older":       {upgrade.Engine{Serving: 3, Loadable: 1}, lastLoad.Add(time.Hour), true},
	} {
		assert.Equal(t, schedule.MaySend(d, c.engine, start, c.at), c.want, name)
	}
}
