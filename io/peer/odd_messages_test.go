package peer

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
	"amaranthturn/io/peer/peerpb"
)

// A number of milliseconds that no Duration can hold must not become a short or negative time: an
// agent that was not heard of would count as just heard.
func TestOddTimesOfPeers(t *testing.T) {
	assert.Equal(t, memberFromWire(&peerpb.Member{AgeMs: math.MaxInt64}).Age, time.Duration(math.MaxInt64))
	assert.Equal(t, memberFromWire(&peerpb.Member{AgeMs: math.MaxInt64/1_000_000 + 1}).Age, time.Duration(math.MaxInt64))
	for _, ms := range []int64{noHeartbeat, -2, math.MinInt64} {
		m := memberFromWire(&peerpb.Member{AgeMs: ms})
		assert.Assert(t, !m.HasHeartbeat, "%d", ms)
		assert.Equal(t, m.Age, time.Duration(0))
	}
	assert.Equal(t, refusalFromWire(&peerpb.Refusal{RetryAfterMs: math.MaxInt64}).RetryAfter, time.Duration(math.MaxInt64))
	assert.Equal(t, refusalFromWire(&peerpb.Refusal{RetryAfterMs: math.MinInt64}).RetryAfter, time.Duration(0))
	assert.Equal(t, nonNegativeMillis(math.MinInt64), time.Duration(0))
	f := fleetFromWire(&peerpb.FleetReply{Members: []*peerpb.FleetMember{{AgeMs: math.MaxInt64}}, Entries: []*peerpb.EntryState{{AgeMs: math.MaxInt64}, {AgeMs: -5}}})
	assert.Equal(t, f.Members[0].Age, time.Duration(math.MaxInt64))
	assert.Equal(t, f.Entries[0].Age, time.Duration(math.MaxInt64))
	assert.Equal(t, f.Entries[1].Age, time.Duration(0))
	m, err := exchangeFromWire(&peerpb.EntryRows{
		Declared: []*peerpb.DeclaredVersion{{Model: "m", Version: math.MaxUint64, KnownMs: math.MaxUint64}},
		Crashes:  []*peerpb.CrashReport{{AgeMs: math.MaxUint64}}, ProvenParts: []*peerpb.ProvenPart{{AgeMs: math.MaxUint64}},
	})
	assert.NilError(t, err)
	assert.Equal(t, m.Declared["m"][0].Known, time.Duration(math.MaxInt64))
	assert.Equal(t, m.Crashes[0].Age, time.Duration(math.MaxInt64))
	assert.Equal(t, m.ProvenParts[0].Age, time.Duration(math.MaxInt64))
}

// FuzzPeer decodes bytes as each message of a peer. No conversion may panic or give a negative time.
func FuzzPeer(f *testing.F) {
	for _, m := range []proto.Message{
		&peerpb.AgentReport{Models: []*peerpb.ModelState{{Phase: -1, ChunksHeld: math.MaxUint32, Promises: []*peerpb.Promise{{}}}}, Load: &peerpb.LoadReport{Running: math.MaxUint32}},
		&peerpb.AgentNotice{PlanMac: []byte{1}, Members: []*peerpb.Member{{AgeMs: math.MinInt64}}, Entries: []*peerpb.EntryAddress{{Address: "\x00:70000"}}},
		&peerpb.GenerateRequest{Class: "x", DeadlineUnixMs: math.MinInt64, ResumeFrom: math.MaxUint32},
		&peerpb.GenerateEvent{Refusal: &peerpb.Refusal{Outcome: -1, RetryAfterMs: math.MinInt64}}, &peerpb.CallReply{Status: -1},
		&peerpb.Document{Base: 1, Prefix: math.MaxUint32, Suffix: math.MaxUint32}, &peerpb.FleetReply{Members: []*peerpb.FleetMember{{}}},
		&peerpb.ChunksHeld{Bitmap: []byte{0xff}, Added: []uint32{math.MaxUint32}},
		&peerpb.EntryRows{Rows: []*peerpb.EntryRow{{}}, Declared: []*peerpb.DeclaredVersion{{KnownMs: math.MaxUint64}}, Crashes: []*peerpb.CrashReport{{AgeMs: math.MaxUint64, Parts: []uint64{1}}}},
	} {
		body, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		convertStatus(t, body)
		convertRequests(t, body)
	})
}

// convertStatus converts body as the messages on the state of daemons.
func convertStatus(t *testing.T, body []byte) {
	decode := func(m proto.Message) bool { return proto.Unmarshal(body, m) == nil }
	if m := (&peerpb.AgentReport{}); decode(m) {
		assertLoad(t, reportFromWire(m).Load)
		assertLoad(t, applyBrief(membership.Report{}, m).Load)
	}
	if m := (&peerpb.AgentNotice{}); decode(m) {
		for _, member := range noticeFromWire(m).Members {
			assert.Assert(t, member.Age >= 0)
			assert.Assert(t, member.HasHeartbeat || member.Age == 0)
		}
	}
	if m := (&peerpb.FleetReply{}); decode(m) {
		for _, member := range fleetFromWire(m).Members {
			assert.Assert(t, member.Age >= 0)
		}
	}
	if m := (&peerpb.ChunksHeld{}); decode(m) {
		for _, c := range chunksHeldFromWire(m).Added {
			assert.Assert(t, c >= 0)
		}
	}
	if m := (&peerpb.EntryRows{}); decode(m) {
		// A retained state that cannot be decompressed is an error.
		if exchange, err := exchangeFromWire(m); err == nil {
			assertExchange(t, exchange)
		}
	}
}

// convertRequests converts body as the messages of requests and configurations.
func convertRequests(t *testing.T, body []byte) {
	decode := func(m proto.Message) bool { return proto.Unmarshal(body, m) == nil }
	if m := (&peerpb.GenerateRequest{}); decode(m) {
		_ = generateFromWire(m)
	}
	if m := (&peerpb.GenerateEvent{}); decode(m) {
		assertRefusal(t, eventFromWire(m).Refusal)
	}
	if m := (&peerpb.CallRequest{}); decode(m) {
		_ = callFromWire(m)
	}
	if m := (&peerpb.CallReply{}); decode(m) {
		assertRefusal(t, replyFromWire(m).Refusal)
	}
	if m := (&peerpb.Document{}); decode(m) {
		u := updateFromWire(m)
		assert.Assert(t, u.Delta.Prefix >= 0 && u.Delta.Suffix >= 0)
	}
}

func assertLoad(t *testing.T, l membership.Load) {
	assert.Assert(t, min(l.Running, l.Queued, l.Capacity) >= 0)
}

func assertRefusal(t *testing.T, r *fleet.Refusal) {
	assert.Assert(t, r == nil || r.RetryAfter >= 0)
}

// assertExchange also merges the crashes, as an entry does.
func assertExchange(t *testing.T, m ExchangeMessage) {
	for _, ages := range m.Declared {
		for _, a := range ages {
			assert.Assert(t, a.Known >= 0)
		}
	}
	for _, c := range m.Crashes {
		assert.Assert(t, c.Age >= 0)
	}
	crashblame.NewPartLedger().Merge(m.Crashes, m.ProvenParts, time.Unix(1_000_000, 0))
}

// TestReplyRoundTrip checks that no field of a reply is lost on its way to the entry.
func TestReplyRoundTrip(t *testing.T) {
	for _, r := range []Reply{
		{Status: 201, ContentType: "text/plain", Body: []byte("b"), Unframed: true},
		{Refusal: fleet.NotRun(fleet.ReasonStoppedBeforeStart, time.Second)},
	} {
		assert.DeepEqual(t, replyFromWire(replyToWire(r)), r)
	}
}
