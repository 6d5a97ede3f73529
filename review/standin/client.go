//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// tally counts what clients got for the requests of one kind.
type tally struct {
	mu            sync.Mutex // guards all fields below
	from          time.Time  // requests that were sent before do not count
	asked, served int
}

// begin lets the requests count that are sent from now on.
func (t *tally) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.from, t.asked, t.served = time.Now(), 0, 0
}

func (t *tally) add(sentAt time.Time, outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sentAt.Before(t.from) {
		return
	}
	t.asked++
	if outcome == "served" {
		t.served++
	}
}

func (t *tally) get() (asked, served int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asked, t.served
}

// answer is what a client got for one attempt.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	err        error
	retryAfter time.Duration
}

// front asks the directory for the entries and returns one.
func (f *fleet) front(host string) string {
	client := &http.Client{Timeout: time.Second}
	for _, i := range rand.Perm(len(f.entries)) {
		resp, err := client.Get("http://" + f.entries[i].ip + ":8009" + names["resolve"] + "?Name=" + host + "&Region=ms-delta&Zone=ms-delta-a")
		if err != nil {
			continue
		}
		var list struct{ Addresses []string }
		err = json.NewDecoder(resp.Body).Decode(&list)
		_ = resp.Body.Close()
		if err == nil && len(list.Addresses) > 0 {
			return list.Addresses[rand.IntN(len(list.Addresses))]
		}
	}
	return ""
}

// send sends one attempt on a new connection.
func (f *fleet) send(host, path, id string, timeout time.Duration, body []byte, header map[string]string) answer {
	front := f.front(host)
	if front == "" {
		return answer{err: context.DeadlineExceeded}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/", bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.URL.Opaque = path
	req.Host = host
	req.Header.Set(names["attempt"], id)
	req.Header.Set(names["deadline"], strconv.FormatInt(timeout.Milliseconds(), 10))
	req.Header.Set(names["credential"], "jnbanfqasnmgkcuyj8pj")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return answer{resp.StatusCode, resp.Header, got, err, time.Duration(seconds * float64(time.Second))}
}

// request sends a request with one retry after a promise, as clients do, and returns the outcome.
func (f *fleet) request(kind, host, path string, timeout time.Duration, body []byte, header map[string]string) string {
	end := time.Now().Add(timeout)
	outcome := ""
	for try := range 2 {
		id := f.nextID()
		f.rec.add("client sends %s %s: %s%s, %d bytes", kind, id, host, path, len(body))
		a := f.send(host, path, id, time.Until(end), body, header)
		whole := a.err == nil && (kind != "draft" || strings.Count(string(a.body), "data: ") == streamEvents)
		f.rec.add("client gets for %s: status %d, %d bytes, whole %v, error %v", id, a.status, len(a.body), whole, a.err)
		switch {
		case a.status == http.StatusOK && whole && a.header.Get(names["seal"]) != "":
			return "served"
		case a.err == nil && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests):
			outcome = "refused"
		default:
			return "failed"
		}
		wait := min(a.retryAfter, time.Until(end)/3)
		if try > 0 || time.Until(end) < 200*time.Millisecond {
			break
		}
		time.Sleep(wait)
	}
	return outcome
}

// traffic sends requests at a rate until stop is closed, and waits for their answers.
func (f *fleet) traffic(perSecond float64, stop <-chan struct{}, one func()) {
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for {
		select {
		case <-stop:
			wg.Wait()
			return
		case <-tick.C:
			wg.Add(1)
			go func() {
				defer wg.Done()
				one()
			}()
		}
	}
}

func (f *fleet) draft(t *tally) {
	t.add(time.Now(), f.request("draft", "model.example", "/draft/2f", 6*time.Second, []byte("a prompt"), map[string]string{
		names["model"]: modelName, names["tokenCount"]: "790,100", names["parts"]: "5c1e07a2:40,e4402b7d:750",
	}))
}

func (f *fleet) order(t *tally) {
	t.add(time.Now(), f.request("order", "orders.example", "/place/2f", 3*time.Second, []byte("one bale"), nil))
}

// link limits the bytes that clients send to one entry.
type link struct {
	mu   sync.Mutex // guards next
	next time.Time
	rate float64 // bytes a second
}

// wait waits until n bytes may be sent.
func (l *link) wait(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.next.Before(now) {
		l.next = now
	}
	l.next = l.next.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	d := l.next.Sub(now)
	l.mu.Unlock()
	time.Sleep(d)
}

// pacedBody is a body that is sent at the rate of a client's link and within that of the entry's.
type pacedBody struct {
	left int
	part int // bytes of one read
	own  time.Duration
	link *link
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.part, b.left)
	time.Sleep(b.own)
	b.link.wait(n)
	for i := range p[:n] {
		p[i] = 'x'
	}
	b.left -= n
	return n, nil
}
