package swarm

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
)

func manifestOf(contents ...string) *Manifest {
	m := &Manifest{Version: "v"}
	for _, c := range contents {
		m.Chunks = append(m.Chunks, Chunk{Digest: fleet.DigestOf([]byte(c)), Size: fleet.Bytes(len(c))})
	}
	return m
}

// Content is accepted by the digest of any manifest, and settles which one is right.
func TestContentSettlesWhichDigestIsRight(t *testing.T) {
	d := NewDigests(manifestOf("a", "spoilt"))
	assert.Assert(t, d.Verify(0, []byte("a")) && !d.Verify(1, []byte("b")))
	assert.Assert(t, d.Add(manifestOf("a", "b"), false))
	assert.Equal(t, d.Digest(1), fleet.DigestOf([]byte("spoilt")))
	assert.Assert(t, d.Verify(1, []byte("b")))
	assert.Equal(t, d.Digest(1), fleet.DigestOf([]byte("b")))
	assert.Assert(t, d.IsAgreed(1) && !d.Verify(1, []byte("spoilt")))
}

// Instances that repeat one answer of the origin don't agree with it independently.
func TestRepeatedManifestIsNoAgreement(t *testing.T) {
	d := NewDigests(manifestOf("a"))
	assert.Assert(t, !d.Add(manifestOf("a"), false))
	assert.Assert(t, !d.IsAgreed(0))
	assert.Assert(t, !d.Add(manifestOf("a"), true))
	assert.Assert(t, d.IsAgreed(0))
}

// Two answers may be spoilt in the same way. A third one still corrects them.
func TestAgreedDigestCanBeCorrected(t *testing.T) {
	d := NewDigests(manifestOf("spoilt"))
	d.Add(manifestOf("spoilt"), true)
	assert.Assert(t, d.IsAgreed(0))
	assert.Assert(t, d.Add(manifestOf("a"), true))
	assert.Assert(t, d.Verify(0, []byte("a")))
}

// Spoilt answers, however many, leave room for the sound one.
func TestSoundDigestIsKeptAfterManySpoiltOnes(t *testing.T) {
	d := NewDigests(manifestOf("spoilt"))
	for i := range 3 * maxStatements {
		assert.Assert(t, d.Add(manifestOf(fmt.Sprint("spoilt ", i)), true))
	}
	d.Add(manifestOf("a"), true)
	assert.Assert(t, d.Verify(0, []byte("a")))
	assert.Assert(t, len(d.chunks[0].stated) <= maxStatements)
}

func TestManifestOfAnotherSizeIsIgnored(t *testing.T) {
	d := NewDigests(manifestOf("a", "b"))
	assert.Assert(t, !d.Add(manifestOf("a"), true))
	assert.Assert(t, !d.Verify(2, []byte("a")) && !d.Verify(-1, []byte("a")))
}
