// Package links limits loopback connections to the rates of simulated network links.
// Every instance, every region and the origin has one link in each direction.
//
// # Usage
//
//	n := links.NewNet(links.Rates{Instance: 1 << 20, Region: 2 << 20, Origin: 2 << 20})
//	link := n.InstanceLink("runner-1", "addis")
//	listener = link.Listen(listener)
//	conn, err := link.Dial(ctx, "tcp", addr)
//
// A link is a rate limiter with a queue. Faults stall or close the links of an instance,
// or partition a region from the others.
package links

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Rates are the rates of links in bytes per second. Zero means unlimited.
type Rates struct {
	Instance int
	Region   int
	Origin   int
}

// segmentBytes is the maximum number of bytes that a connection sends or receives at a
// time, which makes connections share a link fairly.
const segmentBytes = 2 << 10

var errLinkDown = errors.New("link is down")

// Net is a set of links.
type Net struct {
	rates            Rates
	mu               sync.Mutex               // guards all fields below except crossRegionBytes
	byAddress        map[string]*Link         // by listening address
	regionLimiters   map[string]*rate.Limiter // by region and direction
	partitioned      map[[2]string]bool       // by pair of regions
	conns            map[*conn]struct{}
	crossRegionBytes atomic.Int64
}

// NewNet returns a set of links with the given rates.
func NewNet(r Rates) *Net {
	return &Net{
		rates: r, byAddress: map[string]*Link{}, regionLimiters: map[string]*rate.Limiter{},
		partitioned: map[[2]string]bool{}, conns: map[*conn]struct{}{},
	}
}

// Link is the network link of one instance or of the origin.
type Link struct {
	net      *Net
	name     string
	region   string
	upload   *rate.Limiter
	download *rate.Limiter
	stalled  atomic.Bool
	killed   atomic.Bool
}

// InstanceLink returns a new link for an instance, limited to the rate for instances.
func (n *Net) InstanceLink(name, region string) *Link {
	return &Link{net: n, name: name, region: region, upload: newLimiter(n.rates.Instance), download: newLimiter(n.rates.Instance)}
}

// OriginLink returns a new link for the origin, limited to the rate for the origin.
func (n *Net) OriginLink(region string) *Link {
	return &Link{net: n, name: "origin", region: region, upload: newLimiter(n.rates.Origin), download: newLimiter(n.rates.Origin)}
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), 4*segmentBytes)
}

// CrossRegionBytes returns the number of bytes sent between regions.
func (n *Net) CrossRegionBytes() int64 { return n.crossRegionBytes.Load() }

// SetOwner records the link of the instance that listens on an address.
func (n *Net) SetOwner(addr string, l *Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.byAddress[addr] = l
}

// SetPartitioned partitions a region from all others or heals the partition. A partition
// also closes the open connections between them.
func (n *Net) SetPartitioned(region string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.byAddress {
		if l.region != region {
			n.partitioned[regionPair(region, l.region)] = partitioned
		}
	}
	for c := range n.conns {
		if partitioned && c.peer != nil && n.partitioned[regionPair(c.link.region, c.peer.region)] {
			_ = c.Conn.Close()
		}
	}
}

func regionPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// SetStalled stalls or resumes all traffic on the link without closing a connection.
func (l *Link) SetStalled(isStalled bool) { l.stalled.Store(isStalled) }

// Kill closes all connections on the link and rejects new ones.
func (l *Link) Kill() {
	l.killed.Store(true)
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	for c := range l.net.conns {
		if c.link == l || c.peer == l {
			_ = c.Conn.Close()
		}
	}
}

// Dial connects to an address over the link.
func (l *Link) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	l.net.mu.Lock()
	peer := l.net.byAddress[addr]
	isBlocked := l.killed.Load() || peer != nil && (peer.killed.Load() || l.net.partitioned[regionPair(l.region, peer.region)])
	l.net.mu.Unlock()
	if isBlocked {
		return nil, errLinkDown
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return l.wrap(c, peer), nil
}

// DialTCP connects to an address over the link with TCP.
func (l *Link) DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return l.Dial(ctx, "tcp", addr)
}

// Listen returns a listener whose connections go over the link.
func (l *Link) Listen(inner net.Listener) net.Listener {
	l.net.SetOwner(inner.Addr().String(), l)
	return &listener{Listener: inner, link: l}
}

type listener struct {
	net.Listener
	link *Link
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.link.killed.Load() {
			return l.link.wrap(c, nil), nil
		}
		_ = c.Close()
	}
}

// SetDeadline sets the deadline of Accept, as net.TCPListener does.
func (l *listener) SetDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return errors.ErrUnsupported
}

func (l *Link) wrap(c net.Conn, peer *Link) net.Conn {
	out := &conn{Conn: c, link: l, peer: peer}
	l.net.mu.Lock()
	l.net.conns[out] = struct{}{}
	l.net.mu.Unlock()
	return out
}

// conn is one connection that is limited by the links of its ends. Only the dialing side
// knows both ends, so only its conn waits for the links between regions.
type conn struct {
	net.Conn
	link *Link
	peer *Link
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.link.net.mu.Lock()
	delete(c.link.net.conns, c)
	c.link.net.mu.Unlock()
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), segmentBytes)])
	if n > 0 {
		c.waitForLinks(c.link.download, "in", n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		n := min(segmentBytes, len(b)-sent)
		c.waitForLinks(c.link.upload, "out", n)
		written, err := c.Conn.Write(b[sent : sent+n])
		sent += written
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// stallPollInterval is how often a stalled connection checks whether it can resume.
const stallPollInterval = 10 * time.Millisecond

// waitForLinks waits until the links of the connection have capacity for n bytes. l is
// the limiter of the connection's own link.
func (c *conn) waitForLinks(l *rate.Limiter, direction string, n int) {
	for c.link.stalled.Load() || c.peer != nil && c.peer.stalled.Load() {
		time.Sleep(stallPollInterval)
	}
	waitN(l, n)
	if c.peer == nil || c.peer.region == c.link.region {
		return
	}
	c.link.net.crossRegionBytes.Add(int64(n))
	from, to := c.link.region, c.peer.region
	if direction == "in" {
		from, to = to, from
	}
	waitN(c.link.net.regionLimiter(from+"/out"), n)
	waitN(c.link.net.regionLimiter(to+"/in"), n)
}

func (n *Net) regionLimiter(key string) *rate.Limiter {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.regionLimiters[key]
	if !ok {
		l = newLimiter(n.rates.Region)
		n.regionLimiters[key] = l
	}
	return l
}

func waitN(l *rate.Limiter, n int) {
	if l != nil {
		_ = l.WaitN(context.Background(), n)
	}
}

// UnlimitedLink returns a new link without a rate limit of its own, for an instance whose
// rate does not matter to the simulation.
func (n *Net) UnlimitedLink(name, region string) *Link {
	return &Link{net: n, name: name, region: region}
}
