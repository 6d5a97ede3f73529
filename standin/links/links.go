// Package links limits loopback connections to the rates of simulated network links.
// Every instance, every region and the origin has one link in each direction.
//
// # Usage
//
//	n := links.NewNet(links.Rates{Machine: 1 << 20, Region: 2 << 20, Origin: 2 << 20})
//	m := n.Machine("runner-1", "addis")
//	listener = m.Listen(listener)
//	conn, err := m.Dial(ctx, "tcp", addr)
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
func (n *Net) SetOwner(addr string, m *Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.byAddress[addr] = m
}

// SetPartitioned partitions a region from all others or heals the partition. A partition
// also closes the open connections between them.
func (n *Net) SetPartitioned(region string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.byAddress {
		if m.region != region {
			n.partitioned[regionPair(region, m.region)] = partitioned
		}
	}
	for c := range n.conns {
		if partitioned && c.peer != nil && n.partitioned[regionPair(c.m.region, c.peer.region)] {
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
func (m *Link) SetStalled(isStalled bool) { m.stalled.Store(isStalled) }

// Kill closes all connections on the link and rejects new ones.
func (m *Link) Kill() {
	m.killed.Store(true)
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	for c := range m.net.conns {
		if c.m == m || c.peer == m {
			_ = c.Conn.Close()
		}
	}
}

// Dial connects to an address over the link.
func (m *Link) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	m.net.mu.Lock()
	peer := m.net.byAddress[addr]
	isBlocked := m.killed.Load() || peer != nil && (peer.killed.Load() || m.net.partitioned[regionPair(m.region, peer.region)])
	m.net.mu.Unlock()
	if isBlocked {
		return nil, errLinkDown
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return m.wrap(c, peer), nil
}

// DialTCP connects to an address over the link with TCP.
func (m *Link) DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return m.Dial(ctx, "tcp", addr)
}

// Listen returns a listener whose connections go over the link.
func (m *Link) Listen(l net.Listener) net.Listener {
	m.net.SetOwner(l.Addr().String(), m)
	return &listener{Listener: l, m: m}
}

type listener struct {
	net.Listener
	m *Link
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.m.killed.Load() {
			return l.m.wrap(c, nil), nil
		}
		_ = c.Close()
	}
}

func (m *Link) wrap(c net.Conn, peer *Link) net.Conn {
	out := &conn{Conn: c, m: m, peer: peer}
	m.net.mu.Lock()
	m.net.conns[out] = struct{}{}
	m.net.mu.Unlock()
	return out
}

// conn is one connection that is limited by the links of its ends. Only the dialing side
// knows both ends, so only its conn waits for the links between regions.
type conn struct {
	net.Conn
	m    *Link
	peer *Link
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.m.net.mu.Lock()
	delete(c.m.net.conns, c)
	c.m.net.mu.Unlock()
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), segmentBytes)])
	if n > 0 {
		c.waitForLinks(c.m.download, "in", n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		n := min(segmentBytes, len(b)-sent)
		c.waitForLinks(c.m.upload, "out", n)
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
	for c.m.stalled.Load() || c.peer != nil && c.peer.stalled.Load() {
		time.Sleep(stallPollInterval)
	}
	waitN(l, n)
	if c.peer == nil || c.peer.region == c.m.region {
		return
	}
	c.m.net.crossRegionBytes.Add(int64(n))
	from, to := c.m.region, c.peer.region
	if direction == "in" {
		from, to = to, from
	}
	waitN(c.m.net.regionLimiter(from+"/out"), n)
	waitN(c.m.net.regionLimiter(to+"/in"), n)
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

// UnlimitedLink returns a new link without a rate limit of its own, for an instance whose rate
// does not matter to the simulation.
func (n *Net) UnlimitedLink(name, region string) *Link {
	return &Link{net: n, name: name, region: region}
}
