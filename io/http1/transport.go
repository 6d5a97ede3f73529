package http1

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport is an http.RoundTripper that returns an error instead of a broken response. Over TLS, only
// the status of a response is examined.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport with the settings of tr.
func NewTransport(tr *http.Transport) *Transport {
	tr = tr.Clone()
	if tr.DialContext == nil {
		tr.DialContext = (&net.Dialer{}).DialContext
	}
	tr.DialContext = dialer(tr.DialContext).dial
	return &Transport{base: tr}
}

// WithNewConnections returns a transport with the same settings that uses a new connection for each
// request.
func (t *Transport) WithNewConnections() *Transport {
	tr := t.base.Clone()
	tr.DisableKeepAlives = true
	return &Transport{base: tr}
}

// RoundTrip implements http.RoundTripper. It returns ErrStatus, ErrMalformedHead or ErrEncoding if the
// head of the response is broken.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var x exchange
	trace := &httptrace.ClientTrace{GotConn: x.gotConn}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := cmp.Or(CheckStatus(resp), x.headErr()); err != nil {
		x.close()
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// exchange is a request and its response.
type exchange struct {
	conn *conn // nil over TLS
}

// gotConn is called before the request is sent.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.conn, _ = info.Conn.(*conn)
	if x.conn != nil && info.Reused {
		x.conn.expectHead()
	}
}

// headErr returns an error if the head of the response is broken.
func (x *exchange) headErr() error {
	if x.conn == nil {
		return nil
	}
	return x.conn.headErr()
}

// close closes the connection, which may already count as idle.
func (x *exchange) close() {
	if x.conn != nil {
		_ = x.conn.Close()
	}
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

type dialer func(ctx context.Context, network, addr string) (net.Conn, error)

func (d dialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := d(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, scanner: NewHeadScanner()}, nil
}

// conn is a connection that tells its end from a reset and examines the heads that it receives.
type conn struct {
	net.Conn
	writing  sync.Mutex // held during a write; guards writeErr
	writeErr error
	mu       sync.Mutex // guards scanner
	scanner  HeadScanner
}

// Read implements net.Conn. It returns io.EOF only if no write has failed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.scan(p[:n])
	if errors.Is(err, io.EOF) {
		if writeErr := c.awaitWrite(); writeErr != nil {
			err = writeErr
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// awaitWrite waits until no write is in progress and returns the error of the last one that failed.
func (c *conn) awaitWrite() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

func (c *conn) scan(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.Scan(p)
}

// expectHead begins the next response.
func (c *conn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner = NewHeadScanner()
}

// headErr returns an error if the head of the response is broken.
func (c *conn) headErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.Err()
}
