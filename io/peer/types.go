// Package peer carries messages between the daemons over gRPC.
//
// # Usage
//
// A daemon serves with RegisterEntry or RegisterAgent and calls with a Pool:
//
//	pool := peer.NewPool(peer.DialOptions{})
//	err := pool.Generate(ctx, address, req, func(e peer.Event) error { … })
//
// Handlers and callers use the types of this file and of the core packages; the
// generated types stay behind the conversions in convert.go.
package peer

import (
	"errors"
	"fmt"
	"time"

	"amaranthturn/core/configsync"
	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
	"amaranthturn/core/swarm"
)

// LostError reports that a daemon did not answer or the connection broke. What it
// was asked to do may have been done.
type LostError struct {
	Address string
	Cause   error
	// NotSent tells that the connection could not be made at all.
	NotSent bool
}

// Error implements error.
func (e *LostError) Error() string { return fmt.Sprintf("peer %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// Errors of chunk transfers.
var (
	ErrBusy    = errors.New("no upload slot is free")
	ErrMissing = errors.New("chunk is not held")
)

// MemberInfo is what an entry tells an agent about another one.
type MemberInfo struct {
	Instance    fleet.Instance
	Incarnation fleet.Incarnation
	Models      []membership.ModelState
	Heard       bool          // a heartbeat was received
	Age         time.Duration // since that heartbeat
	Lost        bool          // its lease has run out
}

// Notice is what an entry tells an agent.
type Notice struct {
	Plan    *configsync.SignedPlan
	Members []MemberInfo
	// Replace tells that Members replaces the earlier list; otherwise the rows
	// replace those of the same instances.
	Replace bool
	Entries []fleet.Instance // nil when unchanged
	Ack     uint64           // the heartbeat that asked for it, else 0
}

// GenerateRequest is a repeatable request to a model.
type GenerateRequest struct {
	RequestID   string
	Workspace   fleet.Workspace
	Model       fleet.Model
	Class       fleet.Class
	Body        []byte
	Version     fleet.Version // pinned; empty for what the target serves
	ResumeFrom  int
	Deadline    time.Time
	Fingerprint fleet.Fingerprint
	Incarnation fleet.Incarnation
	Alone       bool
}

// Event is one step of an answer.
type Event struct {
	Version   fleet.Version
	Index     int
	Token     string
	Done      bool
	Finish    string
	CanResume bool
	Refusal   *fleet.Refusal
}

// Call is a call of a plain service.
type Call struct {
	RequestID   string
	Workspace   fleet.Workspace
	Service     fleet.Service
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Deadline    time.Time
}

// Reply is the end of a call: an answer, or a refusal.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	Refusal     *fleet.Refusal
}

// SyncMessage is the periodic exchange between entries.
type SyncMessage struct {
	Instance    fleet.InstanceID
	Revision    fleet.Revision
	Digest      fleet.Digest
	PlatformAge time.Duration
	Suspects    []crashblame.Blame
	Update      *configsync.Update // replies only: what the asker lacks
}

// EntryState is what is known of an entry.
type EntryState struct {
	Instance fleet.InstanceID
	Address  string
	Revision fleet.Revision
	Age      time.Duration
	Problem  string
}

// FleetMember is one agent in a fleet-wide answer.
type FleetMember struct {
	Report membership.Report
	Age    time.Duration
}

// Fleet is an entry's answer about the whole fleet.
type Fleet struct {
	Entry           fleet.InstanceID
	Revision        fleet.Revision
	RefusedRevision fleet.Revision
	Refused         string
	Members         []FleetMember
	Entries         []EntryState
}

// ChunkRef names a chunk of a version.
type ChunkRef struct {
	Version fleet.Version
	Index   int
	Digest  fleet.Digest
	By      fleet.InstanceID
}

// Held is one message of a chunk watch.
type Held struct {
	Bitmap swarm.Bitmap // nil after the first message
	Added  []int
	Gone   bool // the peer does not hold this version any more
}
