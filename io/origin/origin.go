// Package origin pulls manifests and byte ranges of weights from the origin.
//
// # Usage
//
//	c := origin.NewClient("http://127.0.0.1:8600", httpClient)
//	body, err := c.Manifest(ctx, version)
//	data, err := c.Range(ctx, version, offset, size)
//	var t *origin.ThrottledError
//	if errors.As(err, &t) { … t.RetryAfter … }
//
// # Protocol
//
// GET /v1/manifests/VERSION answers the manifest. GET /v1/weights/VERSION with a
// Range header answers 206 and the bytes. 429 with Retry-After asks to wait.
package origin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"amaranthturn/core/fleet"
	"amaranthturn/core/swarm"
)

// ThrottledError reports that the origin asked to wait.
type ThrottledError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("origin throttled, retry after %v", e.RetryAfter)
}

// FailedError reports that the origin did not answer usefully.
type FailedError struct {
	Version fleet.Version
	Status  int // 0 when there was no answer
	Cause   error
}

// Error implements error.
func (e *FailedError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("origin answered status %d for %s", e.Status, e.Version.Short())
	}
	return fmt.Sprintf("origin, %s: %v", e.Version.Short(), e.Cause)
}

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Cause }

// Client pulls from one origin.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the origin at base.
func NewClient(base string, h *http.Client) *Client {
	return &Client{base: base, http: h}
}

// Manifest returns the manifest body of a version; the caller checks its digest.
// Errors: *ThrottledError, *FailedError.
func (c *Client) Manifest(ctx context.Context, v fleet.Version) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/manifests/"+string(v), nil)
	if err != nil {
		return nil, &FailedError{Version: v, Cause: err}
	}
	return c.do(req, v, http.StatusOK, swarm.MaxManifestBytes+1)
}

// Range returns size bytes of a version's weights from offset; the caller checks
// their digest. Errors: *ThrottledError, *FailedError.
func (c *Client) Range(ctx context.Context, v fleet.Version, offset, size fleet.Bytes) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/weights/"+string(v), nil)
	if err != nil {
		return nil, &FailedError{Version: v, Cause: err}
	}
	req.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", offset, offset+size-1))
	body, err := c.do(req, v, http.StatusPartialContent, int64(size)+1)
	if err != nil {
		return nil, err
	}
	if fleet.Bytes(len(body)) != size {
		return nil, &FailedError{Version: v, Cause: eris.Errorf("%d bytes in place of %d", len(body), size)}
	}
	return body, nil
}

func (c *Client) do(req *http.Request, v fleet.Version, want int, limit int64) ([]byte, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &FailedError{Version: v, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case want:
	case http.StatusTooManyRequests:
		return nil, &ThrottledError{RetryAfter: retryAfter(resp.Header)}
	default:
		return nil, &FailedError{Version: v, Status: resp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err != nil {
		return nil, &FailedError{Version: v, Cause: err}
	}
	return body, nil
}

// defaultRetryAfter is used when the origin names no time.
const defaultRetryAfter = time.Second

func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return defaultRetryAfter
	}
	return time.Duration(n) * time.Second
}
