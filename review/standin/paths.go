//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// doubleSlash sends orders whose path begins with two slashes, on the route whose prefix is one slash.
func doubleSlash(f *fleet, trouble bool) verdict {
	const requests = 20
	path := "/place/2f?copy=1"
	if trouble {
		path = "//place/2f?copy=1"
	}
	f.configure(1, orderRoute)
	f.addOrderRunners(2, 60*time.Millisecond)
	var mu sync.Mutex
	ran, changed := 0, 0
	for _, o := range f.orders {
		o.seen = func(r *http.Request, _ []byte) {
			mu.Lock()
			defer mu.Unlock()
			ran++
			if r.Method != http.MethodPost || r.RequestURI != path {
				changed++
			}
		}
	}
	f.startEntries(2)
	f.awaitReady()
	time.Sleep(3 * time.Second)
	for range requests {
		f.sendRaw("orders.example", path)
		time.Sleep(100 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	if ran == 0 {
		cannotRun("no request has run")
	}
	return verdict{changed > 0, fmt.Sprintf("%d of %d requests ran, %d of them with another path than %s", ran, requests, changed, path)}
}

// sendRaw sends an order with a path that net/http's client would change.
func (f *fleet) sendRaw(host, path string) {
	id := f.nextID()
	f.rec.add("client sends order %s: POST %s, host %s", id, path, host)
	c, err := net.DialTimeout("tcp", f.front(host), time.Second)
	if err != nil {
		f.rec.add("client cannot connect: %v", err)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3000\r\n%s: jnbanfqasnmgkcuyj8pj\r\nContent-Length: 8\r\n\r\none bale",
		path, host, names["attempt"], id, names["deadline"], names["credential"])
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		f.rec.add("client gets no answer for %s: %v", id, err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	f.rec.add("client gets for %s: status %d, %q, error %v", id, resp.StatusCode, body, err)
}
