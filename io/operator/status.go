// Package operator serves and queries the state of the fleet.
//
// # Usage
//
// A daemon serves the state with NewHandler; the command line queries it with a Client:
//
//	st, err := operator.NewClient("http://127.0.0.1:7002").Status(ctx)
//
// Any entry can report the state of the full fleet: it queries the other entries and
// reports the age of each part and which entries were unreachable.
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
	Era          uint64            `json:"era,omitempty"` // of the revision: how often the platform's store was restored
	Refused      *Refused          `json:"refused,omitempty"`
	Withheld     *Withheld         `json:"withheld,omitempty"`
	Models       []ModelStatus     `json:"models"`
	Exceptions   []ExceptionStatus `json:"exceptions"`
	Instances    []InstanceStatus  `json:"instances"`
	Entries      []EntryStatus     `json:"entries"`
	OriginBytes  int64             `json:"origin_bytes"`
	OriginCopies float64           `json:"origin_copies,omitempty"`
}

// Refused describes a published configuration that was refused and changed nothing.
type Refused struct {
	Revision uint64 `json:"revision"`
	Era      uint64 `json:"era,omitempty"`
	Problems string `json:"problems"`
}

// Withheld is the position of an older configuration that the platform's store contains since
// it was restored from a copy. It is not in force.
type Withheld struct {
	Revision uint64 `json:"revision"`
	Era      uint64 `json:"era"`
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

// ExceptionStatus is the state of an exception in force.
type ExceptionStatus struct {
	Name    string     `json:"name"`
	Reason  string     `json:"reason"`
	Expires *time.Time `json:"expires,omitempty"`
	Overdue bool       `json:"overdue,omitempty"`
}

// InstanceStatus is the state of one target instance.
type InstanceStatus struct {
	Instance    string `json:"instance"`
	Zone        string `json:"availability_zone"`
	State       string `json:"state"`
	Revision    uint64 `json:"revision"`
	Era         uint64 `json:"era,omitempty"`
	AgeMS       int64  `json:"age_ms"` // age of the latest report; -1 if none was received
	Model       string `json:"model,omitempty"`
	Desired     string `json:"desired,omitempty"`
	Serving     string `json:"serving,omitempty"`
	Phase       string `json:"phase,omitempty"`
	ChunksHeld  int    `json:"chunks_held"`
	ChunksTotal int    `json:"chunks_total"`
	WaitsFor    string `json:"waits_for,omitempty"`
	Lags        bool   `json:"lags"`
}

// EntryStatus is the state of one entry instance.
type EntryStatus struct {
	Instance string `json:"instance"`
	Revision uint64 `json:"revision"`
	Era      uint64 `json:"era,omitempty"`
	AgeMS    int64  `json:"age_ms"`
	Problem  string `json:"problem,omitempty"`
}

// Explanation contains the settings and the state that explain an instance's behavior.
type Explanation struct {
	Instance string           `json:"instance"`
	Revision uint64           `json:"revision"`
	Era      uint64           `json:"era,omitempty"`
	Settings []config.Setting `json:"settings"`
	State    []InstanceStatus `json:"state"`
}
