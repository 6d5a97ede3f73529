// Package engine speaks to the model engine of the agent's own instance.
//
// # Usage
//
//	c := engine.NewClient("http://127.0.0.1:9000", httpClient, token)
//	st, err := c.State(ctx)
//	err = c.Load(ctx, engine.Order{Fence: 7, Expires: t}, model, version, size, weights)
//	err = c.Generate(ctx, req, func(t engine.Token) error { … })
//
// # Orders
//
// Every order to load, activate, unload or change role carries a fencing number
// and an expiry. An engine that checks numbers answers 409 with the highest it has seen,
// which becomes a *StaleOrderError. Some engines ignore both.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"amaranthturn/core/fleet"
)

// Headers of the engine's protocol.
const (
	HeaderFence   = "X-Fence"
	HeaderExpires = "X-Order-Expires"
	HeaderVersion = "X-Version"
)

// State is what an engine says of itself.
type State struct {
	Boot       uint64  `json:"boot"` // differs between two runs of the engine
	Fence      uint64  `json:"fence"`
	Role       string  `json:"role"`
	Models     []Model `json:"models"`
	TwoSlots   bool    `json:"two_slots"`
	RefusesOld bool    `json:"refuses_old_orders"`
	CanResume  bool    `json:"can_resume"`
	Running    int     `json:"running"`
	Queued     int     `json:"queued"`
	Capacity   int     `json:"capacity"`
	CacheUsed  float64 `json:"cache_used"`
}

// Model is what an engine holds of one model.
type Model struct {
	Name    string   `json:"name"`
	Loaded  []string `json:"loaded"`
	Serving string   `json:"serving"`
}

// Order is the authority of an order.
type Order struct {
	Fence   uint64
	Expires time.Time
}

// CacheEvent tells that a prefix entered or left the engine's cache. Events come
// late and some are lost; Sequence shows the gaps.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Stored   bool   `json:"stored"`
}

// GenerateRequest asks for tokens.
type GenerateRequest struct {
	RequestID  string        `json:"request_id"`
	Version    fleet.Version `json:"version"`
	Priority   int           `json:"priority"`
	ResumeFrom int           `json:"resume_from"`
	Body       []byte        `json:"-"`
}

// Token is one generated token.
type Token struct {
	Index  int    `json:"index"`
	Text   string `json:"text"`
	Done   bool   `json:"done"`
	Finish string `json:"finish_reason"`
}

// StaleOrderError reports that the engine has seen a higher fencing number.
type StaleOrderError struct {
	Sent, Seen uint64
}

// Error implements error.
func (e *StaleOrderError) Error() string {
	return fmt.Sprintf("engine refused order %d: it has seen %d", e.Sent, e.Seen)
}

// FailedError reports that the engine did not answer usefully.
type FailedError struct {
	Op     string
	Status int // 0 when there was no answer
	Text   string
	Cause  error
}

// Error implements error.
func (e *FailedError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("engine %s: status %d: %s", e.Op, e.Status, e.Text)
	}
	return fmt.Sprintf("engine %s: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Cause }

// ErrNotLoaded reports that the engine does not hold the version asked for.
var ErrNotLoaded = errors.New("version is not loaded")

// Client speaks to one engine.
type Client struct {
	base  string
	http  *http.Client
	token string
}

// NewClient returns a client. The token is sent to engines that check who gives
// them orders; it may be empty.
func NewClient(base string, h *http.Client, token string) *Client {
	return &Client{base: base, http: h, token: token}
}

// State reads the engine's state.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	err := c.getJSON(ctx, "state", "/admin/state", &s)
	return s, err
}

// Events returns the cache events after a sequence number.
func (c *Client) Events(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var out []CacheEvent
	err := c.getJSON(ctx, "events", "/admin/events?after="+strconv.FormatUint(after, 10), &out)
	return out, err
}

// Load hands the whole weights of a version to the engine.
func (c *Client) Load(ctx context.Context, o Order, m fleet.Model, v fleet.Version, size fleet.Bytes, weights io.Reader) error {
	path := "/admin/versions/" + url.PathEscape(string(v)) + "?model=" + url.QueryEscape(string(m))
	return c.order(ctx, "load", o, http.MethodPut, path, weights, int64(size))
}

// LoadAdapter hands an adapter to the engine beside a version.
func (c *Client) LoadAdapter(ctx context.Context, o Order, name string, size fleet.Bytes, weights io.Reader) error {
	return c.order(ctx, "load adapter", o, http.MethodPut, "/admin/adapters/"+url.PathEscape(name), weights, int64(size))
}

// Activate makes new requests run on a loaded version.
func (c *Client) Activate(ctx context.Context, o Order, m fleet.Model, v fleet.Version) error {
	path := "/admin/versions/" + url.PathEscape(string(v)) + "/activate?model=" + url.QueryEscape(string(m))
	return c.order(ctx, "activate", o, http.MethodPost, path, nil, 0)
}

// Unload frees a version.
func (c *Client) Unload(ctx context.Context, o Order, m fleet.Model, v fleet.Version) error {
	path := "/admin/versions/" + url.PathEscape(string(v)) + "?model=" + url.QueryEscape(string(m))
	return c.order(ctx, "unload", o, http.MethodDelete, path, nil, 0)
}

// SetRole changes the engine's role, for example prefill or decode.
func (c *Client) SetRole(ctx context.Context, o Order, role string) error {
	return c.order(ctx, "role", o, http.MethodPost, "/admin/role/"+url.PathEscape(role), nil, 0)
}

// ExportCache returns the cached keys and values of a prefix.
func (c *Client) ExportCache(ctx context.Context, v fleet.Version, prefix uint64) ([]byte, error) {
	path := fmt.Sprintf("/admin/cache/%s/%d", url.PathEscape(string(v)), prefix)
	resp, err := c.send(ctx, "export cache", http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return io.ReadAll(resp.Body)
}

// ImportCache gives cached keys and values of a prefix to the engine.
func (c *Client) ImportCache(ctx context.Context, v fleet.Version, prefix uint64, data []byte) error {
	path := fmt.Sprintf("/admin/cache/%s/%d", url.PathEscape(string(v)), prefix)
	resp, err := c.send(ctx, "import cache", http.MethodPut, path, bytes.NewReader(data), nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Generate runs a request and calls each for every token until the last. When
// ctx ends the engine cancels the generation. Errors: ErrNotLoaded,
// *FailedError, or what each returned.
func (c *Client) Generate(ctx context.Context, r GenerateRequest, each func(Token) error) error {
	h := http.Header{}
	h.Set(HeaderVersion, string(r.Version))
	h.Set("X-Request-Id", r.RequestID)
	h.Set("X-Priority", strconv.Itoa(r.Priority))
	h.Set("X-Resume-From", strconv.Itoa(r.ResumeFrom))
	resp, err := c.send(ctx, "generate", http.MethodPost, "/v1/chat/completions", bytes.NewReader(r.Body), h)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return readTokens(resp.Body, each)
}

// maxTokenLine bounds one event of a stream, in bytes.
const maxTokenLine = 1 << 20

func readTokens(body io.Reader, each func(Token) error) error {
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 0, 4096), maxTokenLine)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		var t Token
		if err := json.Unmarshal([]byte(data), &t); err != nil {
			return &FailedError{Op: "generate", Cause: err}
		}
		if err := each(t); err != nil {
			return err
		}
		if t.Done {
			return nil
		}
	}
	return &FailedError{Op: "generate", Cause: eris.Wrap(firstError(sc.Err(), io.ErrUnexpectedEOF), "stream ended early")}
}

func firstError(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *Client) order(ctx context.Context, op string, o Order, method, path string, body io.Reader, size int64) error {
	h := http.Header{}
	h.Set(HeaderFence, strconv.FormatUint(o.Fence, 10))
	h.Set(HeaderExpires, o.Expires.UTC().Format(time.RFC3339Nano))
	if size > 0 {
		h.Set("Content-Length", strconv.FormatInt(size, 10))
	}
	resp, err := c.send(ctx, op, method, path, body, h)
	if err != nil {
		var f *FailedError
		if errors.As(err, &f) && f.Status == http.StatusConflict {
			seen, _ := strconv.ParseUint(strings.TrimSpace(f.Text), 10, 64)
			return &StaleOrderError{Sent: o.Fence, Seen: seen}
		}
		return err
	}
	return resp.Body.Close()
}

func (c *Client) getJSON(ctx context.Context, op, path string, v any) error {
	resp, err := c.send(ctx, op, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		return &FailedError{Op: op, Cause: err}
	}
	return nil
}

// maxErrorText bounds how much of an error answer is kept.
const maxErrorText = 256

func (c *Client) send(ctx context.Context, op, method, path string, body io.Reader, h http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, &FailedError{Op: op, Cause: err}
	}
	for k := range h {
		req.Header.Set(k, h.Get(k))
	}
	if n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err == nil {
		req.ContentLength = n
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &FailedError{Op: op, Cause: err}
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusGone {
		return nil, ErrNotLoaded
	}
	return nil, &FailedError{Op: op, Status: resp.StatusCode, Text: strings.TrimSpace(string(text))}
}
