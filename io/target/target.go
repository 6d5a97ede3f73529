// Package target speaks HTTP/1.1 with the targets that answer requests. It keeps
// connections open and knows of each call whether anything was sent.
//
// # Usage
//
//	x, err := pool.Do(ctx, addr, req)
//	if errors.As(err, &notSent) { … nothing reached the target … }
//	defer x.Close()
//	… read x.Body …
//
// # Why not net/http's transport
//
// The transport sends some requests again by itself, and takes an answer that arrives
// late for that of the next request. Both would run an order twice or give a caller the
// answer of another. The codec for requests and answers is that of net/http.
//
// # Errors
//
// *NotSentError: no byte reached the target. *LostError: the request may have run.
package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timing and bounds of connections.
const (
	// dialTimeout is several round trips between regions and less than the second that
	// callers allow for a connection of their own.
	dialTimeout = 700 * time.Millisecond
	// defaultIdle is how long a connection is kept when the target names no time.
	defaultIdle = 4 * time.Second
	// idleMargin is kept from the target's own idle time, so that a request does not
	// cross its close.
	idleMargin = time.Second
	// silence closes a connection whose bytes are not acknowledged.
	silence = 3 * time.Second
	// maxIdle bounds the connections kept to one target.
	maxIdle = 24
	// syncBody is the largest body that is written before the answer is read.
	syncBody = 8 << 10
	// maxStrays bounds the answers to other requests that are skipped.
	maxStrays = 4
	// maxStray bounds the body of such an answer.
	maxStray = 1 << 20
)

// Request is one request as the target gets it.
type Request struct {
	Method string
	URI    string // path and query, unchanged
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a new connection, for requests that may not be repeated.
	Fresh bool
	// Mine tells whether an answer with these headers belongs to this request.
	Mine func(status int, h http.Header) bool
}

// NotSentError reports that no byte reached the target.
type NotSentError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("target %s: not sent: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError reports that no usable answer came; the request may have run.
type LostError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *LostError) Error() string { return fmt.Sprintf("target %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

var errStrays = errors.New("too many answers to other requests")

// Pool keeps idle connections by address.
type Pool struct {
	mu   sync.Mutex // guards idle
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*conn{}} }

type conn struct {
	net.Conn
	rd      *bufio.Reader
	addr    string
	since   time.Time     // of idleness
	idleFor time.Duration // how long it may be idle
}

// Exchange is an answer that is being read.
type Exchange struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the length of the body, -1 when it is not known beforehand.
	Length int64

	pool    *Pool
	conn    *conn
	resp    *http.Response
	stop    func() bool
	written chan error
	whole   bool
}

// Do sends a request and returns when the head of its answer has arrived. The call ends
// with ctx: the connection is closed then, which makes the target stop its work.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*Exchange, error) {
	c, err := p.take(ctx, addr, r.Fresh)
	if err != nil {
		return nil, &NotSentError{Address: addr, Cause: err}
	}
	x := &Exchange{pool: p, conn: c, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() }) // unblocks reads and writes
	hr := wireRequest(r)
	if len(r.Body) <= syncBody {
		x.written <- hr.Write(c)
	} else {
		w := &bodyWriter{req: hr, conn: c, done: x.written}
		go w.run()
	}
	if err := x.readHead(hr, r); err != nil {
		x.stop()
		_ = c.Close() // the connection is of no use any more
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &LostError{Address: addr, Cause: err}
	}
	return x, nil
}

// bodyWriter writes a long request while its answer may already be coming.
type bodyWriter struct {
	req  *http.Request
	conn *conn
	done chan<- error
}

func (w *bodyWriter) run() { w.done <- w.req.Write(w.conn) }

func wireRequest(r *Request) *http.Request {
	h := r.Header.Clone()
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // keeps the library from adding its own
	}
	hr := &http.Request{
		Method: r.Method, URL: &url.URL{Scheme: "http", Host: r.Host, Opaque: r.URI}, Host: r.Host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		hr.Body = io.NopCloser(strings.NewReader(string(r.Body)))
	} else if r.Method != http.MethodGet && r.Method != http.MethodHead {
		hr.Body = http.NoBody
	}
	return hr
}

// readHead reads heads until the one of this request. Others belong to requests that
// ended before.
func (x *Exchange) readHead(hr *http.Request, r *Request) error {
	for range maxStrays {
		resp, err := http.ReadResponse(x.conn.rd, hr) //nolint:bodyclose // the exchange reads the body and closes the connection
		if err != nil {
			return err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if !r.Mine(resp.StatusCode, resp.Header) {
			if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStray)); err != nil || n == maxStray || resp.Close {
				return errors.Join(errStrays, err)
			}
			continue
		}
		x.resp, x.Status, x.Header, x.Length = resp, resp.StatusCode, resp.Header, resp.ContentLength
		x.Body = &bodyReader{x: x}
		return nil
	}
	return errStrays
}

// bodyReader notes when the body has been read to its end.
type bodyReader struct{ x *Exchange }

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.x.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.x.whole = true
	}
	return n, err
}

// Close keeps the connection when the answer was read whole and nothing else came with
// it, and closes it otherwise.
func (x *Exchange) Close() {
	stopped := x.stop()
	sent := false
	select {
	case err := <-x.written:
		sent = err == nil
	default:
	}
	framed := x.Length >= 0 || len(x.resp.TransferEncoding) > 0
	if !stopped || !sent || !x.whole || !framed || x.resp.Close || x.conn.rd.Buffered() > 0 {
		_ = x.conn.Close() // what is left on it belongs to no request
		return
	}
	x.conn.idleFor = idleTime(x.Header)
	x.pool.put(x.conn)
}

// idleTime returns how long a connection may be kept by the target's own word.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(v); err == nil && strings.EqualFold(k, "timeout") {
			return max(0, time.Duration(n)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}

func (p *Pool) put(c *conn) {
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if len(list) >= maxIdle || c.idleFor <= 0 {
		_ = c.Close() // not needed
		return
	}
	p.idle[c.addr] = append(list, c)
}

// take returns the connection that was used last, or a new one.
func (p *Pool) take(ctx context.Context, addr string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if time.Since(c.since) < c.idleFor && c.quiet() {
			return c, nil
		}
		_ = c.Close() // too old, or closed by the target
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setSilence}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, rd: bufio.NewReaderSize(nc, 4<<10), addr: addr}, nil
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// quiet tells whether the target neither closed the connection nor sent anything on it.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.rd.Buffered() > 0 {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}

func setSilence(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Without the option a peer that fell silent is noticed later, by the deadline.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
}
