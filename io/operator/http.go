package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/gin-gonic/gin"

	"amaranthturn/io/bounded"
	"amaranthturn/io/http1"
)

// ErrNoInstance reports that the fleet does not list an instance.
var ErrNoInstance = errors.New("instance is not in the platform's list")

// Health reports the readiness of a daemon.
type Health interface {
	// Ready reports whether the daemon is ready for work and, if not, the reason.
	Ready() (bool, string)
}

// Source provides the fleet's state to operators. Only entries have one.
type Source interface {
	Status(ctx context.Context) Status
	Explain(ctx context.Context, instance string) (Explanation, error)
}

// NewHandler returns a handler that serves metrics, health and, if src is not nil, the
// fleet's state.
func NewHandler(metrics http.Handler, health Health, src Source) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.GET("/metrics", gin.WrapH(metrics))
	r.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", func(c *gin.Context) {
		ok, reason := health.Ready()
		if !ok {
			c.String(http.StatusServiceUnavailable, "%s\n", reason)
			return
		}
		c.String(http.StatusOK, "ready\n")
	})
	if src == nil {
		return r
	}
	r.GET("/v1/status", func(c *gin.Context) { c.JSON(http.StatusOK, src.Status(c.Request.Context())) })
	r.GET("/v1/explain/:instance", func(c *gin.Context) {
		e, err := src.Explain(c.Request.Context(), c.Param("instance"))
		if err != nil {
			c.String(http.StatusNotFound, "%s: %v\n", c.Param("instance"), err)
			return
		}
		c.JSON(http.StatusOK, e)
	})
	return r
}

// UnreachableError reports that an entry did not return a valid response.
type UnreachableError struct {
	URL   string
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("entry %s: %v", e.URL, e.Cause) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// IsUnavailable reports whether an error of a Client may end when the entry starts: it could not be
// connected to, lost the connection or did not respond in time.
func IsUnavailable(err error) bool {
	var network *net.OpError
	var timeout net.Error
	return errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.As(err, &timeout) && timeout.Timeout()
}

// clientTimeout limits a request, during which the entry queries all other entries.
const clientTimeout = 10 * time.Second

// maxStateBytes limits a response. The state of one instance has some hundred bytes.
const maxStateBytes = 64 << 20

// Client queries one entry.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the operator listener at base.
func NewClient(base string) *Client {
	tr := &http.Transport{Proxy: http.ProxyFromEnvironment, MaxResponseHeaderBytes: bounded.MaxHeaderBytes}
	return &Client{base: base, http: &http.Client{Timeout: clientTimeout, Transport: http1.NewTransport(tr)}}
}

// Status returns the state of the fleet. Errors: *UnreachableError.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.get(ctx, "/v1/status", &s)
	return s, err
}

// Explain returns the settings and the state that explain an instance's behavior.
// Errors: ErrNoInstance, *UnreachableError.
func (c *Client) Explain(ctx context.Context, instance string) (Explanation, error) {
	var e Explanation
	err := c.get(ctx, "/v1/explain/"+url.PathEscape(instance), &e)
	return e, err
}

func (c *Client) get(ctx context.Context, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return &UnreachableError{URL: c.base, Cause: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &UnreachableError{URL: c.base, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return ErrNoInstance
	default:
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 256))
		return &UnreachableError{URL: c.base, Cause: fmt.Errorf("status %d: %s", resp.StatusCode, text)}
	}
	body, err := bounded.ReadAll(resp.Body, bounded.PartBody, maxStateBytes)
	if err != nil {
		return &UnreachableError{URL: c.base, Cause: err}
	}
	if err := json.Unmarshal(body, v); err != nil {
		return &UnreachableError{URL: c.base, Cause: err}
	}
	return nil
}
