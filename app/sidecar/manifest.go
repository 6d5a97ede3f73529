package sidecar

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"amaranthturn/app/node"
	"amaranthturn/core/fleet"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/core/swarm"
)

// wireManifest is how agents hand a manifest on.
type wireManifest struct {
	Digests []string `json:"digests"`
	Bytes   int64    `json:"chunk_bytes"`
}

// manifestAskers is how many agents of the group ask the origin for a manifest at once;
// the others ask them.
const manifestAskers = 4

// fetchManifest gets the digests of a version. An agent that is not among the first of the
// group asks the first ones, and the origin only when they do not know it.
func (s *Sidecar) fetchManifest(ctx context.Context, origin string, m fleet.Model, version uint64, e *routeconfig.Engine) (*swarm.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, pieceTimeout)
	defer cancel()
	s.mu.Lock()
	order := s.groupOrder(s.group(), version)
	s.mu.Unlock()
	first := order[:min(manifestAskers, len(order))]
	if !slices.ContainsFunc(first, func(t roster.Target) bool { return t.Address == s.set.TargetAddress }) {
		if man := s.manifestFrom(ctx, first, m, version); man != nil {
			return man, nil
		}
	}
	sums, err := s.origin.Manifest(ctx, origin, m, version)
	if err == nil {
		return newManifest(m, version, sums, e.ChunkBytes), nil
	}
	if man := s.manifestFrom(ctx, order, m, version); man != nil {
		return man, nil
	}
	return nil, err
}

// manifestPatience is how long the first agents are given to learn a manifest.
const manifestPatience = 400 * time.Millisecond

// manifestFrom asks other agents, until one knows the version or the patience ends.
func (s *Sidecar) manifestFrom(ctx context.Context, agents []roster.Target, m fleet.Model, version uint64) *swarm.Manifest {
	ctx, cancel := context.WithTimeout(ctx, manifestPatience)
	defer cancel()
	for ctx.Err() == nil {
		for _, t := range agents {
			if t.Address == s.set.TargetAddress {
				continue
			}
			body, err := s.pool.Manifest(ctx, s.set.AgentAddress(t.Address), versionName(m, version))
			if err != nil {
				continue // the next one may know it
			}
			var w wireManifest
			if err := json.Unmarshal(body, &w); err != nil {
				s.log.weights.Warn().Err(err).Msg("manifest of another agent cannot be read")
				continue
			}
			man := &swarm.Manifest{Version: versionName(m, version), Model: m}
			for _, d := range w.Digests {
				man.Chunks = append(man.Chunks, swarm.Chunk{Digest: fleet.Digest(d), Size: fleet.Bytes(w.Bytes)})
			}
			return man
		}
		node.Sleep(ctx, planEvery)
	}
	return nil
}

func newManifest(m fleet.Model, version uint64, sums [][]byte, size fleet.Bytes) *swarm.Manifest {
	man := &swarm.Manifest{Version: versionName(m, version), Model: m}
	for _, sum := range sums {
		man.Chunks = append(man.Chunks, swarm.Chunk{Digest: fleet.Digest("sha256:" + hex.EncodeToString(sum)), Size: size})
	}
	return man
}
