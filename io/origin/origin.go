// Package origin downloads manifests and byte ranges of weights from the origin. app/agent
// uses it; app/sidecar uses platform.Origin.
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
// GET /v1/manifests/VERSION returns the manifest. GET /v1/weights/VERSION with a Range
// header returns 206 and the bytes. 429 with Retry-After asks the client to wait.
package origin

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"amaranthturn/core/fleet"
	"amaranthturn/core/swarm"
	"amaranthturn/io/bounded"
)

// ThrottledError reports that the origin throttled a request.
type ThrottledError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("origin throttled, retry after %v", e.RetryAfter)
}

// FailedError reports that a request to the origin failed.
type FailedError struct {
	Version fleet.Version
	Status  int // 0 if there was no usable response
	Cause   error
}

// Error implements error.
func (e *FailedError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("origin returned status %d for version %s", e.Status, e.Version.Short())
	}
	return fmt.Sprintf("origin request for version %s: %v", e.Version.Short(), e.Cause)
}

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Cause }

// manifestTimeout limits the download of a manifest. The connection may be silent for good.
const manifestTimeout = 30 * time.Second

// Client downloads from one origin.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the origin at the URL base.
func NewClient(base string, h *http.Client) *Client {
	return &Client{base: base, http: h}
}

// Manifest returns the manifest body of a version. The caller must verify its digest.
// Errors: *ThrottledError, *FailedError.
func (c *Client) Manifest(ctx context.Context, v fleet.Version) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/manifests/"+string(v), nil)
	if err != nil {
		return nil, &FailedError{Version: v, Cause: err}
	}
	return c.do(req, v, http.StatusOK, swarm.MaxManifestBytes)
}

// Range returns size bytes of a version's weights starting at offset. The caller must
// verify their digest. Errors: *ThrottledError, *FailedError.
func (c *Client) Range(ctx context.Context, v fleet.Version, offset, size fleet.Bytes) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/weights/"+string(v), nil)
	if err != nil {
		return nil, &FailedError{Version: v, Cause: err}
	}
	req.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", offset, offset+size-1))
	body, err := c.do(req, v, http.StatusPartialContent, int64(size))
	if err != nil {
		return nil, err
	}
	if fleet.Bytes(len(body)) != size {
		return nil, &FailedError{Version: v, Cause: eris.Errorf("got %d bytes, expected %d", len(body), size)}
	}
	return body, nil
}

func (c *Client) do(req *http.Request, v fleet.Version, wantStatus int, limit int64) ([]byte, error) {
	defer bounded.DropSilent(req.Context(), c.http)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &FailedError{Version: v, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case wantStatus:
	case http.StatusTooManyRequests:
		return nil, &ThrottledError{RetryAfter: retryAfter(resp.Header)}
	default:
		return nil, &FailedError{Version: v, Status: resp.StatusCode}
	}
	body, err := bounded.ReadAll(resp.Body, bounded.PartBody, limit)
	if err != nil {
		return nil, &FailedError{Version: v, Cause: err}
	}
	return body, nil
}

// defaultRetryAfter is used if the response has no valid Retry-After header.
const defaultRetryAfter = time.Second

func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return defaultRetryAfter
	}
	return time.Duration(n) * time.Second
}
