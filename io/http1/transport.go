package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
)

// Transport is an http.RoundTripper that returns an error instead of a response that ends with a reset.
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

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	return t.base.RoundTrip(req)
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

type dialer func(ctx context.Context, network, addr string) (net.Conn, error)

func (d dialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := d(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn is a connection whose end is told from a reset.
type conn struct {
	net.Conn
	writing  sync.Mutex // held during a write; guards writeErr
	writeErr error
}

// Read implements net.Conn. It returns io.EOF only if no write has failed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
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
