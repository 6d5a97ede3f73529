// Package configsync distributes accepted configurations to every daemon within
// seconds and never reverts to an older revision.
//
// # Usage
//
//	n := configsync.NewNode(settings, ring, random, now)
//	n.SetEntries(list)
//	if n.ShouldReadPlatform(now) { /* read or watch the platform */ }
//	res := n.OfferPlatformDocument(revision, body, now)
//	if res.Changed { for _, entry := range n.AnnouncementPeers() { /* announce the revision */ } }
//	update, ok := n.UpdateFor(peerRevision) // to send to a daemon with an older revision
//	res = n.OfferPeerUpdate(update, now)
//
// # Propagation
//
// Settings.WatchersPerZone entries of each zone watch the platform. They are chosen
// by rendezvous hashing over the zone's entries and a slowly changing epoch, which
// divides the cost of reading full documents among the entries. When no entry of
// the zone has reached the platform for Settings.TakeoverAfter, the next entries in
// rank order start to read it. An entry that accepts a new revision announces it to
// Settings.Fanout other entries, which fetch the change. A periodic exchange with a
// random entry covers missed announcements. Agents are notified by the entries that
// they are attached to.
//
// # Ordering
//
// Revisions only increase. A document is accepted or refused by its content alone,
// so every daemon keeps the same highest accepted revision regardless of the path
// by which it arrived. Documents sent between daemons carry a MAC over revision and
// content.
package configsync

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

//go:generate stringer -type=Verdict -output=configsync_string.go -linecomment

const documentPurpose = "configuration"

// Verdict is the result of the check of an offered document.
type Verdict int

// The verdicts.
const (
	Accepted         Verdict = iota // accepted
	Known                           // known
	Older                           // older
	Refused                         // refused
	Forged                          // forged
	DeltaMismatch                   // delta_does_not_fit
	RevisionConflict                // same_revision_other_content
)

// Settings holds the parameters of a Node.
type Settings struct {
	Self fleet.InstanceID
	Zone fleet.Zone
	// WatchersPerZone is the number of entries of a zone that watch the platform.
	WatchersPerZone int
	// Epoch is the time after which the watchers are chosen again.
	Epoch time.Duration
	// TakeoverAfter is the time without platform contact in a zone after which the
	// next entry in rank order reads the platform.
	TakeoverAfter time.Duration
	// Fanout is the number of entries to which a new revision is announced.
	Fanout int
	// History is the number of earlier accepted bodies kept as bases of deltas.
	History int
}

// DefaultSettings returns the default parameters of an entry.
func DefaultSettings(self fleet.InstanceID, zone fleet.Zone) Settings {
	return Settings{
		Self: self, Zone: zone, WatchersPerZone: 2, Epoch: 10 * time.Minute,
		TakeoverAfter: 2 * time.Second, Fanout: 4, History: 4,
	}
}

// SignedDocument is an accepted document with its MAC.
type SignedDocument struct {
	Revision fleet.Revision
	Body     []byte
	MAC      keys.MAC
}

// Update brings another daemon to a revision. It carries the full body, or a delta
// from a base that the other daemon holds.
type Update struct {
	Revision fleet.Revision
	Body     []byte
	Base     fleet.Revision // 0 when Body is the full document
	Delta    Delta
	MAC      keys.MAC
}

// Result is the result of an offered document or plan.
type Result struct {
	Verdict Verdict
	Changed bool // a new document or plan is in force
	Problem error
}

// Refusal is the refused document with the highest revision.
type Refusal struct {
	Revision fleet.Revision
	Problem  error
}

// Node holds the configuration of one entry. It is not safe for concurrent use.
type Node struct {
	settings          Settings
	ring              *keys.Ring
	random            *rand.Rand
	doc               *config.Document
	signed            SignedDocument
	digest            fleet.Digest
	history           []SignedDocument
	refused           Refusal
	zoneEntries       []fleet.InstanceID
	peers             []fleet.Instance
	platformReachedAt time.Time // when this entry last reached the platform; zero if never
	zoneReachedAt     time.Time // when any entry of the zone last reached the platform
	started           time.Time
}

// NewNode returns a node without a configuration.
func NewNode(settings Settings, ring *keys.Ring, random *rand.Rand, now time.Time) *Node {
	return &Node{settings: settings, ring: ring, random: random, started: now, zoneReachedAt: now, zoneEntries: []fleet.InstanceID{settings.Self}}
}

// SetEntries replaces the known entries by those of the platform's list.
func (n *Node) SetEntries(list []fleet.Instance) {
	n.zoneEntries = []fleet.InstanceID{n.settings.Self}
	n.peers = nil
	for _, in := range list {
		if in.Role != fleet.RoleEntry || in.Leaving || in.ID == n.settings.Self {
			continue
		}
		n.peers = append(n.peers, in)
		if in.Zone == n.settings.Zone {
			n.zoneEntries = append(n.zoneEntries, in.ID)
		}
	}
}

// ShouldReadPlatform reports whether this entry should read the platform now.
func (n *Node) ShouldReadPlatform(now time.Time) bool {
	epoch := now.Unix() / max(1, int64(n.settings.Epoch/time.Second))
	pos := rank.Position("watch/"+strconv.FormatInt(epoch, 10), n.zoneEntries, n.settings.Self)
	if pos < n.settings.WatchersPerZone || n.doc == nil {
		return true
	}
	sinceContact := now.Sub(n.zoneReachedAt)
	return sinceContact > time.Duration(pos-n.settings.WatchersPerZone+1)*n.settings.TakeoverAfter
}

// RecordPlatformContact records a response of the platform to a read or watch.
func (n *Node) RecordPlatformContact(now time.Time) {
	n.platformReachedAt = now
	n.zoneReachedAt = now
}

// PlatformAge returns the time since this entry last reached the platform.
func (n *Node) PlatformAge(now time.Time) time.Duration {
	if n.platformReachedAt.IsZero() {
		return now.Sub(n.started) + n.settings.Epoch
	}
	return now.Sub(n.platformReachedAt)
}

// RecordPeerPlatformAge records the platform age that another entry reported.
func (n *Node) RecordPeerPlatformAge(from fleet.InstanceID, age time.Duration, now time.Time) {
	if !slices.Contains(n.zoneEntries, from) || age < 0 {
		return
	}
	if at := now.Add(-age); at.After(n.zoneReachedAt) {
		n.zoneReachedAt = at
	}
}

// Resumed records that the process was paused: platform ages received before the
// pause are outdated.
func (n *Node) Resumed(now time.Time) {
	n.zoneReachedAt = now
}

// OfferPlatformDocument offers a document received from the platform. A refused document
// does not change the document in force.
func (n *Node) OfferPlatformDocument(rev fleet.Revision, body []byte, now time.Time) Result {
	n.RecordPlatformContact(now)
	if r, done := n.checkRevision(rev, body); done {
		return r
	}
	return n.accept(rev, body, n.ring.Sign(documentPurpose, encodeRevision(rev), body))
}

// OfferPeerUpdate offers an update received from another daemon.
func (n *Node) OfferPeerUpdate(u Update, _ time.Time) Result {
	body, ok := n.rebuild(u)
	if !ok {
		return Result{Verdict: DeltaMismatch}
	}
	if err := n.ring.Verify(documentPurpose, u.MAC, encodeRevision(u.Revision), body); err != nil {
		return Result{Verdict: Forged, Problem: err}
	}
	if r, done := n.checkRevision(u.Revision, body); done {
		return r
	}
	return n.accept(u.Revision, body, u.MAC)
}

// checkRevision returns the result of an offer that is not newer than the document
// in force, or that repeats the last refused revision.
func (n *Node) checkRevision(rev fleet.Revision, body []byte) (Result, bool) {
	switch {
	case rev < n.signed.Revision:
		return Result{Verdict: Older}, true
	case rev == n.signed.Revision && fleet.DigestOf(body) == n.digest:
		return Result{Verdict: Known}, true
	case rev == n.signed.Revision && n.doc != nil:
		return Result{Verdict: RevisionConflict}, true
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
		n.history = n.history[max(0, len(n.history)-n.settings.History):]
	}
	n.doc = doc
	n.signed = SignedDocument{Revision: rev, Body: slices.Clone(body), MAC: mac}
	n.digest = fleet.DigestOf(body)
	if n.refused.Revision < rev {
		n.refused = Refusal{}
	}
	return Result{Verdict: Accepted, Changed: true}
}

// rebuild returns the full body of an update, or false if its delta is not based on
// the document in force.
func (n *Node) rebuild(u Update) ([]byte, bool) {
	if u.Base == 0 {
		return u.Body, true
	}
	if n.doc == nil || u.Base != n.signed.Revision {
		return nil, false
	}
	return u.Delta.Apply(n.signed.Body)
}

// UpdateFor returns the update from revision have to the one in force here, or false
// if have is not older.
func (n *Node) UpdateFor(have fleet.Revision) (Update, bool) {
	if n.doc == nil || have >= n.signed.Revision {
		return Update{}, false
	}
	u := Update{Revision: n.signed.Revision, MAC: n.signed.MAC}
	i := slices.IndexFunc(n.history, func(s SignedDocument) bool { return s.Revision == have })
	if i < 0 {
		u.Body = n.signed.Body
		return u, true
	}
	u.Base = have
	u.Delta = Diff(n.history[i].Body, n.signed.Body)
	return u, true
}

// FullUpdate returns an update with the full document in force, for a daemon to which a
// delta could not be applied.
func (n *Node) FullUpdate() (Update, bool) {
	if n.doc == nil {
		return Update{}, false
	}
	return Update{Revision: n.signed.Revision, Body: n.signed.Body, MAC: n.signed.MAC}, true
}

// AnnouncementPeers returns the entries to notify of a new revision: up to Fanout-1 random
// entries of the zone, and at least one outside it if there is any.
func (n *Node) AnnouncementPeers() []fleet.Instance {
	var sameZone, otherZones []fleet.Instance
	for _, in := range n.peers {
		if in.Zone == n.settings.Zone {
			sameZone = append(sameZone, in)
			continue
		}
		otherZones = append(otherZones, in)
	}
	out := n.sample(sameZone, n.settings.Fanout-1)
	return append(out, n.sample(otherZones, n.settings.Fanout-len(out))...)
}

// ExchangePeer returns a random entry for the periodic exchange.
func (n *Node) ExchangePeer() (fleet.Instance, bool) {
	picked := n.sample(n.peers, 1)
	if len(picked) == 0 {
		return fleet.Instance{}, false
	}
	return picked[0], true
}

func (n *Node) sample(from []fleet.Instance, k int) []fleet.Instance {
	list := slices.Clone(from)
	n.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:max(0, min(k, len(list)))]
}

// Document returns the document in force and its revision; the document is nil if
// none is in force.
func (n *Node) Document() (*config.Document, fleet.Revision) { return n.doc, n.signed.Revision }

// Digest returns the digest of the document in force.
func (n *Node) Digest() fleet.Digest { return n.digest }

// Refusal returns the refused document with the highest revision, and whether it is
// newer than the document in force.
func (n *Node) Refusal() (Refusal, bool) {
	return n.refused, n.refused.Problem != nil && n.refused.Revision > n.signed.Revision
}

func encodeRevision(rev fleet.Revision) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(rev))
}
