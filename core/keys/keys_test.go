package keys

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func newTestRing(t *testing.T, active ID, ids ...ID) *Ring {
	t.Helper()
	secrets := map[ID][]byte{}
	for _, id := range ids {
		secrets[id] = []byte("0123456789abcdef" + string(id))
	}
	r, err := NewRing(active, secrets)
	assert.NilError(t, err)
	return r
}

func TestRotation(t *testing.T) {
	old, both, only := newTestRing(t, "k1", "k1"), newTestRing(t, "k2", "k1", "k2"), newTestRing(t, "k2", "k2")
	m := old.Sign("p", []byte("x"))
	assert.NilError(t, both.Verify("p", m, []byte("x")))
	assert.ErrorIs(t, only.Verify("p", m, []byte("x")), ErrUnknownKey)
	assert.ErrorIs(t, old.Verify("p", both.Sign("p", []byte("x")), []byte("x")), ErrUnknownKey)
}

// TestMACCoversPurposeAndParts checks that a MAC is only valid for its purpose and for
// the same division of the data into parts.
func TestMACCoversPurposeAndParts(t *testing.T) {
	r := newTestRing(t, "k1", "k1")
	m := r.Sign("p", []byte("ab"), []byte("c"))
	assert.NilError(t, r.Verify("p", m, []byte("ab"), []byte("c")))
	assert.ErrorIs(t, r.Verify("q", m, []byte("ab"), []byte("c")), ErrForged)
	assert.ErrorIs(t, r.Verify("p", m, []byte("a"), []byte("bc")), ErrForged)
	assert.ErrorIs(t, r.Verify("p", m, []byte("abc")), ErrForged)
}

func TestWeakSecretsAreRefused(t *testing.T) {
	_, err := NewRing("k", map[ID][]byte{"k": []byte("short")})
	var weak *WeakKeyError
	assert.Assert(t, errors.As(err, &weak))
	assert.Equal(t, weak.Len, 5)
	_, err = NewRing("missing", map[ID][]byte{"k": []byte("0123456789abcdef")})
	assert.ErrorIs(t, err, ErrUnknownKey)
}
