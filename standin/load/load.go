// Package load plays the callers: it asks which entry to use, keeps the answer for
// a while, sends requests and orders, and checks every answer token by token.
//
// # Usage
//
//	l := load.New(load.Settings{Seeds: addrs, Contents: origin.Contents}, rec)
//	l.Start(ctx)
//	l.Wait()
//	idle := l.Phase("idle").FirstToken.ValueAtQuantile(95)
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

// Settings describe the load.
type Settings struct {
	Seeds      []string // caller addresses of entries, to ask first
	Contents   func() map[fleet.Version]string
	Model      string
	Workspaces []string
	// Workers is how many callers each workspace has; they send one request
	// after the other with Think between.
	Workers      int
	Think        time.Duration
	OrderWorkers int
	OrderThink   time.Duration
	Tokens       int
	Timeout      time.Duration
	Seed         uint64
}

// Phase is what was measured in one part of a run, in microseconds.
type Phase struct {
	FirstToken *hdrhistogram.Histogram
	TokenGap   *hdrhistogram.Histogram
}

// maxMicros is the longest time that the histograms hold.
const maxMicros = int64(10 * time.Minute / time.Microsecond)

func newPhase() *Phase {
	return &Phase{FirstToken: hdrhistogram.New(1, maxMicros, 3), TokenGap: hdrhistogram.New(1, maxMicros, 3)}
}

// P95 returns the 95th percentile of a histogram.
func P95(h *hdrhistogram.Histogram) time.Duration {
	return time.Duration(h.ValueAtQuantile(95)) * time.Microsecond
}

// Load is the running callers.
type Load struct {
	set    Settings
	rec    *record.Record
	http   *http.Client
	wg     sync.WaitGroup
	mu     sync.Mutex // guards phases and current
	phases map[string]*Phase
	now    string
	serial atomic.Int64
}

// New returns a load that is not started.
func New(set Settings, rec *record.Record) *Load {
	tr := &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 64}
	return &Load{set: set, rec: rec, http: &http.Client{Transport: tr}, phases: map[string]*Phase{}}
}

// Enter names the present part of the run.
func (l *Load) Enter(phase string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = phase
	if l.phases[phase] == nil {
		l.phases[phase] = newPhase()
	}
}

// Phase returns what was measured in a part of the run.
func (l *Load) Phase(name string) *Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phases[name] == nil {
		l.phases[name] = newPhase()
	}
	return l.phases[name]
}

func (l *Load) measure(first bool, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.phases[l.now]
	if p == nil {
		return
	}
	h := p.TokenGap
	if first {
		h = p.FirstToken
	}
	_ = h.RecordValue(max(1, d.Microseconds()))
}

// Start begins all callers; they end with ctx.
func (l *Load) Start(ctx context.Context) {
	for i, w := range l.set.Workspaces {
		for k := range l.set.Workers {
			l.begin(ctx, w, i*1000+k, l.set.Think, (*client).request)
		}
	}
	for k := range l.set.OrderWorkers {
		w := l.set.Workspaces[k%len(l.set.Workspaces)]
		l.begin(ctx, w, 1_000_000+k, l.set.OrderThink, (*client).order)
	}
}

func (l *Load) begin(ctx context.Context, workspace string, n int, think time.Duration, do func(*client, context.Context)) {
	c := &client{l: l, workspace: workspace, think: think, do: do, random: rand.New(rand.NewPCG(l.set.Seed, uint64(n)))}
	l.wg.Add(1)
	go c.run(ctx)
}

// Wait waits for the callers to end.
func (l *Load) Wait() {
	l.wg.Wait()
	l.http.CloseIdleConnections()
}

// client is one caller.
type client struct {
	l         *Load
	workspace string
	think     time.Duration
	do        func(*client, context.Context)
	random    *rand.Rand
	entries   []string
	keepUntil time.Time
}

// run sends one request after the other. A request that has begun is finished
// after ctx ended, so that its outcome counts.
func (c *client) run(ctx context.Context) {
	defer c.l.wg.Done()
	for ctx.Err() == nil {
		c.do(c, context.WithoutCancel(ctx))
		t := time.NewTimer(time.Duration(float64(c.think) * (0.5 + c.random.Float64())))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// entry returns the address to use, asking the system when the kept answer is old.
func (c *client) entry(ctx context.Context) string {
	if time.Now().After(c.keepUntil) || len(c.entries) == 0 {
		c.ask(ctx)
	}
	if len(c.entries) == 0 {
		return c.l.set.Seeds[c.random.IntN(len(c.l.set.Seeds))]
	}
	return c.entries[0]
}

func (c *client) ask(ctx context.Context) {
	for _, i := range c.random.Perm(len(c.l.set.Seeds)) {
		list, err := c.entryList(ctx, c.l.set.Seeds[i])
		if err != nil {
			continue
		}
		c.entries = nil
		for _, e := range list.Entries {
			c.entries = append(c.entries, e.Address)
		}
		c.keepUntil = time.Now().Add(time.Duration(list.KeepMS) * time.Millisecond)
		return
	}
}

func (c *client) entryList(ctx context.Context, addr string) (caller.EntryList, error) {
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

// drop gives up an entry that did not answer.
func (c *client) drop() {
	if len(c.entries) > 0 {
		c.entries = c.entries[1:]
	}
}

// Body returns a chat completion request.
func Body(model, prompt string, tokens int, stream bool) []byte {
	b, err := json.Marshal(map[string]any{
		"model": model, "stream": stream, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		panic(err)
	}
	return b
}

func (c *client) request(ctx context.Context) {
	prompt := fmt.Sprintf("Which part number fits die %d? (%s, %d)", c.random.IntN(24), c.workspace, c.l.serial.Add(1))
	c.l.rec.Sent()
	id := uuid.NewString()
	t := c.Send(ctx, id, Body(c.l.set.Model, prompt, c.l.set.Tokens, true))
	c.l.rec.Told(id, t)
}

// Send sends one streamed request and says what the caller was told.
func (c *client) Send(ctx context.Context, id string, body []byte) record.Told {
	ctx, cancel := context.WithTimeout(ctx, c.l.set.Timeout+5*time.Second)
	defer cancel()
	addr := c.entry(ctx)
	began := time.Now()
	resp, err := c.post(ctx, addr, "/v1/chat/completions", id, "", body)
	if err != nil {
		return c.noAnswer(addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return toldBy(resp)
	}
	a := &answer{l: c.l, body: body, began: began}
	told := a.read(resp.Body)
	if told == record.ToldUnknown && a.cut && c.l.rec.IsStopping(addr) {
		c.l.rec.Cut()
	}
	return told
}

// noAnswer gives an entry up. A connection that was never made carried nothing; one
// that a planned stop broke is a request cut by it.
func (c *client) noAnswer(addr string, err error) record.Told {
	c.drop()
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return record.ToldNotRun
	}
	if c.l.rec.IsStopping(addr) {
		c.l.rec.Cut()
	}
	return record.ToldUnknown
}

func toldBy(resp *http.Response) record.Told {
	if resp.Header.Get(caller.HeaderOutcome) == fleet.OutcomeNotRun.String() {
		return record.ToldNotRun
	}
	return record.ToldUnknown
}

func (c *client) post(ctx context.Context, addr, path, id, ticket string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(caller.HeaderWorkspace, c.workspace)
	req.Header.Set(caller.HeaderRequestID, id)
	req.Header.Set(caller.HeaderTimeout, fmt.Sprint(c.l.set.Timeout.Milliseconds()))
	if ticket != "" {
		req.Header.Set(caller.HeaderTicket, ticket)
	}
	return c.l.http.Do(req)
}

// answer checks one stream.
type answer struct {
	l        *Load
	body     []byte
	began    time.Time
	last     time.Time
	tokens   []string
	versions map[fleet.Version]bool
	cut      bool
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

func (a *answer) read(r io.Reader) record.Told {
	a.versions = map[fleet.Version]bool{}
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return a.judge()
		}
		var ev event
		if json.Unmarshal(data, &ev) != nil {
			return record.ToldBroken
		}
		if ev.Error != nil {
			return a.told(ev.Error.Outcome)
		}
		a.take(ev)
	}
	a.cut = true
	return record.ToldUnknown
}

func (a *answer) told(outcome string) record.Told {
	if outcome == fleet.OutcomeNotRun.String() {
		return record.ToldNotRun
	}
	return record.ToldUnknown
}

func (a *answer) take(ev event) {
	now := time.Now()
	if len(a.tokens) == 0 {
		a.l.measure(true, now.Sub(a.began))
	} else {
		a.l.measure(false, now.Sub(a.last))
	}
	a.last = now
	a.versions[ev.Version] = true
	for _, ch := range ev.Choices {
		a.tokens = append(a.tokens, ch.Delta.Content)
	}
}

// judge compares a whole answer with what the named version gives.
func (a *answer) judge() record.Told {
	if len(a.versions) != 1 {
		a.l.rec.Mixed()
		return record.ToldBroken
	}
	if len(a.tokens) != a.l.set.Tokens {
		return record.ToldBroken
	}
	contents := a.l.set.Contents()
	for v := range a.versions {
		for i, t := range a.tokens {
			if weights.Token(contents[v], a.body, i) != t {
				a.l.rec.Mixed()
				return record.ToldBroken
			}
		}
	}
	return record.ToldWhole
}

// orderTries is how often a caller sends one order before it gives up.
const orderTries = 4

// order runs one order as a careful caller does: the same ticket while the outcome
// is unknown, a new one only after the system said that it was not run.
func (c *client) order(ctx context.Context) {
	id := uuid.NewString()
	c.l.rec.OrderSent(id)
	body, _ := json.Marshal(service.Order{ID: id})
	ticket := ""
	told := record.ToldNotRun
	for try := 0; try < orderTries && told != record.ToldWhole; try++ {
		if told == record.ToldNotRun {
			ticket = c.ticket(ctx)
		}
		if ticket == "" {
			time.Sleep(c.think / 4)
			continue
		}
		told = c.sendOrder(ctx, id, ticket, body)
		c.l.rec.OrderTold(id, told)
	}
	if told == record.ToldNotRun {
		c.l.rec.OrderTold(id, record.ToldNotRun)
	}
}

func (c *client) ticket(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	resp, err := c.post(ctx, c.entry(ctx), "/v1/orders/ticket", "", "", []byte(`{"service":"orders"}`))
	if err != nil {
		c.drop()
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	var t caller.TicketResponse
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&t) != nil {
		return ""
	}
	return t.Ticket
}

func (c *client) sendOrder(ctx context.Context, id, ticket string, body []byte) record.Told {
	ctx, cancel := context.WithTimeout(ctx, c.l.set.Timeout+5*time.Second)
	defer cancel()
	addr := c.entry(ctx)
	resp, err := c.post(ctx, addr, "/v1/orders/orders/orders", "", ticket, body)
	if err != nil {
		return c.noAnswer(addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(caller.HeaderOutcome) != fleet.OutcomeDone.String() {
		return toldBy(resp)
	}
	var o service.Order
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&o) != nil || o.ID != id {
		return record.ToldBroken
	}
	return record.ToldWhole
}

// SendOnce sends one streamed request as a new caller of a workspace.
func (l *Load) SendOnce(ctx context.Context, workspace, id string, body []byte) record.Told {
	c := &client{l: l, workspace: workspace, random: rand.New(rand.NewPCG(l.set.Seed, uint64(len(id))))}
	return c.Send(ctx, id, body)
}
