// Package telemetry provides the loggers and the metrics of a daemon.
//
// # Usage
//
//	logs := telemetry.NewLogs(os.Stderr, settings.Log, "entry-1")
//	log := logs.Of(telemetry.SubsystemRequests)
//	m := telemetry.NewMetrics("entry")
//	m.Requests(workspace, class).Latency("first_token", d)
//
// Counters record individual events. Log lines are written only for changes of state.
package telemetry

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"amaranthturn/app/settings"
	"amaranthturn/core/fleet"
)

// Subsystem names a part of a daemon that logs at its own level.
type Subsystem string

// The subsystems.
const (
	SubsystemConfig   Subsystem = "config"
	SubsystemMembers  Subsystem = "members"
	SubsystemRequests Subsystem = "requests"
	SubsystemOrders   Subsystem = "orders"
	SubsystemWeights  Subsystem = "weights"
	SubsystemEngine   Subsystem = "engine"
	SubsystemProcess  Subsystem = "process"
)

// Logs creates the loggers of subsystems.
type Logs struct {
	root     zerolog.Logger
	settings settings.Log
}

// zerolog reads the format of time stamps from a global variable.
func init() { zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00" }

// NewLogs returns loggers that write JSON lines to w.
func NewLogs(w io.Writer, cfg settings.Log, instance string) *Logs {
	root := zerolog.New(w).With().Timestamp().Str("instance", instance).Logger()
	return &Logs{root: root, settings: cfg}
}

// Of returns the logger of a subsystem.
func (l *Logs) Of(s Subsystem) zerolog.Logger {
	name := l.settings.Level
	if v, ok := l.settings.Subsystems[string(s)]; ok {
		name = v
	}
	level, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		level = zerolog.InfoLevel
	}
	return l.root.With().Str("subsystem", string(s)).Logger().Level(level)
}

// reportInterval is the interval at which tally reports its values to the metrics page.
const reportInterval = time.Second

// Metrics holds the metrics of one daemon.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	handler  http.Handler
	mu       sync.Mutex // guards requests
	requests map[requestKey]*RequestMetrics
}

type requestKey struct {
	workspace fleet.Workspace
	class     fleet.Class
}

// NewMetrics returns the metrics of a daemon in the given role.
func NewMetrics(role string) *Metrics {
	reg := prometheus.NewRegistry()
	rep := promreporter.NewReporter(promreporter.Options{
		Registerer: reg, Gatherer: reg, OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "amaranthturn", Tags: map[string]string{"role": role},
		CachedReporter: rep, Separator: promreporter.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, handler: rep.HTTPHandler(), requests: map[requestKey]*RequestMetrics{}}
}

// Handler serves the metrics page.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close stops the reporting loop.
func (m *Metrics) Close() error { return m.closer.Close() }

// Count adds to a counter of the daemon.
func (m *Metrics) Count(name string, n int64) { m.scope.Counter(name).Inc(n) }

// Gauge sets a gauge of the daemon.
func (m *Metrics) Gauge(name string, v float64) { m.scope.Gauge(name).Update(v) }

// latencyBuckets cover 1 ms to 65 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 28)

// Duration records a duration of the daemon in a histogram.
func (m *Metrics) Duration(name string, d time.Duration) {
	m.scope.Histogram(name, latencyBuckets).RecordDuration(d)
}

// maxRequestScopes is the maximum number of pairs of workspace and class with their own
// histograms. Callers choose the name of the workspace, so the number must be limited.
const maxRequestScopes = 256

// RequestMetrics holds the metrics of one workspace and class.
type RequestMetrics struct {
	scope tally.Scope
}

// Requests returns the metrics of a workspace and class.
func (m *Metrics) Requests(w fleet.Workspace, c fleet.Class) *RequestMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := requestKey{w, c}
	if r, ok := m.requests[key]; ok {
		return r
	}
	if len(m.requests) >= maxRequestScopes {
		key.workspace = "other"
	}
	r, ok := m.requests[key]
	if !ok {
		r = &RequestMetrics{m.scope.Tagged(map[string]string{"workspace": string(key.workspace), "class": c.String()})}
		m.requests[key] = r
	}
	return r
}

// Latency records a duration in the histogram called name.
func (r *RequestMetrics) Latency(name string, d time.Duration) {
	r.scope.Histogram(name, latencyBuckets).RecordDuration(d)
}

// Outcome counts how a request ended.
func (r *RequestMetrics) Outcome(o fleet.Outcome) {
	r.scope.Counter("outcome_" + o.String()).Inc(1)
}
