package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/gossip"
	"amaranthturn/core/upgrade"
	"amaranthturn/io/peer/peerpb"
)

// A field that only one of the two conversions knows is lost on the wire without an error.
func TestExchangeKeepsEveryFieldOnTheWire(t *testing.T) {
	m := ExchangeMessage{
		Records:       []gossip.Record{{Instance: "e", Incarnation: 1, Sequence: 2, Region: "r", Zone: "z", Address: "a", CallerAddress: "c", Leaving: true}},
		Blamed:        []crashblame.Blame{{Fingerprint: 7, Value: 0.5}},
		StoreRevision: 9,
		Crashes:       []crashblame.Report{{ID: 4, Parts: []fleet.Fingerprint{5, 6}, Age: 2 * time.Second}},
		ProvenParts:   []crashblame.Proof{{Part: 5, Age: time.Second}},
		Declared:      map[fleet.Model][]upgrade.Age{"m": {{Version: 2, Known: 3 * time.Second}, {Version: 3, Known: time.Second}}},
	}
	assert.DeepEqual(t, exchangeFromWire(exchangeToWire(m)), m)
}

// A number of milliseconds that overflows a Duration would turn into a recent age.
func TestHugeAgeStaysHuge(t *testing.T) {
	m := exchangeFromWire(&peerpb.EntryRows{Declared: []*peerpb.DeclaredVersion{{Model: "m", Version: 2, KnownMs: 1 << 63}}})
	assert.Assert(t, m.Declared["m"][0].Known > upgrade.MaxAge)
}
