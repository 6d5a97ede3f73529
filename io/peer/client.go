package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"amaranthturn/core/configsync"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
	"amaranthturn/core/swarm"
	"amaranthturn/io/peer/peerpb"
)

// DialOptions say how connections are made.
type DialOptions struct {
	// Dial makes a connection; nil means plain TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Credentials are for mutual TLS; nil means none.
	Credentials credentials.TransportCredentials
	// ReconnectWait bounds the pause between two connections; 0 means maxReconnectWait.
	ReconnectWait time.Duration
}

// Timing of connections.
const (
	connectTimeout   = 2 * time.Second
	maxReconnectWait = 2 * time.Second
	pingEvery        = 10 * time.Second
	pingTimeout      = 3 * time.Second
	callTimeout      = 3 * time.Second
	maxMessageBytes  = 16 << 20
)

// Pool keeps one connection to each address.
type Pool struct {
	opts  []grpc.DialOption
	mu    sync.Mutex // guards all below
	conns map[string]*grpc.ClientConn
	// unwanted is since when addresses have not been wanted.
	unwanted map[string]time.Time
}

// NewPool returns an empty pool.
func NewPool(o DialOptions) *Pool {
	creds := o.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	wait := o.ReconnectWait
	if wait == 0 {
		wait = maxReconnectWait
	}
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		// No call may be sent twice behind the back of the layer that counts.
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingEvery, Timeout: pingTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.3, MaxDelay: wait},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	}
	if o.Dial != nil {
		opts = append(opts, grpc.WithContextDialer(o.Dial))
	}
	return &Pool{opts: opts, conns: map[string]*grpc.ClientConn{}, unwanted: map[string]time.Time{}}
}

// ServerOptions returns the options that match the pool's connections.
func ServerOptions(creds credentials.TransportCredentials) []grpc.ServerOption {
	out := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingEvery / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingEvery, Timeout: pingTimeout}),
	}
	if creds != nil {
		out = append(out, grpc.Creds(creds))
	}
	return out
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.conns {
		_ = c.Close()
		delete(p.conns, addr)
	}
}

// unwantedLife is how long a connection to an address that is not wanted any more is kept:
// the longest time that a caller may give a request, which may still run there.
const unwantedLife = 10 * time.Minute

// Keep closes the connections to addresses that have not been wanted for unwantedLife.
func (p *Pool) Keep(wanted map[string]bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.conns {
		since, ok := p.unwanted[addr]
		switch {
		case wanted[addr]:
			delete(p.unwanted, addr)
		case !ok:
			p.unwanted[addr] = now
		case now.Sub(since) >= unwantedLife:
			_ = c.Close() // nothing runs on it any more
			delete(p.conns, addr)
			delete(p.unwanted, addr)
		}
	}
}

func (p *Pool) conn(addr string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[addr]; ok {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+addr, p.opts...)
	if err != nil {
		return nil, lost(addr, err)
	}
	p.conns[addr] = c
	return c, nil
}

func (p *Pool) entry(addr string) (peerpb.EntryClient, error) {
	c, err := p.conn(addr)
	if err != nil {
		return nil, err
	}
	return peerpb.NewEntryClient(c), nil
}

func (p *Pool) agent(addr string) (peerpb.AgentClient, error) {
	c, err := p.conn(addr)
	if err != nil {
		return nil, err
	}
	return peerpb.NewAgentClient(c), nil
}

// lost translates an error of the library. Unavailable before any byte was
// exchanged means that nothing was sent.
func lost(addr string, err error) error {
	return &LostError{Address: addr, Cause: err, NotSent: notSent(err)}
}

// notSent is only certain when the connection itself could not be made.
func notSent(err error) bool {
	s, ok := status.FromError(err)
	if !ok || s.Code() != codes.Unavailable {
		return false
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return hasDialFailure(s.Message())
}

// Generate runs a request on the agent at addr and calls each for every event.
func (p *Pool) Generate(ctx context.Context, addr string, r GenerateRequest, each func(Event) error) error {
	c, err := p.agent(addr)
	if err != nil {
		return err
	}
	st, err := c.Generate(ctx, generateToWire(r))
	if err != nil {
		return lost(addr, err)
	}
	return readEvents(addr, st, each)
}

// Relay runs a request through the entry at addr.
func (p *Pool) Relay(ctx context.Context, addr string, r GenerateRequest, each func(Event) error) error {
	c, err := p.entry(addr)
	if err != nil {
		return err
	}
	st, err := c.Relay(ctx, generateToWire(r))
	if err != nil {
		return lost(addr, err)
	}
	return readEvents(addr, st, each)
}

func readEvents(addr string, st grpc.ServerStreamingClient[peerpb.GenerateEvent], each func(Event) error) error {
	for {
		ev, err := st.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return lost(addr, err)
		}
		if err := each(eventFromWire(ev)); err != nil {
			return err
		}
	}
}

// Call calls a repeatable plain service through the agent at addr.
func (p *Pool) Call(ctx context.Context, addr string, call Call) (Reply, error) {
	c, err := p.agent(addr)
	if err != nil {
		return Reply{}, err
	}
	r, err := c.Call(ctx, callToWire(call))
	if err != nil {
		return Reply{}, lost(addr, err)
	}
	return replyFromWire(r), nil
}

// RunOrder runs an order under a ticket on the agent at addr.
func (p *Pool) RunOrder(ctx context.Context, addr, ticket string, call Call) (fleet.Outcome, Reply, error) {
	c, err := p.agent(addr)
	if err != nil {
		return fleet.OutcomeUnknown, Reply{}, err
	}
	r, err := c.RunOrder(ctx, &peerpb.OrderRequest{Ticket: ticket, Call: callToWire(call)})
	if err != nil {
		return fleet.OutcomeUnknown, Reply{}, lost(addr, err)
	}
	return fleet.Outcome(r.GetOutcome()), replyFromWire(r.GetReply()), nil
}

// StopOrder makes sure that an order that has not begun never will.
func (p *Pool) StopOrder(ctx context.Context, addr, ticket string) (fleet.Outcome, Reply, error) {
	c, err := p.agent(addr)
	if err != nil {
		return fleet.OutcomeUnknown, Reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.StopOrder(ctx, &peerpb.StopOrderRequest{Ticket: ticket})
	if err != nil {
		return fleet.OutcomeUnknown, Reply{}, lost(addr, err)
	}
	return fleet.Outcome(r.GetOutcome()), replyFromWire(r.GetReply()), nil
}

// Sync exchanges revisions and suspicion with the entry at addr.
func (p *Pool) Sync(ctx context.Context, addr string, m SyncMessage) (SyncMessage, error) {
	c, err := p.entry(addr)
	if err != nil {
		return SyncMessage{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.Sync(ctx, &peerpb.SyncRequest{
		Instance: string(m.Instance), Revision: uint64(m.Revision), Digest: string(m.Digest),
		Suspects: suspectsToWire(m.Suspects), PlatformAgeMs: m.PlatformAge.Milliseconds(),
	})
	if err != nil {
		return SyncMessage{}, lost(addr, err)
	}
	out := SyncMessage{
		Revision: fleet.Revision(r.GetRevision()), Digest: fleet.Digest(r.GetDigest()),
		PlatformAge: time.Duration(r.GetPlatformAgeMs()) * time.Millisecond, Suspects: suspectsFromWire(r.GetSuspects()),
	}
	if d := r.GetDocument(); d != nil {
		u := updateFromWire(d)
		out.Update = &u
	}
	return out, nil
}

func syncFromWire(p *peerpb.SyncRequest) SyncMessage {
	return SyncMessage{
		Instance: fleet.InstanceID(p.GetInstance()), Revision: fleet.Revision(p.GetRevision()), Digest: fleet.Digest(p.GetDigest()),
		PlatformAge: time.Duration(p.GetPlatformAgeMs()) * time.Millisecond, Suspects: suspectsFromWire(p.GetSuspects()),
	}
}

// Document fetches what is newer than have from the entry at addr.
func (p *Pool) Document(ctx context.Context, addr string, have fleet.Revision, whole bool) (configsync.Update, error) {
	c, err := p.entry(addr)
	if err != nil {
		return configsync.Update{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d, err := c.FetchDocument(ctx, &peerpb.FetchDocumentRequest{HaveRevision: uint64(have), Whole: whole})
	if err != nil {
		return configsync.Update{}, lost(addr, err)
	}
	return updateFromWire(d), nil
}

// Fleet asks the entry at addr about its agents, or about the whole fleet.
func (p *Pool) Fleet(ctx context.Context, addr string, forward bool) (Fleet, error) {
	c, err := p.entry(addr)
	if err != nil {
		return Fleet{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.Fleet(ctx, &peerpb.FleetRequest{Forward: forward})
	if err != nil {
		return Fleet{}, lost(addr, err)
	}
	return fleetFromWire(r), nil
}

// WatchChunks calls each for every change of the chunks that the agent at addr
// holds of a version.
func (p *Pool) WatchChunks(ctx context.Context, addr string, v fleet.Version, each func(Held)) error {
	c, err := p.agent(addr)
	if err != nil {
		return err
	}
	st, err := c.WatchChunks(ctx, &peerpb.WatchChunksRequest{Version: string(v)})
	if err != nil {
		return lost(addr, err)
	}
	for {
		h, err := st.Recv()
		if err != nil {
			return lost(addr, err)
		}
		each(heldFromWire(h))
	}
}

// Chunk fetches a chunk from the agent at addr; the caller verifies it. progress
// is called with the size of each part. Errors: ErrBusy, ErrMissing, *LostError.
func (p *Pool) Chunk(ctx context.Context, addr string, ref ChunkRef, progress func(int)) ([]byte, error) {
	c, err := p.agent(addr)
	if err != nil {
		return nil, err
	}
	st, err := c.FetchChunk(ctx, &peerpb.FetchChunkRequest{
		Version: string(ref.Version), Index: uint32(ref.Index), Digest: string(ref.Digest), Instance: string(ref.By),
	})
	if err != nil {
		return nil, lost(addr, err)
	}
	var data []byte
	for {
		part, err := st.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case status.Code(err) == codes.NotFound:
			return nil, ErrMissing
		case err != nil:
			return nil, lost(addr, err)
		case part.GetBusy():
			return nil, ErrBusy
		}
		data = append(data, part.GetData()...)
		if len(data) > swarm.MaxChunkBytes {
			return nil, lost(addr, errTooLarge)
		}
		progress(len(part.GetData()))
	}
}

var errTooLarge = errors.New("chunk is larger than allowed")

// Manifest fetches a manifest from the agent at addr; the caller checks it.
func (p *Pool) Manifest(ctx context.Context, addr string, v fleet.Version) ([]byte, error) {
	c, err := p.agent(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.FetchManifest(ctx, &peerpb.FetchManifestRequest{Version: string(v)})
	if err != nil {
		return nil, lost(addr, err)
	}
	return r.GetBody(), nil
}

// Attachment is an agent's stream to an entry.
type Attachment struct {
	addr   string
	stream grpc.BidiStreamingClient[peerpb.AgentReport, peerpb.AgentNotice]
	last   membership.Report
	sent   bool
}

// Attach opens the stream of an agent to the entry at addr. It ends with ctx.
func (p *Pool) Attach(ctx context.Context, addr string) (*Attachment, error) {
	c, err := p.entry(addr)
	if err != nil {
		return nil, err
	}
	st, err := c.Attach(ctx)
	if err != nil {
		return nil, lost(addr, err)
	}
	return &Attachment{addr: addr, stream: st}, nil
}

// Send sends a heartbeat, in the brief form when little has changed.
func (a *Attachment) Send(r membership.Report) error {
	wire := reportToWire(r)
	if a.sent && sameSlowFields(a.last, r) {
		wire = briefReport(r)
	} else {
		a.last, a.sent = r, true
	}
	if err := a.stream.Send(wire); err != nil {
		return lost(a.addr, err)
	}
	return nil
}

// Receive returns the next notice of the entry.
func (a *Attachment) Receive() (Notice, error) {
	n, err := a.stream.Recv()
	if err != nil {
		return Notice{}, lost(a.addr, err)
	}
	return noticeFromWire(n), nil
}
