package agent

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"amaranthturn/core/fleet"
	"amaranthturn/core/pace"
	"amaranthturn/io/peer"
)

// pacing limits the rate at which this instance uploads weights. It adapts the rate to
// the round-trip time of heartbeats to an entry, which use the same link as live requests.
type pacing struct {
	mu        sync.Mutex // guards pacer
	pacer     *pace.Pacer
	limiter   *rate.Limiter
	partBytes int // maximum number of bytes sent at once
}

// Limits of one part. A part occupies the link only briefly, because a live request may
// have to wait for it.
const (
	partDuration = 2 * time.Millisecond
	minPartBytes = 2 << 10
	// burstParts is the burst size in parts. It compensates for timers that fire late.
	burstParts = 4
)

func newPacing(link fleet.Bytes) *pacing {
	settings := pace.DefaultSettings(link)
	partBytes := min(peer.PartBytes, max(minPartBytes, int(float64(link)*partDuration.Seconds())))
	return &pacing{pacer: pace.New(settings), partBytes: partBytes, limiter: rate.NewLimiter(rate.Limit(settings.FullRate), burstParts*partBytes)}
}

// recordRoundTrip records the round-trip time of one heartbeat to an entry and adjusts
// the rate.
func (p *pacing) recordRoundTrip(d time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.RecordRoundTrip(d, now)
	p.limiter.SetLimit(rate.Limit(p.pacer.Rate(now)))
}

// recordFirstToken records the time to the first token of a live request.
func (p *pacing) recordFirstToken(d time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.RecordFirstToken(d, now)
}

// wait blocks until n more bytes may be sent. n is at most the size of one part.
func (p *pacing) wait(ctx context.Context, n int) error { return p.limiter.WaitN(ctx, n) }
