package agent

import (
	"context"
	"sync"
	"time"

	"amaranthturn/app/node"
	"amaranthturn/core/configsync"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
	"amaranthturn/core/trace"
	"amaranthturn/io/peer"
)

// Timing of attachments.
const (
	reattachEvery = 300 * time.Millisecond
	homesEvery    = 500 * time.Millisecond
	listRetry     = 500 * time.Millisecond
)

// attachments keeps a stream to every home entry.
type attachments struct {
	a    *Agent
	mu   sync.Mutex // guards open
	open map[fleet.InstanceID]*attacher
}

func newAttachments(a *Agent) *attachments {
	return &attachments{a: a, open: map[fleet.InstanceID]*attacher{}}
}

// kick makes every stream send a heartbeat now.
func (t *attachments) kick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.open {
		select {
		case x.kicked <- struct{}{}:
		default:
		}
	}
}

// Run opens and closes streams as the home entries change.
func (t *attachments) Run(ctx context.Context) {
	t.firstHomes(ctx)
	for ctx.Err() == nil {
		t.reconcile(ctx, t.a.view.homeEntries())
		node.Sleep(ctx, homesEvery)
	}
	t.reconcile(ctx, nil)
}

// firstHomes learns the entries from the platform's list, which is read once a
// start; later changes come from the entries.
func (t *attachments) firstHomes(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		list, err := t.a.opt.Platform.Instances(ctx, 0, 0)
		if err == nil {
			if homes := membership.HomeEntries(list.Instances, t.a.self.Zone, t.a.self.Pool); len(homes) > 0 {
				t.a.view.setHomes(homes)
				return
			}
		}
		if err != nil && ctx.Err() == nil && !lost {
			lost = true
			t.a.log.members.Warn().Err(err).Msg(trace.MessagePlatformUnavailable)
		}
		t.a.opt.Metrics.Count("list_failures", 1)
		node.Sleep(ctx, listRetry)
	}
}

func (t *attachments) reconcile(ctx context.Context, homes []fleet.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wanted := map[fleet.InstanceID]string{}
	for _, in := range homes {
		wanted[in.ID] = in.Address
	}
	for id, x := range t.open {
		if wanted[id] != x.to.Address {
			x.cancel()
			delete(t.open, id)
			t.a.view.forget(id)
		}
	}
	for _, in := range homes {
		if _, ok := t.open[in.ID]; ok || ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		x := &attacher{a: t.a, to: in, cancel: cancel, kicked: make(chan struct{}, 1)}
		t.open[in.ID] = x
		go x.run(ctx)
	}
}

// attacher keeps the stream to one entry.
type attacher struct {
	a      *Agent
	to     fleet.Instance
	cancel context.CancelFunc
	kicked chan struct{}
	mu     sync.Mutex // guards sent
	sent   map[uint64]time.Time
}

// run connects again whenever the stream ends.
func (x *attacher) run(ctx context.Context) {
	for ctx.Err() == nil {
		x.stream(ctx)
		node.Sleep(ctx, reattachEvery)
	}
}

func (x *attacher) stream(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	at, err := x.a.opt.Pool.Attach(ctx, x.to.Address)
	if err != nil {
		return
	}
	if at.Send(x.next(false)) != nil {
		return
	}
	r := &noticeReader{x: x, at: at, cancel: cancel}
	go r.run()
	x.beat(ctx, at)
}

// beat sends heartbeats, closer together while weights move.
func (x *attacher) beat(ctx context.Context, at *peer.Attachment) {
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	last := x.a.now()
	for {
		probe := false
		select {
		case <-ctx.Done():
			return
		case <-x.kicked:
		case <-tick.C:
			probe = x.near() && x.a.cache.moving()
			if !probe && x.a.now().Sub(last) < heartbeatEvery {
				continue
			}
		}
		last = x.a.now()
		if at.Send(x.next(probe)) != nil {
			return
		}
	}
}

// near tells whether the entry is in this instance's zone. Only its streams are
// used to measure the link.
func (x *attacher) near() bool { return x.to.Zone == x.a.self.Zone }

// maxProbes bounds the heartbeats whose answer is awaited.
const maxProbes = 64

func (x *attacher) next(probe bool) membership.Report {
	r := x.a.report()
	r.WantAck = probe
	if r.WantAck {
		x.mu.Lock()
		if x.sent == nil || len(x.sent) > maxProbes {
			x.sent = map[uint64]time.Time{}
		}
		x.sent[r.Sequence] = x.a.now()
		x.mu.Unlock()
	}
	return r
}

func (x *attacher) acked(seq uint64) {
	x.mu.Lock()
	at, ok := x.sent[seq]
	delete(x.sent, seq)
	x.mu.Unlock()
	if ok {
		x.a.pace.probe(x.a.now().Sub(at), x.a.now())
	}
}

// noticeReader takes the notices of one stream.
type noticeReader struct {
	x      *attacher
	at     *peer.Attachment
	cancel context.CancelFunc
}

func (r *noticeReader) run() {
	defer r.cancel()
	for {
		n, err := r.at.Receive()
		if err != nil {
			return
		}
		r.x.take(n)
	}
}

func (x *attacher) take(n peer.Notice) {
	a := x.a
	if n.Ack != 0 {
		x.acked(n.Ack)
	}
	res := a.view.take(x.to.ID, n, a.now())
	switch res.Verdict {
	case configsync.Accepted:
		_, rev := a.view.plan()
		a.opt.Metrics.Gauge("config_revision", float64(rev))
		a.log.config.Info().Uint64("revision", uint64(rev)).Str("from", string(x.to.ID)).Msg("plan in force")
		a.attach.kick()
	case configsync.Forged:
		a.opt.Metrics.Count("plans_forged", 1)
		a.log.config.Error().Str("from", string(x.to.ID)).Err(res.Problem).Msg("plan rejected")
	}
	a.driver.wake()
}
