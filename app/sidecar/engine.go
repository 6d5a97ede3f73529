package sidecar

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"amaranthturn/app/daemon"
	"amaranthturn/core/clock"
	"amaranthturn/core/fleet"
	"amaranthturn/core/rank"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/core/trace"
	"amaranthturn/core/upgrade"
	"amaranthturn/platform"
)

// Timing of the engine's loop.
const (
	// reportInterval is how often the engine is polled. It runs on the same machine, so a
	// report is current and costs little.
	reportInterval = 100 * time.Millisecond
	// callTimeout limits a report and a load command of the engine on the same machine.
	callTimeout = time.Second
	// pauseThreshold is the gap between two polls above which the process counts as paused.
	pauseThreshold = 2 * time.Second
)

// enginePoller polls the engine and notifies the entries of its load.
type enginePoller struct {
	s             *Sidecar
	pauseDetector *clock.PauseDetector
}

// Run implements daemon.Runner.
func (c *enginePoller) Run(ctx context.Context) {
	for daemon.Sleep(ctx, reportInterval) {
		if c.pauseDetector.Observe(c.s.now()) {
			c.s.log.process.Warn().Msg(trace.MessageAgentPaused)
		}
		if c.s.MayCall() != nil {
			continue
		}
		c.pollEngine(ctx)
	}
}

func (c *enginePoller) pollEngine(ctx context.Context) {
	s := c.s
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	startedAt := s.now()
	r, err := s.engine.Report(ctx)
	if err != nil && s.MayCall() != nil {
		return // the engine asks this instance for a pause, which says nothing about its load
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	up := err == nil
	if up != s.isEngineUp {
		s.log.engine.Info().Bool("up", up).AnErr("error", err).Msg(trace.MessageEngine)
	}
	if up && s.report.Incarnation != r.Incarnation {
		s.log.engine.Info().Uint64("born", uint64(r.Incarnation)).Uint64("before", uint64(s.report.Incarnation)).Msg("engine started")
	}
	changed := up != s.isEngineUp || !equalReports(s.report, r)
	s.isEngineUp, s.report, s.reportStartedAt = up, r, startedAt
	if up && startedAt.After(s.commandAt) {
		s.recordProofReport()
	}
	loadable := s.loadableVersion(s.now())
	if changed || loadable != s.loadable {
		s.loadable = loadable
		s.notifyListeners()
	}
	if changed {
		s.checkVersions()
	}
}

// loadableHysteresis is how much later than planned a version may become complete that was expected in time
// before.
const loadableHysteresis = 250 * time.Millisecond

// loadableVersion returns the newest version that the engine lacks and can be told to load in time, or 0. mu
// must be held.
func (s *Sidecar) loadableVersion(now time.Time) uint64 {
	m, e, ok := s.model()
	if !ok || !s.isEngineUp {
		return 0
	}
	serving := s.servingVersion(m.Name, e)
	declaredAt := s.declarationsOf(m.Name).NewerDeclaredAt(serving)
	lastLoad := declaredAt.Add(s.schedule(e).LastLoad())
	switch {
	case declaredAt.IsZero():
		lastLoad = now.Add(reportInterval) // what is complete is loaded at once
	case !now.Before(lastLoad):
		return 0 // an engine that was not told to load by then may serve older weights at the limit
	}
	newest := uint64(0)
	for v, w := range s.weights {
		due := lastLoad
		if v == s.loadable {
			due = due.Add(loadableHysteresis)
		}
		if at, ok := w.completeAt(now); v > max(serving, newest) && ok && at.Before(due) {
			newest = v
		}
	}
	return newest
}

// recordProofReport applies the last report to the proof of the last load. mu must be held.
func (s *Sidecar) recordProofReport() {
	if m, e, ok := s.model(); ok {
		s.proof.RecordReport(engineReport(s.report, s.servingVersion(m.Name, e)))
	}
}

func equalReports(a, b platform.Report) bool {
	return a.Running == b.Running && a.Queued == b.Queued && a.Busy == b.Busy && a.Incarnation == b.Incarnation && a.Leaving == b.Leaving && slices.Equal(a.Loaded, b.Loaded)
}

// newestComplete returns the newest complete version, or nil if there is none. mu must be
// held.
func (s *Sidecar) newestComplete() *versionWeights {
	var best *versionWeights
	for _, w := range s.weights {
		if w.isComplete() && (best == nil || w.version > best.version) {
			best = w
		}
	}
	return best
}

// schedule returns the schedule by which the engines of the group change their version. mu
// must be held.
func (s *Sidecar) schedule(e *routeconfig.Engine) upgrade.Schedule {
	bytes := float64(e.Chunks) * float64(e.ChunkBytes)
	return upgrade.Schedule{
		Timeline:  upgrade.Timeline{Limit: s.settings.Bounds.VersionChangeLimit},
		FetchTime: time.Duration(fetchTimeFactor * bytes / s.settings.LinkBytesPerSecond * float64(time.Second)),
	}
}

// fetchTimeFactor is the time of a fetch as a multiple of the transfer time at the full link
// rate. The remaining bandwidth is left for live streams.
const fetchTimeFactor = 1.2

// groupOrder returns a group in the order in which it changes to a version. The order
// alternates between regions, so that each region has a member that starts early. mu must
// be held.
func (s *Sidecar) groupOrder(group []roster.Target, version uint64) []roster.Target {
	type ranked struct {
		roster.Target
		score uint64
	}
	byRegion := map[fleet.Region][]ranked{}
	key := strconv.FormatUint(version, 10)
	for _, t := range group {
		region := s.settings.Regions[t.Zone]
		byRegion[region] = append(byRegion[region], ranked{t, rank.Score(key, t.Address)})
	}
	regions := slices.Sorted(maps.Keys(byRegion))
	for _, r := range regions {
		slices.SortFunc(byRegion[r], func(a, b ranked) int { return cmp.Compare(a.score, b.score) })
	}
	origin := s.originRegion()
	var out []roster.Target
	for {
		n := len(out)
		for _, r := range regions {
			take := 1
			if r == origin {
				take = originAgentsPerRound
			}
			take = min(take, len(byRegion[r]))
			for _, t := range byRegion[r][:take] {
				out = append(out, t.Target)
			}
			byRegion[r] = byRegion[r][take:]
		}
		if len(out) == n {
			return out
		}
	}
}

// originAgentsPerRound is how many agents of the origin's region are ordered in each round.
// They fetch the chunks from the origin, and a single agent cannot use the full bandwidth of
// the origin's link.
const originAgentsPerRound = 2

// originRegion returns the region of the origin, or an empty string if none is known. mu
// must be held.
func (s *Sidecar) originRegion() fleet.Region {
	if s.doc == nil {
		return ""
	}
	o, ok := s.doc.Origin()
	if !ok {
		return ""
	}
	return s.settings.Regions[o.Zone]
}

// positions returns the position of each engine in the group's order, by its address. mu must
// be held.
func (s *Sidecar) positions(group []roster.Target, version uint64) map[string]upgrade.Position {
	order := s.groupOrder(group, version)
	out := make(map[string]upgrade.Position, len(order))
	for i, t := range order {
		out[t.Address] = upgrade.Position{Index: i, Count: len(order)}
	}
	return out
}
