package sidecar

import (
	"context"
	"time"

	"amaranthturn/core/fleet"
)

// Delays between two manifests that are requested because content differs from the digests.
const (
	minRecheckDelay = 250 * time.Millisecond
	maxRecheckDelay = 4 * time.Second
)

// maxDisputed limits the chunks whose content is kept until it is known whether their digest is wrong.
const maxDisputed = 4

// manifestRecheck is when a version's manifest is requested again. versionWeights.mu guards it.
type manifestRecheck struct {
	isRunning bool
	delay     time.Duration
	notBefore time.Time
}

// begin reports whether a request is due now, and plans the next one.
func (r *manifestRecheck) begin(now time.Time) bool {
	if r.isRunning || now.Before(r.notBefore) {
		return false
	}
	r.delay = min(max(minRecheckDelay, 2*r.delay), maxRecheckDelay)
	r.isRunning, r.notBefore = true, now.Add(r.delay)
	return true
}

// verify reports whether data is the content of chunk i.
func (w *versionWeights) verify(i int, data []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.digests.Verify(i, data)
}

// digest returns the believed digest of chunk i.
func (w *versionWeights) digest(i int) fleet.Digest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.digests.Digest(i)
}

// dispute records content that has no stated digest of its chunk, and requests the manifest again if it
// is due. It reports whether the digest is known from more than one statement.
func (w *versionWeights) dispute(ctx context.Context, i int, data []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	agreed := w.digests.IsAgreed(i)
	if _, ok := w.disputed[i]; ok || len(w.disputed) < maxDisputed {
		w.disputed[i] = data
	}
	if w.recheck.begin(w.s.now()) {
		d := &manifestDispute{w: w}
		go d.run(context.WithoutCancel(ctx))
	}
	return agreed
}

// manifestDispute requests the manifest of a version once more.
type manifestDispute struct{ w *versionWeights }

func (d *manifestDispute) run(ctx context.Context) {
	w, s := d.w, d.w.s
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	s.mu.Lock()
	_, e, ok := s.model()
	order := s.groupOrder(s.group(), w.version)
	s.mu.Unlock()
	defer d.end()
	if !ok {
		return
	}
	manifest, err := s.manifestFromOrigin(ctx, w.originAddress, w.model, w.version, e)
	independent := err == nil
	if err != nil {
		s.log.weights.Warn().Uint64("version", w.version).Err(err).Msg("manifest cannot be compared with the origin")
		if manifest = s.manifestFromAgents(ctx, order, w.model, w.version, e); manifest == nil {
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.digests.Add(manifest, independent) {
		return
	}
	s.metrics.Count("manifests_disputed", 1)
	s.log.weights.Warn().Uint64("version", w.version).Bool("origin", independent).Msg("two manifests of a version differ")
	for i, data := range w.disputed {
		if w.digests.Verify(i, data) {
			w.holdChunk(i, data)
		}
	}
	w.wake()
}

func (d *manifestDispute) end() {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	d.w.recheck.isRunning = false
}
