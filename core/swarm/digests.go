package swarm

import (
	"slices"

	"amaranthturn/core/fleet"
)

// maxStatements limits the digests that are kept of one chunk.
const maxStatements = 8

// Digests holds the digests that sources have stated of a version's chunks, for manifests that nothing
// authenticates. A manifest may have been spoilt on its way, as a chunk may. Content is accepted if it
// has any digest that was stated of its chunk: accidents don't make the one match the other, so a match
// shows that both are sound, whoever stated the digest. Content that has none of them leaves open which
// of the two is wrong, and further manifests have to show it.
//
// It is not safe for concurrent use.
type Digests struct {
	chunks []statedDigests
}

type statedDigests struct {
	stated []fleet.Digest // at least one; the first is believed
	// isAgreed reports that a content had the believed digest, or that two answers stated it.
	isAgreed bool
}

// NewDigests returns the digests that a manifest states.
func NewDigests(m *Manifest) *Digests {
	d := &Digests{chunks: make([]statedDigests, len(m.Chunks))}
	for i, c := range m.Chunks {
		d.chunks[i].stated = []fleet.Digest{c.Digest}
	}
	return d
}

// Add adds what another manifest states. An independent one comes from another answer of the origin
// than the manifests before; another instance may repeat one that is known already. It reports whether
// a digest is new. A manifest with another number of chunks is ignored.
func (d *Digests) Add(m *Manifest, independent bool) bool {
	if len(m.Chunks) != len(d.chunks) {
		return false
	}
	isNew := false
	for i, c := range m.Chunks {
		x := &d.chunks[i]
		switch {
		case x.isAgreed && x.stated[0] == c.Digest:
		case !slices.Contains(x.stated, c.Digest):
			if len(x.stated) == maxStatements {
				x.stated = slices.Delete(x.stated, 1, 2) // the oldest that is not believed
			}
			x.stated = append(x.stated, c.Digest)
			isNew = true
		case independent && !x.isAgreed:
			x.believe(c.Digest)
		}
	}
	return isNew
}

// believe moves a stated digest to the front.
func (x *statedDigests) believe(digest fleet.Digest) {
	i := slices.Index(x.stated, digest)
	x.stated[0], x.stated[i] = x.stated[i], x.stated[0]
	x.isAgreed = true
}

// Verify reports whether data is the content of chunk i.
func (d *Digests) Verify(i int, data []byte) bool {
	if i < 0 || i >= len(d.chunks) {
		return false
	}
	x, digest := &d.chunks[i], fleet.DigestOf(data)
	if !slices.Contains(x.stated, digest) {
		return false
	}
	x.believe(digest)
	x.stated = x.stated[:1]
	return true
}

// IsAgreed reports whether the digest of chunk i is known from more than one statement.
func (d *Digests) IsAgreed(i int) bool { return d.chunks[i].isAgreed }

// Digest returns the believed digest of chunk i.
func (d *Digests) Digest(i int) fleet.Digest { return d.chunks[i].stated[0] }
