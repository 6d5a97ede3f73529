//go:build review

package main

import (
	"embed"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

//go:embed names.json config.json settings.toml
var files embed.FS

// names are the names of the platform's protocol, by the names that this program uses.
var names = readNames()

func readNames() map[string]string {
	body, err := files.ReadFile("names.json")
	if err != nil {
		panic(err)
	}
	out := map[string]string{}
	if err := json.Unmarshal(body, &out); err != nil {
		panic(err)
	}
	return out
}

func template(name string, pairs ...string) string {
	body, err := files.ReadFile(name)
	if err != nil {
		panic(err)
	}
	return strings.NewReplacer(pairs...).Replace(string(body))
}

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex // guards all fields below
	at      uint64
	items   map[string]storeItem
	history []map[string]any
	changed chan struct{}
}

type storeItem struct {
	value    []byte
	revision uint64
}

func newStore() *store {
	return &store{at: 10, items: map[string]storeItem{}, changed: make(chan struct{})}
}

func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	s.items[key] = storeItem{value, s.at}
	s.history = append(s.history, map[string]any{"Key": key, "Value": value, "Revision": s.at, "Created": s.at, "Lease": 0})
	s.wake()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.at++
	delete(s.items, key)
	s.history = append(s.history, map[string]any{"Key": key, "Revision": s.at, names["tombstone"]: true})
	s.wake()
}

// wake wakes the waiting watches. mu must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) putJSON(key string, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.put(key, body)
}

// ServeHTTP implements the reading calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case names["range"]:
		s.mu.Lock()
		list := []map[string]any{}
		for key, it := range s.items {
			if strings.HasPrefix(key, q.Get("Prefix")) && key > q.Get("After") {
				list = append(list, map[string]any{"Key": key, "Value": it.value, "Revision": it.revision, "Created": it.revision, "Lease": 0})
			}
		}
		at := s.at
		s.mu.Unlock()
		sort.Slice(list, func(i, j int) bool { return list[i]["Key"].(string) < list[j]["Key"].(string) })
		_ = json.NewEncoder(w).Encode(map[string]any{"Items": list, "HasMore": false, "At": at})
	case names["watch"]:
		after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("WaitMs"))
		end := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			list := []map[string]any{}
			for _, e := range s.history {
				if e["Revision"].(uint64) > after && strings.HasPrefix(e["Key"].(string), q.Get("Prefix")) {
					list = append(list, e)
				}
			}
			at, changed := s.at, s.changed
			s.mu.Unlock()
			if len(list) > 0 {
				_ = json.NewEncoder(w).Encode(map[string]any{"events": list, "At": at})
				return
			}
			select {
			case <-changed:
			case <-end:
				_ = json.NewEncoder(w).Encode(map[string]any{"events": list, "At": at})
				return
			case <-r.Context().Done():
				return
			}
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// serve serves HTTP on an address and returns a function that ends it.
func serve(addr string, h http.Handler) func() {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		cannotRun("listen: " + err.Error())
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	return func() { _ = srv.Close() }
}
