// Package service is the stand-in of a plain service whose orders may not be
// repeated.
//
// # Usage
//
//	s := service.New(rec, 20*time.Millisecond)
//	http.Serve(l, s.Handler())
//
// POST /orders with {"order": "ID"} runs an order; GET /inventory is repeatable.
package service

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"amaranthturn/standin/record"
)

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	rec   *record.Record
	takes time.Duration
	slow  atomic.Int64 // nanoseconds added to each order
}

// New returns a service that takes a time for each order.
func New(rec *record.Record, takes time.Duration) *Service {
	return &Service{rec: rec, takes: takes}
}

// Slow adds a time to each order.
func (s *Service) Slow(d time.Duration) { s.slow.Store(int64(d)) }

// Order is the body of an order.
type Order struct {
	ID string `json:"order"`
}

// Handler serves the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", s.order)
	mux.HandleFunc("GET /inventory", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"bronze_dies":12}`))
	})
	return mux
}

func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.ID == "" {
		http.Error(w, "order without an id", http.StatusBadRequest)
		return
	}
	s.rec.RanOrder(o.ID)
	time.Sleep(s.takes + time.Duration(s.slow.Load()))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(o)
}
