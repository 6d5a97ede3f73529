// Package target is an HTTP/1.1 client for targets. It reuses connections and reports for a
// failed request whether anything was sent.
//
// # Usage
//
//	resp, err := pool.Do(ctx, addr, req)
//	if errors.As(err, &notSent) { … nothing reached the target … }
//	defer resp.Close()
//	… read resp.Body …
//
// # Why not net/http's transport
//
// The transport retries some requests by itself, which could run an order twice. It also
// takes a response that arrives late for the response to the next request, which could give
// a caller the response to another. The codec for requests and responses is that of
// net/http.
//
// # Broken responses
//
// A response with a broken head is ErrBrokenHead, see package http1. A body without a length or chunks
// is complete if its connection ended in order and the whole request had been written.
//
// # Errors
//
// *NotSentError means that no byte reached the target, *NoResponseError that the request may
// have run.
//
// # Responses without identification
//
// Only the first response on a connection can belong to no other request than the one sent
// there. A later one that nothing identifies may repeat an earlier response, so it is neither
// taken for the request's nor skipped as another's: the connection is closed and the outcome
// of the request is unknown.
package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"amaranthturn/io/bounded"
)

// Timeouts and limits of connections.
const (
	// dialTimeout allows several round trips between regions and is less than the second
	// that callers allow for their own connection.
	dialTimeout = 700 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the target states no
	// timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the target's idle timeout, so that the target does not
	// close a connection while a request is on its way.
	idleMargin = time.Second
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection is
	// closed.
	unackedTimeout = 3 * time.Second
	// maxIdleConns is the maximum number of idle connections to one target.
	maxIdleConns = 24
	// maxSyncBodyBytes is the largest body that is written completely before the response is
	// read.
	maxSyncBodyBytes = 8 << 10
	// maxResponsesRead is the maximum number of responses read in search of the one to the
	// request, including interim responses and responses to earlier requests.
	maxResponsesRead = 4
	// maxStaleBodyBytes limits the body of a response to an earlier request.
	maxStaleBodyBytes = 1 << 20
	// maxHeadBytes limits the status line and header of each response, and what the
	// connection's buffer reads beyond them.
	maxHeadBytes = bounded.MaxHeaderBytes
)

// Request is a request as it is sent to the target.
type Request struct {
	Method string
	URI    string // path and query, unchanged
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection requires a new connection, for requests that must not be repeated.
	NewConnection bool
	// BeforeSend, if set, is called once there is a connection, and may change the header that is sent.
	// If it returns an error, nothing is sent.
	BeforeSend func(http.Header) error
	// Match tells to which request a response with this status and header belongs.
	Match func(status int, h http.Header) Match
}

//go:generate stringer -type=Match -output=target_string.go -linecomment

// Match is what a response says about the request that it belongs to.
type Match int

// The matches.
const (
	MatchRequest      Match = iota // request
	MatchOther                     // other
	MatchUnidentified              // unidentified
)

// NotSentError reports that no byte reached the target.
type NotSentError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("target %s: request not sent: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NoResponseError reports that no usable response was received. The request may have run.
type NoResponseError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *NoResponseError) Error() string { return fmt.Sprintf("target %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// ErrUnidentified reports a response on a reused connection that does not name its request.
var ErrUnidentified = errors.New("response on a reused connection does not name its request")

// ErrBrokenHead reports a response with an invalid status or header.
var ErrBrokenHead = errors.New("response has a broken head")

var errStaleResponses = errors.New("too many responses to other requests")

// Limits of what the responses of a pool hold in memory. Targets in trouble may answer many requests
// with more than the process has memory for.
const (
	// maxHeldBytes is the maximum for the bodies that ReadBody returns.
	maxHeldBytes = 48 << 20
	// maxHeldEventBytes is the maximum for the events that are read or forwarded.
	maxHeldEventBytes = 16 << 20
	// freeBytes is the part of each body or event that does not count.
	freeBytes = 16 << 10
)

// Pool keeps idle connections by address.
type Pool struct {
	mu   sync.Mutex // guards idle
	idle map[string][]*conn

	bodies, events *bounded.Budget
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		idle:   map[string][]*conn{},
		bodies: bounded.NewBudget(bounded.PartAllBodies, maxHeldBytes, freeBytes),
		events: bounded.NewBudget(bounded.PartAllEvents, maxHeldEventBytes, freeBytes),
	}
}

type conn struct {
	net.Conn
	rd          *bufio.Reader
	head        *headReader // of the current response; nil while a body is read
	addr        string
	connectedAt time.Time
	responses   int           // final responses read so far
	idleSince   time.Time     // start of the current idle period
	idleTimeout time.Duration // maximum idle period
}

// Read implements io.Reader for rd. It limits the bytes of a header.
func (c *conn) Read(p []byte) (int, error) {
	if c.head != nil {
		return c.head.Read(p)
	}
	return c.Conn.Read(p)
}

// abort closes the connection with a reset. What the socket has not sent yet is dropped, and the target
// can't take the end for that of a request whose caller still waits.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
	_ = c.Close()
}

// Response is a response whose body is being read.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// ConnectedAt is when the connection was made on which the response arrived.
	ConnectedAt time.Time
	// Length is the length of the body, or -1 if it is not known in advance.
	Length int64

	pool         *Pool
	conn         *conn
	httpResp     *http.Response
	stop         func() bool
	writer       *requestWriter
	bodyComplete bool
	identified   bool           // the response names its request
	held         *bounded.Share // of the pool's bodies or events
}

// Do sends a request and returns when the header of its response has arrived. When ctx ends,
// the connection is reset, which makes the target stop processing the request.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	hr, err := newHTTPRequest(r)
	if err != nil {
		return nil, &NotSentError{Address: addr, Cause: err}
	}
	c, err := p.take(ctx, addr, r.NewConnection)
	if err != nil {
		return nil, &NotSentError{Address: addr, Cause: err}
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(hr.Header); err != nil {
			_ = c.Close() // nothing was sent
			return nil, &NotSentError{Address: addr, Cause: err}
		}
	}
	resp := &Response{pool: p, conn: c, ConnectedAt: c.connectedAt, writer: newRequestWriter(hr, c)}
	resp.stop = context.AfterFunc(ctx, c.abort) // unblocks reads and writes
	if len(r.Body) <= maxSyncBodyBytes {
		resp.writer.run()
	} else {
		go resp.writer.run()
	}
	if err := resp.readHeader(hr, r); err != nil {
		resp.stop()
		c.abort() // the target must not go on for nobody
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &NoResponseError{Address: addr, Cause: err}
	}
	return resp, nil
}

// readHeader reads responses until the one to this request. It skips interim (1xx) responses
// and responses to earlier requests.
func (resp *Response) readHeader(hr *http.Request, r *Request) error {
	for range maxResponsesRead {
		httpResp, err := resp.conn.readResponse(hr) //nolint:bodyclose // Response reads the body and closes the connection
		if err != nil {
			return err
		}
		if httpResp.StatusCode/100 == 1 {
			continue
		}
		match := r.Match(httpResp.StatusCode, httpResp.Header)
		resp.conn.responses++
		if match == MatchUnidentified && resp.conn.responses > 1 {
			return ErrUnidentified
		}
		if match == MatchOther {
			body := &bounded.Reader{R: httpResp.Body, Part: bounded.PartBody, Limit: maxStaleBodyBytes}
			if _, err := io.Copy(io.Discard, body); err != nil || httpResp.Close {
				return errors.Join(errStaleResponses, err)
			}
			continue
		}
		resp.httpResp, resp.Status, resp.Header, resp.Length = httpResp, httpResp.StatusCode, httpResp.Header, httpResp.ContentLength
		resp.Body = &bodyReader{resp: resp}
		resp.identified = match == MatchRequest
		return nil
	}
	return errStaleResponses
}

// bodyReader records when the body has been read to its end.
type bodyReader struct{ resp *Response }

// Read implements io.Reader. It returns io.EOF only at the end of a complete body.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.resp.httpResp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		if err := b.resp.checkEnd(); err != nil {
			return n, err
		}
		b.resp.bodyComplete = true
	}
	return n, err
}

// checkEnd returns an error if the end of the body may be that of a connection that was reset. A socket
// reports a reset only once: after a write has returned it, a read returns io.EOF, as at the end of an
// unframed body. So that end counts only once the request has been written without an error.
func (resp *Response) checkEnd() error {
	if resp.Framed() || resp.httpResp.Body == http.NoBody {
		return nil
	}
	if err := resp.writer.wait(); err != nil {
		return fmt.Errorf("%w: request was not written: %w", io.ErrUnexpectedEOF, err)
	}
	return nil
}

// ReadBody reads the body to its end. It returns a *bounded.TooLargeError if the body is
// larger than limit, or than what the pool's other responses leave. The bytes count as held
// until Close.
func (resp *Response) ReadBody(limit int64) ([]byte, error) {
	if resp.Length > limit {
		return nil, &bounded.TooLargeError{Part: bounded.PartBody, Limit: limit}
	}
	resp.held = resp.pool.bodies.NewShare()
	return bounded.ReadAll(&heldReader{resp: resp}, bounded.PartBody, limit)
}

// Events returns a reader of the body's events. Its events count as held until Close.
func (resp *Response) Events() *EventReader {
	resp.held = resp.pool.events.NewShare()
	r := NewEventReader(resp.Body)
	r.held = resp.held
	return r
}

// heldReader counts the bytes of a body that are held in memory.
type heldReader struct {
	resp *Response
	read int64
}

// Read implements io.Reader.
func (r *heldReader) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	r.read += int64(n)
	if err := r.resp.held.Hold(r.read); err != nil {
		return 0, err
	}
	return n, err
}

// Discard reads the body to its end so that the connection can be reused. A body that is
// larger than limit or takes longer than timeout is left, and Close closes the connection.
func (resp *Response) Discard(limit int64, timeout time.Duration) {
	timer := time.AfterFunc(timeout, func() { _ = resp.conn.Close() })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, &bounded.Reader{R: resp.Body, Part: bounded.PartBody, Limit: limit})
}

// Framed reports whether the body has a length or chunks. If not, it ends with its
// connection.
func (resp *Response) Framed() bool {
	return resp.Length >= 0 || len(resp.httpResp.TransferEncoding) > 0
}

// Close returns the connection to the pool if the response was read completely, names its
// request and nothing follows it, and closes the connection otherwise.
func (resp *Response) Close() {
	if resp.held != nil {
		resp.held.Release()
	}
	stopped := resp.stop()
	if !resp.bodyComplete {
		resp.conn.abort()
		return
	}
	if !stopped || !resp.writer.isWritten() || !resp.isComplete() {
		_ = resp.conn.Close() // remaining bytes belong to no request
		return
	}
	resp.conn.idleTimeout = idleTimeoutOf(resp.Header)
	resp.pool.put(resp.conn)
}

// isComplete reports whether the response was read to its end and the next bytes on its
// connection can be told from it.
func (resp *Response) isComplete() bool {
	return resp.bodyComplete && resp.identified && resp.Framed() && !resp.httpResp.Close && resp.conn.rd.Buffered() == 0
}

// idleTimeoutOf returns how long an idle connection may be kept according to the target's
// Keep-Alive header.
func idleTimeoutOf(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(v); err == nil && strings.EqualFold(k, "timeout") {
			return max(0, time.Duration(n)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}

func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if len(list) >= maxIdleConns || c.idleTimeout <= 0 {
		_ = c.Close() // the pool has enough connections, or the target allows no idle time
		return
	}
	p.idle[c.addr] = append(list, c)
}

// take returns the most recently used idle connection, or a new connection.
func (p *Pool) take(ctx context.Context, addr string, forceNew bool) (*conn, error) {
	for !forceNew {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < c.idleTimeout && c.isReusable() {
			return c, nil
		}
		_ = c.Close() // too old, or closed by the target
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, addr: addr, connectedAt: time.Now()}
	c.rd = bufio.NewReaderSize(c, 4<<10)
	return c, nil
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

// isReusable reports whether the target has neither closed the connection nor sent data on
// it.
func (c *conn) isReusable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.rd.Buffered() > 0 {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && empty
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Without this option an unresponsive peer is detected later, by the request's
		// deadline.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}
