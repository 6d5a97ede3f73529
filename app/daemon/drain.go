package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Drain accepts the connections that wait at the listener and closes it, closes each connection on
// which nothing arrives any more, and waits until the other requests are answered and their
// connections closed. http.Server.Shutdown is not used for callers: it drops each request whose
// header is still being read, without an answer.
func (s *Server) Drain(ctx context.Context) error {
	s.StopAccepting(ctx)
	s.conns.drain()
	select {
	case <-s.conns.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// connSet is the open connections of a server.
type connSet struct {
	mu       sync.Mutex // guards draining and open
	draining bool
	open     map[*serverConn]struct{}
	empty    chan struct{} // closed when no connection is left while draining
}

func newConnSet() *connSet {
	return &connSet{open: map[*serverConn]struct{}{}, empty: make(chan struct{})}
}

func (s *connSet) add(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	if s.draining {
		c.drain()
	}
}

func (s *connSet) remove(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.open[c]; !ok {
		return
	}
	delete(s.open, c)
	s.checkEmpty()
}

func (s *connSet) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	for c := range s.open {
		c.drain()
	}
	s.checkEmpty()
}

// checkEmpty closes empty. mu must be held.
func (s *connSet) checkEmpty() {
	if !s.draining || len(s.open) > 0 {
		return
	}
	select {
	case <-s.empty: // a connection was accepted after the others were closed
	default:
		close(s.empty)
	}
}

// expired is a read deadline in the past. A read that waits when it is set ends without having
// taken any bytes, so that a request is either read or left to be sent elsewhere.
var expired = time.Unix(1, 0)

// Times that a connection without a request gets during a drain. A request that has arrived before
// is read within them, and one that arrives later is left unread, to be sent elsewhere.
const (
	// firstRequestTime is for a connection on which nothing has arrived yet.
	firstRequestTime = 250 * time.Millisecond
	// lastLookTime is for a connection that has been answered, and for the last read of each.
	lastLookTime = 20 * time.Millisecond
)

// serverConn is a connection that a drain ends while it is idle.
type serverConn struct {
	net.Conn
	conns *connSet

	mu        sync.Mutex // guards all fields below
	idle      bool       // nothing has arrived since the last response
	used      bool       // something has arrived
	looked    bool       // the last read before the connection is closed has begun
	late      bool       // a request has begun during the drain
	handling  bool       // a request was read and is being handled
	handledAt time.Time  // when the last one had been handled
	readAhead bool       // a byte of the next request was read
	draining  bool
	deadline  time.Time // the read deadline that the server has set
	requests  splitter
	held      []byte // received and not yet read by the server
}

// maxHeld limits what is received of the next request while one is handled.
const maxHeld = 4 << 10

// Read implements net.Conn. It returns no more than the rest of one request, so that it is known
// whether anything follows a request that was answered: the server doesn't tell what it has buffered.
func (c *serverConn) Read(p []byte) (int, error) {
	// While a request is handled, net/http reads one byte to notice that the caller disconnects.
	watching := len(p) == 1
	for {
		c.mu.Lock()
		if len(c.held) > 0 && (!watching || len(c.held) >= maxHeld) {
			n := c.deliver(p, c.held)
			c.held = c.held[n:]
			c.mu.Unlock()
			return n, nil
		}
		target := p
		if len(c.held) > 0 {
			target = make([]byte, maxHeld-len(c.held))
		}
		c.mu.Unlock()
		n, err := c.Conn.Read(target)
		if n == 0 {
			if c.looksAgain(err) {
				continue
			}
			return 0, err
		}
		c.mu.Lock()
		if len(c.held) > 0 {
			c.held = append(c.held, target[:n]...)
			c.mu.Unlock()
			continue
		}
		delivered := c.deliver(p, p[:n])
		c.held = append([]byte(nil), p[delivered:n]...)
		c.mu.Unlock()
		return delivered, nil // the next read returns the error again
	}
}

// looksAgain reports whether an idle connection is read once more before a drain closes it. A read
// whose deadline has passed doesn't look at what has arrived.
func (c *serverConn) looksAgain(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.draining || !c.idle || c.looked || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.looked = true
	c.setConnDeadline(time.Now().Add(lastLookTime))
	return true
}

// deliver copies the part of data that belongs to one request to p. mu must be held.
func (c *serverConn) deliver(p, data []byte) int {
	n := copy(p, data[:c.requests.take(data[:min(len(p), len(data))])])
	c.readAhead = !c.idle && len(p) == 1
	c.used = true
	c.late = c.late || c.idle && c.draining
	c.setIdle(false)
	return n
}

// SetReadDeadline implements net.Conn.
func (c *serverConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.draining && c.idle {
		return nil
	}
	return c.Conn.SetReadDeadline(c.limited(t))
}

// partialRequestTime is how long the rest of a header may take to arrive during a drain.
const partialRequestTime = time.Second

// limited returns the read deadline that applies for the one that the server has set. mu must be held.
func (c *serverConn) limited(t time.Time) time.Time {
	if !c.draining || c.handling {
		return t
	}
	limit := time.Now().Add(partialRequestTime)
	if t.IsZero() || t.After(limit) {
		return limit
	}
	return t
}

func (c *serverConn) setHandling(handling bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = handling
	if !handling {
		c.handledAt = time.Now()
	}
	if handling && c.draining && !c.idle {
		c.setConnDeadline(c.deadline)
	}
}

// setBody records the length of the body of the request that was read, -1 for chunks.
func (c *serverConn) setBody(length int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests.setBody(length)
}

type connKey struct{}

// withConn implements the hook http.Server.ConnContext.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connHandler marks the connection of each request that is being handled.
type connHandler struct{ http.Handler }

// ServeHTTP implements http.Handler.
func (h connHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*serverConn); ok {
		c.setBody(r.ContentLength)
		c.setHandling(true)
		defer c.setHandling(false)
	}
	h.Handler.ServeHTTP(w, r)
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	err := c.Conn.Close()
	c.conns.remove(c)
	return err
}

// CloseWrite lets the server end a response to a request that it has not read completely.
func (c *serverConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with data that has not been sent, as net.TCPConn does.
func (c *serverConn) SetLinger(sec int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return errors.ErrUnsupported
}

func (c *serverConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.idle {
		c.endIdle()
	} else if !c.handling {
		c.setConnDeadline(c.limited(c.deadline))
	}
}

// endIdle ends the wait for a request. Callers that send one after the other don't hold a drain: one
// request that begins during it is answered. mu must be held.
func (c *serverConn) endIdle() {
	c.looked = c.late
	switch {
	case c.late:
		c.setConnDeadline(expired)
	case c.used:
		c.setConnDeadline(time.Now().Add(lastLookTime))
	default:
		c.setConnDeadline(time.Now().Add(firstRequestTime))
	}
}

// setIdle must be called with mu held.
func (c *serverConn) setIdle(idle bool) {
	if c.idle == idle {
		return
	}
	c.idle = idle
	switch {
	case !c.draining:
	case idle:
		c.endIdle()
	default:
		c.setConnDeadline(c.limited(c.deadline))
	}
}

// setConnDeadline sets the read deadline of the connection. mu must be held.
func (c *serverConn) setConnDeadline(t time.Time) {
	_ = c.Conn.SetReadDeadline(t) // fails only if the connection is closed
}

// trackConn implements the hook http.Server.ConnState.
func trackConn(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*serverConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.setIdle(!c.readAhead && len(c.held) == 0)
	case http.StateActive: // also for a request that was read together with the previous one
		c.readAhead = false
		c.setIdle(false)
	}
}
