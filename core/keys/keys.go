// Package keys signs and verifies messages with a set of shared secrets that supports
// rotation.
//
// # Usage
//
//	ring, err := keys.NewRing("k2", map[keys.ID][]byte{"k1": old, "k2": current})
//	mac := ring.Sign("ticket", payload)
//	err = ring.Verify("ticket", mac, payload)
//
// To rotate keys, add the new key to every process, then make it the active key, then
// remove the old key.
package keys

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
)

// MinSecretBytes is the minimum length of a secret in bytes.
const MinSecretBytes = 16

// ID identifies a secret.
type ID string

// MAC is a message authentication code and the ID of the key that produced it.
type MAC struct {
	Key ID
	Sum []byte
}

// Errors of this package.
var (
	ErrForged     = errors.New("MAC does not match")
	ErrUnknownKey = errors.New("unknown MAC key")
)

// WeakKeyError is returned for a secret that is too short.
type WeakKeyError struct {
	Key ID
	Len int
}

// Error implements error.
func (e *WeakKeyError) Error() string {
	return fmt.Sprintf("key %q has %d bytes, fewer than %d", e.Key, e.Len, MinSecretBytes)
}

// Ring is a set of secrets. One of them, the active key, signs. A Ring is immutable.
type Ring struct {
	active  ID
	secrets map[ID][]byte
}

// NewRing returns a ring that signs with the active key and accepts MACs of every given
// secret.
func NewRing(active ID, secrets map[ID][]byte) (*Ring, error) {
	if _, ok := secrets[active]; !ok {
		return nil, fmt.Errorf("active key %q: %w", active, ErrUnknownKey)
	}
	r := &Ring{active: active, secrets: make(map[ID][]byte, len(secrets))}
	for id, s := range secrets {
		if len(s) < MinSecretBytes {
			return nil, &WeakKeyError{Key: id, Len: len(s)}
		}
		r.secrets[id] = append([]byte(nil), s...)
	}
	return r, nil
}

// Sign returns the MAC of parts under the active key. The purpose prevents a MAC that
// was made for one use from being accepted for another.
func (r *Ring) Sign(purpose string, parts ...[]byte) MAC {
	return MAC{Key: r.active, Sum: digest(r.secrets[r.active], purpose, parts)}
}

// Verify returns nil if m was made by Sign with the same purpose and parts under any
// key of the ring.
func (r *Ring) Verify(purpose string, m MAC, parts ...[]byte) error {
	secret, ok := r.secrets[m.Key]
	if !ok {
		return fmt.Errorf("key %q: %w", m.Key, ErrUnknownKey)
	}
	if !hmac.Equal(m.Sum, digest(secret, purpose, parts)) {
		return ErrForged
	}
	return nil
}

func digest(secret []byte, purpose string, parts [][]byte) []byte {
	h := hmac.New(sha256.New, secret)
	writePart(h, []byte(purpose))
	for _, p := range parts {
		writePart(h, p)
	}
	return h.Sum(nil)
}

// writePart writes the length of p before p, so that moving a byte between two parts
// changes the MAC.
func writePart(h interface{ Write([]byte) (int, error) }, p []byte) {
	n := uint64(len(p))
	var b [8]byte
	for i := range b {
		b[i] = byte(n >> (8 * i))
	}
	_, _ = h.Write(b[:])
	_, _ = h.Write(p)
}
