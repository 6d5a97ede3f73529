package sidecar

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"amaranthturn/io/bounded"
	"amaranthturn/platform"
)

// Limits of a pass over the staged chunks.
const (
	// stagingTarget is the time in which a pass should end. Another worker is added while it
	// would take longer.
	stagingTarget = 500 * time.Millisecond
	// maxStagingWorkers is the maximum number of calls at once.
	maxStagingWorkers = 8
)

// stagingPass goes once over the chunks of a version that are staged on the engine, and finds those
// that are missing or differ.
type stagingPass struct {
	s        *Sidecar
	w        *versionWeights
	restages bool // stages what is missing or differs
	// skipsCheck stages all chunks without reading them.
	skipsCheck bool
	done       sync.WaitGroup

	mu      sync.Mutex // guards all fields below
	next    int        // chunk
	ended   int        // chunks
	spent   time.Duration
	workers int
	bad     []int // chunks that were missing or differed
	err     error
}

func newStagingPass(s *Sidecar, w *versionWeights, restages bool) *stagingPass {
	return &stagingPass{s: s, w: w, restages: restages}
}

// finish runs the pass. After an error the list of bad chunks is incomplete.
func (p *stagingPass) finish(ctx context.Context) error {
	p.mu.Lock()
	p.addWorker(ctx)
	p.mu.Unlock()
	p.done.Wait()
	slices.Sort(p.bad)
	if p.restages {
		p.w.setStaged(p.err == nil)
	}
	return p.err
}

// addWorker starts another worker. mu must be held.
func (p *stagingPass) addWorker(ctx context.Context) {
	p.workers++
	p.done.Add(1)
	go p.run(ctx)
}

// run is one worker.
func (p *stagingPass) run(ctx context.Context) {
	defer p.done.Done()
	for {
		i, ok := p.take()
		if !ok {
			return
		}
		startedAt := p.s.now()
		isBad, err := p.handle(ctx, i)
		p.record(ctx, i, isBad, p.s.now().Sub(startedAt), err)
	}
}

func (p *stagingPass) take() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil || p.next >= len(p.w.manifest.Chunks) {
		return 0, false
	}
	p.next++
	return p.next - 1, true
}

func (p *stagingPass) record(ctx context.Context, i int, isBad bool, took time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isBad {
		p.bad = append(p.bad, i)
	}
	if err != nil && p.err == nil {
		p.err = err
	}
	p.ended++
	p.spent += took
	left := time.Duration(len(p.w.manifest.Chunks) - p.next)
	if p.workers < maxStagingWorkers && left*p.spent/time.Duration(p.ended*p.workers) > stagingTarget {
		p.addWorker(ctx)
	}
}

// handle reports whether a chunk was missing or differed.
func (p *stagingPass) handle(ctx context.Context, i int) (bool, error) {
	w := p.w
	if !p.skipsCheck {
		data, err := p.s.engine.StagedChunk(ctx, w.model, i, w.manifest.Chunks[i].Size)
		var tooLarge *bounded.TooLargeError
		switch {
		case err == nil && w.verify(i, data):
			return false, nil
		case err == nil, errors.Is(err, platform.ErrNotStaged), errors.As(err, &tooLarge):
		default:
			return false, err
		}
	}
	if !p.restages {
		return true, nil
	}
	p.s.mu.Lock()
	p.s.proof.RecordStaging()
	p.s.mu.Unlock()
	return true, p.s.engine.StageChunk(ctx, w.model, i, w.chunk(i))
}
