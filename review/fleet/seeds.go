//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// recoverTime is RecoverS of settings.tmpl.
const recoverTime = 12 * time.Second

// playSeeds removes the machines that the settings name as seeds, kills all processes and then names new weights.
func playSeeds(f *fleet) (bool, error) {
	const entries, seeds = 7, 3
	f.entriesWanted = entries
	f.withOrigin = true
	c, targets, err := f.startPool(9)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for e := seeds; e < entries; e++ {
		go c.flow(ctx, e, 100*time.Millisecond, func(e int) {
			c.send(e, http.MethodPost, "chat.example", "/c/say", fmt.Sprintf("question %d", time.Now().UnixNano()), 6*time.Second, longPrompt(1, fmt.Sprintf("50%02d", time.Now().UnixNano()%20)))
		})
	}
	f.logf("traffic begins")
	time.Sleep(5 * time.Second)
	for _, p := range f.entries[:seeds] {
		f.signal(p, syscall.SIGTERM) // planned: these machines leave
	}
	for _, p := range f.entries[:seeds] {
		_ = p.cmd.Wait()
	}
	f.logf("the seeds have left")
	time.Sleep(8 * time.Second)
	faultAt := time.Now()
	f.putConfig(f.config(5))
	if f.trouble {
		left := append(append([]*process{}, f.entries[seeds:]...), f.agents...)
		for _, p := range left {
			f.signal(p, syscall.SIGKILL)
		}
		for _, p := range left {
			_ = p.cmd.Wait()
		}
		time.Sleep(time.Second)
		for _, p := range left {
			f.start(p)
		}
	}
	backAt := time.Now()
	f.logf("all processes are back")
	time.Sleep(4 * time.Second)
	f.store.put(names["version"]+"m0", []byte(`{"Model":"m0","Version":2}`))
	f.logf("version 2 of the weights is named")
	time.Sleep(36 * time.Second)
	cancel()
	time.Sleep(7 * time.Second)
	f.writeResults(c, targets)
	f.logOutcomes(c, faultAt.Add(-20*time.Second))
	before, servedBefore, after, servedAfter := 0, 0, 0, 0
	for _, r := range c.results {
		served := r.err == nil && r.status == http.StatusOK
		switch {
		case r.sentAt.Before(faultAt):
			before++
			if served {
				servedBefore++
			}
		case r.sentAt.Sub(backAt) > recoverTime:
			after++
			if served {
				servedAfter++
			}
		}
	}
	f.logf("before the fault %d of %d requests were served; later than %v after the processes were back %d of %d", servedBefore, before, recoverTime, servedAfter, after)
	fmt.Printf("served: %d of %d before the fault, %d of %d later than %v after it\n", servedBefore, before, servedAfter, after, recoverTime)
	return 4*servedBefore >= before && 4*servedAfter < after, nil
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
