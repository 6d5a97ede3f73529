package agent

import (
	"context"
	"sync"
	"time"

	"amaranthturn/app/daemon"
	"amaranthturn/core/configsync"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
	"amaranthturn/core/trace"
	"amaranthturn/io/peer"
)

// Timing of the entry streams.
const (
	reattachDelay     = 300 * time.Millisecond
	reconcileInterval = 500 * time.Millisecond
	listRetryDelay    = 500 * time.Millisecond
)

// attachments maintains a stream to every home entry.
type attachments struct {
	a       *Agent
	mu      sync.Mutex // guards streams
	streams map[fleet.InstanceID]*entryStream
}

func newAttachments(a *Agent) *attachments {
	return &attachments{a: a, streams: map[fleet.InstanceID]*entryStream{}}
}

// heartbeatNow makes every stream send a heartbeat immediately.
func (t *attachments) heartbeatNow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.streams {
		select {
		case x.wakeup <- struct{}{}:
		default:
		}
	}
}

// Run opens and closes streams as the home entries change.
func (t *attachments) Run(ctx context.Context) {
	t.fetchHomeEntries(ctx)
	for ctx.Err() == nil {
		t.reconcile(ctx, t.a.view.homeEntries())
		daemon.Sleep(ctx, reconcileInterval)
	}
	t.reconcile(ctx, nil)
}

// fetchHomeEntries reads the home entries from the platform's list, once per start. Later
// changes are received from the entries.
func (t *attachments) fetchHomeEntries(ctx context.Context) {
	warned := false
	for ctx.Err() == nil {
		list, err := t.a.opt.Platform.Instances(ctx, fleet.Position{}, 0)
		if err == nil {
			if homes := membership.HomeEntries(list.Instances, t.a.self.Zone, t.a.self.Pool); len(homes) > 0 {
				t.a.view.setHomeEntries(homes)
				return
			}
		}
		if err != nil && ctx.Err() == nil && !warned {
			warned = true
			t.a.log.members.Warn().Err(err).Msg(trace.MessagePlatformUnavailable)
		}
		t.a.opt.Metrics.Count("list_failures", 1)
		daemon.Sleep(ctx, listRetryDelay)
	}
}

func (t *attachments) reconcile(ctx context.Context, homes []fleet.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	addresses := map[fleet.InstanceID]string{}
	for _, in := range homes {
		addresses[in.ID] = in.Address
	}
	for id, x := range t.streams {
		if addresses[id] != x.entry.Address {
			x.cancel()
			delete(t.streams, id)
			t.a.view.removeEntry(id)
		}
	}
	for _, in := range homes {
		if _, ok := t.streams[in.ID]; ok || ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		x := &entryStream{a: t.a, entry: in, cancel: cancel, wakeup: make(chan struct{}, 1)}
		t.streams[in.ID] = x
		go x.run(ctx)
	}
}

// entryStream maintains the stream to one entry.
type entryStream struct {
	a          *Agent
	entry      fleet.Instance
	cancel     context.CancelFunc
	wakeup     chan struct{}
	mu         sync.Mutex // guards probesSent
	probesSent map[uint64]time.Time
}

// run reconnects whenever the stream ends.
func (x *entryStream) run(ctx context.Context) {
	for ctx.Err() == nil {
		x.connect(ctx)
		daemon.Sleep(ctx, reattachDelay)
	}
}

func (x *entryStream) connect(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attachment, err := x.a.opt.Pool.Attach(ctx, x.entry.Address)
	if err != nil {
		return
	}
	if attachment.Send(x.nextReport(false)) != nil {
		return
	}
	r := &noticeReader{stream: x, attachment: attachment, cancel: cancel}
	go r.run()
	x.sendHeartbeats(ctx, attachment)
}

// sendHeartbeats sends heartbeats, more often while weights are fetched.
func (x *entryStream) sendHeartbeats(ctx context.Context, attachment *peer.Attachment) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	lastSent := x.a.now()
	for {
		isProbe := false
		select {
		case <-ctx.Done():
			return
		case <-x.wakeup:
		case <-tick.C:
			isProbe = x.isSameZone() && x.a.cache.isFetching()
			if !isProbe && x.a.now().Sub(lastSent) < heartbeatInterval {
				continue
			}
		}
		lastSent = x.a.now()
		if attachment.Send(x.nextReport(isProbe)) != nil {
			return
		}
	}
}

// isSameZone reports whether the entry is in this instance's zone. Only streams to such
// entries are used to measure the link.
func (x *entryStream) isSameZone() bool { return x.entry.Zone == x.a.self.Zone }

// maxPendingProbes limits the number of heartbeats that wait for an acknowledgement.
const maxPendingProbes = 64

func (x *entryStream) nextReport(isProbe bool) membership.Report {
	r := x.a.report()
	r.WantAck = isProbe
	if r.WantAck {
		x.mu.Lock()
		if x.probesSent == nil || len(x.probesSent) > maxPendingProbes {
			x.probesSent = map[uint64]time.Time{}
		}
		x.probesSent[r.Sequence] = x.a.now()
		x.mu.Unlock()
	}
	return r
}

func (x *entryStream) recordAck(seq uint64) {
	x.mu.Lock()
	sentAt, ok := x.probesSent[seq]
	delete(x.probesSent, seq)
	x.mu.Unlock()
	if ok {
		x.a.pace.recordRoundTrip(x.a.now().Sub(sentAt), x.a.now())
	}
}

// noticeReader receives the notices of one stream.
type noticeReader struct {
	stream     *entryStream
	attachment *peer.Attachment
	cancel     context.CancelFunc
}

func (r *noticeReader) run() {
	defer r.cancel()
	for {
		n, err := r.attachment.Receive()
		if err != nil {
			return
		}
		r.stream.applyNotice(n)
	}
}

func (x *entryStream) applyNotice(n peer.Notice) {
	a := x.a
	if n.Ack != 0 {
		x.recordAck(n.Ack)
	}
	res := a.view.applyNotice(x.entry.ID, n, a.now())
	switch res.Verdict {
	case configsync.Accepted:
		_, at := a.view.plan()
		a.opt.Metrics.Gauge("config_revision", float64(at.Revision))
		a.log.config.Info().Uint64("revision", uint64(at.Revision)).Uint64("era", uint64(at.Era)).Str("from", string(x.entry.ID)).Msg("plan in force")
		a.attach.heartbeatNow()
	case configsync.Forged:
		a.opt.Metrics.Count("plans_forged", 1)
		a.log.config.Error().Str("from", string(x.entry.ID)).Err(res.Problem).Msg("plan rejected")
	}
	a.driver.wake()
}
