//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  uint64
	Created   uint64
	Lease     uint64
	Tombstone bool `json:",omitempty"`
}

// historyTime is how long the store keeps its history, as in the settings' HistoryS.
const historyTime = 20 * time.Second

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	log      []logged
	dropped  uint64 // the revision up to which the history is gone
	changed  chan struct{}
}

type logged struct {
	item
	at time.Time
}

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes an item and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.putBytes(key, body)
}

func (s *store) putBytes(key string, body []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: body, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.append(it)
	return time.Now()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.append(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) append(it item) {
	now := time.Now()
	for len(s.log) > 0 && now.Sub(s.log[0].at) > historyTime {
		s.dropped = s.log[0].Revision
		s.log = s.log[1:]
	}
	s.log = append(s.log, logged{it, now})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case name("path_range"):
		s.mu.Lock()
		var out []item
		for k, it := range s.items {
			if strings.HasPrefix(k, q.Get("Prefix")) && k > q.Get("After") {
				out = append(out, it)
			}
		}
		at := s.revision
		s.mu.Unlock()
		sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
		more := len(out) > 500
		if more {
			out = out[:500]
		}
		if out == nil {
			out = []item{}
		}
		reply(w, map[string]any{"Items": out, "HasMore": more, "At": at})
	case name("path_watch"):
		after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("WaitMs"))
		timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
		for {
			s.mu.Lock()
			out := []item{}
			for _, it := range s.log {
				if it.Revision > after && strings.HasPrefix(it.Key, q.Get("Prefix")) {
					out = append(out, it.item)
				}
			}
			at, changed, dropped := s.revision, s.changed, s.dropped
			s.mu.Unlock()
			if after < dropped {
				w.WriteHeader(http.StatusGone)
				return
			}
			if len(out) > 0 {
				reply(w, map[string]any{"events": out, "At": at})
				return
			}
			select {
			case <-changed:
			case <-timeout:
				reply(w, map[string]any{"events": out, "At": at})
				return
			case <-r.Context().Done():
				return
			}
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// listen starts an HTTP server on a loopback address and returns the address.
func listen(ip string, h http.Handler) (string, *http.Server) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		fail(err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), srv
}
