package configsync

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"slices"

	"amaranthturn/core/fleet"
	"amaranthturn/core/keys"
)

const historyPurpose = "configuration_history"

// maxSightings is the number of documents that a history remembers.
const maxSightings = 64

// ErrBadHistory is returned for a history that cannot be decoded.
var ErrBadHistory = errors.New("malformed history")

// SignedHistory contains the positions and digests of the documents that daemons saw in the
// platform's store.
type SignedHistory struct {
	Body []byte
	MAC  keys.MAC
}

// contentDigest is a prefix of the sha256 digest of a document. It is zero for a document
// whose content is not known.
type contentDigest [8]byte

func contentDigestOf(body []byte) contentDigest {
	sum := sha256.Sum256(body)
	return contentDigest(sum[:8])
}

// sighting records that the platform's store held a document at a position.
type sighting struct {
	at     fleet.Position
	digest contentDigest
}

func compareSightings(a, b sighting) int {
	return cmp.Or(a.at.Compare(b.at), bytes.Compare(a.digest[:], b.digest[:]))
}

// history tells the documents that came with a copy of the store from those written since.
// It contains observations only, so that histories of any daemons merge to the same result in
// any order and a wrong conclusion of a daemon that knows little does not spread.
type history struct {
	seen    []sighting // sorted, at most maxSightings
	encoded []byte     // nil after a change
}

// era returns the highest era that is known.
func (h *history) era() fleet.Era {
	if len(h.seen) == 0 {
		return 0
	}
	return h.seen[len(h.seen)-1].at.Era
}

// add records a sighting and reports whether it is new.
func (h *history) add(s sighting) bool {
	i, known := slices.BinarySearchFunc(h.seen, s, compareSightings)
	if known || i == 0 && len(h.seen) >= maxSightings {
		return false
	}
	h.seen = slices.Insert(h.seen, i, s)
	h.seen = h.seen[max(0, len(h.seen)-maxSightings):]
	h.encoded = nil
	return true
}

func (h *history) merge(other history) {
	for _, s := range other.seen {
		h.add(s)
	}
}

// before returns the sightings in eras before the given one.
func (h *history) before(era fleet.Era) []sighting {
	i, _ := slices.BinarySearchFunc(h.seen, sighting{at: fleet.Position{Era: era}}, compareSightings)
	return h.seen[:i]
}

// base returns the first document that was seen of an era. What has a higher revision was
// written in that era.
func (h *history) base(era fleet.Era) (sighting, bool) {
	rest := h.seen[len(h.before(era)):]
	if len(rest) == 0 || rest[0].at.Era != era {
		return sighting{}, false
	}
	if len(rest) > 1 && rest[1].at == rest[0].at && rest[0].digest == (contentDigest{}) {
		return rest[1], true
	}
	return rest[0], true
}

// writtenAt returns the position at which the document was written that the store holds at p.
func (h *history) writtenAt(p fleet.Position) fleet.Position {
	base, known := h.base(p.Era)
	if p.Era == 0 || !known || p.Revision > base.at.Revision {
		return p
	}
	return h.origin(base)
}

// origin returns the position at which the first document seen of an era was written: that of
// the same document at the same revision in an earlier era, or else the earliest position that
// agrees with what is known, so that an unknown document of a copy replaces as little as
// possible.
func (h *history) origin(base sighting) fleet.Position {
	earlier := h.before(base.at.Era)
	for _, s := range slices.Backward(earlier) {
		if s.at.Revision == base.at.Revision && s.digest == base.digest && s.digest != (contentDigest{}) {
			return h.writtenAt(s.at)
		}
	}
	rev := base.at.Revision
	if h.isBefore(earlier, rev) {
		return fleet.Position{Revision: rev}
	}
	for era := earlier[0].at.Era; era < base.at.Era; era++ {
		if canContain(earlier, fleet.Position{Era: era, Revision: rev}) {
			return fleet.Position{Era: era, Revision: rev}
		}
	}
	return base.at
}

// isBefore reports whether a document at a revision can be from before the time that is known. A
// full history reaches back far enough for any revision that it contains.
func (h *history) isBefore(earlier []sighting, rev fleet.Revision) bool {
	if len(h.seen) < maxSightings && len(earlier) > 0 {
		first := earlier[0].at
		return rev < first.Revision || rev == first.Revision && first.Era > 0
	}
	return !slices.ContainsFunc(earlier, func(s sighting) bool { return s.at.Revision <= rev })
}

// canContain reports whether a document that is not among the seen ones can have been written
// at p. It cannot if another one was seen there. It can between two documents of the store that
// were seen, and after the last one.
func canContain(seen []sighting, p fleet.Position) bool {
	i := slices.IndexFunc(seen, func(s sighting) bool { return !s.at.Before(p) })
	if i < 0 {
		return true
	}
	if seen[i].at == p {
		return false
	}
	isBetween := i > 0 && seen[i-1].at.Era == p.Era && p.Revision < seen[i].at.Revision
	if !isBetween || seen[i].at.Era == p.Era {
		return isBetween
	}
	// The later era can have taken its document at this revision from another era.
	return !slices.ContainsFunc(seen, func(s sighting) bool { return s.at.Revision == p.Revision })
}

// sum identifies the content of a history. It is 0 for an empty one.
func (h *history) sum() uint64 {
	if len(h.seen) == 0 {
		return 0
	}
	sum := fnv.New64a()
	_, _ = sum.Write(h.encode())
	return max(1, sum.Sum64())
}

func (h *history) encode() []byte {
	if h.encoded != nil {
		return h.encoded
	}
	out := make([]byte, 0, len(h.seen)*(2+len(contentDigest{})))
	for _, s := range h.seen {
		out = binary.AppendUvarint(out, uint64(s.at.Era))
		out = binary.AppendUvarint(out, uint64(s.at.Revision))
		out = append(out, s.digest[:]...)
	}
	h.encoded = out
	return out
}

func decodeHistory(body []byte) (history, error) {
	var h history
	for n := 0; len(body) > 0; n++ {
		era, k := binary.Uvarint(body)
		if k <= 0 || n >= maxSightings {
			return history{}, ErrBadHistory
		}
		body = body[k:]
		rev, k := binary.Uvarint(body)
		if k <= 0 || len(body)-k < len(contentDigest{}) {
			return history{}, ErrBadHistory
		}
		body = body[k:]
		s := sighting{at: fleet.Position{Era: fleet.Era(era), Revision: fleet.Revision(rev)}}
		copy(s.digest[:], body)
		body = body[len(s.digest):]
		h.add(s)
	}
	return h, nil
}
