// Package service passes calls to the plain service of the agent's own instance.
//
// # Usage
//
//	c := service.NewClient("http://127.0.0.1:9100")
//	reply, err := c.Call(ctx, service.Request{Method: "POST", Path: "/orders", Body: b})
//	if errors.Is(err, service.ErrNotSent) {
//		// no byte of the request has left: it was not run
//	}
//
// # No hidden retry
//
// The standard transport repeats a request on a fresh connection when a kept one
// breaks, and does so even for POST when an Idempotency-Key header is set. Calls here
// use a new connection each and carry no such header, so that the service sees
// every call at most once.
package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of this package.
var (
	// ErrNotSent reports that no byte of the request reached the service.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoAnswer reports that the service may have run the request.
	ErrNoAnswer = errors.New("no whole answer came")
)

// maxReplyBytes bounds an answer.
const maxReplyBytes = 4 << 20

// connectTimeout bounds the time to reach the service on the same instance.
const connectTimeout = 2 * time.Second

// Request is a call.
type Request struct {
	Method      string
	Path        string
	ContentType string
	RequestID   string
	Body        []byte
}

// Reply is the answer of the service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client calls one service.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the service at base.
func NewClient(base string) *Client {
	tr := &http.Transport{
		DisableKeepAlives: true,
		Proxy:             nil,
		DialContext:       dial,
	}
	return &Client{base: base, http: &http.Client{Transport: tr, CheckRedirect: noRedirect}}
}

// noRedirect hands a redirect to the caller: following it would repeat the call.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	return c, nil
}

// Call passes one call on. Errors: ErrNotSent, ErrNoAnswer.
func (c *Client) Call(ctx context.Context, r Request) (Reply, error) {
	// The body is hidden behind a plain reader: the transport cannot rewind it.
	body := io.MultiReader(bytes.NewReader(r.Body))
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, body)
	if err != nil {
		return Reply{}, eris.Wrap(ErrNotSent, err.Error())
	}
	req.ContentLength = int64(len(r.Body))
	if len(r.Body) == 0 {
		req.Body = http.NoBody
	}
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	req.Header.Set("X-Request-Id", r.RequestID)
	resp, err := c.http.Do(req)
	if err != nil {
		if errors.Is(err, ErrNotSent) {
			return Reply{}, eris.Wrap(ErrNotSent, "connect to service")
		}
		return Reply{}, eris.Wrap(ErrNoAnswer, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil || len(answer) > maxReplyBytes {
		return Reply{}, eris.Wrap(ErrNoAnswer, "read the answer")
	}
	return Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: answer}, nil
}
