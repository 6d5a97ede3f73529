package local

import (
	"fmt"
	"io"
	"strings"
	"time"

	"amaranthturn/standin/record"
)

// Report is the result of one run.
type Report struct {
	Seed                  uint64   `json:"seed"`
	Instances             int      `json:"instances"`
	Entries               int      `json:"entries"`
	Regions               int      `json:"regions"`
	Faults                []Fault  `json:"faults"`
	Objective             string   `json:"objective"`
	TimeToNMS             int64    `json:"time_to_n_ms"`
	TimeBoundMS           int64    `json:"time_bound_ms"`
	TimeBoundRatio        float64  `json:"floor_ratio"`
	OriginBytes           int64    `json:"origin_bytes"`
	ModelBytes            int64    `json:"model_bytes"`
	OriginCopies          float64  `json:"origin_copies"`
	CrossRegionBytes      int64    `json:"cross_region_bytes"`
	RequestsSent          int      `json:"requests_sent"`
	ResponsesComplete     int      `json:"answers_whole"`
	ResponsesNotRun       int      `json:"answers_not_run"`
	ResponsesUnknown      int      `json:"answers_unknown"`
	ResponsesInvalid      int      `json:"answers_broken"`
	MixedVersionResponses int      `json:"mixed_version_answers"`
	OrdersSent            int      `json:"orders_sent"`
	OrdersRun             int      `json:"orders_run"`
	OrdersRunTwice        int      `json:"orders_run_twice"`
	OrdersLost            int      `json:"orders_lost_silently"`
	OrdersUnknown         int      `json:"orders_unknown"`
	NotRunButRan          int      `json:"not_run_but_ran"`
	InterruptedByStop     int      `json:"requests_cut_by_planned_stop"`
	InvalidWeights        int      `json:"bad_weights_at_an_engine"`
	FirstTokenP95MS       float64  `json:"first_token_ms_p95"`
	FirstTokenP95IdleMS   float64  `json:"first_token_ms_p95_idle"`
	TokenGapP95MS         float64  `json:"token_gap_ms_p95"`
	ConfigInForceMS       int64    `json:"config_in_force_ms_max"`
	PlatformReads         int64    `json:"platform_reads"`
	Converged             bool     `json:"converged"`
	BrokenPromises        []string `json:"broken_promises"`
}

// setVerdict copies the counts and broken promises of a verdict into the report.
func (r *Report) setVerdict(v record.Verdict) {
	r.RequestsSent, r.ResponsesComplete, r.ResponsesNotRun = v.RequestsSent, v.ResponsesComplete, v.ResponsesNotRun
	r.ResponsesUnknown, r.ResponsesInvalid, r.MixedVersionResponses = v.ResponsesUnknown, v.ResponsesInvalid, v.MixedVersionResponses
	r.OrdersSent, r.OrdersRun, r.OrdersRunTwice = v.OrdersSent, v.OrdersRun, v.OrdersRunTwice
	r.OrdersLost, r.OrdersUnknown, r.NotRunButRan = v.OrdersLost, v.OrdersUnknown, v.NotRunButRan
	r.InterruptedByStop, r.InvalidWeights = v.InterruptedByStop, v.InvalidWeights
	r.BrokenPromises = append([]string{}, v.Violations()...)
}

// Failed reports whether a promise was broken or the fleet did not converge.
func (r *Report) Failed() bool { return len(r.BrokenPromises) > 0 || !r.Converged }

// Print writes a human-readable summary.
func (r *Report) Print(w io.Writer) {
	printRow := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(w, "  %-28s %s\n", name, fmt.Sprintf(format, args...))
	}
	_, _ = fmt.Fprintf(w, "\n%d instances, %d entries, %d regions, seed %d, faults %v\n", r.Instances, r.Entries, r.Regions, r.Seed, r.Faults)
	printRow("time until all serve", "%d ms (minimum for these links %d ms, ratio %.2f)", r.TimeToNMS, r.TimeBoundMS, r.TimeBoundRatio)
	printRow("bytes from the origin", "%d (%.2f copies)", r.OriginBytes, r.OriginCopies)
	printRow("bytes between regions", "%d", r.CrossRegionBytes)
	printRow("requests", "%d sent, %d complete, %d not_run, %d unknown, %d broken", r.RequestsSent, r.ResponsesComplete, r.ResponsesNotRun, r.ResponsesUnknown, r.ResponsesInvalid)
	printRow("orders", "%d sent, %d run, %d run twice, %d lost, %d unknown", r.OrdersSent, r.OrdersRun, r.OrdersRunTwice, r.OrdersLost, r.OrdersUnknown)
	printRow("first token, p95", "%.1f ms (%.1f ms idle)", r.FirstTokenP95MS, r.FirstTokenP95IdleMS)
	printRow("token gap, p95", "%.1f ms", r.TokenGapP95MS)
	printRow("configuration in force", "after at most %d ms", r.ConfigInForceMS)
	printRow("converged", "%v", r.Converged)
	if len(r.BrokenPromises) == 0 {
		printRow("promises", "all kept")
		return
	}
	printRow("promises broken", "%s", strings.Join(r.BrokenPromises, ", "))
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
