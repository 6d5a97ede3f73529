package swarm

import (
	"encoding/json"
	"errors"
	"fmt"

	"amaranthturn/core/fleet"
)

// Bounds of a manifest.
const (
	MaxChunks        = 65_536
	MaxChunkBytes    = 64 << 20
	MaxManifestBytes = 8 << 20
)

// ErrManifestDigest reports a manifest that is not the one asked for.
var ErrManifestDigest = errors.New("manifest does not have the digest asked for")

// Chunk is one piece of a version, named by its content.
type Chunk struct {
	Digest fleet.Digest `json:"digest"`
	Size   fleet.Bytes  `json:"size"`
}

// Manifest lists the chunks of a version in the order of the weights.
type Manifest struct {
	Version fleet.Version `json:"-"`
	Model   fleet.Model   `json:"model"`
	Chunks  []Chunk       `json:"chunks"`
}

// BadManifestError reports a manifest with the right digest that cannot be used.
type BadManifestError struct {
	Version fleet.Version
	Text    string
}

// Error implements error.
func (e *BadManifestError) Error() string {
	return fmt.Sprintf("manifest %s: %s", e.Version.Short(), e.Text)
}

// OpenManifest checks body against the version that names it and decodes it.
func OpenManifest(v fleet.Version, body []byte) (*Manifest, error) {
	if len(body) > MaxManifestBytes {
		return nil, &BadManifestError{Version: v, Text: "too large"}
	}
	if fleet.VersionOf(body) != v {
		return nil, ErrManifestDigest
	}
	m := &Manifest{}
	if err := json.Unmarshal(body, m); err != nil {
		return nil, &BadManifestError{Version: v, Text: err.Error()}
	}
	m.Version = v
	if len(m.Chunks) == 0 || len(m.Chunks) > MaxChunks {
		return nil, &BadManifestError{Version: v, Text: fmt.Sprintf("%d chunks", len(m.Chunks))}
	}
	for i, c := range m.Chunks {
		if !fleet.Version(c.Digest).Valid() || c.Size <= 0 || c.Size > MaxChunkBytes {
			return nil, &BadManifestError{Version: v, Text: fmt.Sprintf("chunk %d is invalid", i)}
		}
	}
	return m, nil
}

// Total returns the size of the whole version.
func (m *Manifest) Total() fleet.Bytes {
	var n fleet.Bytes
	for _, c := range m.Chunks {
		n += c.Size
	}
	return n
}

// Verify tells whether data is chunk i.
func (m *Manifest) Verify(i int, data []byte) bool {
	return i >= 0 && i < len(m.Chunks) && fleet.DigestOf(data) == m.Chunks[i].Digest
}
