package configsync

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

func TestMain(m *testing.M) { os.Exit(fixedseed.MainWithChecks(m, "400")) }

func newRing(t interface{ Fatal(...any) }, active keys.ID, ids ...keys.ID) *keys.Ring {
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

// document returns a document whose content depends on n. An invalid one is refused.
func document(n int, valid bool) []byte {
	if !valid {
		return fmt.Appendf(nil, "schema = 1\n[defaults]\nmin_serving = -%d\n", n+1)
	}
	return fmt.Appendf(nil, "schema = 1\n[defaults]\nkeep_old_seconds = %d\n[[defaults.models]]\nname = \"m\"\npool = \"p\"\nversion = %q\n", n+1, version)
}

var start = time.Unix(1_700_000_000, 0)

func at(era fleet.Era, rev fleet.Revision) fleet.Position {
	return fleet.Position{Era: era, Revision: rev}
}

func entryInstance(i, zones int) fleet.Instance {
	return fleet.Instance{ID: fleet.InstanceID(fmt.Sprintf("e%03d", i)), Role: fleet.RoleEntry, Zone: fleet.Zone(fmt.Sprintf("z%d", i%zones))}
}

// checkSync runs entries against a platform that is stale or unavailable, and with
// peers that are unreachable, are restarted, or send forged updates.
func checkSync(t *rapid.T) {
	s := newSyncHarness(t)
	t.Repeat(map[string]func(*rapid.T){
		"publish": s.publish, "read": s.read, "restart": s.restart, "forge": s.forge,
		"exchange": func(t *rapid.T) { s.exchange(s.anyEntry(t), s.anyEntry(t)) },
	})
	s.converge()
}

type syncHarness struct {
	t                *rapid.T
	ring, forgedRing *keys.Ring
	list             []fleet.Instance
	nodes            []*Node
	published        [][]byte
	valid            []bool
	highest          []fleet.Revision // highest revision in force since the entry started
}

func newSyncHarness(t *rapid.T) *syncHarness {
	forgedRing, err := keys.NewRing("k1", map[keys.ID][]byte{"k1": []byte("another-secret-of-16")})
	if err != nil {
		t.Fatal(err)
	}
	s := &syncHarness{t: t, ring: newRing(t, "k1", "k1"), forgedRing: forgedRing}
	for i := range rapid.IntRange(2, 6).Draw(t, "entries") {
		s.list = append(s.list, entryInstance(i, 2))
	}
	for i := range s.list {
		s.nodes = append(s.nodes, s.newNode(i))
	}
	s.highest = make([]fleet.Revision, len(s.list))
	return s
}

func (s *syncHarness) newNode(i int) *Node {
	node := NewNode(DefaultSettings(s.list[i].ID, s.list[i].Zone), s.ring, rand.New(rand.NewPCG(uint64(i), 1)), start)
	node.SetEntries(s.list)
	return node
}

func (s *syncHarness) anyEntry(t *rapid.T) int {
	return rapid.IntRange(0, len(s.nodes)-1).Draw(t, "entry")
}

func (s *syncHarness) checkEntry(i int) {
	rev := s.nodes[i].Position().Revision
	if rev < s.highest[i] {
		s.t.Fatalf("entry %d reverted from revision %d to %d", i, s.highest[i], rev)
	}
	if rev > 0 && !s.valid[rev-1] {
		s.t.Fatalf("entry %d accepted the invalid revision %d", i, rev)
	}
	s.highest[i] = rev
}

func (s *syncHarness) publish(t *rapid.T) {
	ok := rapid.IntRange(0, 3).Draw(t, "valid") > 0
	s.published = append(s.published, document(len(s.published), ok))
	s.valid = append(s.valid, ok)
}

// read offers a response of the platform, which can be an outdated one.
func (s *syncHarness) read(t *rapid.T) {
	if len(s.published) == 0 {
		return
	}
	rev := rapid.IntRange(1, len(s.published)).Draw(t, "revision")
	i := s.anyEntry(t)
	s.nodes[i].OfferPlatformDocument(at(0, fleet.Revision(rev)), s.published[rev-1], start)
	s.checkEntry(i)
}

func (s *syncHarness) exchange(to, from int) {
	u, ok := s.nodes[from].UpdateFor(s.nodes[to].HeldPosition())
	if !ok {
		return
	}
	if s.nodes[to].OfferPeerUpdate(u, start).Verdict == DeltaMismatch {
		if w, ok := s.nodes[from].FullUpdate(); ok {
			s.nodes[to].OfferPeerUpdate(w, start)
		}
	}
	s.checkEntry(to)
}

func (s *syncHarness) restart(t *rapid.T) {
	i := s.anyEntry(t)
	s.nodes[i] = s.newNode(i)
	s.highest[i] = 0
}

func (s *syncHarness) forge(t *rapid.T) {
	i := s.anyEntry(t)
	rev := fleet.Revision(rapid.IntRange(1, 99).Draw(t, "revision"))
	body := document(999, true)
	u := Update{Position: at(0, rev), Body: body, MAC: s.forgedRing.Sign(documentPurpose, encodePosition(at(0, rev)), body)}
	if res := s.nodes[i].OfferPeerUpdate(u, start); res.Verdict != Forged {
		t.Fatalf("forged update got verdict %v", res.Verdict)
	}
	s.checkEntry(i)
}

// converge runs exchanges between all pairs of entries and checks that every entry
// ends at the highest revision that any entry holds.
func (s *syncHarness) converge() {
	top := fleet.Revision(0)
	for _, node := range s.nodes {
		top = max(top, node.Position().Revision)
	}
	for range s.nodes {
		for a := range s.nodes {
			for b := range s.nodes {
				s.exchange(a, b)
			}
		}
	}
	for i, node := range s.nodes {
		if rev := node.Position().Revision; rev != top {
			s.t.Fatalf("entry %d ended at revision %d, want %d", i, rev, top)
		}
	}
}

// TestRevisionsNeverRevert checks that revisions only increase, that refused and forged
// documents change nothing, and that all entries end at the highest accepted revision.
func TestRevisionsNeverRevert(t *testing.T) { rapid.Check(t, checkSync) }

func TestDeltaRebuildsBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := []byte(rapid.StringMatching(`[ab]{0,40}`).Draw(t, "base"))
		body := []byte(rapid.StringMatching(`[ab]{0,40}`).Draw(t, "body"))
		got, ok := Diff(base, body).Apply(base)
		if !ok || !bytes.Equal(got, body) {
			t.Fatalf("delta from %q to %q rebuilds %q", base, body, got)
		}
	})
}

// FuzzDelta searches for a received delta that reads outside its base.
func FuzzDelta(f *testing.F) {
	f.Add(1, 2, []byte("x"), []byte("abcd"))
	f.Fuzz(func(_ *testing.T, prefix, suffix int, middle, base []byte) {
		Delta{Prefix: prefix, Suffix: suffix, Middle: middle}.Apply(base)
	})
}

func TestKeyRotation(t *testing.T) {
	old, both := newRing(t, "k1", "k1"), newRing(t, "k2", "k1", "k2")
	a := NewNode(DefaultSettings("a", "z"), old, rand.New(rand.NewPCG(1, 1)), start)
	b := NewNode(DefaultSettings("b", "z"), both, rand.New(rand.NewPCG(2, 1)), start)
	a.OfferPlatformDocument(at(0, 1), document(1, true), start)
	u, _ := a.UpdateFor(at(0, 0))
	assert.Equal(t, b.OfferPeerUpdate(u, start).Verdict, Accepted)
	b.OfferPlatformDocument(at(0, 2), document(2, true), start)
	u, _ = b.UpdateFor(at(0, 1))
	assert.Equal(t, a.OfferPeerUpdate(u, start).Verdict, Forged, "a does not have key k2 yet")
}

func TestPlanIsBoundToItsTarget(t *testing.T) {
	r := newRing(t, "k1", "k1")
	n := NewNode(DefaultSettings("e", "z"), r, rand.New(rand.NewPCG(1, 1)), start)
	n.OfferPlatformDocument(at(0, 7), document(1, true), start)
	doc, p := n.Document()
	s, err := SignPlan(r, "t1", p, p, doc.PlanFor(fleet.Instance{ID: "t1", Pool: "p"}))
	assert.NilError(t, err)
	assert.Equal(t, NewPlanHolder(r, "t2").Offer(s).Verdict, Forged)
	h := NewPlanHolder(r, "t1")
	assert.Equal(t, h.Offer(s).Verdict, Accepted)
	s.Position, s.Held = at(0, 6), at(0, 6)
	assert.Equal(t, h.Offer(s).Verdict, Older)
}

// TestWatchersTakeOver checks that further entries of a zone start to read the platform
// in rank order, one after the other, when the watchers do not reach it.
func TestWatchersTakeOver(t *testing.T) {
	const n = 20
	var list []fleet.Instance
	for i := range n {
		list = append(list, entryInstance(i, 1))
	}
	watchersAfter := func(sinceContact time.Duration) int {
		k := 0
		for i := range n {
			node := NewNode(DefaultSettings(list[i].ID, "z0"), newRing(t, "k1", "k1"), rand.New(rand.NewPCG(1, 1)), start)
			node.SetEntries(list)
			node.OfferPlatformDocument(at(0, 1), document(1, true), start)
			if node.ShouldReadPlatform(start.Add(sinceContact)) {
				k++
			}
		}
		return k
	}
	assert.Equal(t, watchersAfter(0), 2)
	assert.Equal(t, watchersAfter(5*time.Second), 4)
	assert.Equal(t, watchersAfter(time.Minute), n)
}
