// Package weights makes test versions: pseudo-random weights cut into chunks and
// the manifest that names them.
//
// # Usage
//
//	v := weights.New("assistant", seed, 4<<20, 32<<10)
//	v.ID, v.Manifest, v.Data
package weights

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"

	"amaranthturn/core/fleet"
	"amaranthturn/core/swarm"
)

// Version is a made version.
type Version struct {
	ID       fleet.Version
	Model    fleet.Model
	Manifest []byte
	Data     []byte
	// Content is the hash of the whole weights, by which answers show what
	// gave them.
	Content string
}

// New returns a version of size bytes in chunks of chunk bytes, the same for the
// same seed.
func New(m fleet.Model, seed uint64, size, chunk int) Version {
	var key [32]byte
	for i := range 8 {
		key[i] = byte(seed >> (8 * i))
	}
	data := make([]byte, size)
	_, _ = rand.NewChaCha8(key).Read(data)
	man := swarm.Manifest{Model: m}
	for at := 0; at < size; at += chunk {
		part := data[at:min(at+chunk, size)]
		man.Chunks = append(man.Chunks, swarm.Chunk{Digest: fleet.DigestOf(part), Size: fleet.Bytes(len(part))})
	}
	body, err := json.Marshal(man)
	if err != nil {
		panic(err)
	}
	return Version{ID: fleet.VersionOf(body), Model: m, Manifest: body, Data: data, Content: ContentOf(data)}
}

// ContentOf returns the hash of whole weights.
func ContentOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Token returns the text of one token that weights with this content give to a
// prompt. It depends on all three, so that a token shows what gave it.
func Token(content string, body []byte, index int) string {
	h := sha256.New()
	h.Write([]byte(content))
	h.Write(body)
	h.Write([]byte{byte(index), byte(index >> 8)})
	return hex.EncodeToString(h.Sum(nil)[:4]) + " "
}
