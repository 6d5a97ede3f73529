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
	Seed            uint64   `json:"seed"`
	Instances       int      `json:"instances"`
	Entries         int      `json:"entries"`
	Regions         int      `json:"regions"`
	Faults          []Fault  `json:"faults"`
	Objective       string   `json:"objective"`
	TimeToNMS       int64    `json:"time_to_n_ms"`
	TimeBoundMS     int64    `json:"time_bound_ms"`
	FloorRatio      float64  `json:"floor_ratio"`
	OriginBytes     int64    `json:"origin_bytes"`
	ModelBytes      int64    `json:"model_bytes"`
	OriginCopies    float64  `json:"origin_copies"`
	CrossBytes      int64    `json:"cross_region_bytes"`
	RequestsSent    int      `json:"requests_sent"`
	AnswersWhole    int      `json:"answers_whole"`
	AnswersNotRun   int      `json:"answers_not_run"`
	AnswersUnknown  int      `json:"answers_unknown"`
	AnswersBroken   int      `json:"answers_broken"`
	MixedVersion    int      `json:"mixed_version_answers"`
	OrdersSent      int      `json:"orders_sent"`
	OrdersRun       int      `json:"orders_run"`
	OrdersTwice     int      `json:"orders_run_twice"`
	OrdersLost      int      `json:"orders_lost_silently"`
	OrdersUnknown   int      `json:"orders_unknown"`
	NotRunButRan    int      `json:"not_run_but_ran"`
	CutByStop       int      `json:"requests_cut_by_planned_stop"`
	BadWeights      int      `json:"bad_weights_at_an_engine"`
	FirstTokenP95   float64  `json:"first_token_ms_p95"`
	FirstTokenIdle  float64  `json:"first_token_ms_p95_idle"`
	TokenGapP95     float64  `json:"token_gap_ms_p95"`
	ConfigInForceMS int64    `json:"config_in_force_ms_max"`
	PlatformReads   int64    `json:"platform_reads"`
	Converged       bool     `json:"converged"`
	Broken          []string `json:"broken_promises"`
}

func (r *Report) take(v record.Verdict) {
	r.RequestsSent, r.AnswersWhole, r.AnswersNotRun = v.RequestsSent, v.AnswersWhole, v.AnswersNotRun
	r.AnswersUnknown, r.AnswersBroken, r.MixedVersion = v.AnswersUnknown, v.AnswersBroken, v.MixedVersion
	r.OrdersSent, r.OrdersRun, r.OrdersTwice = v.OrdersSent, v.OrdersRun, v.OrdersTwice
	r.OrdersLost, r.OrdersUnknown, r.NotRunButRan = v.OrdersLost, v.OrdersUnknown, v.NotRunButRan
	r.CutByStop, r.BadWeights = v.CutByStop, v.BadWeights
	r.Broken = append([]string{}, v.Broken()...)
}

// Failed tells whether a promise was broken or the fleet did not converge.
func (r *Report) Failed() bool { return len(r.Broken) > 0 || !r.Converged }

// Print writes the summary for people.
func (r *Report) Print(w io.Writer) {
	row := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(w, "  %-28s %s\n", name, fmt.Sprintf(format, args...))
	}
	_, _ = fmt.Fprintf(w, "\n%d instances, %d entries, %d regions, seed %d, faults %v\n", r.Instances, r.Entries, r.Regions, r.Seed, r.Faults)
	row("time to all serving", "%d ms (links allow %d ms, ratio %.2f)", r.TimeToNMS, r.TimeBoundMS, r.FloorRatio)
	row("bytes from the origin", "%d (%.2f copies)", r.OriginBytes, r.OriginCopies)
	row("bytes between regions", "%d", r.CrossBytes)
	row("requests", "%d sent, %d whole, %d not_run, %d unknown, %d broken", r.RequestsSent, r.AnswersWhole, r.AnswersNotRun, r.AnswersUnknown, r.AnswersBroken)
	row("orders", "%d sent, %d run, %d twice, %d lost, %d unknown", r.OrdersSent, r.OrdersRun, r.OrdersTwice, r.OrdersLost, r.OrdersUnknown)
	row("first token, p95", "%.1f ms (%.1f ms idle)", r.FirstTokenP95, r.FirstTokenIdle)
	row("token gap, p95", "%.1f ms", r.TokenGapP95)
	row("configuration in force", "%d ms at most", r.ConfigInForceMS)
	row("converged", "%v", r.Converged)
	if len(r.Broken) == 0 {
		row("promises", "all kept")
		return
	}
	row("promises broken", "%s", strings.Join(r.Broken, ", "))
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
