package agent

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"amaranthturn/core/fleet"
	"amaranthturn/core/pace"
)

// minBurst lets one part of a chunk pass at once.
const minBurst = 256 << 10

// pacing applies the pace of weight traffic to what this instance sends. The
// signal is the time that a heartbeat takes to the entry and back over the same
// link that live requests use.
type pacing struct {
	mu      sync.Mutex // guards pacer
	pacer   *pace.Pacer
	limiter *rate.Limiter
}

func newPacing(link fleet.Bytes) *pacing {
	return &pacing{
		pacer:   pace.New(pace.DefaultSettings(link)),
		limiter: rate.NewLimiter(rate.Limit(link), int(max(minBurst, link/8))),
	}
}

// probe takes the time of one heartbeat to an entry and back.
func (p *pacing) probe(d time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.Observe(d, now)
	p.limiter.SetLimitAt(now, rate.Limit(p.pacer.Rate(now)))
}

// wait returns when n more bytes may be sent.
func (p *pacing) wait(ctx context.Context, n int) error {
	for n > 0 {
		step := min(n, p.limiter.Burst())
		if err := p.limiter.WaitN(ctx, step); err != nil {
			return err
		}
		n -= step
	}
	return nil
}
