//go:build review

package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	pieces     = 64
	pieceBytes = 32768
	loadTime   = 300 * time.Millisecond
)

// piece returns a piece of a version of the weights.
func piece(version uint64, i int) []byte {
	r := rand.New(rand.NewPCG(version, uint64(i)))
	out := make([]byte, pieceBytes)
	for k := range out {
		out[k] = byte(r.Uint32())
	}
	return out
}

func (t *target) version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.weights
}

// reply writes a response to the agent.
func reply(c net.Conn, status int, body []byte) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
	return err == nil
}

// control answers the calls of the agent.
func (t *target) control(c net.Conn, r *http.Request, body []byte) bool {
	i, _ := strconv.Atoi(r.URL.Query().Get("Quantity"))
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case strings.HasPrefix(r.URL.Path, names["stage_put"]):
		t.staged[i] = body
		return reply(c, http.StatusOK, nil)
	case strings.HasPrefix(r.URL.Path, names["stage_get"]):
		if data, ok := t.staged[i]; ok {
			return reply(c, http.StatusOK, data)
		}
		return reply(c, http.StatusNotFound, nil)
	case strings.HasPrefix(r.URL.Path, names["report"]):
		return reply(c, http.StatusOK, render("report.tmpl", map[string]any{
			"InFlight": t.running, "Born": t.born.UnixMilli(), "Weights": t.weights, "Busy": t.busy, "Orders": t.orders,
		}))
	}
	var order struct {
		Version      uint64
		Precondition int
	}
	if err := json.Unmarshal(body, &order); err != nil || order.Precondition != t.orders || t.busy {
		return reply(c, http.StatusConflict, nil)
	}
	t.orders++
	t.busy = true
	t.f.logf("target %s is ordered to load version %d", t.id, order.Version)
	go t.load(order.Version)
	return reply(c, http.StatusAccepted, nil)
}

// load takes the staged weights once the running requests have ended.
func (t *target) load(version uint64) {
	for {
		time.Sleep(10 * time.Millisecond)
		t.mu.Lock()
		if t.running == 0 {
			break
		}
		t.mu.Unlock()
	}
	t.mu.Unlock()
	time.Sleep(loadTime)
	t.mu.Lock()
	t.weights, t.busy = version, false
	t.mu.Unlock()
	t.f.logf("target %s serves version %d", t.id, version)
	t.renew()
}

// startOrigin starts the origin of the weights and returns its address.
func (f *fleet) startOrigin() (string, error) {
	l, err := net.Listen("tcp", f.ip(2)+":8006")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(names["manifest"], func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.ParseUint(r.URL.Query().Get("Version"), 10, 64)
		digests := make([]string, pieces)
		for i := range digests {
			sum := sha256.Sum256(piece(version, i))
			digests[i] = hex.EncodeToString(sum[:])
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"Model": "m0", "Version": version, "ChunkBytes": pieceBytes, "layers": 16, "Digests": digests})
	})
	mux.HandleFunc(names["piece"], func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.ParseUint(r.URL.Query().Get("Version"), 10, 64)
		i, _ := strconv.Atoi(r.URL.Query().Get("Quantity"))
		_, _ = w.Write(piece(version, i))
	})
	srv := &http.Server{Handler: mux}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), nil
}
