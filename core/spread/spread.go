// Package spread brings an accepted configuration into force on every daemon
// within seconds, and never lets it revert.
//
// # Usage
//
//	n := spread.NewNode(settings, ring, random)
//	n.SetEntries(list)
//	if n.Watches(now) { … read or watch the platform … }
//	res := n.FromPlatform(revision, body, now)
//	if res.Changed { for _, id := range n.Announce() { … } }
//	update := n.UpdateFor(theirRevision, theirDigest)
//	res = n.FromPeer(update, now)
//
// # Who reads, who tells
//
// A few entries of each zone watch the platform, chosen by rendezvous over the
// zone's entries and a slowly changing epoch, so that the cost of reading whole
// documents is shared out. When nobody in the zone has reached the platform for a
// while the next in order begin to try. An entry that accepts a new revision
// announces it to a few others, which fetch what changed; a periodic exchange with
// a random entry finds whatever the announcements missed. Agents are told by the
// entries they are attached to.
//
// # Order
//
// Revisions only rise. A document is accepted or refused by its content alone, so
// every daemon keeps the same highest accepted revision whichever way it came.
// Documents between daemons carry a keyed digest over revision and content.
package spread

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"amaranthturn/core/config"
	"amaranthturn/core/fleet"
	"amaranthturn/core/keys"
	"amaranthturn/core/rank"
)

//go:generate stringer -type=Verdict -output=spread_string.go -linecomment

const purpose = "configuration"

// Verdict is what became of an offered document.
type Verdict int

// The verdicts.
const (
	Accepted  Verdict = iota // accepted
	Known                    // known
	Older                    // older
	Refused                  // refused
	Forged                   // forged
	Unfitting                // delta_does_not_fit
	Conflict                 // same_revision_other_content
)

// Settings are the constants of a Node.
type Settings struct {
	Self fleet.InstanceID
	Zone fleet.Zone
	// WatchersPerZone is how many entries of a zone watch the platform.
	WatchersPerZone int
	// Epoch is how long the watchers stay the same.
	Epoch time.Duration
	// TakeoverAfter is how long a zone goes without the platform until the next
	// entry in order tries.
	TakeoverAfter time.Duration
	// Fanout is to how many entries a new revision is announced.
	Fanout int
	// History is how many accepted bodies are kept to make deltas from.
	History int
}

// DefaultSettings returns the constants for an entry.
func DefaultSettings(self fleet.InstanceID, zone fleet.Zone) Settings {
	return Settings{
		Self: self, Zone: zone, WatchersPerZone: 2, Epoch: 10 * time.Minute,
		TakeoverAfter: 2 * time.Second, Fanout: 4, History: 4,
	}
}

// Signed is an accepted document with its keyed digest.
type Signed struct {
	Revision fleet.Revision
	Body     []byte
	MAC      keys.MAC
}

// Update is what one daemon sends another to bring it to a revision: the body,
// or a delta from a base that the other holds.
type Update struct {
	Revision fleet.Revision
	Body     []byte
	Base     fleet.Revision // 0 when Body is whole
	Delta    Delta
	MAC      keys.MAC
}

// Result is what became of an offer.
type Result struct {
	Verdict Verdict
	Changed bool // a new document is in force
	Problem error
}

// Refusal is the newest refused document.
type Refusal struct {
	Revision fleet.Revision
	Problem  error
}

// Node holds the configuration of one entry. It is not safe for concurrent use.
type Node struct {
	set      Settings
	ring     *keys.Ring
	random   *rand.Rand
	doc      *config.Document
	signed   Signed
	digest   fleet.Digest
	history  []Signed
	refused  Refusal
	zone     []fleet.InstanceID
	others   []fleet.Instance
	platform time.Time // when this entry last reached the platform
	heard    time.Time // when anybody of the zone last did
	started  time.Time
}

// NewNode returns a node without a configuration.
func NewNode(set Settings, ring *keys.Ring, random *rand.Rand, now time.Time) *Node {
	return &Node{set: set, ring: ring, random: random, started: now, heard: now, zone: []fleet.InstanceID{set.Self}}
}

// SetEntries takes the entries of the platform's list.
func (n *Node) SetEntries(list []fleet.Instance) {
	n.zone = []fleet.InstanceID{n.set.Self}
	n.others = nil
	for _, in := range list {
		if in.Role != fleet.RoleEntry || in.Leaving || in.ID == n.set.Self {
			continue
		}
		n.others = append(n.others, in)
		if in.Zone == n.set.Zone {
			n.zone = append(n.zone, in.ID)
		}
	}
}

// Watches tells whether this entry should read the platform now.
func (n *Node) Watches(now time.Time) bool {
	epoch := now.Unix() / max(1, int64(n.set.Epoch/time.Second))
	pos := rank.Position("watch/"+strconv.FormatInt(epoch, 10), n.zone, n.set.Self)
	if pos < n.set.WatchersPerZone || n.doc == nil {
		return true
	}
	silent := now.Sub(n.heard)
	return silent > time.Duration(pos-n.set.WatchersPerZone+1)*n.set.TakeoverAfter
}

// PlatformReached records that a read or watch of the platform was answered.
func (n *Node) PlatformReached(now time.Time) {
	n.platform = now
	n.heard = now
}

// PlatformAge returns how long ago this entry reached the platform.
func (n *Node) PlatformAge(now time.Time) time.Duration {
	if n.platform.IsZero() {
		return now.Sub(n.started) + n.set.Epoch
	}
	return now.Sub(n.platform)
}

// HeardPlatformAge takes the platform age of another entry.
func (n *Node) HeardPlatformAge(from fleet.InstanceID, age time.Duration, now time.Time) {
	if !slices.Contains(n.zone, from) || age < 0 {
		return
	}
	if at := now.Add(-age); at.After(n.heard) {
		n.heard = at
	}
}

// Resumed tells that the process was paused: what it heard of others is old.
func (n *Node) Resumed(now time.Time) {
	n.heard = now
}

// FromPlatform offers what the platform answered. A refused document changes
// nothing.
func (n *Node) FromPlatform(rev fleet.Revision, body []byte, now time.Time) Result {
	n.PlatformReached(now)
	if r, done := n.compare(rev, body); done {
		return r
	}
	return n.accept(rev, body, n.ring.Sign(purpose, revisionBytes(rev), body))
}

// FromPeer offers what another daemon sent.
func (n *Node) FromPeer(u Update, _ time.Time) Result {
	body, ok := n.rebuild(u)
	if !ok {
		return Result{Verdict: Unfitting}
	}
	if err := n.ring.Check(purpose, u.MAC, revisionBytes(u.Revision), body); err != nil {
		return Result{Verdict: Forged, Problem: err}
	}
	if r, done := n.compare(u.Revision, body); done {
		return r
	}
	return n.accept(u.Revision, body, u.MAC)
}

// compare answers offers that are not newer than what is in force.
func (n *Node) compare(rev fleet.Revision, body []byte) (Result, bool) {
	switch {
	case rev < n.signed.Revision:
		return Result{Verdict: Older}, true
	case rev == n.signed.Revision && fleet.DigestOf(body) == n.digest:
		return Result{Verdict: Known}, true
	case rev == n.signed.Revision && n.doc != nil:
		return Result{Verdict: Conflict}, true
	case rev == n.refused.Revision && n.refused.Problem != nil:
		return Result{Verdict: Refused, Problem: n.refused.Problem}, true
	}
	return Result{}, false
}

func (n *Node) accept(rev fleet.Revision, body []byte, mac keys.MAC) Result {
	doc, err := config.Parse(body)
	if err != nil {
		if rev > n.refused.Revision {
			n.refused = Refusal{rev, err}
		}
		return Result{Verdict: Refused, Problem: err}
	}
	if n.doc != nil {
		n.history = append(n.history, n.signed)
		n.history = n.history[max(0, len(n.history)-n.set.History):]
	}
	n.doc = doc
	n.signed = Signed{Revision: rev, Body: slices.Clone(body), MAC: mac}
	n.digest = fleet.DigestOf(body)
	if n.refused.Revision < rev {
		n.refused = Refusal{}
	}
	return Result{Verdict: Accepted, Changed: true}
}

// rebuild returns the whole body of an update.
func (n *Node) rebuild(u Update) ([]byte, bool) {
	if u.Base == 0 {
		return u.Body, true
	}
	if n.doc == nil || u.Base != n.signed.Revision {
		return nil, false
	}
	return u.Delta.Apply(n.signed.Body)
}

// UpdateFor returns what brings a daemon at a revision to the one in force here,
// or false when it has that or a newer one.
func (n *Node) UpdateFor(have fleet.Revision) (Update, bool) {
	if n.doc == nil || have >= n.signed.Revision {
		return Update{}, false
	}
	u := Update{Revision: n.signed.Revision, MAC: n.signed.MAC}
	i := slices.IndexFunc(n.history, func(s Signed) bool { return s.Revision == have })
	if i < 0 {
		u.Body = n.signed.Body
		return u, true
	}
	u.Base = have
	u.Delta = Diff(n.history[i].Body, n.signed.Body)
	return u, true
}

// Whole returns the document in force for a daemon that a delta did not fit.
func (n *Node) Whole() (Update, bool) {
	if n.doc == nil {
		return Update{}, false
	}
	return Update{Revision: n.signed.Revision, Body: n.signed.Body, MAC: n.signed.MAC}, true
}

// Announce returns the entries to tell of a new revision: some of the zone, and
// at least one outside it.
func (n *Node) Announce() []fleet.Instance {
	var near, far []fleet.Instance
	for _, in := range n.others {
		if in.Zone == n.set.Zone {
			near = append(near, in)
			continue
		}
		far = append(far, in)
	}
	out := n.draw(near, n.set.Fanout-1)
	return append(out, n.draw(far, n.set.Fanout-len(out))...)
}

// Partner returns a random entry for the periodic exchange.
func (n *Node) Partner() (fleet.Instance, bool) {
	got := n.draw(n.others, 1)
	if len(got) == 0 {
		return fleet.Instance{}, false
	}
	return got[0], true
}

func (n *Node) draw(from []fleet.Instance, k int) []fleet.Instance {
	list := slices.Clone(from)
	n.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:max(0, min(k, len(list)))]
}

// Document returns the document in force and its revision; nil when none is.
func (n *Node) Document() (*config.Document, fleet.Revision) { return n.doc, n.signed.Revision }

// Digest returns the digest of the document in force.
func (n *Node) Digest() fleet.Digest { return n.digest }

// Refusal returns the newest refused document, when it is newer than the one in
// force.
func (n *Node) Refusal() (Refusal, bool) {
	return n.refused, n.refused.Problem != nil && n.refused.Revision > n.signed.Revision
}

func revisionBytes(rev fleet.Revision) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(rev))
}
