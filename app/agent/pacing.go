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

// pacing applies the pace of weight traffic to what this instance sends. The
// signal is the time that a heartbeat takes to the entry and back over the same
// link that live requests use.
type pacing struct {
	mu      sync.Mutex // guards pacer
	pacer   *pace.Pacer
	limiter *rate.Limiter
	part    int // bytes that are sent at once
}

// What is sent at once is a short time on the link, because a live request can have
// to wait behind it.
const (
	partTime = 2 * time.Millisecond
	minPart  = 2 << 10
	// burstParts makes up for timers that fire late.
	burstParts = 4
)

func newPacing(link fleet.Bytes) *pacing {
	set := pace.DefaultSettings(link)
	part := min(peer.PartBytes, max(minPart, int(float64(link)*partTime.Seconds())))
	return &pacing{pacer: pace.New(set), part: part, limiter: rate.NewLimiter(rate.Limit(set.FullRate), burstParts*part)}
}

// probe takes the time of one heartbeat to an entry and back.
func (p *pacing) probe(d time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.RecordRoundTrip(d, now)
	p.limiter.SetLimit(rate.Limit(p.pacer.Rate(now)))
}

// live takes the delay of the first token of a live request.
func (p *pacing) live(d time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.RecordFirstToken(d, now)
}

// wait returns when n more bytes may be sent; n is at most one part.
func (p *pacing) wait(ctx context.Context, n int) error { return p.limiter.WaitN(ctx, n) }
