// Package weights generates test versions: pseudo-random weights and the manifest that
// lists their chunks.
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

// Version is a generated version.
type Version struct {
	ID       fleet.Version
	Model    fleet.Model
	Manifest []byte
	Data     []byte
	// ContentHash is the hash of the complete weights. Tokens are derived from it, so a
	// response shows which weights generated it.
	ContentHash string
}

// New returns a version of size bytes, divided into chunks of chunkBytes bytes. The same
// arguments return the same version.
func New(m fleet.Model, seed uint64, size, chunkBytes int) Version {
	var key [32]byte
	for i := range 8 {
		key[i] = byte(seed >> (8 * i))
	}
	data := make([]byte, size)
	_, _ = rand.NewChaCha8(key).Read(data)
	manifest := swarm.Manifest{Model: m}
	for offset := 0; offset < size; offset += chunkBytes {
		part := data[offset:min(offset+chunkBytes, size)]
		manifest.Chunks = append(manifest.Chunks, swarm.Chunk{Digest: fleet.DigestOf(part), Size: fleet.Bytes(len(part))})
	}
	body, err := json.Marshal(manifest)
	if err != nil {
		panic(err)
	}
	return Version{ID: fleet.VersionOf(body), Model: m, Manifest: body, Data: data, ContentHash: HashOf(data)}
}

// HashOf returns the content hash of complete weights.
func HashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Token returns the text of the token at an index that weights with the given content
// hash generate for a request body. It depends on all three, so a token shows which
// weights and which request it was generated from.
func Token(contentHash string, body []byte, index int) string {
	h := sha256.New()
	h.Write([]byte(contentHash))
	h.Write(body)
	h.Write([]byte{byte(index), byte(index >> 8)})
	return hex.EncodeToString(h.Sum(nil)[:4]) + " "
}
