//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	memoryMB      = 284 // of an entry, as its settings state
	bodyBytes     = 4194304
	bodyClients   = 14 // of one entry: the site has 95 clients and 7 entries
	burstFactor   = 1.7
	bursts        = 9
	burstTime     = 3 * time.Second
	burstPause    = 6 * time.Second
	uploadTime    = time.Second // of one body
	entryLinkRate = 1000e6 / 8
)

// residentMB returns the resident memory of a process in MB.
func residentMB(pid int) float64 {
	body, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(body), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// largeBodies lets clients send bodies of the largest allowed size.
func largeBodies(f *fleet, trouble bool) verdict {
	f.configure(1, orderRoute)
	f.addOrderRunners(3, 60*time.Millisecond)
	f.startEntries(2)
	f.awaitReady()
	time.Sleep(3 * time.Second)
	clients := bodyClients
	more := 0 // clients of one entry during a burst
	if trouble {
		more = int(math.Round((burstFactor - 1) * float64(clients)))
	}
	kills := make([]int, len(f.entries))
	peaks := make([]float64, len(f.entries))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, p := range f.entries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				mb := residentMB(p.cmd.Process.Pid)
				peaks[i] = max(peaks[i], mb)
				if mb > memoryMB {
					kills[i]++
					f.rec.add("%s holds %.0f MB: killed, as the platform does", p.name, mb)
					p.kill()
					f.start(p)
				}
			}
		}()
	}
	t := &tally{}
	for _, p := range f.entries {
		l := &link{rate: entryLinkRate}
		for n := range clients + more {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for first := time.Now(); ; {
					select {
					case <-stop:
						return
					default:
					}
					if n >= clients && !inBurst(time.Since(first)) {
						time.Sleep(10 * time.Millisecond)
						continue
					}
					t.add(time.Now(), f.upload(p, l))
				}
			}()
		}
	}
	time.Sleep(bursts * (burstPause + burstTime))
	close(stop)
	wg.Wait()
	asked, served := t.get()
	machines := 0 // on which processes have ended three times
	for _, n := range kills {
		if n >= 3 {
			machines++
		}
	}
	return verdict{machines >= 2, fmt.Sprintf("%d clients an entry, %d more in bursts: entries killed for their memory %d times, peaks %.0f MB, served %d of %d",
		clients, more, kills, peaks, served, asked)}
}

// inBurst reports whether a time since the start of the traffic is within a burst.
func inBurst(d time.Duration) bool { return d%(burstPause+burstTime) >= burstPause }

func (f *fleet) upload(p *process, l *link) string {
	id := f.nextID()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	const parts = 64
	b := &pacedBody{left: bodyBytes, part: bodyBytes / parts, own: uploadTime / parts, link: l}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.ip+":8005/place/2f", b)
	if err != nil {
		return "failed"
	}
	req.ContentLength = bodyBytes
	req.Host = "orders.example"
	req.Header.Set(names["attempt"], id)
	req.Header.Set(names["deadline"], "3000")
	req.Header.Set(names["credential"], "jnbanfqasnmgkcuyj8pj")
	tr := &http.Transport{DisableKeepAlives: true}
	f.rec.add("client sends order %s to %s, %d bytes", id, p.name, bodyBytes)
	resp, err := tr.RoundTrip(req)
	if err != nil {
		f.rec.add("client gets no answer for %s: %v", id, err)
		time.Sleep(200 * time.Millisecond)
		return "failed"
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	f.rec.add("client gets for %s: status %d, error %v", id, resp.StatusCode, err)
	if resp.StatusCode == http.StatusOK && err == nil {
		return "served"
	}
	return "refused"
}
