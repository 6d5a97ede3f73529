// Package peer implements the communication between the daemons over gRPC.
//
// # Usage
//
// A daemon serves with RegisterEntry or RegisterAgent and calls with a Pool:
//
//	pool := peer.NewPool(peer.DialOptions{})
//	err := pool.Generate(ctx, address, req, func(e peer.GenerateEvent) error { … })
//
// Handlers and callers use the types of this file and of the core packages. The
// conversions in convert.go hide the generated types.
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

// ConnectionError reports that a daemon did not respond or that the connection failed. The
// daemon may have executed the request.
type ConnectionError struct {
	Address string
	Cause   error
	// NotSent reports that no connection was established, so the request was not sent.
	NotSent bool
	// DeadlinePassed reports that the call ended at its deadline, by the clock of either side.
	DeadlinePassed bool
}

// Error implements error.
func (e *ConnectionError) Error() string { return fmt.Sprintf("peer %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ConnectionError) Unwrap() error { return e.Cause }

// Errors of chunk transfers.
var (
	ErrBusy    = errors.New("no upload slot is free")
	ErrMissing = errors.New("chunk is not held")
)

// MemberInfo is an entry's information for an agent about another agent.
type MemberInfo struct {
	Instance     fleet.Instance
	Incarnation  fleet.Incarnation
	Models       []membership.ModelState
	HasHeartbeat bool          // reports whether a heartbeat was received
	Age          time.Duration // time since the last heartbeat
	LeaseExpired bool          // reports whether the lease has expired
}

// Notice is a message from an entry to an agent.
type Notice struct {
	Plan    *configsync.SignedPlan
	Members []MemberInfo
	// Replace reports that Members is the full list. Otherwise Members updates only the
	// instances that it contains.
	Replace bool
	Entries []fleet.Instance // nil when unchanged
	Ack     uint64           // sequence of the heartbeat that requested this notice, else 0
}

// GenerateRequest is a generation request to a model. It is safe to repeat.
type GenerateRequest struct {
	RequestID   string
	Workspace   fleet.Workspace
	Model       fleet.Model
	Class       fleet.Class
	Body        []byte
	Version     fleet.Version // pinned version; empty for the version that the target serves
	ResumeFrom  int           // number of tokens already sent to the caller
	Deadline    time.Time
	Fingerprint fleet.Fingerprint
	Incarnation fleet.Incarnation
	Exclusive   bool
}

// GenerateEvent is one message of a generation stream.
type GenerateEvent struct {
	Version      fleet.Version
	Index        int
	Token        string
	Done         bool
	FinishReason string
	CanResume    bool
	Refusal      *fleet.Refusal
}

// Call is a request to a service that is not a model.
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

// Reply is the result of a call: a response or a refusal.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	Unframed    bool // nothing shows that the body is complete
	Refusal     *fleet.Refusal
}

// SyncMessage is the periodic exchange between entries.
type SyncMessage struct {
	Instance    fleet.InstanceID
	Position    fleet.Position // of the response that contained the document in force
	HistorySum  uint64         // 0 from a build that keeps no history
	PlatformAge time.Duration  // time since the sender last reached the platform
	Blamed      []crashblame.Blame
	Update      *configsync.Update        // replies only: the change that the requesting entry lacks
	History     *configsync.SignedHistory // replies only: set if the requesting entry has another one
}

// EntryState is the state of an entry as seen by another entry.
type EntryState struct {
	Instance fleet.InstanceID
	Address  string
	Position fleet.Position
	Age      time.Duration
	Problem  string
}

// FleetMember is the state of one agent in Fleet.
type FleetMember struct {
	Report membership.Report
	Age    time.Duration // time since the report
}

// Fleet is an entry's view of the fleet.
type Fleet struct {
	Entry    fleet.InstanceID
	Position fleet.Position // at which the configuration in force was written
	// RefusedPosition and Refused are the position and the problems of a refused
	// configuration.
	RefusedPosition fleet.Position
	Refused         string
	Withheld        fleet.Position // of the platform's document if it is older than the one in force
	Members         []FleetMember
	Entries         []EntryState
}

// ChunkRef identifies a chunk of a version.
type ChunkRef struct {
	Version   fleet.Version
	Index     int
	Digest    fleet.Digest
	Requester fleet.InstanceID // the requesting instance
	Size      fleet.Bytes      // size of the chunk, not sent; 0 if unknown
}

// ChunksHeld is one message of a chunk watch.
type ChunksHeld struct {
	Bitmap  swarm.Bitmap // all chunks held; nil after the first message
	Added   []int
	Removed bool // reports that the peer no longer holds this version
}
