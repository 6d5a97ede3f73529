//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// drainLimit is DrainMs of settings.tmpl, and leftLinger how long a target serves on after its record is gone.
	drainLimit = 2 * time.Second
	leftLinger = 14 * time.Second
	// killedFor is how long an entry is away, leavesAfter when a target leaves after the kill.
	killedFor   = 400 * time.Millisecond
	leavesAfter = 100 * time.Millisecond
)

// playReader kills one entry after the other for a moment, in which a target leaves.
func playReader(f *fleet) (bool, error) {
	if err := f.startStore(); err != nil {
		return false, err
	}
	var targets []*target
	for i := range 4 {
		t := f.newTarget(101+i, fmt.Sprintf("i-%d", i), "orders", "zone-a")
		if err := t.up(); err != nil {
			return false, err
		}
		go t.renewLoop()
		targets = append(targets, t)
	}
	for i := range 13 { // as many as the site has in all
		t := f.newTarget(111+i, fmt.Sprintf("p-%d", i), "pool", "zone-a")
		t.model = true
		if err := t.up(); err != nil {
			return false, err
		}
		go t.renewLoop()
	}
	f.putConfig(map[string]any{"Version": 3, "StockService": "orders", "OrderService": "orders", "Engine": true})
	f.seedsFrom = 2 // the third entry is the only seed
	if err := f.addEntries(3, "a"); err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	seed := f.entries[2]
	f.signal(seed, syscall.SIGTERM) // planned: this machine leaves
	_ = seed.cmd.Wait()
	f.entries = f.entries[:2]
	f.logf("the seed has left")
	time.Sleep(7 * time.Second)
	c := f.newCaller()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for e := range f.entries {
		go c.flow(ctx, e, 25*time.Millisecond, func(e int) {
			c.send(e, http.MethodGet, "stock.example", "/s/count", "", 1500*time.Millisecond, nil)
		})
	}
	f.logf("traffic begins")
	time.Sleep(5 * time.Second)
	broken := false
	for e, p := range f.entries {
		leaving := targets[e]
		if f.trouble {
			f.signal(p, syscall.SIGKILL)
			_ = p.cmd.Wait()
		}
		time.Sleep(leavesAfter)
		leaving.mu.Lock()
		leaving.down = true // it writes no record any more, and serves on
		leaving.mu.Unlock()
		f.store.put(names["targets"]+leaving.id, nil)
		leftAt := time.Now()
		f.logf("target %s leaves: its record is removed", leaving.id)
		time.Sleep(killedFor - leavesAfter)
		if f.trouble {
			f.start(p)
		}
		time.Sleep(leftLinger - time.Since(leftAt))
		late := 0
		leaving.mu.Lock()
		for _, a := range leaving.arrivals {
			entry, _, _ := strings.Cut(a.attempt, "-")
			isOther := entry != fmt.Sprintf("e%d", e) // the killed one is not in touch
			if isOther && a.at.Sub(leftAt) > drainLimit {
				late++
			}
		}
		_ = leaving.listener.Close()
		for conn := range leaving.conns {
			_ = conn.Close()
		}
		leaving.mu.Unlock()
		f.logf("target %s ends; later than %v after its record was removed %d requests of the entry that was not killed reached it", leaving.id, drainLimit, late)
		fmt.Printf("entry-%d killed: %d late requests from the other entry\n", e, late)
		broken = broken || late > 0
		time.Sleep(5 * time.Second)
	}
	cancel()
	time.Sleep(2 * time.Second)
	f.writeResults(c, targets)
	return broken, nil
}
