//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["stale"] = staleKey; cases["silent"] = silentStore }

// bigConfig returns routes as many as three times a configuration grows.
func bigConfig() []map[string]any {
	const count, times = 1680, 3
	var out []map[string]any
	for i := range count * times {
		r := route(fmt.Sprintf("h%d.example", i), "idempotent", "orders", 800, 2)
		r["Name"], r["Prefix"] = fmt.Sprintf("r-%07d", i), fmt.Sprintf("/xapu%d/ny95/", i)
		out = append(out, r)
	}
	return out
}

// Times of the case and of the rule.
const (
	freezeTime   = 4 * time.Second
	stormTime    = 1500 * time.Millisecond
	stormGap     = 60 * time.Millisecond
	stableTime   = 3 * time.Second // StableMs
	applyTime    = 2 * time.Second // ConfigApplyMs
	watchedTime  = 14 * time.Second
	probeTime    = 250 * time.Millisecond
	stormsAtOnce = 2
)

// staleKey is the second form of the case: it freezes one of two entries while the configuration changes in quick succession. The last change
// takes a key away. Once the entry is in touch again, no request with the key may run.
func staleKey(f *fleet, trouble bool) bool {
	const oldKey, newKey = "k-old", "k-new"
	frozen, other := f.addEntry(1, 284), f.addEntry(2, 284)
	r := route("a.example", "idempotent", "orders", 800, 2)
	r["Public"] = false
	routes := append([]map[string]any{r}, bigConfig()...)
	version := 1
	// next returns the next version of the configuration.
	next := func(keys ...string) []byte {
		version += 2
		routes[0]["TimeoutMs"] = 800 + version%100
		c := config(version, routes, "orders")
		c["Tenants"] = []map[string]any{{"Name": "t-1", name("keys"): keys, "Priority": 1}}
		return []byte(asJSON(c))
	}
	first := next(oldKey, newKey)
	f.rec.line("the configuration has %d routes and %d bytes", len(routes), len(first))
	f.store.putBytes(name("key_config"), first)
	storm := make([][]byte, int(stormsAtOnce*stormTime/stormGap))
	for i := range storm {
		storm[i] = next(oldKey, newKey)
	}
	withoutKey := next(newKey)
	for i := range 3 {
		f.addServer(f.address(200+i), fmt.Sprintf("i-%d", i), "orders", 6, answer(10*time.Millisecond))
	}
	for _, e := range []*process{frozen, other} {
		e.start()
		e.awaitReady(10 * time.Second)
	}
	time.Sleep(stableTime)
	ask := func(e *process, key string) *call {
		c := newCall("GET", "a.example", "/idempotent/stock", key, 1500*time.Millisecond)
		c.alone(e.front)
		f.rec.line("%s: %v", e.node, c)
		return c
	}
	for _, e := range []*process{frozen, other} {
		if c := ask(e, oldKey); c.status != 200 {
			fail(fmt.Errorf("before the case: %v", c))
		}
	}
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		f.rec.line("%s is frozen", frozen.node)
	}
	since := time.Now()
	for i, body := range storm {
		time.Sleep(time.Until(since.Add(time.Duration(i) * stormGap)))
		f.store.putBytes(name("key_config"), body)
	}
	revokedAt := f.store.putBytes(name("key_config"), withoutKey)
	f.rec.line("version %d takes key %s away, after %d changes in %v", version, oldKey, len(storm), revokedAt.Sub(since))
	time.Sleep(time.Until(since.Add(freezeTime)))
	if trouble {
		frozen.signal(syscall.SIGCONT)
		f.rec.line("%s goes on", frozen.node)
	}
	inTouch := time.Now().Add(stableTime)
	if at := revokedAt.Add(applyTime); at.After(inTouch) {
		inTouch = at
	}
	late := 0
	for end := inTouch.Add(watchedTime); time.Now().Before(end); time.Sleep(probeTime) {
		if c := ask(frozen, oldKey); c.status == 200 && c.sentAt.After(inTouch) {
			late++
			f.rec.line("broken: the request ran with a key that was taken away %.1f s before, at a machine in touch", c.sentAt.Sub(revokedAt).Seconds())
		}
	}
	ask(other, oldKey)
	ask(other, newKey)
	fmt.Println("requests that ran with the old key at a machine in touch:", late)
	return late > 0
}

// silentStore lets the connections to the store go silent once, while the configuration changes in quick
// succession. The last change takes a key away. Once the entries are in touch again, no request with the key
// may run.
func silentStore(f *fleet, trouble bool) bool {
	const (
		oldKey, newKey = "k-old", "k-new"
		silentAfter    = 4 // changes
	)
	entries := []*process{f.addEntry(1, 284), f.addEntry(2, 284)}
	r := route("a.example", "idempotent", "orders", 800, 2)
	r["Public"] = false
	routes := append([]map[string]any{r}, bigConfig()...)
	version := 1
	next := func(keys ...string) []byte {
		version += 2
		routes[0]["TimeoutMs"] = 800 + version%100
		c := config(version, routes, "orders")
		c["Tenants"] = []map[string]any{{"Name": "t-1", name("keys"): keys, "Priority": 1}}
		return []byte(asJSON(c))
	}
	first := next(oldKey, newKey)
	f.rec.line("the configuration has %d routes and %d bytes", len(routes), len(first))
	f.store.putBytes(name("key_config"), first)
	storm := make([][]byte, int(stormTime/stormGap))
	for i := range storm {
		storm[i] = next(oldKey, newKey)
	}
	storm[len(storm)-1] = next(newKey)
	for i := range 3 {
		f.addServer(f.address(200+i), fmt.Sprintf("i-%d", i), "orders", 6, answer(10*time.Millisecond))
	}
	for _, e := range entries {
		e.start()
	}
	for _, e := range entries {
		e.awaitReady(10 * time.Second)
	}
	time.Sleep(2 * stableTime)
	ask := func(e *process, key string) *call {
		c := newCall("GET", "a.example", "/idempotent/stock", key, 1500*time.Millisecond)
		c.alone(e.front)
		f.rec.line("%s: %v", e.node, c)
		return c
	}
	for _, e := range entries {
		if c := ask(e, oldKey); c.status != 200 {
			fail(fmt.Errorf("before the case: %v", c))
		}
	}
	since, silentAt, revokedAt := time.Now(), time.Now(), time.Now()
	for i, body := range storm {
		time.Sleep(time.Until(since.Add(time.Duration(i) * stormGap)))
		if i == silentAfter && trouble {
			f.rec.line("%d connections to the store go silent; new ones work", f.toStore.silence())
			silentAt = time.Now()
		}
		revokedAt = f.store.putBytes(name("key_config"), body)
	}
	f.rec.line("version %d takes key %s away, after %d changes in %v", version, oldKey, len(storm)-1, revokedAt.Sub(since))
	inTouch := silentAt.Add(stableTime)
	if at := revokedAt.Add(applyTime); at.After(inTouch) {
		inTouch = at
	}
	time.Sleep(time.Until(inTouch))
	late := map[string]int{}
	for end := inTouch.Add(watchedTime); time.Now().Before(end); time.Sleep(probeTime) {
		for _, e := range entries {
			if c := ask(e, oldKey); c.status == 200 && c.sentAt.After(inTouch) {
				late[e.node]++
				f.rec.line("broken: the request ran with a key that was taken away %.1f s before, at a machine in touch", c.sentAt.Sub(revokedAt).Seconds())
			}
		}
	}
	for _, e := range entries {
		ask(e, newKey)
	}
	fmt.Println("requests that ran with the old key at machines in touch:", late)
	return len(late) > 0
}
