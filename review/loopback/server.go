//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a server of a plain service. It runs requests, names itself in the store and renews its record.
type server struct {
	f           *fleet
	id, service string
	address     string
	born        int64
	slots       int

	// run runs a request. It is called once the request was recorded as run.
	run func(s *server, w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	state    string // of the record, empty if there is none
	sequence uint64
	runs     map[string]int // by the id of the client's attempt
	stopped  bool
	srv      *http.Server
}

func (f *fleet) addServer(ip, id, service string, slots int, run func(*server, http.ResponseWriter, *http.Request)) *server {
	s := &server{f: f, id: id, service: service, slots: slots, run: run, state: "ready", runs: map[string]int{}, born: time.Now().UnixMilli()}
	s.address, s.srv = listen(ip, s)
	s.beat()
	go s.renew()
	return s
}

func (s *server) renew() {
	for {
		time.Sleep(1200 * time.Millisecond)
		s.mu.Lock()
		stopped := s.stopped
		s.mu.Unlock()
		if stopped {
			return
		}
		s.beat()
	}
}

func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == "" {
		return
	}
	s.sequence++
	s.f.store.put(name("prefix_servers")+s.id, map[string]any{
		"Service": s.service, "Address": s.address, "Zone": "addis-a", "Version": "v1", "Slots": s.slots, "State": s.state, "ColdLeftMs": 0, "Sequence": s.sequence, "born": s.born,
	})
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(name("attempt"))
	h := w.Header()
	if id != "" {
		h.Set(name("attempt"), id)
	}
	if want := r.Header.Get(name("expect_runner")); want != "" && want != s.id {
		h.Set(name("runner_id"), s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.run(s, w, r)
}

// begin records that the server runs a request, and returns how often it has.
func (s *server) begin(r *http.Request) int {
	id := r.Header.Get(name("attempt"))
	s.mu.Lock()
	s.runs[id]++
	n := s.runs[id]
	s.mu.Unlock()
	s.f.rec.line("server %s runs %s", s.id, id)
	return n
}

// answer reads the request's body and answers with success after a time.
func answer(work time.Duration) func(*server, http.ResponseWriter, *http.Request) {
	return func(s *server, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.begin(r)
		time.Sleep(work)
		success(s, w)
	}
}

func success(s *server, w http.ResponseWriter) {
	body := strings.Repeat("x", 800)
	w.Header().Set(name("seal"), "seal."+s.id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

// route is a route of the configuration.
func route(host, kind, service string, timeoutMS, attempts int) map[string]any {
	return map[string]any{
		"Name": "r-" + service + "-" + kind, "Host": host, "Prefix": "/" + kind + "/", "Kind": kind, "TimeoutMs": timeoutMS, name("objective"): 150, "Priority": 2,
		"Service": service, "MaxAttempts": attempts, "Public": true,
	}
}

// config is a configuration with plain services.
func config(version int, routes []map[string]any, services ...string) map[string]any {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"Name": s, "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false})
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Services": list,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

func asJSON(v any) string {
	body, _ := json.Marshal(v)
	return string(body)
}
