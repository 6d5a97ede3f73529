package peer

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/gossip"
	"amaranthturn/core/mirror"
	"amaranthturn/core/notice"
	"amaranthturn/core/ratelimit"
	"amaranthturn/core/upgrade"
	"amaranthturn/io/peer/peerpb"
)

// A field that only one of the two conversions knows is lost on the wire without an error.
func TestExchangeKeepsEveryFieldOnTheWire(t *testing.T) {
	m := ExchangeMessage{
		Records:       []gossip.Record{{Instance: "e", Incarnation: 1, Sequence: 2, Region: "r", Zone: "z", Address: "a", CallerAddress: "c", Leaving: true, Age: 3 * time.Second, Idle: []fleet.Service{"s"}}},
		Blamed:        []crashblame.Blame{{Fingerprint: 7, Crash: 8, Share: 0.5, Age: 3 * time.Second, Idle: 2 * time.Second}, {Fingerprint: 9, Crash: 10, IsTrial: true}},
		StorePosition: mirror.Position{Era: 2, Revision: 9},
		ConfigVersion: 11,
		Leaving:       []notice.Target{{ID: "t", Incarnation: 5}},
		Limits: []ratelimit.Limit{
			{Target: notice.Target{ID: "t", Incarnation: 5}, Revision: 3, IsInForce: true, Rate: 1.6},
			{Target: notice.Target{ID: "u", Incarnation: 6}, Revision: 4},
		},
		Retained:    []mirror.Event{{Key: "k", Value: []byte("v"), Era: 1, Revision: 12}, {Key: "l", Value: bytes.Repeat([]byte("w"), minCompressBytes), Era: 1, Revision: 13}},
		Crashes:     []crashblame.Report{{ID: 4, Parts: []fleet.Fingerprint{5, 6}, Age: 2 * time.Second}},
		ProvenParts: []crashblame.Proof{{Part: 5, Age: time.Second}},
		Reads:       statedReads,
		Declared:    map[fleet.Model][]upgrade.Age{"m": {{Version: 2, Known: 3 * time.Second}, {Version: 3, Known: time.Second}}},
	}
	got, err := exchangeFromWire(exchangeToWire(m, &valueCompressor{}))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, m)
}

// The same for what an agent reports of its target.
func TestTargetLoadKeepsEveryFieldOnTheWire(t *testing.T) {
	l := TargetLoad{
		Incarnation: 1, Running: 2, Queued: 3, CacheUsed: 4, CacheTotal: 5, Model: "m", Version: 6, Loadable: 7, Accepting: true, Leaving: true, Pace: 1.5,
	}
	assert.Equal(t, targetLoadFromWire(targetLoadToWire(l)), l)
}

// A number of milliseconds that overflows a Duration would turn into a recent age.
func TestHugeAgeStaysHuge(t *testing.T) {
	m, err := exchangeFromWire(&peerpb.EntryRows{Declared: []*peerpb.DeclaredVersion{{Model: "m", Version: 2, KnownMs: 1 << 63}}})
	assert.NilError(t, err)
	assert.Assert(t, m.Declared["m"][0].Known > upgrade.MaxAge)
}

// Store updates carry the era of each item, and of states from before a restoration.
func TestStoreChangesKeepErasOnTheWire(t *testing.T) {
	large := bytes.Repeat([]byte("w"), minCompressBytes)
	want := StoreChanges{
		Update: mirror.Update{
			Events: []mirror.Event{{Key: "k", Value: large, Era: 2, Revision: 7}, {Key: "l", Era: 1, Revision: 9, Deleted: true, Missing: true}},
			At:     mirror.Position{Era: 2, Revision: 8}, EraBase: 6, Full: true,
		},
		Retained: []mirror.Event{{Key: "k", Value: []byte("old"), Era: 1, Revision: 12}}, Age: time.Second, StoreUnavailable: true,
		WasMissed: true, Reads: statedReads,
	}
	got, err := changesFromWire(changesToWire(want, &valueCompressor{}))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}
