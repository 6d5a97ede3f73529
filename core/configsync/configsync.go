// Package configsync distributes accepted configurations to every daemon within
// seconds and never reverts to an older revision.
//
// # Usage
//
//	n := configsync.NewNode(settings, ring, random, now)
//	n.SetEntries(list)
//	if n.ShouldReadPlatform(now) { /* read or watch the platform */ }
//	res := n.OfferPlatformDocument(position, body, now)
//	if res.Changed { for _, entry := range n.AnnouncementPeers() { /* announce the position */ } }
//	update, ok := n.UpdateFor(peerPosition) // to send to a daemon with an older document
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
// Documents are ordered by the position, era and revision, at which they were written. A
// document is accepted or refused by its content alone, so every daemon keeps the same
// latest accepted document regardless of the path by which it arrived. Documents sent
// between daemons carry a MAC over position and content.
//
// A platform's store that is restored from a copy begins a new era: it holds an older
// document at a new position and gives out revisions again. A document that came with the
// copy keeps the position of the earlier era at which it was written, so that the document
// in force stays until one is written in the new era. Daemons exchange the signed history
// by which they tell the two apart.
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
	StaleEra                        // stale_era
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
	// Bases is the number of earlier accepted bodies kept as bases of deltas.
	Bases int
}

// DefaultSettings returns the default parameters of an entry.
func DefaultSettings(self fleet.InstanceID, zone fleet.Zone) Settings {
	return Settings{
		Self: self, Zone: zone, WatchersPerZone: 2, Epoch: 10 * time.Minute,
		TakeoverAfter: 2 * time.Second, Fanout: 4, Bases: 4,
	}
}

// SignedDocument is an accepted document with its MAC.
type SignedDocument struct {
	Position fleet.Position // of the platform's response that contained the document
	Body     []byte
	MAC      keys.MAC
}

// Update brings another daemon to a position. It carries the full body, or a delta
// from a base that the other daemon holds.
type Update struct {
	Position fleet.Position
	Body     []byte
	Base     fleet.Position // zero when Body is the full document
	Delta    Delta
	MAC      keys.MAC
}

// Result is the result of an offered document or plan.
type Result struct {
	Verdict Verdict
	Changed bool // a new document or plan is in force, or its position is known better
	Problem error
}

// Refusal is the refused document with the highest position.
type Refusal struct {
	Position fleet.Position
	Problem  error
	digest   contentDigest
}

// Node holds the configuration of one entry. It is not safe for concurrent use.
type Node struct {
	settings          Settings
	ring              *keys.Ring
	random            *rand.Rand
	doc               *config.Document
	signed            SignedDocument
	digest            contentDigest    // of the document in force
	bases             []SignedDocument // earlier documents in force, as bases of deltas
	store             history
	previousSum       uint64         // of the history without the document in force; 0 if it differs by more
	read              fleet.Position // highest position read from the platform
	withheld          SignedDocument // latest document of the platform that is older than the one in force
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
func (n *Node) OfferPlatformDocument(p fleet.Position, body []byte, now time.Time) Result {
	n.RecordPlatformContact(now)
	if p.Era < n.Era() {
		return Result{Verdict: StaleEra}
	}
	if n.read.Before(p) {
		n.read = p
	}
	return n.offer(SignedDocument{Position: p, Body: body, MAC: n.ring.Sign(documentPurpose, encodePosition(p), body)})
}

// OfferPeerUpdate offers an update received from another daemon.
func (n *Node) OfferPeerUpdate(u Update, _ time.Time) Result {
	body, ok := n.rebuild(u)
	if !ok {
		return Result{Verdict: DeltaMismatch}
	}
	if err := n.ring.Verify(documentPurpose, u.MAC, encodePosition(u.Position), body); err != nil {
		return Result{Verdict: Forged, Problem: err}
	}
	return n.offer(SignedDocument{Position: u.Position, Body: body, MAC: u.MAC})
}

// OfferHistory merges what another daemon knows of the platform's store.
func (n *Node) OfferHistory(s SignedHistory) Result {
	if err := n.ring.Verify(historyPurpose, s.MAC, s.Body); err != nil {
		return Result{Verdict: Forged, Problem: err}
	}
	other, err := decodeHistory(s.Body)
	if err != nil {
		return Result{Verdict: Forged, Problem: err}
	}
	return n.updateHistory(func() { n.store.merge(other) })
}

// RecordPlanPosition records the position of an agent's plan, which shows that a document was
// written there. It matters only if no entry knows an earlier era any more.
func (n *Node) RecordPlanPosition(p fleet.Position) Result {
	if p.Era == 0 || p.Revision == 0 || n.store.writtenAt(p) == p && p.Era <= n.store.era() || len(n.store.before(p.Era)) > 0 {
		return Result{Verdict: Known}
	}
	return n.updateHistory(func() { n.store.add(sighting{at: fleet.Position{Era: p.Era, Revision: p.Revision - 1}}) })
}

// updateHistory changes the history and puts the withheld document in force if it turns
// out to be newer than the one in force.
func (n *Node) updateHistory(change func()) Result {
	before := n.Position()
	change()
	n.previousSum = 0
	r := Result{Verdict: Known}
	if w := n.withheld; w.Body != nil && n.Position().Before(n.store.writtenAt(w.Position)) {
		r = n.offer(w)
	}
	r.Changed = r.Changed || n.Position() != before
	return r
}

func (n *Node) offer(s SignedDocument) Result {
	digest := contentDigestOf(s.Body)
	before := n.Position()
	sum := n.store.sum()
	isNews := n.store.add(sighting{at: s.Position, digest: digest})
	r, done := n.checkPosition(s, digest)
	if !done {
		r = n.accept(s, digest)
	}
	switch {
	case isNews && r.Verdict == Accepted:
		n.previousSum = sum
	case isNews:
		n.previousSum = 0
	}
	r.Changed = r.Changed || n.Position() != before
	return r
}

// checkPosition returns the result of an offer that is not newer than the document
// in force, or that repeats the last refused one.
func (n *Node) checkPosition(s SignedDocument, digest contentDigest) (Result, bool) {
	if s.Position == n.refused.Position && n.refused.Problem != nil && digest == n.refused.digest {
		return Result{Verdict: Refused, Problem: n.refused.Problem}, true
	}
	if n.doc == nil {
		return Result{}, false
	}
	switch n.store.writtenAt(s.Position).Compare(n.Position()) {
	case -1:
		n.withhold(s)
		return Result{Verdict: Older}, true
	case 0:
		if digest == n.digest {
			return Result{Verdict: Known}, true
		}
		if s.Position != n.signed.Position {
			n.withhold(s)
			return Result{Verdict: Older}, true
		}
		return Result{Verdict: RevisionConflict}, true
	}
	return Result{}, false
}

func (n *Node) accept(s SignedDocument, digest contentDigest) Result {
	doc, err := config.Parse(s.Body)
	if err != nil {
		if n.refused.Position.Before(s.Position) {
			n.refused = Refusal{Position: s.Position, Problem: err, digest: digest}
		}
		return Result{Verdict: Refused, Problem: err}
	}
	if n.doc != nil {
		n.bases = append(n.bases, n.signed)
		n.bases = n.bases[max(0, len(n.bases)-n.settings.Bases):]
	}
	previous := n.signed
	n.doc = doc
	n.signed = SignedDocument{Position: s.Position, Body: slices.Clone(s.Body), MAC: s.MAC}
	n.digest = digest
	n.withhold(previous)
	if n.refused.Position.Before(s.Position) {
		n.refused = Refusal{}
	}
	return Result{Verdict: Accepted, Changed: true}
}

// withhold keeps a document that the store held after the one in force was written, if it
// is the latest such document: it may turn out to be newer.
func (n *Node) withhold(s SignedDocument) {
	if n.withheld.Position.Before(s.Position) && n.signed.Position.Before(s.Position) {
		n.withheld = SignedDocument{Position: s.Position, Body: slices.Clone(s.Body), MAC: s.MAC}
	}
	if !n.signed.Position.Before(n.withheld.Position) {
		n.withheld = SignedDocument{}
	}
}

// rebuild returns the full body of an update, or false if its delta is not based on
// the document in force.
func (n *Node) rebuild(u Update) ([]byte, bool) {
	if u.Base.IsZero() {
		return u.Body, true
	}
	if n.doc == nil || u.Base != n.signed.Position {
		return nil, false
	}
	return u.Delta.Apply(n.signed.Body)
}

// UpdateFor returns the update from the document held at position have to the one in force
// here, or false if have is not older.
func (n *Node) UpdateFor(have fleet.Position) (Update, bool) {
	if n.doc == nil || !n.store.writtenAt(have).Before(n.Position()) {
		return Update{}, false
	}
	u := Update{Position: n.signed.Position, MAC: n.signed.MAC}
	i := slices.IndexFunc(n.bases, func(s SignedDocument) bool { return s.Position == have })
	if i < 0 {
		u.Body = n.signed.Body
		return u, true
	}
	u.Base = have
	u.Delta = Diff(n.bases[i].Body, n.signed.Body)
	return u, true
}

// FullUpdate returns an update with the full document in force, for a daemon to which a
// delta could not be applied.
func (n *Node) FullUpdate() (Update, bool) {
	if n.doc == nil {
		return Update{}, false
	}
	return Update{Position: n.signed.Position, Body: n.signed.Body, MAC: n.signed.MAC}, true
}

// IsBehind reports whether a daemon that holds a document at position p and a history with
// the given sum knows more than this one. A daemon that keeps no history has the sum 0.
func (n *Node) IsBehind(p fleet.Position, historySum uint64) bool {
	return n.Position().Before(n.store.writtenAt(p)) || historySum != 0 && n.isHistoryNews(historySum)
}

// HistorySum identifies the content of the history.
func (n *Node) HistorySum() uint64 { return n.store.sum() }

// HistoryFor returns the history for a daemon whose history has another sum, or false if
// that daemon will have the same one once it has the document in force.
func (n *Node) HistoryFor(sum uint64) (SignedHistory, bool) {
	if n.store.sum() == 0 || !n.isHistoryNews(sum) {
		return SignedHistory{}, false
	}
	body := slices.Clone(n.store.encode())
	return SignedHistory{Body: body, MAC: n.ring.Sign(historyPurpose, body)}, true
}

func (n *Node) isHistoryNews(sum uint64) bool {
	return sum != n.store.sum() && (sum == 0 || sum != n.previousSum)
}

// Era returns the highest era that is known.
func (n *Node) Era() fleet.Era { return max(n.store.era(), n.signed.Position.Era) }

// ReadPosition returns the position after which the platform's next document is news.
func (n *Node) ReadPosition() fleet.Position {
	p := n.read
	if p.Before(n.signed.Position) {
		p = n.signed.Position
	}
	if n.refused.Problem != nil && p.Before(n.refused.Position) {
		p = n.refused.Position
	}
	if p.Era < n.Era() {
		p = fleet.Position{Era: n.Era()}
	}
	return p
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

// Document returns the document in force and the position at which it was written; the
// document is nil if none is in force.
func (n *Node) Document() (*config.Document, fleet.Position) { return n.doc, n.Position() }

// Position returns the position at which the document in force was written.
func (n *Node) Position() fleet.Position { return n.store.writtenAt(n.signed.Position) }

// HeldPosition returns the position of the response that contained the document in force.
// Updates are based on it.
func (n *Node) HeldPosition() fleet.Position { return n.signed.Position }

// Withheld returns the position of the platform's document if it is an older one that a
// restored copy contained, and false if it is in force.
func (n *Node) Withheld() (fleet.Position, bool) {
	return n.withheld.Position, n.withheld.Body != nil && n.withheld.Position.Era == n.Era()
}

// Refusal returns the refused document with the highest position, and whether it is
// newer than the document in force.
func (n *Node) Refusal() (Refusal, bool) {
	return n.refused, n.refused.Problem != nil && n.Position().Before(n.store.writtenAt(n.refused.Position))
}

// encodePosition returns the input of a MAC. Builds that do not know eras sign the revision
// alone.
func encodePosition(p fleet.Position) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(p.Revision))
	if p.Era == 0 {
		return out
	}
	return binary.BigEndian.AppendUint64(out, uint64(p.Era))
}
