// Package fleet defines the identifiers, enums and units shared by all packages.
//
// # Usage
//
//	var m fleet.Model = "assistant"
//	v := fleet.VersionOf(manifestBytes)
//	if !v.Valid() {
//		return fleet.ErrBadVersion
//	}
//
// Identifiers are named string types, so that the compiler rejects an instance where
// a workspace is expected.
package fleet

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strconv"
	"strings"
)

//go:generate stringer -type=Class,Outcome,Role,Objective -output=fleet_string.go -linecomment

// ErrBadVersion is returned for a version that is not a sha256 manifest digest.
var ErrBadVersion = errors.New("version is not sha256:<64 hex digits>")

// InstanceID identifies an instance in the platform's list.
type InstanceID string

// Region identifies a region.
type Region string

// Zone identifies an availability zone.
type Zone string

// Workspace identifies a customer's workspace.
type Workspace string

// Model identifies a model, independent of its version.
type Model string

// Service identifies a plain service.
type Service string

// Pool identifies a group of target instances that serve the same models or services.
type Pool string

// Version is the digest of a manifest: "sha256:" and 64 hex digits.
type Version string

// Digest is a sha256 digest in the form of Version.
type Digest string

// Incarnation identifies one run of a daemon or target under an instance ID. It increases
// with each restart.
type Incarnation uint64

// Revision is the sequence number of a configuration published by the platform.
type Revision uint64

// Era counts how often the store of the platform was restored from a copy. It is 0 for a
// platform that does not state it.
type Era uint64

// Position orders what the platform published. A store that is restored from a copy gives
// out its revisions again, in a higher era.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare returns -1, 0 or 1 for an earlier, equal or later position than q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is earlier than q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// IsZero reports whether p is the position before the first publication.
func (p Position) IsZero() bool { return p == Position{} }

// Fingerprint is the hash of a request's workspace, model and body.
type Fingerprint uint64

// String returns the fingerprint as it stands in logs.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// Bytes is a size in bytes.
type Bytes int64

const digestPrefix = "sha256:"

// VersionOf returns the version that a manifest body identifies.
func VersionOf(manifest []byte) Version {
	return Version(DigestOf(manifest))
}

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(digestPrefix + hex.EncodeToString(sum[:]))
}

// Valid reports whether v has the form of a manifest digest.
func (v Version) Valid() bool {
	rest, ok := strings.CutPrefix(string(v), digestPrefix)
	if !ok || len(rest) != 2*sha256.Size {
		return false
	}
	_, err := hex.DecodeString(rest)
	return err == nil
}

// Short returns the first 12 hex digits, for tables and log lines.
func (v Version) Short() string {
	rest := strings.TrimPrefix(string(v), digestPrefix)
	if len(rest) > 12 {
		return rest[:12]
	}
	return rest
}

// Class is the priority class of a request. A lower value is served first.
type Class int

// The classes, most urgent first.
const (
	ClassInteractive Class = iota // interactive
	ClassStandard                 // standard
	ClassBatch                    // batch
)

// Classes lists all classes, most urgent first.
var Classes = []Class{ClassInteractive, ClassStandard, ClassBatch}

// ParseClass returns the class with the given name. The empty name is ClassStandard.
func ParseClass(name string) (Class, bool) {
	if name == "" {
		return ClassStandard, true
	}
	for _, c := range Classes {
		if c.String() == name {
			return c, true
		}
	}
	return 0, false
}

// Outcome is the known result of a request, in particular of one without a complete
// response.
type Outcome int

// The outcomes. OutcomeNotRun is only reported by a component that ensures that the
// request will not run later.
const (
	OutcomeDone    Outcome = iota // done
	OutcomeNotRun                 // not_run
	OutcomeUnknown                // unknown
	OutcomeRunning                // running
)

// Role is the daemon's role on an instance.
type Role int

// The roles of instances.
const (
	RoleEntry  Role = iota // entry
	RoleTarget             // target
)

// ParseRole returns the role with the given name.
func ParseRole(name string) (Role, bool) {
	for _, r := range []Role{RoleEntry, RoleTarget} {
		if r.String() == name {
			return r, true
		}
	}
	return 0, false
}

// Objective is what a distribution minimizes: time or bytes from the origin.
type Objective int

// The objectives.
const (
	ObjectiveTime        Objective = iota // time
	ObjectiveOriginBytes                  // origin_bytes
)

// ParseObjective returns the objective with the given name.
func ParseObjective(name string) (Objective, bool) {
	for _, o := range []Objective{ObjectiveTime, ObjectiveOriginBytes} {
		if o.String() == name {
			return o, true
		}
	}
	return 0, false
}

// Instance is a record of the platform's list.
type Instance struct {
	ID            InstanceID
	Role          Role
	Region        Region
	Zone          Zone
	Pool          Pool
	Address       string // host:port of the peer listener
	CallerAddress string // host:port of the caller listener, entries only
	Leaving       bool
}
