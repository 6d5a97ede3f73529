//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["part"] = deadlyPart }

const deadly = "bad00bad"

// deadlyPart sends streams of which some hold a part that crashes each server that begins to write an answer
// on it. Some time after the fifth crash, no more of them may reach a server.
func deadlyPart(f *fleet, trouble bool) bool {
	const (
		engines  = 8
		slots    = 16
		perS     = 30
		share    = 0.05
		forS     = 22
		maxLater = 3
	)
	withHeader := os.Getenv("HEADER") != "" // to compare: the header leaves before the first event
	entries := []*process{f.addEntry(1, 284), f.addEntry(2, 284)}
	originAddress, _ := listen(f.address(240), &origin{newest: 1})
	r := route("a.example", "streaming", "pool", 6000, 2)
	r[name("objective")], r[name("gap_objective")], r["Priority"], r["Sticky"], r["Resumable"] = 500, 400, 1, true, true
	c := config(1, []map[string]any{r})
	c["Services"] = modelService("pool", originAddress, slots)
	f.store.put(name("key_config"), c)
	f.store.put(name("prefix_version")+modelName, map[string]any{"Model": modelName, "Version": 1})
	var mu sync.Mutex
	var crashes, reached []time.Time
	var all []*engine
	for i := range engines {
		e := f.addEngine(f.address(100+i), "pool", slots)
		e.headerFirst = withHeader
		e.onBegin = func(e *engine, r *http.Request) bool {
			if !strings.Contains(r.Header.Get(name("prompt_prefix")), deadly) {
				return false
			}
			mu.Lock()
			reached = append(reached, time.Now())
			crashes = append(crashes, time.Now())
			mu.Unlock()
			go e.crash(3300 * time.Millisecond)
			return true
		}
		all = append(all, e)
		f.addAgent(100+i, e.address, "pool")
	}
	for _, p := range f.procs {
		p.start()
	}
	for _, e := range entries {
		e.awaitReady(10 * time.Second)
	}
	time.Sleep(stableTime)
	var wg sync.WaitGroup
	counts := map[string]int{}
	since := time.Now()
	for n := 0; time.Since(since) < forS*time.Second; n++ {
		time.Sleep(time.Until(since.Add(time.Duration(n) * time.Second / perS)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := newCall("POST", "a.example", "/streaming/match", "", 6*time.Second)
			c.body = []byte(fmt.Sprintf(`{"prompt":"%d"}`, n))
			isDeadly := trouble && n%int(1/share) == 7
			parts := fmt.Sprintf("5c1e07%02x:40,e4%06x:1290", n%60, n)
			if isDeadly {
				parts = fmt.Sprintf("5c1e07%02x:40,%s:200,e4%06x:1090", n%60, deadly, n)
			}
			c.header = map[string]string{name("model"): modelName, name("token_count"): "1330,75", name("prompt_prefix"): parts}
			c.alone(entries[n%len(entries)].front)
			f.rec.line("deadly %v: %v", isDeadly, c)
			mu.Lock()
			counts[fmt.Sprintf("deadly %v: %d", isDeadly, c.status)]++
			mu.Unlock()
		}()
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	later := 0
	if len(crashes) >= 5 {
		for _, at := range reached {
			if at.Sub(crashes[4]) > stableTime {
				later++
			}
		}
	}
	fmt.Println(counts, "crashes", len(crashes), "reached later", later)
	return later > maxLater
}
