//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

func init() { cases["descriptors"] = descriptors }

// limitDescriptors limits the descriptors of a program that was started, as the platform does.
func (p *process) limitDescriptors(n uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil); err != nil {
		fail(err)
	}
}

func (p *process) descriptors() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, err := os.ReadDir("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/fd")
	if err != nil {
		return 0
	}
	return len(list)
}

// releaser replaces servers one after the other: the new one starts first, the old one drains.
type releaser struct {
	f       *fleet
	mu      sync.Mutex
	live    []*server
	started int
}

func (r *releaser) startServer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	r.live = append(r.live, r.f.addServer(r.f.address(100+r.started%100), fmt.Sprintf("i-%04d", r.started), "orders", 6, answer(30*time.Millisecond)))
}

func (r *releaser) replaceOne() {
	r.startServer()
	r.mu.Lock()
	old := r.live[0]
	r.live = r.live[1:]
	r.mu.Unlock()
	go old.leave()
}

// leave drains the server: DrainMs after the store has accepted its report, and a little longer, it exits.
func (s *server) leave() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.beat()
	time.Sleep(2500 * time.Millisecond)
	s.mu.Lock()
	s.stopped, s.state = true, ""
	s.mu.Unlock()
	s.f.store.remove(name("prefix_servers") + s.id)
	_ = s.srv.Close()
}

// descriptors replaces servers all the while, under the traffic of orders. At the end, an entry that says
// that it is ready must take new connections.
func descriptors(f *fleet, trouble bool) bool {
	const (
		maxDescriptors = 4200 // MaxFds
		clients        = 24   // of each entry, on connections that they keep
		interval       = 400 * time.Millisecond
		servers        = 14
		atOnce         = 3
		gap            = time.Second
		releaseTime    = 78 * time.Second
		tryTime        = 12 * time.Second
		triers         = 8
	)
	entries := []*process{f.addEntry(1, 284), f.addEntry(2, 284)}
	f.store.put(name("key_config"), config(1, []map[string]any{route("a.example", "non_idempotent", "orders", 800, 1)}, "orders"))
	r := &releaser{f: f}
	for range servers {
		r.startServer()
	}
	for _, e := range entries {
		e.start()
		e.limitDescriptors(maxDescriptors)
		e.awaitReady(10 * time.Second)
	}
	time.Sleep(time.Second)

	var answered, refused, lost atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range clients * len(entries) {
		wg.Add(1)
		k := &keptClient{addr: entries[i%len(entries)].front}
		go func() {
			defer wg.Done()
			time.Sleep(interval * time.Duration(i) / time.Duration(clients*len(entries)))
			t := time.NewTicker(interval)
			defer t.Stop()
			for {
				select {
				case <-stop:
					return
				case <-t.C:
				}
				c := newCall("POST", "a.example", "/non_idempotent/order", "", 1500*time.Millisecond)
				k.send(c)
				switch c.status {
				case 200:
					answered.Add(1)
				case 0:
					lost.Add(1)
				default:
					refused.Add(1)
				}
			}
		}()
	}
	// The platform's own check, once a second, on a connection that it keeps.
	var readyAt, checks sync.Map
	for _, e := range entries {
		check := &http.Client{Timeout: time.Second}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				resp, err := check.Get("http://" + e.ready + name("path_ready"))
				if err == nil {
					_ = resp.Body.Close()
				}
				isReady := err == nil && resp.StatusCode == http.StatusOK
				checks.Store(e.node, isReady)
				if isReady {
					readyAt.Store(e.node, time.Now())
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		}()
	}
	since, replaced := time.Now(), 0
	for n := 0; time.Since(since) < releaseTime; n++ {
		if trouble {
			for range atOnce {
				r.replaceOne()
				replaced++
			}
		}
		if n%5 == 0 {
			for _, e := range entries {
				ready, _ := checks.Load(e.node)
				f.rec.line("%s: %d descriptors, ready %v; servers replaced %d; orders answered %d, refused %d, lost %d", e.node, e.descriptors(), ready, replaced, answered.Load(), refused.Load(), lost.Load())
			}
		}
		time.Sleep(gap)
	}
	f.rec.line("from now on no server is replaced")
	time.Sleep(stableTime)

	// New clients try each entry. One is served if any byte comes back on its connection.
	type try struct {
		at     time.Time
		served bool
	}
	tries := make([][]try, len(entries))
	var mu sync.Mutex
	var trying sync.WaitGroup
	for i, e := range entries {
		for n := range triers {
			trying.Add(1)
			go func() {
				defer trying.Done()
				for end := time.Now().Add(tryTime); time.Now().Before(end); {
					at := time.Now()
					served := trySend(e.front)
					f.rec.line("client %d tries %s on a new connection: taken %v", n, e.node, served)
					mu.Lock()
					tries[i] = append(tries[i], try{at, served})
					mu.Unlock()
					time.Sleep(time.Until(at.Add(time.Second)))
				}
			}()
		}
	}
	trying.Wait()
	close(stop)
	wg.Wait()
	broken := false
	for i, e := range entries {
		first, lastServed, all, served := time.Time{}, time.Time{}, 0, 0
		for _, t := range tries[i] {
			all++
			if t.served {
				served++
				if t.at.After(lastServed) {
					lastServed = t.at
				}
			}
			if first.IsZero() || t.at.Before(first) {
				first = t.at
			}
		}
		if lastServed.IsZero() {
			lastServed = first
		}
		untaken := time.Since(lastServed) - 1500*time.Millisecond // the last tries may not have had the time
		ready, ok := readyAt.Load(e.node)
		isReady := ok && time.Since(ready.(time.Time)) < 2*time.Second
		fmt.Printf("%s: %d descriptors of %d, ready %v, %d of %d new connections taken, none in the last %.1f s\n", e.node, e.descriptors(), maxDescriptors, isReady, served, all, untaken.Seconds())
		f.rec.line("%s: %d descriptors of %d, ready %v, %d of %d new connections taken, none in the last %.1f s", e.node, e.descriptors(), maxDescriptors, isReady, served, all, untaken.Seconds())
		if isReady && untaken > stableTime {
			broken = true
			f.rec.line("broken: %s says that it is ready and takes no new connection", e.node)
		}
	}
	fmt.Printf("servers replaced %d; orders answered %d, refused %d, lost %d\n", replaced, answered.Load(), refused.Load(), lost.Load())
	return broken
}

// trySend sends a request on a new connection and reports whether anything comes back in time.
func trySend(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	c := newCall("POST", "a.example", "/non_idempotent/order", "", 1500*time.Millisecond)
	rd := bufio.NewReader(conn)
	c.on(conn, rd)
	return c.status != 0
}
