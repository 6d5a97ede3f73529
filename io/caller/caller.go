// Package caller is the HTTP interface for callers: the list of entries, chat
// completions in the common format of model engines, calls to plain services, and
// orders with tickets. app/entry uses it; app/gateway uses package platform.
//
// # Usage
//
//	h := caller.NewHandler(service, time.Now)
//	srv := &http.Server{Handler: h}
//
// # Protocol
//
// Requests carry their workspace in X-Workspace, their class (interactive, standard,
// batch) in X-Class, and optionally a timeout in X-Timeout-Ms. Chat completions
// state the version of the weights in X-Version and in their body, streams in each
// event. Every refusal is JSON
//
//	{"error": {"outcome": "not_run", "reason": "queue_full", "retry_after_ms": 500}}
//
// with a Retry-After header if the request may succeed later. In a stream that has
// started, the same object is sent as an event named error, and no [DONE] follows.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"amaranthturn/core/fleet"
	"amaranthturn/core/retry"
)

// HTTP headers of the protocol.
const (
	HeaderWorkspace  = "X-Workspace"
	HeaderClass      = "X-Class"
	HeaderTimeout    = "X-Timeout-Ms"
	HeaderVersion    = "X-Version"
	HeaderTicket     = "X-Order-Ticket"
	HeaderRequestID  = "X-Request-Id"
	HeaderOutcome    = "X-Outcome"
	HeaderRetryAfter = "Retry-After"
)

// Limits of requests.
const (
	maxBodyBytes   = 1 << 20
	defaultTimeout = 60 * time.Second
	maxTimeout     = 10 * time.Minute
	maxNameLen     = 128
)

// GenerateRequest is a chat completion request to a model. It is repeatable.
type GenerateRequest struct {
	RequestID string
	Workspace fleet.Workspace
	Model     fleet.Model
	Class     fleet.Class
	Body      []byte
	MaxTokens int
	Deadline  time.Time
}

// Token is one step of a generated response.
type Token struct {
	Version      fleet.Version
	Index        int
	Text         string
	Done         bool
	FinishReason string
}

// Call is a request to a plain service.
type Call struct {
	RequestID   string
	Workspace   fleet.Workspace
	Service     fleet.Service
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Deadline    time.Time
}

// Response is the response of a plain service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Unframed    bool // nothing shows that the body is complete
}

// EntryInfo is an entry that a caller may use.
type EntryInfo struct {
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Zone     string `json:"availability_zone"`
}

// EntryList is the entries to use, best first, and how long the list may be cached.
type EntryList struct {
	Entries []EntryInfo `json:"entries"`
	KeepMS  int64       `json:"keep_ms"`
}

// TicketResponse is a ticket for one order.
type TicketResponse struct {
	Ticket  string    `json:"ticket"`
	Service string    `json:"service"`
	Target  string    `json:"target"`
	Expires time.Time `json:"expires"`
}

// Service processes requests. A refusal that Generate returns after it has sent a token
// ends the stream with an error event.
type Service interface {
	Entries(w fleet.Workspace, caller string) (EntryList, *fleet.Refusal)
	Generate(ctx context.Context, g GenerateRequest, send func(Token) error) *fleet.Refusal
	Call(ctx context.Context, c Call) (Response, *fleet.Refusal)
	Ticket(ctx context.Context, w fleet.Workspace, s fleet.Service) (TicketResponse, *fleet.Refusal)
	Order(ctx context.Context, ticket string, c Call) (Response, *fleet.Refusal)
	// IsLeaving reports whether the entry is shutting down, so that callers should close
	// their connections after the response.
	IsLeaving() bool
	// Ended returns a context that ends when the process is about to exit and the requests that
	// are still in progress have to be answered.
	Ended() context.Context
}

type handler struct {
	svc Service
	now func() time.Time
}

// NewHandler returns the HTTP handler for callers.
func NewHandler(svc Service, now func() time.Time) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	h := &handler{svc: svc, now: now}
	r.Use(h.closeWhenLeaving)
	r.GET("/v1/entries", h.entries)
	r.POST("/v1/chat/completions", h.generate)
	r.POST("/v1/orders/ticket", h.ticket)
	r.POST("/v1/orders/:service/*path", h.order)
	r.Any("/v1/services/:service/*path", h.call)
	return r
}

func (h *handler) entries(c *gin.Context) {
	w := fleet.Workspace(c.Query("workspace"))
	list, refusal := h.svc.Entries(w, c.ClientIP()+"/"+string(w)+"/"+c.GetHeader(HeaderRequestID))
	if refusal != nil {
		refuse(c, refusal)
		return
	}
	c.JSON(http.StatusOK, list)
}

// chatBody has the fields of a chat completion request that this package uses.
type chatBody struct {
	Model     string            `json:"model"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
	Messages  []json.RawMessage `json:"messages"`
}

func (h *handler) generate(c *gin.Context) {
	body, ok := h.readBody(c)
	if !ok {
		return
	}
	var b chatBody
	if err := json.Unmarshal(body, &b); err != nil || b.Model == "" || len(b.Model) > maxNameLen || len(b.Messages) == 0 {
		refuse(c, fleet.NotRun(fleet.ReasonBadRequest, 0))
		return
	}
	class, deadline, ok := h.readHeaders(c)
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(c.Request.Context(), deadline)
	defer cancel()
	g := GenerateRequest{
		RequestID: requestID(c), Workspace: fleet.Workspace(c.GetHeader(HeaderWorkspace)), Model: fleet.Model(b.Model),
		Class: class, Body: body, MaxTokens: b.MaxTokens, Deadline: deadline,
	}
	if b.Stream {
		h.stream(ctx, c, g)
		return
	}
	h.complete(ctx, c, g)
}

// completion is a complete response or one event of a stream.
type completion struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   fleet.Model   `json:"model"`
	Version fleet.Version `json:"version"`
	Choices []choice      `json:"choices"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func (h *handler) stream(ctx context.Context, c *gin.Context, g GenerateRequest) {
	started := false
	refusal := h.svc.Generate(ctx, g, func(t Token) error {
		limitWrite(c, g.Deadline)
		if !started {
			started = true
			c.Header("Content-Type", "text/event-stream")
			c.Header("Cache-Control", "no-store")
			c.Header(HeaderVersion, string(t.Version))
			c.Status(http.StatusOK)
		}
		return writeEvent(c, "", newCompletionChunk(g, t))
	})
	switch {
	case refusal != nil && !started:
		refuse(c, refusal)
	case refusal != nil:
		_ = writeEvent(c, "error", errorBody(refusal))
	default:
		_, _ = c.Writer.WriteString("data: [DONE]\n\n")
		c.Writer.Flush()
	}
}

// lateWriteTime is how long a write may take after the deadline. A token that is ready is delivered
// even if it is late.
const lateWriteTime = time.Second

// limitWrite limits the next write of a stream, so that a caller that has stopped reading holds nothing
// for good. The server ends the limit with the response.
func limitWrite(c *gin.Context, deadline time.Time) {
	if now := time.Now(); now.After(deadline) {
		deadline = now
	}
	_ = http.NewResponseController(c.Writer).SetWriteDeadline(deadline.Add(lateWriteTime)) // only writers that are no connection return an error
}

func newCompletionChunk(g GenerateRequest, t Token) completion {
	ch := choice{Delta: &message{Content: t.Text}}
	if t.Done {
		ch.FinishReason = &t.FinishReason
	}
	return completion{ID: g.RequestID, Object: "chat.completion.chunk", Model: g.Model, Version: t.Version, Choices: []choice{ch}}
}

func writeEvent(c *gin.Context, name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	if name != "" {
		b.WriteString("event: " + name + "\n")
	}
	b.WriteString("data: ")
	b.Write(data)
	b.WriteString("\n\n")
	if _, err := c.Writer.Write(b.Bytes()); err != nil {
		return err
	}
	c.Writer.Flush()
	return nil
}

func (h *handler) complete(ctx context.Context, c *gin.Context, g GenerateRequest) {
	var text strings.Builder
	var last Token
	refusal := h.svc.Generate(ctx, g, func(t Token) error {
		text.WriteString(t.Text)
		last = t
		return nil
	})
	if refusal != nil {
		refuse(c, refusal)
		return
	}
	c.Header(HeaderVersion, string(last.Version))
	ch := choice{Message: &message{Role: "assistant", Content: text.String()}, FinishReason: &last.FinishReason}
	c.JSON(http.StatusOK, completion{ID: g.RequestID, Object: "chat.completion", Model: g.Model, Version: last.Version, Choices: []choice{ch}})
}

type ticketBody struct {
	Service string `json:"service"`
}

func (h *handler) ticket(c *gin.Context) {
	body, ok := h.readBody(c)
	if !ok {
		return
	}
	var b ticketBody
	if err := json.Unmarshal(body, &b); err != nil || b.Service == "" || len(b.Service) > maxNameLen {
		refuse(c, fleet.NotRun(fleet.ReasonBadRequest, 0))
		return
	}
	t, refusal := h.svc.Ticket(c.Request.Context(), fleet.Workspace(c.GetHeader(HeaderWorkspace)), fleet.Service(b.Service))
	if refusal != nil {
		refuse(c, refusal)
		return
	}
	c.JSON(http.StatusOK, t)
}

func (h *handler) order(c *gin.Context) {
	ticket := c.GetHeader(HeaderTicket)
	if ticket == "" {
		// An order without a ticket never runs, whatever other headers it has.
		refuse(c, fleet.NotRun(fleet.ReasonTicketRequired, 0))
		return
	}
	call, ok := h.readCall(c)
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(c.Request.Context(), call.Deadline)
	defer cancel()
	resp, refusal := h.svc.Order(ctx, ticket, call)
	writeResponse(c, resp, refusal)
}

func (h *handler) call(c *gin.Context) {
	call, ok := h.readCall(c)
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(c.Request.Context(), call.Deadline)
	defer cancel()
	resp, refusal := h.svc.Call(ctx, call)
	writeResponse(c, resp, refusal)
}

func (h *handler) readCall(c *gin.Context) (Call, bool) {
	body, ok := h.readBody(c)
	if !ok {
		return Call{}, false
	}
	_, deadline, ok := h.readHeaders(c)
	if !ok {
		return Call{}, false
	}
	path := c.Param("path")
	if q := c.Request.URL.RawQuery; q != "" {
		path += "?" + q
	}
	return Call{
		RequestID: requestID(c), Workspace: fleet.Workspace(c.GetHeader(HeaderWorkspace)), Service: fleet.Service(c.Param("service")),
		Method: c.Request.Method, Path: path, ContentType: c.ContentType(), Body: body, Deadline: deadline,
	}, true
}

func (h *handler) readHeaders(c *gin.Context) (fleet.Class, time.Time, bool) {
	class, ok := fleet.ParseClass(c.GetHeader(HeaderClass))
	if !ok || len(c.GetHeader(HeaderWorkspace)) > maxNameLen {
		refuse(c, fleet.NotRun(fleet.ReasonBadRequest, 0))
		return 0, time.Time{}, false
	}
	timeout := defaultTimeout
	if s := c.GetHeader(HeaderTimeout); s != "" {
		ms, err := strconv.ParseInt(s, 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
			refuse(c, fleet.NotRun(fleet.ReasonBadRequest, 0))
			return 0, time.Time{}, false
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	return class, h.now().Add(timeout), true
}

func (h *handler) readBody(c *gin.Context) ([]byte, bool) {
	ctl := http.NewResponseController(c.Writer)
	_ = ctl.SetReadDeadline(time.Now().Add(bodyTime(c.Request.Header)))                           // only writers that are no connection return an error
	stop := context.AfterFunc(h.svc.Ended(), func() { _ = ctl.SetReadDeadline(time.Unix(1, 0)) }) // ends the read
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes))
	stop()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		refuse(c, fleet.NotRun(fleet.ReasonBodyTooLarge, 0))
		return nil, false
	case err != nil && h.svc.Ended().Err() != nil:
		refuse(c, fleet.NotRun(fleet.ReasonLeaving, retry.BaseDelay))
		return nil, false
	case errors.Is(err, os.ErrDeadlineExceeded):
		refuse(c, fleet.NotRun(fleet.ReasonDeadlinePassed, 0))
		return nil, false
	case err != nil:
		refuse(c, fleet.NotRun(fleet.ReasonBadRequest, 0))
		return nil, false
	}
	// After a refusal the server reads on, so the deadline stays.
	_ = ctl.SetReadDeadline(time.Time{})
	return body, true
}

// bodyTime returns how long a body may take to arrive: as long as its caller waits.
func bodyTime(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(HeaderTimeout), 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return defaultTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

func requestID(c *gin.Context) string {
	if id := c.GetHeader(HeaderRequestID); id != "" && len(id) <= maxNameLen {
		return id
	}
	return uuid.NewString()
}

func writeResponse(c *gin.Context, resp Response, refusal *fleet.Refusal) {
	if refusal != nil {
		refuse(c, refusal)
		return
	}
	c.Header(HeaderOutcome, fleet.OutcomeDone.String())
	if !resp.Unframed {
		c.Data(resp.Status, resp.ContentType, resp.Body)
		return
	}
	c.Header("Content-Type", resp.ContentType)
	c.Header("Transfer-Encoding", "identity") // net/http then adds neither a length nor chunks
	c.Status(resp.Status)
	_, _ = c.Writer.Write(resp.Body) // a disconnected caller cancels the request's context
}

// errorResponse is the JSON form of a refusal.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func errorBody(r *fleet.Refusal) errorResponse {
	return errorResponse{errorDetail{Outcome: r.Outcome.String(), Reason: string(r.Reason), RetryAfterMS: r.RetryAfter.Milliseconds()}}
}

func refuse(c *gin.Context, r *fleet.Refusal) {
	if r.RetryAfter > 0 {
		c.Header(HeaderRetryAfter, strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	c.Header(HeaderOutcome, r.Outcome.String())
	c.JSON(StatusOf(r), errorBody(r))
}

// StatusOf returns the HTTP status of a refusal.
func StatusOf(r *fleet.Refusal) int {
	switch r.Reason {
	case fleet.ReasonBadRequest, fleet.ReasonBadTicket:
		return http.StatusBadRequest
	case fleet.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case fleet.ReasonUnknownModel, fleet.ReasonUnknownService:
		return http.StatusNotFound
	case fleet.ReasonTicketRequired, fleet.ReasonNotRepeatable:
		return http.StatusPreconditionRequired
	case fleet.ReasonQueueFull, fleet.ReasonDeadlineCannotBeMet, fleet.ReasonClassNotAllowed:
		return http.StatusTooManyRequests
	case fleet.ReasonCrashesTargets:
		return http.StatusUnprocessableEntity
	case fleet.ReasonDeadlinePassed:
		return http.StatusGatewayTimeout
	}
	if r.Outcome == fleet.OutcomeUnknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
