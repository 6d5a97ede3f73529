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

func TestMain(m *testing.M) { os.Exit(fixedseed.MainWith(m, "400")) }

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
	s := newSpreadRun(t)
	t.Repeat(map[string]func(*rapid.T){
		"publish": s.publish, "read": s.read, "restart": s.restart, "forge": s.forge,
		"exchange": func(t *rapid.T) { s.exchange(s.any(t), s.any(t)) },
	})
	s.settle()
}

type spreadRun struct {
	t         *rapid.T
	ring, bad *keys.Ring
	list      []fleet.Instance
	nodes     []*Node
	published [][]byte
	valid     []bool
	high      []fleet.Revision // highest in force since the entry's start
}

func newSpreadRun(t *rapid.T) *spreadRun {
	bad, err := keys.NewRing("k1", map[keys.ID][]byte{"k1": []byte("another-secret-of-16")})
	if err != nil {
		t.Fatal(err)
	}
	s := &spreadRun{t: t, ring: ring(t, "k1", "k1"), bad: bad}
	for i := range rapid.IntRange(2, 6).Draw(t, "entries") {
		s.list = append(s.list, entryRow(i, 2))
	}
	for i := range s.list {
		s.nodes = append(s.nodes, s.node(i))
	}
	s.high = make([]fleet.Revision, len(s.list))
	return s
}

func (s *spreadRun) node(i int) *Node {
	x := NewNode(DefaultSettings(s.list[i].ID, s.list[i].Zone), s.ring, rand.New(rand.NewPCG(uint64(i), 1)), start)
	x.SetEntries(s.list)
	return x
}

func (s *spreadRun) any(t *rapid.T) int { return rapid.IntRange(0, len(s.nodes)-1).Draw(t, "entry") }

func (s *spreadRun) note(i int) {
	_, rev := s.nodes[i].Document()
	if rev < s.high[i] {
		s.t.Fatalf("entry %d went from revision %d to %d", i, s.high[i], rev)
	}
	if rev > 0 && !s.valid[rev-1] {
		s.t.Fatalf("entry %d took the refused revision %d", i, rev)
	}
	s.high[i] = rev
}

func (s *spreadRun) publish(t *rapid.T) {
	ok := rapid.IntRange(0, 3).Draw(t, "valid") > 0
	s.published = append(s.published, document(len(s.published), ok))
	s.valid = append(s.valid, ok)
}

// read is an answer of the platform, which may be an older one.
func (s *spreadRun) read(t *rapid.T) {
	if len(s.published) == 0 {
		return
	}
	rev := rapid.IntRange(1, len(s.published)).Draw(t, "revision")
	i := s.any(t)
	s.nodes[i].FromPlatform(fleet.Revision(rev), s.published[rev-1], start)
	s.note(i)
}

func (s *spreadRun) exchange(to, from int) {
	_, have := s.nodes[to].Document()
	u, ok := s.nodes[from].UpdateFor(have)
	if !ok {
		return
	}
	if s.nodes[to].FromPeer(u, start).Verdict == Unfitting {
		if w, ok := s.nodes[from].Whole(); ok {
			s.nodes[to].FromPeer(w, start)
		}
	}
	s.note(to)
}

func (s *spreadRun) restart(t *rapid.T) {
	i := s.any(t)
	s.nodes[i] = s.node(i)
	s.high[i] = 0
}

func (s *spreadRun) forge(t *rapid.T) {
	i := s.any(t)
	rev := fleet.Revision(rapid.IntRange(1, 99).Draw(t, "revision"))
	body := document(999, true)
	u := Update{Revision: rev, Body: body, MAC: s.bad.Sign(purpose, revisionBytes(rev), body)}
	if res := s.nodes[i].FromPeer(u, start); res.Verdict != Forged {
		t.Fatalf("forged update: %v", res.Verdict)
	}
	s.note(i)
}

// settle lets all exchange in turn: they end at the highest revision that any holds.
func (s *spreadRun) settle() {
	top := fleet.Revision(0)
	for _, x := range s.nodes {
		_, rev := x.Document()
		top = max(top, rev)
	}
	for range s.nodes {
		for a := range s.nodes {
			for b := range s.nodes {
				s.exchange(a, b)
			}
		}
	}
	for i, x := range s.nodes {
		if _, rev := x.Document(); rev != top {
			s.t.Fatalf("entry %d ended at %d, not %d", i, rev, top)
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
