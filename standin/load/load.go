// Package load simulates callers: it fetches the list of entries, caches it until it
// expires, sends requests and orders, and checks every response token by token.
//
// # Usage
//
//	l := load.New(load.Settings{Seeds: addrs, ContentHashes: origin.ContentHashes}, rec)
//	l.Start(ctx)
//	l.Wait()
//	idle := l.Phase("idle").TimeToFirstToken.ValueAtQuantile(95)
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"amaranthturn/core/fleet"
	"amaranthturn/io/caller"
	"amaranthturn/standin/record"
	"amaranthturn/standin/service"
	"amaranthturn/standin/weights"
)

// Settings configure the load.
type Settings struct {
	Seeds         []string // caller addresses of entries, queried for the list of entries
	ContentHashes func() map[fleet.Version]string
	Model         string
	Workspaces    []string
	// Workers is the number of callers of each workspace. Each sends one request at a
	// time and pauses between two requests for ThinkTime on average.
	Workers        int
	ThinkTime      time.Duration
	OrderWorkers   int
	OrderThinkTime time.Duration
	Tokens         int
	Timeout        time.Duration
	Seed           uint64
}

// Phase holds the latencies measured in one phase of a run, in microseconds.
type Phase struct {
	TimeToFirstToken *hdrhistogram.Histogram
	TokenGap         *hdrhistogram.Histogram
}

// maxLatencyMicros is the longest latency that the histograms can hold.
const maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)

func newPhase() *Phase {
	return &Phase{TimeToFirstToken: hdrhistogram.New(1, maxLatencyMicros, 3), TokenGap: hdrhistogram.New(1, maxLatencyMicros, 3)}
}

// P95 returns the 95th percentile of a histogram.
func P95(h *hdrhistogram.Histogram) time.Duration {
	return time.Duration(h.ValueAtQuantile(95)) * time.Microsecond
}

// Load runs the simulated callers.
type Load struct {
	settings     Settings
	rec          *record.Record
	http         *http.Client
	wg           sync.WaitGroup
	mu           sync.Mutex // guards phases and currentPhase
	phases       map[string]*Phase
	currentPhase string
	promptSerial atomic.Int64
}

// New returns a load that has not been started.
func New(settings Settings, rec *record.Record) *Load {
	tr := &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 64}
	return &Load{settings: settings, rec: rec, http: &http.Client{Transport: tr}, phases: map[string]*Phase{}}
}

// SetPhase starts the phase of the run with the given name. Latencies are recorded in the
// phase that was set last, and in none before the first call.
func (l *Load) SetPhase(phase string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.currentPhase = phase
	if l.phases[phase] == nil {
		l.phases[phase] = newPhase()
	}
}

// Phase returns the latencies measured in a phase of the run.
func (l *Load) Phase(name string) *Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phases[name] == nil {
		l.phases[name] = newPhase()
	}
	return l.phases[name]
}

func (l *Load) recordLatency(isFirst bool, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.phases[l.currentPhase]
	if p == nil {
		return
	}
	h := p.TokenGap
	if isFirst {
		h = p.TimeToFirstToken
	}
	_ = h.RecordValue(max(1, d.Microseconds()))
}

// Start starts all callers. They stop when ctx is done.
func (l *Load) Start(ctx context.Context) {
	for i, workspace := range l.settings.Workspaces {
		for k := range l.settings.Workers {
			l.startCaller(ctx, workspace, i*1000+k, l.settings.ThinkTime, (*client).runRequest)
		}
	}
	for k := range l.settings.OrderWorkers {
		workspace := l.settings.Workspaces[k%len(l.settings.Workspaces)]
		l.startCaller(ctx, workspace, 1_000_000+k, l.settings.OrderThinkTime, (*client).runOrder)
	}
}

func (l *Load) startCaller(ctx context.Context, workspace string, seedOffset int, thinkTime time.Duration, do func(*client, context.Context)) {
	c := &client{l: l, workspace: workspace, thinkTime: thinkTime, do: do, random: rand.New(rand.NewPCG(l.settings.Seed, uint64(seedOffset)))}
	l.wg.Add(1)
	go c.run(ctx)
}

// Wait waits until all callers have stopped.
func (l *Load) Wait() {
	l.wg.Wait()
	l.http.CloseIdleConnections()
}

// client is one simulated caller.
type client struct {
	l               *Load
	workspace       string
	thinkTime       time.Duration
	do              func(*client, context.Context)
	random          *rand.Rand
	entries         []string
	entriesExpireAt time.Time
}

// run sends one request after the other until ctx is done. A request in progress is
// completed even when ctx is done, so that its outcome is counted.
func (c *client) run(ctx context.Context) {
	defer c.l.wg.Done()
	for ctx.Err() == nil {
		c.do(c, context.WithoutCancel(ctx))
		timer := time.NewTimer(time.Duration(float64(c.thinkTime) * (0.5 + c.random.Float64())))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// entryAddress returns the address of the entry to use. It refreshes the list of entries
// when the list has expired, and falls back to a random seed when the list is empty.
func (c *client) entryAddress(ctx context.Context) string {
	if time.Now().After(c.entriesExpireAt) || len(c.entries) == 0 {
		c.refreshEntries(ctx)
	}
	if len(c.entries) == 0 {
		return c.l.settings.Seeds[c.random.IntN(len(c.l.settings.Seeds))]
	}
	return c.entries[0]
}

func (c *client) refreshEntries(ctx context.Context) {
	for _, i := range c.random.Perm(len(c.l.settings.Seeds)) {
		list, err := c.fetchEntries(ctx, c.l.settings.Seeds[i])
		if err != nil {
			continue
		}
		c.entries = nil
		for _, e := range list.Entries {
			c.entries = append(c.entries, e.Address)
		}
		c.entriesExpireAt = time.Now().Add(time.Duration(list.KeepMS) * time.Millisecond)
		return
	}
}

func (c *client) fetchEntries(ctx context.Context, addr string) (caller.EntryList, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	var out caller.EntryList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/entries?workspace="+c.workspace, nil)
	if err != nil {
		return out, err
	}
	resp, err := c.l.http.Do(req)
	if err != nil {
		return out, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return out, errors.New(resp.Status)
	}
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// dropEntry removes the current entry from the list after it failed to respond.
func (c *client) dropEntry() {
	if len(c.entries) > 0 {
		c.entries = c.entries[1:]
	}
}

// ChatRequestBody returns the body of a chat completion request.
func ChatRequestBody(model, prompt string, tokens int, stream bool) []byte {
	b, err := json.Marshal(map[string]any{
		"model": model, "stream": stream, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		panic(err)
	}
	return b
}

func (c *client) runRequest(ctx context.Context) {
	prompt := fmt.Sprintf("Which part number fits die %d? (%s, %d)", c.random.IntN(24), c.workspace, c.l.promptSerial.Add(1))
	c.l.rec.RequestSent()
	id := uuid.NewString()
	outcome := c.Send(ctx, id, ChatRequestBody(c.l.settings.Model, prompt, c.l.settings.Tokens, true))
	c.l.rec.AttemptOutcome(id, outcome)
}

// Send sends one streamed request and returns the outcome that the caller observed.
func (c *client) Send(ctx context.Context, id string, body []byte) record.Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.l.settings.Timeout+5*time.Second)
	defer cancel()
	addr := c.entryAddress(ctx)
	startedAt := time.Now()
	resp, err := c.post(ctx, addr, "/v1/chat/completions", id, "", body)
	if err != nil {
		return c.handleSendError(addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return responseOutcome(resp)
	}
	checker := &streamChecker{l: c.l, body: body, startedAt: startedAt}
	outcome := checker.check(resp.Body)
	if outcome == record.OutcomeUnknown && checker.truncated && c.l.rec.IsStopping(addr) {
		c.l.rec.RequestInterrupted()
	}
	return outcome
}

// handleSendError removes the entry from the list and returns the outcome of a request
// that got no response. A failed dial sent nothing, so the request was not run. When the
// connection breaks during a planned stop of the entry, the stop interrupted the request.
func (c *client) handleSendError(addr string, err error) record.Outcome {
	c.dropEntry()
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return record.OutcomeNotRun
	}
	if c.l.rec.IsStopping(addr) {
		c.l.rec.RequestInterrupted()
	}
	return record.OutcomeUnknown
}

func responseOutcome(resp *http.Response) record.Outcome {
	if resp.Header.Get(caller.HeaderOutcome) == fleet.OutcomeNotRun.String() {
		return record.OutcomeNotRun
	}
	return record.OutcomeUnknown
}

func (c *client) post(ctx context.Context, addr, path, id, ticket string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(caller.HeaderWorkspace, c.workspace)
	req.Header.Set(caller.HeaderRequestID, id)
	req.Header.Set(caller.HeaderTimeout, fmt.Sprint(c.l.settings.Timeout.Milliseconds()))
	if ticket != "" {
		req.Header.Set(caller.HeaderTicket, ticket)
	}
	return c.l.http.Do(req)
}

// streamChecker checks the events of one streamed response.
type streamChecker struct {
	l           *Load
	body        []byte
	startedAt   time.Time
	lastTokenAt time.Time
	tokens      []string
	versions    map[fleet.Version]bool
	truncated   bool
}

type event struct {
	Version fleet.Version `json:"version"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func (c *streamChecker) check(r io.Reader) record.Outcome {
	c.versions = map[fleet.Version]bool{}
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return c.verify()
		}
		var ev event
		if json.Unmarshal(data, &ev) != nil {
			return record.OutcomeInvalid
		}
		if ev.Error != nil {
			return c.eventOutcome(ev.Error.Outcome)
		}
		c.addEvent(ev)
	}
	c.truncated = true
	return record.OutcomeUnknown
}

func (c *streamChecker) eventOutcome(outcome string) record.Outcome {
	if outcome == fleet.OutcomeNotRun.String() {
		return record.OutcomeNotRun
	}
	return record.OutcomeUnknown
}

func (c *streamChecker) addEvent(ev event) {
	now := time.Now()
	if len(c.tokens) == 0 {
		c.l.recordLatency(true, now.Sub(c.startedAt))
	} else {
		c.l.recordLatency(false, now.Sub(c.lastTokenAt))
	}
	c.lastTokenAt = now
	c.versions[ev.Version] = true
	for _, ch := range ev.Choices {
		c.tokens = append(c.tokens, ch.Delta.Content)
	}
}

// verify compares a complete response with the tokens that the reported version
// generates.
func (c *streamChecker) verify() record.Outcome {
	if len(c.versions) != 1 {
		c.l.rec.MixedVersionResponse()
		return record.OutcomeInvalid
	}
	if len(c.tokens) != c.l.settings.Tokens {
		return record.OutcomeInvalid
	}
	contentHashes := c.l.settings.ContentHashes()
	for v := range c.versions {
		for i, t := range c.tokens {
			if weights.Token(contentHashes[v], c.body, i) != t {
				c.l.rec.MixedVersionResponse()
				return record.OutcomeInvalid
			}
		}
	}
	return record.OutcomeComplete
}

// maxOrderAttempts is the maximum number of times that a caller tries one order.
const maxOrderAttempts = 4

// runOrder runs one order and retries it safely: it reuses the ticket while the outcome is
// unknown and requests a new ticket only after the system reported that the order was
// not run.
func (c *client) runOrder(ctx context.Context) {
	id := uuid.NewString()
	c.l.rec.OrderSent(id)
	body, _ := json.Marshal(service.Order{ID: id})
	ticket := ""
	outcome := record.OutcomeNotRun
	for attempt := 0; attempt < maxOrderAttempts && outcome != record.OutcomeComplete; attempt++ {
		if outcome == record.OutcomeNotRun {
			ticket = c.fetchTicket(ctx)
		}
		if ticket == "" {
			time.Sleep(c.thinkTime / 4)
			continue
		}
		outcome = c.sendOrder(ctx, id, ticket, body, outcome)
		c.l.rec.OrderOutcome(id, outcome)
	}
	if outcome == record.OutcomeNotRun {
		c.l.rec.OrderOutcome(id, record.OutcomeNotRun)
	}
}

func (c *client) fetchTicket(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	resp, err := c.post(ctx, c.entryAddress(ctx), "/v1/orders/ticket", "", "", []byte(`{"service":"orders"}`))
	if err != nil {
		c.dropEntry()
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	var t caller.TicketResponse
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&t) != nil {
		return ""
	}
	return t.Ticket
}

// sendOrder sends an order and returns its outcome. That of an attempt which did not reach an entry is the
// one before it: it says nothing about an earlier attempt with the same ticket.
func (c *client) sendOrder(ctx context.Context, id, ticket string, body []byte, before record.Outcome) record.Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.l.settings.Timeout+5*time.Second)
	defer cancel()
	addr := c.entryAddress(ctx)
	resp, err := c.post(ctx, addr, "/v1/orders/orders/orders", "", ticket, body)
	if err != nil {
		if c.handleSendError(addr, err) == record.OutcomeNotRun {
			return before
		}
		return record.OutcomeUnknown
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(caller.HeaderOutcome) != fleet.OutcomeDone.String() {
		return responseOutcome(resp)
	}
	var o service.Order
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&o) != nil || o.ID != id {
		return record.OutcomeInvalid
	}
	return record.OutcomeComplete
}

// SendOnce sends one streamed request as a new caller of a workspace and returns the
// outcome that the caller observed.
func (l *Load) SendOnce(ctx context.Context, workspace, id string, body []byte) record.Outcome {
	c := &client{l: l, workspace: workspace, random: rand.New(rand.NewPCG(l.settings.Seed, uint64(len(id))))}
	return c.Send(ctx, id, body)
}
