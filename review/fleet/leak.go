//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxFds is MaxFds of settings.tmpl. The process gets it as its limit, as on the platform.
	maxFds = 4200
	// leakRunners is the number of targets of the service, leakAtOnce how many are replaced each second.
	leakRunners, leakAtOnce = 6, 2
	ordersPerSecond         = 80 // at each entry and service
	drainTime               = 2 * time.Second
	lingerTime              = 1500 * time.Millisecond
)

// leave drains the target and ends it in order.
func (t *target) leave() {
	t.mu.Lock()
	t.state = "draining"
	t.mu.Unlock()
	t.renew()
	time.Sleep(drainTime + lingerTime)
	t.mu.Lock()
	t.down = true
	_ = t.listener.Close()
	for c := range t.conns {
		_ = c.Close()
	}
	t.mu.Unlock()
	t.f.store.put(names["targets"]+t.id, nil)
}

// openFiles returns the number of descriptors of a process.
func openFiles(p *process) int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	return len(list)
}

// probes counts the tries of clients that open a new connection to an entry.
type probes struct {
	mu    sync.Mutex // guards all fields below
	taken []time.Time
	tries []time.Time
}

func (p *probes) run(ctx context.Context, c *caller, entry int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	for ctx.Err() == nil {
		startedAt := time.Now()
		tctx, cancel := context.WithTimeout(ctx, time.Second)
		req, err := http.NewRequestWithContext(tctx, http.MethodGet, "http://"+c.f.entries[entry].ip+":8005/s/count", nil)
		if err != nil {
			panic(err)
		}
		req.Host = "stock.example"
		req.Header.Set(names["attempt"], fmt.Sprintf("p%d-%d", entry, startedAt.UnixNano()))
		req.Header.Set(names["deadline"], "1500")
		req.Header.Set(names["key"], "key-one")
		resp, err := client.Do(req)
		p.mu.Lock()
		p.tries = append(p.tries, startedAt)
		if err == nil {
			p.taken = append(p.taken, time.Now())
			_ = resp.Body.Close()
		}
		p.mu.Unlock()
		cancel()
		time.Sleep(200 * time.Millisecond)
	}
}

// playLeak replaces the targets of a service one after the other, more than once.
func playLeak(f *fleet) (bool, error) {
	f.maxFds = maxFds
	if err := f.startStore(); err != nil {
		return false, err
	}
	port := 8100
	newTarget := func(i int, service string) (*target, error) {
		port++
		t := f.newTarget(101+i, fmt.Sprintf("i-%d", port), service, "zone-a")
		t.addr = f.ip(101+i) + ":" + fmt.Sprint(port)
		if err := t.up(); err != nil {
			return nil, err
		}
		go t.renewLoop()
		return t, nil
	}
	services := []string{"orders", "returns"}
	running := map[string][]*target{}
	var all []*target
	for _, service := range services {
		for i := range leakRunners {
			t, err := newTarget(i, service)
			if err != nil {
				return false, err
			}
			running[service] = append(running[service], t)
			all = append(all, t)
		}
	}
	for i := range 2 {
		if _, err := newTarget(leakRunners+i, "orders-two"); err != nil {
			return false, err
		}
	}
	f.putConfig(map[string]any{"Version": 3, "StockService": "orders-two", "OrderService": "orders", "ReturnService": "returns", "Engine": true})
	if err := f.addEntries(3, "a"); err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	c := f.newCaller()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var watch [3]*probes
	var unready [3]atomic.Int64
	for e := range f.entries {
		for range 8 { // callers with kept connections
			go c.flow(ctx, e, 8*time.Second/ordersPerSecond, func(e int) {
				c.send(e, http.MethodPost, "order.example", "/o/place", strings.Repeat("x", 600), 1500*time.Millisecond, nil)
				c.send(e, http.MethodPost, "return.example", "/r/place", strings.Repeat("x", 600), 1500*time.Millisecond, nil)
			})
		}
		watch[e] = &probes{}
		for range 8 {
			go watch[e].run(ctx, c, e)
		}
		go func() {
			client := &http.Client{Timeout: time.Second}
			for ctx.Err() == nil {
				resp, err := client.Get("http://" + f.entries[e].ip + ":8002" + names["ready"])
				if err != nil || resp.StatusCode != http.StatusOK {
					unready[e].Store(time.Now().UnixNano())
				}
				if err == nil {
					_ = resp.Body.Close()
				}
				time.Sleep(time.Second)
			}
		}()
	}
	f.logf("traffic begins")
	startedAt := time.Now()
	for i := 0; time.Since(startedAt) < 75*time.Second; i++ {
		time.Sleep(time.Second)
		if i%5 == 0 {
			f.logf("open descriptors: %d %d %d", openFiles(f.entries[0]), openFiles(f.entries[1]), openFiles(f.entries[2]))
		}
		if !f.trouble || time.Since(startedAt) > 66*time.Second {
			continue
		}
		for _, service := range services {
			for k := range leakAtOnce {
				j := (i*leakAtOnce + k) % leakRunners
				t, err := newTarget(j, service) // the new one starts first
				if err != nil {
					return false, err
				}
				go running[service][j].leave()
				running[service][j] = t
				all = append(all, t)
			}
		}
	}
	cancel()
	time.Sleep(2 * time.Second)
	f.writeResults(c, all)
	f.logOutcomes(c, startedAt)
	broken := false
	for e := range f.entries {
		from, to := watch[e].longestWithout()
		since := time.Unix(0, unready[e].Load())
		f.logf("entry-%d: longest time without a new connection taken: %.1f s, from %.3f on; last not ready %.3f", e, to.Sub(from).Seconds(), from.Sub(f.base).Seconds(), since.Sub(f.base).Seconds())
		fmt.Printf("entry-%d took no new connection for %.1f s, %d descriptors\n", e, to.Sub(from).Seconds(), openFiles(f.entries[e]))
		if to.Sub(from) > stablePeriod && !(since.After(from) && since.Before(to)) {
			broken = true
		}
	}
	return broken, nil
}

// longestWithout returns the longest time in which clients tried and no new connection was answered.
func (p *probes) longestWithout() (from, to time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tries) == 0 {
		return from, to
	}
	last := p.tries[0]
	end := p.tries[len(p.tries)-1].Add(time.Second)
	for _, at := range append(append([]time.Time{}, p.taken...), end) {
		if at.Sub(last) > to.Sub(from) {
			from, to = last, at
		}
		last = at
	}
	return from, to
}

// logOutcomes writes how requests ended, by time.
func (f *fleet) logOutcomes(c *caller, startedAt time.Time) {
	const span = 5 * time.Second
	counts := map[int]map[string]int{}
	for _, r := range c.results {
		i := int(r.sentAt.Sub(startedAt) / span)
		if counts[i] == nil {
			counts[i] = map[string]int{}
		}
		key := fmt.Sprint(r.status)
		if r.err != nil {
			key = "no answer"
		}
		counts[i][key]++
	}
	for i := range 40 {
		if counts[i] != nil {
			f.logf("requests sent %3.0f s after the start: %v", (time.Duration(i) * span).Seconds(), counts[i])
		}
	}
}
