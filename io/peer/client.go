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
	"amaranthturn/io/bounded"
	"amaranthturn/io/peer/peerpb"
)

// DialOptions configures the connections of a Pool.
type DialOptions struct {
	// Dial opens a connection; nil means plain TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Credentials are for mutual TLS; nil means none.
	Credentials credentials.TransportCredentials
	// MaxReconnectDelay is the maximum backoff between connection attempts; 0 means
	// defaultMaxReconnectDelay.
	MaxReconnectDelay time.Duration
}

// Limits of connections and calls.
const (
	connectTimeout           = 2 * time.Second
	defaultMaxReconnectDelay = 2 * time.Second
	pingInterval             = 10 * time.Second
	pingTimeout              = 3 * time.Second
	callTimeout              = 3 * time.Second
	maxMessageBytes          = 16 << 20
	maxHeaderListBytes       = bounded.MaxHeaderBytes
)

// Pool holds one connection per address.
type Pool struct {
	opts   []grpc.DialOption
	values valueCompressor
	mu     sync.Mutex // guards all fields below
	closed bool
	conns  map[string]*grpc.ClientConn
	// staleSince is the time of the first call of Retain in which an address was missing.
	staleSince map[string]time.Time
}

// NewPool returns an empty pool.
func NewPool(o DialOptions) *Pool {
	creds := o.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	maxDelay := o.MaxReconnectDelay
	if maxDelay == 0 {
		maxDelay = defaultMaxReconnectDelay
	}
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		// No call may be sent twice without the knowledge of the layer that counts attempts.
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.3, MaxDelay: maxDelay},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithMaxHeaderListSize(maxHeaderListBytes),
	}
	if o.Dial != nil {
		opts = append(opts, grpc.WithContextDialer(o.Dial))
	}
	return &Pool{opts: opts, conns: map[string]*grpc.ClientConn{}, staleSince: map[string]time.Time{}}
}

// ServerOptions returns the server options that match the pool's connections.
func ServerOptions(creds credentials.TransportCredentials) []grpc.ServerOption {
	out := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
	}
	if creds != nil {
		out = append(out, grpc.Creds(creds))
	}
	return out
}

// errPoolClosed is the cause of a call after Close.
var errPoolClosed = errors.New("the pool is closed")

// Close closes every connection. Later calls fail: what still runs when a process stops would open
// connections that nobody closes.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr, c := range p.conns {
		_ = c.Close()
		delete(p.conns, addr)
	}
}

// staleConnTimeout is the time after which a connection to an address that is no longer
// in use is closed. Requests may still run on it until then: it is the maximum timeout
// that a caller may set for a request.
const staleConnTimeout = 10 * time.Minute

// Retain closes the connections to addresses that have been missing from inUse for
// staleConnTimeout.
func (p *Pool) Retain(inUse map[string]bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.conns {
		since, ok := p.staleSince[addr]
		switch {
		case inUse[addr]:
			delete(p.staleSince, addr)
		case !ok:
			p.staleSince[addr] = now
		case now.Sub(since) >= staleConnTimeout:
			_ = c.Close() // every request on it has timed out
			delete(p.conns, addr)
			delete(p.staleSince, addr)
		}
	}
}

// Release closes the connection to an address on which no call is in progress.
func (p *Pool) Release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[addr]; ok {
		_ = c.Close() // returns an error only if it is closed
		delete(p.conns, addr)
		delete(p.staleSince, addr)
	}
}

func (p *Pool) conn(addr string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &ConnectionError{Address: addr, Cause: errPoolClosed, NotSent: true}
	}
	if c, ok := p.conns[addr]; ok {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+addr, p.opts...)
	if err != nil {
		return nil, wrapError(addr, err)
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

// wrapError converts an error of the gRPC library to a ConnectionError.
func wrapError(addr string, err error) error {
	return &ConnectionError{Address: addr, Cause: err, NotSent: isNotSent(err), DeadlineExceeded: status.Code(err) == codes.DeadlineExceeded}
}

// isNotSent reports whether the request was certainly not sent. This is known only for
// Unavailable errors that come from a failure to establish the connection.
func isNotSent(err error) bool {
	s, ok := status.FromError(err)
	if !ok || s.Code() != codes.Unavailable {
		return false
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return isDialFailure(s.Message())
}

// Generate runs a request on the agent at addr and calls onEvent for every event.
func (p *Pool) Generate(ctx context.Context, addr string, r GenerateRequest, onEvent func(GenerateEvent) error) error {
	c, err := p.agent(addr)
	if err != nil {
		return err
	}
	st, err := c.Generate(ctx, generateToWire(r))
	if err != nil {
		return wrapError(addr, err)
	}
	return readEvents(addr, st, onEvent)
}

// Relay runs a request through the entry at addr.
func (p *Pool) Relay(ctx context.Context, addr string, r GenerateRequest, onEvent func(GenerateEvent) error) error {
	c, err := p.entry(addr)
	if err != nil {
		return err
	}
	st, err := c.Relay(ctx, generateToWire(r))
	if err != nil {
		return wrapError(addr, err)
	}
	return readEvents(addr, st, onEvent)
}

func readEvents(addr string, st grpc.ServerStreamingClient[peerpb.GenerateEvent], onEvent func(GenerateEvent) error) error {
	for {
		ev, err := st.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return wrapError(addr, err)
		}
		if err := onEvent(eventFromWire(ev)); err != nil {
			return err
		}
	}
}

// Call sends a repeatable request to a service through the agent at addr.
func (p *Pool) Call(ctx context.Context, addr string, call Call) (Reply, error) {
	c, err := p.agent(addr)
	if err != nil {
		return Reply{}, err
	}
	r, err := c.Call(ctx, callToWire(call))
	if err != nil {
		return Reply{}, wrapError(addr, err)
	}
	return checkReply(addr, r)
}

// RunOrder runs an order under a ticket on the agent at addr.
func (p *Pool) RunOrder(ctx context.Context, addr, ticket string, call Call) (fleet.Outcome, Reply, error) {
	c, err := p.agent(addr)
	if err != nil {
		return fleet.OutcomeUnknown, Reply{}, err
	}
	r, err := c.RunOrder(ctx, &peerpb.OrderRequest{Ticket: ticket, Call: callToWire(call)})
	if err != nil {
		return fleet.OutcomeUnknown, Reply{}, wrapError(addr, err)
	}
	reply, err := checkReply(addr, r.GetReply())
	if err != nil {
		return fleet.OutcomeUnknown, Reply{}, err
	}
	return fleet.Outcome(r.GetOutcome()), reply, nil
}

// StopOrder prevents an order that has not started from starting later.
func (p *Pool) StopOrder(ctx context.Context, addr, ticket string) (fleet.Outcome, Reply, error) {
	c, err := p.agent(addr)
	if err != nil {
		return fleet.OutcomeUnknown, Reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.StopOrder(ctx, &peerpb.StopOrderRequest{Ticket: ticket})
	if err != nil {
		return fleet.OutcomeUnknown, Reply{}, wrapError(addr, err)
	}
	outcome := fleet.Outcome(r.GetOutcome())
	if outcome != fleet.OutcomeDone {
		return outcome, replyFromWire(r.GetReply()), nil
	}
	reply, err := checkReply(addr, r.GetReply())
	if err != nil {
		return fleet.OutcomeUnknown, Reply{}, err
	}
	return outcome, reply, nil
}

// Sync exchanges configuration revisions and crash blame with the entry at addr.
func (p *Pool) Sync(ctx context.Context, addr string, m SyncMessage) (SyncMessage, error) {
	c, err := p.entry(addr)
	if err != nil {
		return SyncMessage{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.Sync(ctx, &peerpb.SyncRequest{
		Instance: string(m.Instance), Revision: uint64(m.Position.Revision), Era: uint64(m.Position.Era),
		HistorySum: m.HistorySum,
		Suspects:   suspectsToWire(m.Blamed), PlatformAgeMs: m.PlatformAge.Milliseconds(),
	})
	if err != nil {
		return SyncMessage{}, wrapError(addr, err)
	}
	out := SyncMessage{
		Position: positionFromWire(r.GetEra(), r.GetRevision()), HistorySum: r.GetHistorySum(),
		History:     historyFromWire(r.GetHistory()),
		PlatformAge: nonNegativeMillis(r.GetPlatformAgeMs()), Blamed: suspectsFromWire(r.GetSuspects()),
	}
	if d := r.GetDocument(); d != nil {
		u := updateFromWire(d)
		out.Update = &u
	}
	return out, nil
}

func syncFromWire(p *peerpb.SyncRequest) SyncMessage {
	return SyncMessage{
		Instance: fleet.InstanceID(p.GetInstance()), Position: positionFromWire(p.GetEra(), p.GetRevision()),
		HistorySum:  p.GetHistorySum(),
		PlatformAge: nonNegativeMillis(p.GetPlatformAgeMs()), Blamed: suspectsFromWire(p.GetSuspects()),
	}
}

// Document fetches the configuration newer than position have from the entry at addr. If
// full is set, the update contains the full document rather than a delta.
func (p *Pool) Document(ctx context.Context, addr string, have fleet.Position, full bool) (configsync.Update, error) {
	c, err := p.entry(addr)
	if err != nil {
		return configsync.Update{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d, err := c.FetchDocument(ctx, &peerpb.FetchDocumentRequest{HaveRevision: uint64(have.Revision), HaveEra: uint64(have.Era), Whole: full})
	if err != nil {
		return configsync.Update{}, wrapError(addr, err)
	}
	return updateFromWire(d), nil
}

// Fleet queries the entry at addr for its agents or, if forward is set, for all agents
// of the fleet.
func (p *Pool) Fleet(ctx context.Context, addr string, forward bool) (Fleet, error) {
	c, err := p.entry(addr)
	if err != nil {
		return Fleet{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.Fleet(ctx, &peerpb.FleetRequest{Forward: forward})
	if err != nil {
		return Fleet{}, wrapError(addr, err)
	}
	return fleetFromWire(r), nil
}

// WatchChunks calls onChange for every change of the chunks that the agent at addr
// holds of a version.
func (p *Pool) WatchChunks(ctx context.Context, addr string, v fleet.Version, onChange func(ChunksHeld)) error {
	c, err := p.agent(addr)
	if err != nil {
		return err
	}
	st, err := c.WatchChunks(ctx, &peerpb.WatchChunksRequest{Version: string(v)})
	if err != nil {
		return wrapError(addr, err)
	}
	for {
		h, err := st.Recv()
		if err != nil {
			return wrapError(addr, err)
		}
		onChange(chunksHeldFromWire(h))
	}
}

// Chunk fetches a chunk from the agent at addr and calls onPart with the size of each
// part. The caller verifies the chunk. Errors: ErrBusy, ErrMissing,
// *ConnectionError.
func (p *Pool) Chunk(ctx context.Context, addr string, ref ChunkRef, onPart func(int)) ([]byte, error) {
	c, err := p.agent(addr)
	if err != nil {
		return nil, err
	}
	st, err := c.FetchChunk(ctx, &peerpb.FetchChunkRequest{
		Version: string(ref.Version), Index: uint32(ref.Index), Digest: string(ref.Digest), Instance: string(ref.Requester),
	})
	if err != nil {
		return nil, wrapError(addr, err)
	}
	limit := swarm.MaxChunkBytes
	if ref.Size > 0 && ref.Size < swarm.MaxChunkBytes {
		limit = int(ref.Size)
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
			return nil, wrapError(addr, err)
		case part.GetBusy():
			return nil, ErrBusy
		}
		data = append(data, part.GetData()...)
		if len(data) > limit {
			return nil, wrapError(addr, &bounded.TooLargeError{Part: bounded.PartBody, Limit: int64(limit)})
		}
		onPart(len(part.GetData()))
	}
}

// Manifest fetches a manifest from the agent at addr. The caller verifies it.
func (p *Pool) Manifest(ctx context.Context, addr string, v fleet.Version) ([]byte, error) {
	c, err := p.agent(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.FetchManifest(ctx, &peerpb.FetchManifestRequest{Version: string(v)})
	if err != nil {
		return nil, wrapError(addr, err)
	}
	return r.GetBody(), nil
}

// Attachment is an agent's heartbeat stream to an entry.
type Attachment struct {
	addr   string
	stream grpc.BidiStreamingClient[peerpb.AgentReport, peerpb.AgentNotice]
	last   membership.Report // last full report
	sent   bool              // reports whether a full report was sent
}

// Attach opens the heartbeat stream of an agent to the entry at addr. The stream ends
// with ctx.
func (p *Pool) Attach(ctx context.Context, addr string) (*Attachment, error) {
	c, err := p.entry(addr)
	if err != nil {
		return nil, err
	}
	st, err := c.Attach(ctx)
	if err != nil {
		return nil, wrapError(addr, err)
	}
	return &Attachment{addr: addr, stream: st}, nil
}

// Send sends a heartbeat. It uses the brief form if canSendBrief allows it.
func (a *Attachment) Send(r membership.Report) error {
	wire := reportToWire(r)
	if a.sent && canSendBrief(a.last, r) {
		wire = briefReportToWire(r)
	} else {
		a.last, a.sent = r, true
	}
	if err := a.stream.Send(wire); err != nil {
		return wrapError(a.addr, err)
	}
	return nil
}

// Receive returns the next notice from the entry.
func (a *Attachment) Receive() (Notice, error) {
	n, err := a.stream.Recv()
	if err != nil {
		return Notice{}, wrapError(a.addr, err)
	}
	return noticeFromWire(n), nil
}
