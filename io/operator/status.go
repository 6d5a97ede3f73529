// Package operator serves and asks for the state of the fleet.
//
// # Usage
//
// A daemon serves with NewHandler; the command line asks with a Client:
//
//	st, err := operator.NewClient("http://127.0.0.1:7002").Status(ctx)
//
// One entry, any, answers for the whole fleet: it asks the other entries and says
// how old each part is and which parts it could not reach.
package operator

import (
	"time"

	"amaranthturn/core/config"
)

// Status is the state of the fleet.
type Status struct {
	Converged    bool              `json:"converged"`
	Entry        string            `json:"entry"`
	Revision     uint64            `json:"revision"`
	Refused      *Refused          `json:"refused,omitempty"`
	Models       []ModelStatus     `json:"models"`
	Exceptions   []ExceptionStatus `json:"exceptions"`
	Instances    []InstanceStatus  `json:"instances"`
	Entries      []EntryStatus     `json:"entries"`
	OriginBytes  int64             `json:"origin_bytes"`
	OriginCopies float64           `json:"origin_copies,omitempty"`
}

// Refused is a published configuration that changed nothing.
type Refused struct {
	Revision uint64 `json:"revision"`
	Problems string `json:"problems"`
}

// ModelStatus counts the instances of one model and version.
type ModelStatus struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Desired int    `json:"desired"`
	Serving int    `json:"serving"`
	Loading int    `json:"loading"`
	Stuck   int    `json:"stuck"`
}

// ExceptionStatus is an exception in force.
type ExceptionStatus struct {
	Name    string     `json:"name"`
	Reason  string     `json:"reason"`
	Expires *time.Time `json:"expires,omitempty"`
	Overdue bool       `json:"overdue,omitempty"`
}

// InstanceStatus is one target instance.
type InstanceStatus struct {
	Instance string `json:"instance"`
	Zone     string `json:"availability_zone"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	AgeMS    int64  `json:"age_ms"` // of what is said of it; -1 when nothing was heard
	Model    string `json:"model,omitempty"`
	Desired  string `json:"desired,omitempty"`
	Serving  string `json:"serving,omitempty"`
	Phase    string `json:"phase,omitempty"`
	Held     int    `json:"chunks_held"`
	Total    int    `json:"chunks_total"`
	WaitsFor string `json:"waits_for,omitempty"`
	Lags     bool   `json:"lags"`
}

// EntryStatus is one entry instance.
type EntryStatus struct {
	Instance string `json:"instance"`
	Revision uint64 `json:"revision"`
	AgeMS    int64  `json:"age_ms"`
	Problem  string `json:"problem,omitempty"`
}

// Explanation says why an instance does what it does.
type Explanation struct {
	Instance string           `json:"instance"`
	Revision uint64           `json:"revision"`
	Settings []config.Setting `json:"settings"`
	State    []InstanceStatus `json:"state"`
}
