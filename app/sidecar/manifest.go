package sidecar

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"amaranthturn/app/daemon"
	"amaranthturn/core/fleet"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/core/swarm"
)

// wireManifest is the JSON encoding of a manifest in messages between agents.
type wireManifest struct {
	Digests []string `json:"digests"`
	Bytes   int64    `json:"chunk_bytes"`
}

// manifestOriginAgents is how many agents of the group request a manifest from the origin
// concurrently. The others request it from these agents.
const manifestOriginAgents = 4

// fetchManifest fetches the manifest of a version. An agent that is not among the first of the
// group requests it from the first ones, and from the origin only if they don't have it.
func (s *Sidecar) fetchManifest(ctx context.Context, origin string, m fleet.Model, version uint64, e *routeconfig.Engine) (*swarm.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	s.mu.Lock()
	order := s.groupOrder(s.group(), version)
	s.mu.Unlock()
	first := order[:min(manifestOriginAgents, len(order))]
	if !slices.ContainsFunc(first, func(t roster.Target) bool { return t.Address == s.settings.TargetAddress }) {
		if manifest := s.manifestFromAgents(ctx, first, m, version, e); manifest != nil {
			return manifest, nil
		}
	}
	manifest, err := s.manifestFromOrigin(ctx, origin, m, version, e)
	if err == nil {
		return manifest, nil
	}
	if manifest := s.manifestFromAgents(ctx, order, m, version, e); manifest != nil {
		return manifest, nil
	}
	return nil, err
}

func (s *Sidecar) manifestFromOrigin(ctx context.Context, origin string, m fleet.Model, version uint64, e *routeconfig.Engine) (*swarm.Manifest, error) {
	digests, err := s.origin.Manifest(ctx, origin, m, version)
	if err != nil {
		return nil, err
	}
	manifest := newManifest(m, version, digests, e.ChunkBytes)
	return manifest, checkSize(manifest, e)
}

// checkSize returns a *swarm.BadManifestError for a manifest with another number of chunks than the
// configuration states.
func checkSize(manifest *swarm.Manifest, e *routeconfig.Engine) error {
	if e.Chunks > 0 && len(manifest.Chunks) != e.Chunks {
		return &swarm.BadManifestError{Version: manifest.Version, Text: fmt.Sprintf("%d chunks, want %d", len(manifest.Chunks), e.Chunks)}
	}
	return nil
}

// manifestPeerTimeout is how long an agent waits for the first agents to obtain a manifest.
const manifestPeerTimeout = 400 * time.Millisecond

// manifestFromAgents requests a manifest from other agents until one has it or
// manifestPeerTimeout has passed.
func (s *Sidecar) manifestFromAgents(ctx context.Context, agents []roster.Target, m fleet.Model, version uint64, e *routeconfig.Engine) *swarm.Manifest {
	ctx, cancel := context.WithTimeout(ctx, manifestPeerTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, t := range agents {
			if t.Address == s.settings.TargetAddress {
				continue
			}
			body, err := s.pool.Manifest(ctx, s.settings.AgentAddress(t.Address), versionName(m, version))
			if err != nil {
				continue // the next one may have it
			}
			manifest, err := decodeManifest(m, version, body)
			if err == nil {
				err = checkSize(manifest, e)
			}
			if err != nil {
				s.log.weights.Warn().Err(err).Msg("invalid manifest from another agent")
				continue
			}
			return manifest
		}
		daemon.Sleep(ctx, planInterval)
	}
	return nil
}

// decodeManifest decodes a manifest from another agent. It returns a *swarm.BadManifestError for
// one that is not usable.
func decodeManifest(m fleet.Model, version uint64, body []byte) (*swarm.Manifest, error) {
	manifest := &swarm.Manifest{Version: versionName(m, version), Model: m}
	var decoded wireManifest
	if err := json.Unmarshal(body, &decoded); err != nil {
		return nil, &swarm.BadManifestError{Version: manifest.Version, Text: err.Error()}
	}
	if n := len(decoded.Digests); n == 0 || n > swarm.MaxChunks {
		return nil, &swarm.BadManifestError{Version: manifest.Version, Text: fmt.Sprintf("%d chunks", n)}
	}
	// A size of 0 is not known.
	if decoded.Bytes < 0 || decoded.Bytes > swarm.MaxChunkBytes {
		return nil, &swarm.BadManifestError{Version: manifest.Version, Text: "chunk size out of range"}
	}
	for i, d := range decoded.Digests {
		if !fleet.Version(d).Valid() {
			return nil, &swarm.BadManifestError{Version: manifest.Version, Text: fmt.Sprintf("chunk %d has an invalid digest", i)}
		}
		manifest.Chunks = append(manifest.Chunks, swarm.Chunk{Digest: fleet.Digest(d), Size: fleet.Bytes(decoded.Bytes)})
	}
	return manifest, nil
}

func newManifest(m fleet.Model, version uint64, digests [][]byte, chunkBytes fleet.Bytes) *swarm.Manifest {
	manifest := &swarm.Manifest{Version: versionName(m, version), Model: m}
	for _, digest := range digests {
		manifest.Chunks = append(manifest.Chunks, swarm.Chunk{Digest: fleet.Digest("sha256:" + hex.EncodeToString(digest)), Size: chunkBytes})
	}
	return manifest
}
