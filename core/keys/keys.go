// Package keys signs and checks messages with a rotating set of shared secrets.
//
// # Usage
//
//	ring, err := keys.NewRing("k2", map[keys.ID][]byte{"k1": old, "k2": current})
//	mac := ring.Sign("ticket", payload)
//	err = ring.Check("ticket", mac, payload)
//
// A rotation adds the new key to every process first, then makes it the active
// one, then removes the old one.
package keys

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
)

// MinSecret is the shortest secret that is accepted, in bytes.
const MinSecret = 16

// ID names a secret.
type ID string

// MAC is a keyed digest and the key that made it.
type MAC struct {
	Key ID
	Sum []byte
}

// Errors of this package.
var (
	ErrForged     = errors.New("keyed digest does not match")
	ErrUnknownKey = errors.New("keyed digest made with an unknown key")
)

// WeakKeyError reports a secret that is too short.
type WeakKeyError struct {
	Key ID
	Len int
}

// Error implements error.
func (e *WeakKeyError) Error() string {
	return fmt.Sprintf("key %q has %d bytes, fewer than %d", e.Key, e.Len, MinSecret)
}

// Ring is a set of secrets of which one signs. It is immutable.
type Ring struct {
	active  ID
	secrets map[ID][]byte
}

// NewRing returns a ring that signs with active and accepts every secret given.
func NewRing(active ID, secrets map[ID][]byte) (*Ring, error) {
	if _, ok := secrets[active]; !ok {
		return nil, fmt.Errorf("active key %q: %w", active, ErrUnknownKey)
	}
	r := &Ring{active: active, secrets: make(map[ID][]byte, len(secrets))}
	for id, s := range secrets {
		if len(s) < MinSecret {
			return nil, &WeakKeyError{Key: id, Len: len(s)}
		}
		r.secrets[id] = append([]byte(nil), s...)
	}
	return r, nil
}

// Sign returns the digest of parts under the active key. The purpose keeps a
// digest made for one use from being accepted for another.
func (r *Ring) Sign(purpose string, parts ...[]byte) MAC {
	return MAC{Key: r.active, Sum: digest(r.secrets[r.active], purpose, parts)}
}

// Check returns nil when m was made by Sign with the same purpose and parts
// under any key of the ring.
func (r *Ring) Check(purpose string, m MAC, parts ...[]byte) error {
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

// writePart writes the length first, so that moving a byte between two parts
// changes the digest.
func writePart(h interface{ Write([]byte) (int, error) }, p []byte) {
	n := uint64(len(p))
	var b [8]byte
	for i := range b {
		b[i] = byte(n >> (8 * i))
	}
	_, _ = h.Write(b[:])
	_, _ = h.Write(p)
}
