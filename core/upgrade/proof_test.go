package upgrade

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var proofStart = time.Unix(1_000_000, 0)

func commandOf(version uint64) LoadCommand {
	return LoadCommand{Version: version, Incarnation: 1, Sequence: 4, CheckedAt: proofStart}
}

// A load whose chunks were checked just before is used at once, and checked once more.
func TestRecentCheckProvesALoadUntilTheNextOne(t *testing.T) {
	var p Proof
	p.RecordSent(commandOf(2))
	assert.Assert(t, p.Withholds(2))
	p.RecordAccepted(proofStart.Add(MaxCheckAge))
	loaded := EngineReport{Incarnation: 1, Sequence: 5, Serving: 2}
	assert.Assert(t, !p.Withholds(2))
	assert.Assert(t, p.NeedsCheck(loaded))
	p.RecordCheck(true)
	assert.Assert(t, !p.NeedsCheck(loaded))
}

// A report that the engine gave while the command was being answered does not make its check old.
func TestReportBeforeTheAnswerLeavesTheCheckRecent(t *testing.T) {
	var p Proof
	p.RecordSent(commandOf(2))
	p.RecordReport(EngineReport{Incarnation: 1, Sequence: 5, Busy: true})
	p.RecordAccepted(proofStart)
	assert.Assert(t, !p.Withholds(2))
}

// A load whose chunks were checked too long before the acceptance, or whose acceptance is known from a
// report only, is withheld until a later check.
func TestLoadWithAnOldCheckIsWithheld(t *testing.T) {
	for name, accept := range map[string]func(*Proof){
		"late answer": func(p *Proof) { p.RecordAccepted(proofStart.Add(MaxCheckAge + 1)) },
		"no answer":   func(p *Proof) { p.RecordReport(EngineReport{Incarnation: 1, Sequence: 5, Busy: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			var p Proof
			p.RecordSent(commandOf(2))
			accept(&p)
			loaded := EngineReport{Incarnation: 1, Sequence: 5, Serving: 2}
			assert.Assert(t, p.Withholds(2) && !p.Withholds(1))
			assert.Assert(t, p.NeedsCheck(loaded))
			p.RecordCheck(true)
			assert.Assert(t, !p.Withholds(2))
		})
	}
}

// A bad chunk after the acceptance may have been taken. The engine gets no requests until it has loaded
// another version.
func TestLoadWithABadChunkIsWithheld(t *testing.T) {
	var p Proof
	p.RecordSent(commandOf(2))
	p.RecordAccepted(proofStart)
	p.RecordCheck(false)
	loaded := EngineReport{Incarnation: 1, Sequence: 5, Serving: 2}
	assert.Assert(t, p.Withholds(2) && !p.NeedsCheck(loaded))
	p.RecordSent(commandOf(3))
	p.RecordRejected()
	assert.Assert(t, p.Withholds(2), "the engine holds the same layers as before")
	p.RecordSent(commandOf(3))
	p.RecordAccepted(proofStart)
	assert.Assert(t, !p.Withholds(3))
}

// Staging a chunk after the command makes a later check say nothing of what was loaded.
func TestStagingEndsTheProofOfALoad(t *testing.T) {
	var p Proof
	p.RecordSent(commandOf(2))
	p.RecordReport(EngineReport{Incarnation: 1, Sequence: 5, Serving: 2})
	p.RecordStaging()
	p.RecordCheck(true)
	assert.Assert(t, p.Withholds(2))
	p.RecordSent(commandOf(3))
	assert.Assert(t, p.Withholds(2), "until the next version is accepted")
	p.RecordAccepted(proofStart)
	assert.Assert(t, !p.Withholds(3))
}

// An engine rejects a repeated command because it had accepted the first one, whose answer was lost.
func TestRejectedRepetitionLeavesTheFirstCommandOpen(t *testing.T) {
	var p Proof
	p.RecordSent(commandOf(2))
	p.RecordSent(commandOf(2))
	p.RecordRejected()
	p.RecordReport(EngineReport{Incarnation: 1, Sequence: 5, Busy: true})
	assert.Assert(t, p.NeedsCheck(EngineReport{Incarnation: 1, Sequence: 5, Busy: true}))
}

// An engine that has started again holds no layers that would have to be proven.
func TestRestartEndsTheProof(t *testing.T) {
	var p Proof
	p.RecordSent(commandOf(2))
	p.RecordAccepted(proofStart.Add(time.Hour))
	p.RecordReport(EngineReport{Incarnation: 2})
	assert.Assert(t, !p.Withholds(2))
	assert.Assert(t, !p.NeedsCheck(EngineReport{Incarnation: 2}))
}
