package sidecar

import (
	"context"
	"encoding/json"

	"amaranthturn/app/daemon"
	"amaranthturn/core/fleet"
	"amaranthturn/core/swarm"
	"amaranthturn/io/peer"
)

// weightsOf returns the weights of a version, if this agent keeps it.
func (s *Sidecar) weightsOf(v fleet.Version) (*versionWeights, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.weights {
		if w.name == v {
			return w, true
		}
	}
	return nil, false
}

// Manifest implements peer.ChunkHandler.
func (s *Sidecar) Manifest(v fleet.Version) ([]byte, bool) {
	w, ok := s.weightsOf(v)
	if !ok {
		return nil, false
	}
	out := wireManifest{}
	for i, c := range w.manifest.Chunks {
		out.Digests = append(out.Digests, string(w.digest(i)))
		out.Bytes = int64(c.Size)
	}
	body, err := json.Marshal(out)
	return body, err == nil
}

// Chunk implements peer.ChunkHandler.
func (s *Sidecar) Chunk(ctx context.Context, ref peer.ChunkRef, send func([]byte) error) error {
	w, ok := s.weightsOf(ref.Version)
	if !ok || ref.Index < 0 || ref.Index >= len(w.manifest.Chunks) {
		return peer.ErrMissing
	}
	if err := s.uploads.Acquire(ctx, uploadSlotTimeout); err != nil {
		return err
	}
	defer s.uploads.Release()
	data := w.chunk(ref.Index)
	if data == nil {
		return peer.ErrMissing
	}
	s.metrics.Count("weight_bytes_sent", int64(len(data)))
	return send(data)
}

// WatchChunks implements peer.ChunkHandler.
func (s *Sidecar) WatchChunks(ctx context.Context, v fleet.Version, send func(peer.ChunksHeld) error) error {
	for {
		w, ok := s.weightsOf(v)
		if ok {
			return w.sendHeld(ctx, send)
		}
		// This agent may receive the declaration of the version later than the agent that
		// watches it. Until then it reports that it holds no chunks.
		if err := send(peer.ChunksHeld{Bitmap: swarm.NewBitmap(1)}); err != nil {
			return err
		}
		if !daemon.Sleep(ctx, uploadSlotTimeout) {
			return ctx.Err()
		}
	}
}

// sendHeld sends the chunks that are held, and then each added chunk.
func (w *versionWeights) sendHeld(ctx context.Context, send func(peer.ChunksHeld) error) error {
	var sent swarm.Bitmap
	for {
		w.mu.Lock()
		held, changed := w.planner.Held(), w.changed
		w.mu.Unlock()
		h := peer.ChunksHeld{Bitmap: held}
		if sent != nil {
			h = peer.ChunksHeld{Added: held.AddedSince(sent)}
		}
		if sent == nil || len(h.Added) > 0 {
			if err := send(h); err != nil {
				return err
			}
		}
		sent = held
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
		if !daemon.Sleep(ctx, chunkUpdateDelay) {
			return ctx.Err()
		}
	}
}
