//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memory }

// memoryLimit ends an entry that exceeds its memory and starts it again after a short delay, as the platform
// does. It counts only the anonymous resident memory of the process, and not what the kernel has received for
// it.
type memoryLimit struct {
	p     *process
	limit int64
	ends  atomic.Int64
	peak  atomic.Int64
}

const (
	memoryCheckTime = 20 * time.Millisecond
	restartDelay    = 500 * time.Millisecond
)

func (m *memoryLimit) run(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryCheckTime):
		}
		now, _ := m.p.memory()
		m.peak.Store(max(m.peak.Load(), now))
		if now <= m.limit {
			continue
		}
		m.ends.Add(1)
		m.p.f.rec.line("%s exceeds its memory: %d MiB of %d. The platform kills it", m.p.node, now>>20, m.limit>>20)
		m.p.signal(syscall.SIGKILL)
		<-m.p.ended()
		time.Sleep(restartDelay)
		m.p.start()
	}
}

// memory changes the configuration in quick succession, again and again, beside the traffic of orders. No
// entry may end by itself and close connections on which it has passed requests on.
func memory(f *fleet, trouble bool) bool {
	const (
		clients   = 12 // of each entry, on connections that they keep
		memoryMB  = 284
		work      = 150 * time.Millisecond
		pauseTime = time.Second
		playTime  = 80 * time.Second
		maxLost   = 3
	)
	entries := []*process{f.addEntry(1, memoryMB), f.addEntry(2, memoryMB)}
	routes := append([]map[string]any{route("a.example", "non_idempotent", "orders", 800, 1)}, bigConfig()...)
	version := 1
	next := func() []byte {
		version += 2
		routes[0]["TimeoutMs"] = 800 + version%100
		return []byte(asJSON(config(version, routes, "orders")))
	}
	first := next()
	f.rec.line("the configuration has %d routes and %d bytes", len(routes), len(first))
	f.store.putBytes(name("key_config"), first)
	var servers []*server
	for i := range 3 {
		servers = append(servers, f.addServer(f.address(200+i), fmt.Sprintf("i-%d", i), "orders", 6, answer(work)))
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var limits []*memoryLimit
	for _, e := range entries {
		e.start()
		e.awaitReady(10 * time.Second)
		m := &memoryLimit{p: e, limit: memoryMB << 20}
		limits = append(limits, m)
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.run(stop)
		}()
	}
	time.Sleep(stableTime)
	hasRun := func(id string) bool {
		for _, s := range servers {
			s.mu.Lock()
			n := s.runs[id]
			s.mu.Unlock()
			if n > 0 {
				return true
			}
		}
		return false
	}
	var answered, refused, unanswered, lost atomic.Int64
	for i := range clients * len(entries) {
		wg.Add(1)
		k := &keptClient{addr: entries[i%len(entries)].front}
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				c := newCall("POST", "a.example", "/non_idempotent/order", "", 1500*time.Millisecond)
				kept := k.send(c)
				switch {
				case c.status == 200:
					answered.Add(1)
				case c.status != 0:
					refused.Add(1)
				case !kept || isTimeout(c.err):
					unanswered.Add(1)
				default:
					unanswered.Add(1)
					time.Sleep(2 * work) // the server's record
					if hasRun(c.id) {
						lost.Add(1)
						f.rec.line("lost: %v, on a kept connection to %s that was closed; a sound server has run it", c, k.addr)
					}
				}
			}
		}()
	}
	since, storms, changes := time.Now(), 0, 0
	for time.Since(since) < playTime && lost.Load() <= 4*maxLost {
		if trouble {
			begun := time.Now()
			for i := range int(stormTime / stormGap) {
				f.store.putBytes(name("key_config"), next())
				changes++
				time.Sleep(time.Until(begun.Add(time.Duration(i+1) * stormGap)))
			}
			storms++
		}
		time.Sleep(pauseTime)
		var used []string
		for _, e := range entries {
			now, _ := e.memory()
			used = append(used, fmt.Sprintf("%s %d MiB", e.node, now>>20))
		}
		f.rec.line("after %d storms: %s; orders answered %d, refused %d, unanswered %d", storms, strings.Join(used, ", "), answered.Load(), refused.Load(), unanswered.Load())
	}
	close(stop)
	wg.Wait()
	for _, m := range limits {
		fmt.Printf("%s: memory up to %d MiB of %d, ended by itself %d times\n", m.p.node, m.peak.Load()>>20, memoryMB, m.ends.Load())
		f.rec.line("%s: memory up to %d MiB of %d, ended by itself %d times", m.p.node, m.peak.Load()>>20, memoryMB, m.ends.Load())
	}
	fmt.Printf("%d storms, %d changes in %.0f s; orders answered %d, refused %d, unanswered %d, lost on kept connections %d\n", storms, changes, time.Since(since).Seconds(), answered.Load(), refused.Load(), unanswered.Load(), lost.Load())
	return lost.Load() > maxLost
}
