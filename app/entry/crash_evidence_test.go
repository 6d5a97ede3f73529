package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
)

// crashReport is the heartbeat of an agent whose engine crashed with one request.
func crashReport(agent fleet.InstanceID, f fleet.Fingerprint) membership.Report {
	return membership.Report{Instance: agent, Incarnation: 1, CrashedIncarnation: 7, Crashed: []fleet.Fingerprint{f}}
}

// syncBothWays exchanges the blame of two entries.
func syncBothWays(a, b *Entry) {
	toA, toB := b.syncMessage(), a.syncMessage()
	a.recordPeer(b.self.ID, toA)
	b.recordPeer(a.self.ID, toB)
}

// Two engines crash with the same request. Each crash is reported to another entry.
func TestCrashesReportedToDifferentEntriesAddUp(t *testing.T) {
	a, b := newScriptedFleet(t, 2), newScriptedFleet(t, 2)
	defer a.close()
	defer b.close()
	const f = fleet.Fingerprint(3)
	a.e.updateRequestState(crashReport("a1", f), a.e.now())
	b.e.updateRequestState(crashReport("a2", f), b.e.now())
	syncBothWays(a.e, b.e)
	for _, e := range []*Entry{a.e, b.e} {
		assert.Equal(t, e.ledger.Restriction(f, e.now()), crashblame.Refuse)
	}
}

// One engine crashes with a request, which its agent reports to several entries.
func TestCrashReportedToSeveralEntriesCountsOnce(t *testing.T) {
	a, b := newScriptedFleet(t, 2), newScriptedFleet(t, 2)
	defer a.close()
	defer b.close()
	const f = fleet.Fingerprint(3)
	for range 3 {
		for _, e := range []*Entry{a.e, b.e} {
			e.updateRequestState(crashReport("a1", f), e.now())
		}
		syncBothWays(a.e, b.e)
	}
	for _, e := range []*Entry{a.e, b.e} {
		assert.Equal(t, e.ledger.Restriction(f, e.now()), crashblame.Exclusive)
	}
}
