package spread

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthturn/core/fleet"
	"amaranthturn/core/keys"
	"amaranthturn/internal/fixedseed"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

func ring(t interface{ Fatal(...any) }, active keys.ID, ids ...keys.ID) *keys.Ring {
	secrets := map[keys.ID][]byte{}
	for _, id := range ids {
		secrets[id] = []byte("secret-of-the-fleet-" + string(id))
	}
	r, err := keys.NewRing(active, secrets)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

const version = "sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

// document returns a valid document whose content depends on n, or a refused one.
func document(n int, valid bool) []byte {
	if !valid {
		return fmt.Appendf(nil, "schema = 1\n[defaults]\nmin_serving = -%d\n", n+1)
	}
	return fmt.Appendf(nil, "schema = 1\n[defaults]\nkeep_old_seconds = %d\n[[defaults.models]]\nname = \"m\"\npool = \"p\"\nversion = %q\n", n+1, version)
}

var start = time.Unix(1_700_000_000, 0)

func entryRow(i, zones int) fleet.Instance {
	return fleet.Instance{ID: fleet.InstanceID(fmt.Sprintf("e%03d", i)), Role: fleet.RoleEntry, Zone: fleet.Zone(fmt.Sprintf("z%d", i%zones))}
}

// spreading drives entries over a platform that is stale or down and peers that are
// out of reach, restarted, or send forged updates.
func spreading(t *rapid.T) {
	r := ring(t, "k1", "k1")
	bad, err := keys.NewRing("k1", map[keys.ID][]byte{"k1": []byte("another-secret-of-16")})
	if err != nil {
		t.Fatal(err)
	}
	n := rapid.IntRange(2, 6).Draw(t, "entries")
	var list []fleet.Instance
	for i := range n {
		list = append(list, entryRow(i, 2))
	}
	now := start
	make := func(i int) *Node {
		x := NewNode(DefaultSettings(list[i].ID, list[i].Zone), r, rand.New(rand.NewPCG(uint64(i), 1)), now)
		x.SetEntries(list)
		return x
	}
	nodes := []*Node{}
	for i := range n {
		nodes = append(nodes, make(i))
	}
	published := [][]byte{}
	valid := []bool{}
	high := map[int]fleet.Revision{}
	best := fleet.Revision(0) // highest accepted anywhere
	note := func(i int) {
		_, rev := nodes[i].Document()
		if rev < high[i] {
			t.Fatalf("entry %d went from revision %d to %d", i, high[i], rev)
		}
		if rev > 0 && !valid[rev-1] {
			t.Fatalf("entry %d took the refused revision %d", i, rev)
		}
		high[i] = rev
		best = max(best, rev)
	}
	exchange := func(a, b int) {
		_, have := nodes[a].Document()
		u, ok := nodes[b].UpdateFor(have)
		if !ok {
			return
		}
		if nodes[a].FromPeer(u, now).Verdict == Unfitting {
			if w, ok := nodes[b].Whole(); ok {
				nodes[a].FromPeer(w, now)
			}
		}
		note(a)
	}
	any := func(t *rapid.T) int { return rapid.IntRange(0, n-1).Draw(t, "entry") }
	t.Repeat(map[string]func(*rapid.T){
		"publish": func(t *rapid.T) {
			ok := rapid.IntRange(0, 3).Draw(t, "valid") > 0
			published = append(published, document(len(published), ok))
			valid = append(valid, ok)
		},
		"read": func(t *rapid.T) {
			if len(published) == 0 {
				return
			}
			rev := rapid.IntRange(1, len(published)).Draw(t, "revision") // an older one is a stale answer
			i := any(t)
			nodes[i].FromPlatform(fleet.Revision(rev), published[rev-1], now)
			note(i)
		},
		"exchange": func(t *rapid.T) { exchange(any(t), any(t)) },
		"restart": func(t *rapid.T) {
			i := any(t)
			nodes[i] = make(i)
			high[i] = 0
		},
		"forge": func(t *rapid.T) {
			i := any(t)
			rev := fleet.Revision(rapid.IntRange(1, 99).Draw(t, "revision"))
			body := document(999, true)
			res := nodes[i].FromPeer(Update{Revision: rev, Body: body, MAC: bad.Sign(purpose, revisionBytes(rev), body)}, now)
			if res.Verdict != Forged {
				t.Fatalf("forged update: %v", res.Verdict)
			}
			note(i)
		},
	})
	// The faults are over: entries exchange in turn and all end at the highest
	// revision that any of them still holds.
	top := fleet.Revision(0)
	for i := range nodes {
		_, rev := nodes[i].Document()
		top = max(top, rev)
	}
	for range n {
		for a := range n {
			for b := range n {
				exchange(a, b)
			}
		}
	}
	for i := range nodes {
		if _, rev := nodes[i].Document(); rev != top {
			t.Fatalf("entry %d ended at %d, not %d", i, rev, top)
		}
	}
}

// TestNeverReverts: revisions only rise, refused and forged ones change nothing, and
// all end at the highest accepted one.
func TestNeverReverts(t *testing.T) { rapid.Check(t, spreading) }

func TestDeltaRebuilds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := []byte(rapid.StringMatching(`[ab]{0,40}`).Draw(t, "base"))
		body := []byte(rapid.StringMatching(`[ab]{0,40}`).Draw(t, "body"))
		got, ok := Diff(base, body).Apply(base)
		if !ok || !bytes.Equal(got, body) {
			t.Fatalf("%q -> %q gives %q", base, body, got)
		}
	})
}

// FuzzDelta looks for a delta off the wire that reads outside its base.
func FuzzDelta(f *testing.F) {
	f.Add(1, 2, []byte("x"), []byte("abcd"))
	f.Fuzz(func(_ *testing.T, prefix, suffix int, middle, base []byte) {
		Delta{Prefix: prefix, Suffix: suffix, Middle: middle}.Apply(base)
	})
}

func TestKeyRotation(t *testing.T) {
	old, both := ring(t, "k1", "k1"), ring(t, "k2", "k1", "k2")
	a := NewNode(DefaultSettings("a", "z"), old, rand.New(rand.NewPCG(1, 1)), start)
	b := NewNode(DefaultSettings("b", "z"), both, rand.New(rand.NewPCG(2, 1)), start)
	a.FromPlatform(1, document(1, true), start)
	u, _ := a.UpdateFor(0)
	assert.Equal(t, b.FromPeer(u, start).Verdict, Accepted)
	b.FromPlatform(2, document(2, true), start)
	u, _ = b.UpdateFor(1)
	assert.Equal(t, a.FromPeer(u, start).Verdict, Forged, "a does not know k2 yet")
}

func TestPlanIsBoundToItsTarget(t *testing.T) {
	r := ring(t, "k1", "k1")
	n := NewNode(DefaultSettings("e", "z"), r, rand.New(rand.NewPCG(1, 1)), start)
	n.FromPlatform(7, document(1, true), start)
	doc, rev := n.Document()
	s, err := SignPlan(r, "t1", rev, doc.PlanFor(fleet.Instance{ID: "t1", Pool: "p"}))
	assert.NilError(t, err)
	assert.Equal(t, NewPlanHolder(r, "t2").Offer(s).Verdict, Forged)
	h := NewPlanHolder(r, "t1")
	assert.Equal(t, h.Offer(s).Verdict, Accepted)
	s.Revision = 6
	assert.Equal(t, h.Offer(s).Verdict, Older)
}

// TestWatchersTakeOver: when the zone's watchers hear nothing of the platform the next in
// order begin, one after the other.
func TestWatchersTakeOver(t *testing.T) {
	const n = 20
	var list []fleet.Instance
	for i := range n {
		list = append(list, entryRow(i, 1))
	}
	count := func(silent time.Duration) int {
		k := 0
		for i := range n {
			x := NewNode(DefaultSettings(list[i].ID, "z0"), ring(t, "k1", "k1"), rand.New(rand.NewPCG(1, 1)), start)
			x.SetEntries(list)
			x.FromPlatform(1, document(1, true), start)
			if x.Watches(start.Add(silent)) {
				k++
			}
		}
		return k
	}
	assert.Equal(t, count(0), 2)
	assert.Equal(t, count(5*time.Second), 4)
	assert.Equal(t, count(time.Minute), n)
}
