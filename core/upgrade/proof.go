package upgrade

import (
	"time"

	"amaranthturn/core/clock"
	"amaranthturn/core/fleet"
)

// MaxCheckAge is the age up to which a check of the staged chunks holds for a load command. A chunk
// may turn bad at any time after it was checked.
const MaxCheckAge = 2 * time.Second

// LoadCommand is a command to load a version of staged weights.
type LoadCommand struct {
	Version     uint64
	Incarnation fleet.Incarnation // of the engine that the command is sent to
	// Sequence is the number of commands that the engine had accepted before.
	Sequence uint64
	// CheckedAt is when the check of the staged chunks began that found all of them whole.
	CheckedAt time.Time
}

// EngineReport is what an engine reports of its commands and layers.
type EngineReport struct {
	Incarnation fleet.Incarnation
	Sequence    uint64
	Busy        bool
	Serving     uint64
}

// Proof tracks whether the chunks that an engine took with the last load command were whole.
//
// An engine takes the staged chunks as they are when it accepts a command, and a staged chunk that
// has turned bad stays bad until it is staged again. A check that begins after the acceptance and
// finds all chunks whole therefore proves the load, unless a chunk was staged after the command.
// Until then only a check that was recent when the command was accepted speaks for it. An engine that
// holds a version does not load it again, so a load that is not proven is withheld until the engine has
// loaded another version or started again.
//
// The zero Proof has no load to prove. It is not safe for concurrent use.
type Proof struct {
	command LoadCommand
	state   proofState
	// isRecent reports that the check before the command was recent at its acceptance.
	isRecent bool
	// isRepeated reports that the command was sent before, and not answered.
	isRepeated bool
	// replaced is the load of other layers that is withheld until the command is accepted.
	replaced *Proof
}

type proofState int

const (
	proofNone     proofState = iota // nothing to prove
	proofSent                       // the engine may have accepted the command
	proofAccepted                   // accepted, not checked since
	proofFailed                     // may have been accepted with a bad chunk
)

// RecordSent records that a command is about to be sent.
func (p *Proof) RecordSent(c LoadCommand) {
	last := *p
	*p = Proof{command: c, state: proofSent}
	switch {
	case last.state == proofSent && last.command.Version == c.Version && last.command.Sequence == c.Sequence:
		p.isRepeated, p.replaced, p.command.CheckedAt = true, last.replaced, last.command.CheckedAt
	case last.Withholds(last.Version()):
		p.replaced = &last
	}
}

// RecordAccepted records that the engine has stated that it accepted the command.
func (p *Proof) RecordAccepted(now time.Time) {
	if p.state == proofSent || p.state == proofAccepted { // a report may have shown it before
		p.accept()
		p.isRecent = clock.Elapsed(p.command.CheckedAt, now) <= MaxCheckAge
	}
}

func (p *Proof) accept() { p.state, p.replaced = proofAccepted, nil }

// RecordRejected records that the engine has stated that it did not accept the command. It may have
// accepted one that was sent before and not answered.
func (p *Proof) RecordRejected() {
	switch {
	case p.isRepeated:
	case p.replaced != nil:
		*p = *p.replaced
	default:
		*p = Proof{}
	}
}

// RecordReport records a report that the engine gave after the command was sent.
func (p *Proof) RecordReport(r EngineReport) {
	switch {
	case p.state == proofNone:
	case r.Incarnation != p.command.Incarnation && (r.Busy || r.Serving == p.command.Version):
		p.command.Incarnation = r.Incarnation // it has started again before the command reached it
	case r.Incarnation != p.command.Incarnation:
		*p = Proof{} // an engine that has started again holds no layers
	case p.state == proofSent && (r.Sequence > p.command.Sequence || r.Serving == p.command.Version):
		p.accept()
	}
}

// RecordStaging records that chunks are staged. A later check no longer shows what was loaded.
func (p *Proof) RecordStaging() {
	if p.state == proofAccepted && !p.isRecent {
		p.state = proofFailed
	}
	if p.state == proofAccepted {
		*p = Proof{}
	}
}

// RecordCheck records whether a check that began after NeedsCheck had returned true found all staged
// chunks whole.
func (p *Proof) RecordCheck(whole bool) {
	switch {
	case p.state != proofAccepted:
	case whole:
		*p = Proof{}
	default:
		p.state = proofFailed
	}
}

// Version returns the version to prove, or 0 if there is none.
func (p *Proof) Version() uint64 { return p.command.Version }

// Withholds reports whether no requests may run on a loaded version yet.
func (p *Proof) Withholds(version uint64) bool {
	if version == 0 || p.state == proofNone {
		return false
	}
	if version != p.command.Version {
		return p.replaced != nil && p.replaced.Withholds(version)
	}
	return p.state == proofFailed || !p.isRecent
}

// NeedsCheck reports whether the staged chunks have to be checked now.
func (p *Proof) NeedsCheck(r EngineReport) bool {
	return p.state == proofAccepted && r.Incarnation == p.command.Incarnation
}
