// Package engine is a client of the model engine on the agent's own instance. app/agent
// uses it; app/sidecar uses platform.Engine.
//
// # Usage
//
//	c := engine.NewClient("http://127.0.0.1:9000", httpClient, token)
//	st, err := c.State(ctx)
//	err = c.Load(ctx, engine.Command{Fence: 7, Expires: t}, model, version, size, weights)
//	err = c.Generate(ctx, req, func(t engine.Token) error { … })
//
// # Commands
//
// Every command to load, activate, unload or change the role carries a fencing number and
// an expiry time. An engine that checks fencing numbers returns 409 with the highest number
// that it has seen, which becomes a *StaleCommandError. Some engines ignore both.
//
// # Connections
//
// Responses do not name their request. Each call uses a new connection, so that an engine that
// repeats a response cannot answer a later call with it.
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
	"amaranthturn/io/bounded"
)

// Headers of the engine's protocol.
const (
	HeaderFence   = "X-Fence"
	HeaderExpires = "X-Order-Expires"
	HeaderVersion = "X-Version"
)

// State is the state that an engine reports.
type State struct {
	Boot                 uint64  `json:"boot"` // different for every run of the engine
	Fence                uint64  `json:"fence"`
	Role                 string  `json:"role"`
	Models               []Model `json:"models"`
	TwoSlots             bool    `json:"two_slots"`
	RefusesStaleCommands bool    `json:"refuses_old_orders"`
	CanResume            bool    `json:"can_resume"`
	Running              int     `json:"running"`
	Queued               int     `json:"queued"`
	Capacity             int     `json:"capacity"`
	CacheUsed            float64 `json:"cache_used"`
}

// Model lists the versions of one model that an engine holds.
type Model struct {
	Name    string   `json:"name"`
	Loaded  []string `json:"loaded"`
	Serving string   `json:"serving"`
}

// Command holds the fencing number and the expiry time of an engine command.
type Command struct {
	Fence   uint64
	Expires time.Time
}

// CacheEvent reports that a prefix entered or left the engine's cache. Events arrive late
// and some are lost. Gaps in Sequence show the losses.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Stored   bool   `json:"stored"`
}

// GenerateRequest is a request to generate tokens.
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

// StaleCommandError reports that the engine has seen a higher fencing number.
type StaleCommandError struct {
	Sent, Seen uint64
}

// Error implements error.
func (e *StaleCommandError) Error() string {
	return fmt.Sprintf("engine refused command with fencing number %d: highest number seen is %d", e.Sent, e.Seen)
}

// FailedError reports that a request to the engine failed.
type FailedError struct {
	Op     string
	Status int // 0 if there was no usable response
	Text   string
	Cause  error
	// Pause is how long the engine wants no requests, 0 if it does not state it.
	Pause time.Duration
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

// ErrNotLoaded reports that the engine does not hold the requested version.
var ErrNotLoaded = errors.New("version is not loaded")

// Client is a client of one engine.
type Client struct {
	base   string
	http   *http.Client
	token  string
	events *bounded.Budget
}

// NewClient returns a client, which must be the only user of h. The token authenticates the
// agent to engines that check the sender of commands. It may be empty.
func NewClient(base string, h *http.Client, token string) *Client {
	return &Client{base: base, http: h, token: token, events: bounded.NewBudget(bounded.PartAllEvents, maxHeldEventBytes, freeEventBytes)}
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

// Load sends the complete weights of a version to the engine.
func (c *Client) Load(ctx context.Context, cmd Command, m fleet.Model, v fleet.Version, size fleet.Bytes, weights io.Reader) error {
	path := "/admin/versions/" + url.PathEscape(string(v)) + "?model=" + url.QueryEscape(string(m))
	return c.sendCommand(ctx, "load", cmd, http.MethodPut, path, weights, int64(size))
}

// LoadAdapter sends an adapter to the engine, which holds it next to the loaded version.
func (c *Client) LoadAdapter(ctx context.Context, cmd Command, name string, size fleet.Bytes, weights io.Reader) error {
	return c.sendCommand(ctx, "load adapter", cmd, http.MethodPut, "/admin/adapters/"+url.PathEscape(name), weights, int64(size))
}

// Activate makes the engine run new requests on a loaded version.
func (c *Client) Activate(ctx context.Context, cmd Command, m fleet.Model, v fleet.Version) error {
	path := "/admin/versions/" + url.PathEscape(string(v)) + "/activate?model=" + url.QueryEscape(string(m))
	return c.sendCommand(ctx, "activate", cmd, http.MethodPost, path, nil, 0)
}

// Unload makes the engine free a version.
func (c *Client) Unload(ctx context.Context, cmd Command, m fleet.Model, v fleet.Version) error {
	path := "/admin/versions/" + url.PathEscape(string(v)) + "?model=" + url.QueryEscape(string(m))
	return c.sendCommand(ctx, "unload", cmd, http.MethodDelete, path, nil, 0)
}

// SetRole changes the engine's role, for example prefill or decode.
func (c *Client) SetRole(ctx context.Context, cmd Command, role string) error {
	return c.sendCommand(ctx, "role", cmd, http.MethodPost, "/admin/role/"+url.PathEscape(role), nil, 0)
}

// ExportCache returns the cached keys and values of a prefix.
func (c *Client) ExportCache(ctx context.Context, v fleet.Version, prefix uint64) ([]byte, error) {
	path := fmt.Sprintf("/admin/cache/%s/%d", url.PathEscape(string(v)), prefix)
	resp, err := c.send(ctx, "export cache", http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := bounded.ReadAll(resp.Body, bounded.PartBody, maxCacheBytes)
	if err != nil {
		return nil, &FailedError{Op: "export cache", Cause: err}
	}
	return body, nil
}

// ImportCache sends the cached keys and values of a prefix to the engine.
func (c *Client) ImportCache(ctx context.Context, v fleet.Version, prefix uint64, data []byte) error {
	path := fmt.Sprintf("/admin/cache/%s/%d", url.PathEscape(string(v)), prefix)
	resp, err := c.send(ctx, "import cache", http.MethodPut, path, bytes.NewReader(data), nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Generate runs a request and calls onToken for every token up to the last. When ctx is
// done, the engine cancels the generation. Errors: ErrNotLoaded, *FailedError, or the error
// returned by onToken.
func (c *Client) Generate(ctx context.Context, r GenerateRequest, onToken func(Token) error) error {
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
	held := c.events.NewShare()
	defer held.Release()
	return readTokens(&pendingReader{r: resp.Body, held: held}, onToken)
}

// Size limits of responses.
const (
	// maxEventBytes limits what an engine sends up to the next token.
	maxEventBytes = 1 << 20
	// maxHeldEventBytes limits what all streams of an engine have sent up to their next tokens, beyond
	// freeEventBytes of each.
	maxHeldEventBytes = 16 << 20
	freeEventBytes    = 16 << 10
	maxStateBytes     = 4 << 20
	maxCacheBytes     = 64 << 20
)

// pendingReader counts the bytes that were read and not yet split into lines.
type pendingReader struct {
	r       io.Reader
	held    *bounded.Share
	pending int64
}

// Read implements io.Reader.
func (p *pendingReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	p.pending += int64(n)
	if err := p.held.Hold(p.pending); err != nil {
		return 0, err
	}
	return n, err
}

// splitLines is bufio.ScanLines and releases the lines.
func (p *pendingReader) splitLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	advance, token, err = bufio.ScanLines(data, atEOF)
	p.pending -= int64(advance)
	_ = p.held.Hold(p.pending) // there are fewer
	return advance, token, err
}

func readTokens(body *pendingReader, onToken func(Token) error) error {
	tooLarge := &bounded.TooLargeError{Part: bounded.PartEvent, Limit: maxEventBytes}
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	scanner.Split(body.splitLines)
	skipped := 0
	for scanner.Scan() {
		if skipped += len(scanner.Bytes()) + 1; skipped > maxEventBytes {
			return &FailedError{Op: "generate", Cause: tooLarge}
		}
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		t, err := decodeToken(data)
		if err != nil {
			return &FailedError{Op: "generate", Cause: err}
		}
		if err := onToken(t); err != nil {
			return err
		}
		if t.Done {
			return nil
		}
		skipped = 0
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		return &FailedError{Op: "generate", Cause: tooLarge}
	}
	return &FailedError{Op: "generate", Cause: eris.Wrap(firstError(scanner.Err(), io.ErrUnexpectedEOF), "stream ended before the last token")}
}

// errNoToken reports an event that is no token, for example an error of the engine.
var errNoToken = errors.New("event of the stream is no token")

func decodeToken(data string) (Token, error) {
	var t struct {
		Token
		Index *int `json:"index"` // hides the token's own, to tell 0 from none
	}
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		return Token{}, err
	}
	if t.Index == nil || *t.Index < 0 {
		return Token{}, errNoToken
	}
	t.Token.Index = *t.Index
	return t.Token, nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *Client) sendCommand(ctx context.Context, op string, cmd Command, method, path string, body io.Reader, size int64) error {
	h := http.Header{}
	h.Set(HeaderFence, strconv.FormatUint(cmd.Fence, 10))
	h.Set(HeaderExpires, cmd.Expires.UTC().Format(time.RFC3339Nano))
	if size > 0 {
		h.Set("Content-Length", strconv.FormatInt(size, 10))
	}
	resp, err := c.send(ctx, op, method, path, body, h)
	if err != nil {
		var failed *FailedError
		if errors.As(err, &failed) && failed.Status == http.StatusConflict {
			seen, _ := strconv.ParseUint(strings.TrimSpace(failed.Text), 10, 64)
			return &StaleCommandError{Sent: cmd.Fence, Seen: seen}
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
	body, err := bounded.ReadAll(resp.Body, bounded.PartBody, maxStateBytes)
	if err != nil {
		return &FailedError{Op: op, Cause: err}
	}
	if err := json.Unmarshal(body, v); err != nil {
		return &FailedError{Op: op, Cause: err}
	}
	return nil
}

// maxErrorBytes is the maximum size of an error response that is kept.
const maxErrorBytes = 256

func (c *Client) send(ctx context.Context, op, method, path string, body io.Reader, h http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, &FailedError{Op: op, Cause: err}
	}
	req.Close = true
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
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusGone {
		return nil, ErrNotLoaded
	}
	return nil, &FailedError{Op: op, Status: resp.StatusCode, Text: strings.TrimSpace(string(text)), Pause: pauseOf(resp)}
}

// maxPauseSeconds bounds the conversion to a time.Duration.
const maxPauseSeconds = 1e6

// pauseOf returns how long the engine wants no requests. A value that is not a number of seconds
// counts as missing.
func pauseOf(resp *http.Response) time.Duration {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) { // NaN is not above 0
		return 0
	}
	return time.Duration(min(seconds, maxPauseSeconds) * float64(time.Second))
}
