//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

func newReader(r io.Reader) *bufio.Reader { return bufio.NewReader(r) }

// statedLimit is what the target in need takes from all entries together, in requests a second.
const statedLimit = 20.0

// playLimit moves the route of a service away and back, while one of its targets states a limit.
func playLimit(f *fleet) (bool, error) {
	const entries = 8
	if err := f.startStore(); err != nil {
		return false, err
	}
	var targets []*target
	for i, service := range []string{"orders", "orders", "orders", "orders-two", "orders-two"} {
		t := f.newTarget(101+i, fmt.Sprintf("i-%d", i), service, []string{"zone-a", "zone-b", "zone-c"}[i%3])
		t.work = 15 * time.Millisecond
		targets = append(targets, t)
	}
	limited := targets[0]
	limited.limit = fmt.Sprint(statedLimit)
	for _, t := range targets {
		if err := t.up(); err != nil {
			return false, err
		}
		go t.renewLoop()
	}
	f.putConfig(map[string]any{"Version": 3, "StockService": "orders", "OrderService": "orders-two", "Engine": true})
	if err := f.addEntries(entries, "a", "b", "c"); err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	c := f.newCaller()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for e := range entries {
		go c.flow(ctx, e, 20*time.Millisecond, func(e int) {
			c.send(e, http.MethodGet, "stock.example", "/s/count", "", 1500*time.Millisecond, nil)
		})
	}
	f.logf("traffic begins; target %s states a limit of %g", limited.id, statedLimit)
	time.Sleep(12 * time.Second)
	if f.trouble {
		f.putConfig(map[string]any{"Version": 5, "StockService": "orders-two", "OrderService": "orders-two", "Engine": true})
	}
	time.Sleep(14 * time.Second)
	if f.trouble {
		f.putConfig(map[string]any{"Version": 8, "StockService": "orders", "OrderService": "orders-two", "Engine": true})
	}
	time.Sleep(12 * time.Second)
	cancel()
	time.Sleep(2 * time.Second)
	f.writeResults(c, targets)
	return f.checkLimit(c, limited), nil
}

// checkLimit reports whether some four seconds had more requests than one and a half times what the
// limit allows, and five more. Only entries count that have passed on a statement of the limit.
func (f *fleet) checkLimit(c *caller, t *target) bool {
	const window = 4 * time.Second
	const most = 1.5*statedLimit*4 + 5
	passedOn := map[string]time.Time{}
	var first time.Time
	served := 0
	for _, r := range c.results {
		if r.status == http.StatusOK {
			served++
		}
		if r.header.Get(names["limit"]) == "" {
			continue
		}
		name := fmt.Sprintf("e%d", r.entry)
		if at, ok := passedOn[name]; !ok || r.endedAt.Before(at) {
			passedOn[name] = r.endedAt
		}
		if first.IsZero() || r.endedAt.Before(first) {
			first = r.endedAt
		}
	}
	f.logf("%d of %d requests were served; the limit was first passed on at %.3f, by %d entries in all", served, len(c.results), first.Sub(f.base).Seconds(), len(passedOn))
	var counted []arrival
	for _, a := range t.arrivals {
		entry, _, _ := strings.Cut(a.attempt, "-")
		at, ok := passedOn[entry]
		if ok && a.at.Sub(at) >= 500*time.Millisecond && a.at.Sub(first) >= stablePeriod {
			counted = append(counted, a)
		}
	}
	slices.SortFunc(counted, func(a, b arrival) int { return a.at.Compare(b.at) })
	worst, worstAt := 0, time.Time{}
	for i := range counted {
		n := 0
		for _, b := range counted[i:] {
			if b.at.Sub(counted[i].at) < window {
				n++
			}
		}
		if n > worst {
			worst, worstAt = n, counted[i].at
		}
	}
	f.logf("target %s: at most %d counted requests in 4 s, from %.3f on; the rule allows %.1f", t.id, worst, worstAt.Sub(f.base).Seconds(), float64(most))
	fmt.Printf("at most %d requests in 4 s, %.1f allowed\n", worst, float64(most))
	return float64(worst) > most
}
