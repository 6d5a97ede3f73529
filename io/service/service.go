// Package service forwards calls to the plain service on the agent's own instance.
//
// # Usage
//
//	c := service.NewClient("http://127.0.0.1:9100")
//	resp, err := c.Call(ctx, service.Request{Method: "POST", Path: "/orders", Body: b})
//	if errors.Is(err, service.ErrNotSent) {
//		// no byte of the request was sent, so it has not run
//	}
//
// # No hidden retry
//
// The standard transport repeats a request on a new connection if a kept-alive one
// breaks, even a POST if it has an Idempotency-Key header. Each call of this package
// uses a new connection and has no such header, so that the service receives it at
// most once.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"amaranthturn/io/bounded"
	"amaranthturn/io/http1"
)

// Errors of this package.
var (
	// ErrNotSent reports that no byte of the request reached the service.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoResponse reports that no complete response was received. The service may have run
	// the request.
	ErrNoResponse = errors.New("complete response was not received")
)

// maxResponseBytes limits the body of a response.
const maxResponseBytes = 4 << 20

// connectTimeout limits the time to connect to the service on the same instance.
const connectTimeout = 2 * time.Second

// Request is a call to the service.
type Request struct {
	Method      string
	Path        string
	ContentType string
	RequestID   string
	Body        []byte
}

// Response is the response of the service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Unframed reports that the body has neither a length nor chunks. It ends with its
	// connection, which does not show that it is complete.
	Unframed bool
}

// Client is a client of one service.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the service at base.
func NewClient(base string) *Client {
	tr := &http.Transport{
		DisableKeepAlives:      true,
		Proxy:                  nil,
		DialContext:            dial,
		MaxResponseHeaderBytes: bounded.MaxHeaderBytes,
	}
	return &Client{base: base, http: &http.Client{Transport: http1.NewTransport(tr), CheckRedirect: noRedirect}}
}

// noRedirect returns a redirect to the caller, because following it would repeat the call.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	return c, nil
}

// Call forwards a call. Errors wrap ErrNotSent or ErrNoResponse.
func (c *Client) Call(ctx context.Context, r Request) (Response, error) {
	// The plain reader prevents the transport from rewinding the body for a retry.
	body := io.MultiReader(bytes.NewReader(r.Body))
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, body)
	if err != nil {
		return Response{}, eris.Wrap(ErrNotSent, err.Error())
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
			return Response{}, eris.Wrap(ErrNotSent, "connect to service")
		}
		return Response{}, eris.Wrap(ErrNoResponse, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < http.StatusOK {
		return Response{}, eris.Wrapf(ErrNoResponse, "invalid status %d", resp.StatusCode)
	}
	respBody, err := bounded.ReadAll(resp.Body, bounded.PartBody, maxResponseBytes)
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return Response{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: respBody,
		Unframed: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
	}, nil
}
