package swarm

import (
	"encoding/json"
	"errors"
	"fmt"

	"amaranthturn/core/fleet"
)

// Limits of a manifest.
const (
	MaxChunks        = 65_536
	MaxChunkBytes    = 64 << 20
	MaxManifestBytes = 8 << 20
)

// ErrManifestDigest reports a manifest whose digest differs from the requested version.
var ErrManifestDigest = errors.New("manifest has the wrong digest for the requested version")

// Chunk is one part of a version, identified by the digest of its content.
type Chunk struct {
	Digest fleet.Digest `json:"digest"`
	Size   fleet.Bytes  `json:"size"`
}

// Manifest lists the chunks of a version in their order in the weights.
type Manifest struct {
	Version fleet.Version `json:"-"`
	Model   fleet.Model   `json:"model"`
	Chunks  []Chunk       `json:"chunks"`
}

// BadManifestError reports a manifest that exceeds the size limit or whose content is invalid
// although its digest matches.
type BadManifestError struct {
	Version fleet.Version
	Text    string
}

// Error implements error.
func (e *BadManifestError) Error() string {
	return fmt.Sprintf("manifest %s: %s", e.Version.Short(), e.Text)
}

// OpenManifest verifies that the digest of body matches version v and decodes it.
func OpenManifest(v fleet.Version, body []byte) (*Manifest, error) {
	if len(body) > MaxManifestBytes {
		return nil, &BadManifestError{Version: v, Text: "body exceeds the size limit"}
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
			return nil, &BadManifestError{Version: v, Text: fmt.Sprintf("chunk %d has an invalid digest or size", i)}
		}
	}
	return m, nil
}

// Total returns the size of all chunks of the version.
func (m *Manifest) Total() fleet.Bytes {
	var n fleet.Bytes
	for _, c := range m.Chunks {
		n += c.Size
	}
	return n
}

// Verify reports whether data is the content of chunk i.
func (m *Manifest) Verify(i int, data []byte) bool {
	return i >= 0 && i < len(m.Chunks) && fleet.DigestOf(data) == m.Chunks[i].Digest
}
