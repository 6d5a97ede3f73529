//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

const (
	deadlyPart = "dead01"
	firstPart  = "5c1e07a2"
	// crashedFor is how long a target that has crashed is away.
	crashedFor = 3 * time.Second
	events     = 12
	eventTime  = 40 * time.Millisecond
	readTime   = 60 * time.Millisecond // of a prompt
)

// stream answers with a stream, or crashes when it has begun to write the answer to a prompt with the part.
func (t *target) stream(c net.Conn, r *http.Request) bool {
	attempt := r.Header.Get(names["attempt"])
	head := func() error {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s\r\n%s: %d\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			names["attempt"], attempt, names["seal"], attempt, names["versions"], t.version(), names["runner"], t.id)
		return err
	}
	time.Sleep(readTime)
	if t.f.isDeadly.Load() && strings.Contains(r.Header.Get(names["parts"]), deadlyPart+":") {
		_ = head() // the head of the answer leaves the target before it crashes
		time.Sleep(20 * time.Millisecond)
		t.crash(crashedFor)
		return false
	}
	if head() != nil {
		return false
	}
	after := 0
	_, _ = fmt.Sscan(r.Header.Get(names["last_event"]), &after)
	for i := after + 1; i <= events; i++ {
		event := fmt.Sprintf("id: %d\ndata: word\n\n", i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(eventTime)
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err == nil
}

// config returns the values of a version of the configuration.
func (f *fleet) config(version int) map[string]any {
	return map[string]any{"Version": version, "StockService": "orders", "OrderService": "orders", "Engine": true, "Origin": f.origin}
}

// startPool starts a service of model targets with their agents, and three entries.
func (f *fleet) startPool(n int) (*caller, []*target, error) {
	if err := f.startStore(); err != nil {
		return nil, nil, err
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var targets []*target
	for i := range n {
		t := f.newTarget(101+i, fmt.Sprintf("i-%d", i), "pool", zones[i%3])
		t.slots, t.model = 16, true
		t.answer = (*target).stream
		if err := t.up(); err != nil {
			return nil, nil, err
		}
		go t.renewLoop()
		targets = append(targets, t)
	}
	if f.withOrigin {
		var err error
		if f.origin, err = f.startOrigin(); err != nil {
			return nil, nil, err
		}
		for _, t := range targets {
			for i := range pieces {
				t.staged[i] = piece(1, i)
			}
		}
	}
	f.putConfig(f.config(3))
	if err := f.addEntries(max(3, f.entriesWanted), "a", "b", "c"); err != nil {
		return nil, nil, err
	}
	if err := f.addAgents(targets); err != nil {
		return nil, nil, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, nil, err
	}
	time.Sleep(3 * time.Second)
	return f.newCaller(), targets, nil
}

var prompts atomic.Int64

// longPrompt returns the header of a request whose prompt has a part after a number of others, which all
// prompts share.
func longPrompt(before int, part string) map[string]string {
	list := firstPart + ":100"
	for i := 1; i < before; i++ {
		list += fmt.Sprintf(",%s%02x:10", firstPart, i)
	}
	return map[string]string{
		names["model"]: "m0", names["tokens"]: fmt.Sprintf("%d,60", 400+10*before), names["parts"]: fmt.Sprintf("%s,%s:300,%08x:100", list, part, prompts.Add(1)),
	}
}

// playTurned sends prompts with a part that is sound at first and crashes each target later.
func playTurned(f *fleet) (bool, error) {
	f.wasSound = os.Getenv("NEW") != "1" // a control: the part is not in use before
	return f.playPrompts(1)
}

// sessionParts is the number of parts before the one that crashes targets in a long session.
const sessionParts = 36

// playSession sends prompts of many parts, one of which crashes each target.
func playSession(f *fleet) (bool, error) {
	parts := sessionParts
	if os.Getenv("SHORT") == "1" { // a control
		parts = 6
	}
	return f.playPrompts(parts)
}

// playPrompts sends prompts with a part that crashes each target, among sound ones.
func (f *fleet) playPrompts(before int) (bool, error) {
	c, targets, err := f.startPool(9)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for e := range f.entries {
		go c.flow(ctx, e, 100*time.Millisecond, func(e int) {
			c.send(e, http.MethodPost, "chat.example", "/c/say", fmt.Sprintf("question %d", time.Now().UnixNano()), 6*time.Second, longPrompt(before, fmt.Sprintf("50%02d", time.Now().UnixNano()%20)))
		})
	}
	f.logf("traffic begins")
	withPart := func(ctx context.Context) {
		for e := range f.entries {
			go c.flow(ctx, e, 2*time.Second, func(e int) { // 5 in 100 of the traffic
				c.send(e, http.MethodPost, "chat.example", "/c/say", fmt.Sprintf("question %d", time.Now().UnixNano()), 6*time.Second, longPrompt(before, deadlyPart))
			})
		}
	}
	deadly, stop := context.WithTimeout(ctx, 26*time.Second)
	defer stop()
	if f.wasSound {
		withPart(deadly)
	}
	time.Sleep(4 * time.Second)
	if f.trouble {
		f.logf("prompts with the part crash targets from now on")
		f.isDeadly.Store(true)
		if !f.wasSound {
			withPart(deadly)
		}
	}
	<-deadly.Done()
	time.Sleep(3 * time.Second)
	cancel()
	time.Sleep(3 * time.Second)
	f.writeResults(c, targets)
	return f.checkPart(targets), nil
}

// checkPart reports whether more than three requests with the part reach targets later than a stable
// period after the fifth crash.
func (f *fleet) checkPart(targets []*target) bool {
	var crashes []time.Time
	for _, t := range targets {
		crashes = append(crashes, t.crashes...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	for _, at := range crashes {
		if len(crashes) > 5 && at.Sub(crashes[4]) > stablePeriod {
			late++
		}
	}
	f.logf("%d crashes, %d of them later than %v after the fifth; the rule allows 3", len(crashes), late, stablePeriod)
	fmt.Printf("%d crashes, %d later than %v after the fifth, 3 allowed\n", len(crashes), late, stablePeriod)
	return late > 3
}
