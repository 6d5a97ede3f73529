// Package service implements the stand-in for a plain service whose orders must run at
// most once.
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
	rec        *record.Record
	orderTime  time.Duration
	extraNanos atomic.Int64 // added to the time of each order
}

// New returns a service that takes orderTime to run an order.
func New(rec *record.Record, orderTime time.Duration) *Service {
	return &Service{rec: rec, orderTime: orderTime}
}

// SetExtraDelay makes each order take d longer.
func (s *Service) SetExtraDelay(d time.Duration) { s.extraNanos.Store(int64(d)) }

// Order is the body of an order.
type Order struct {
	ID string `json:"order"`
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", s.runOrder)
	mux.HandleFunc("GET /inventory", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"bronze_dies":12}`))
	})
	return mux
}

func (s *Service) runOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.ID == "" {
		http.Error(w, "order without an id", http.StatusBadRequest)
		return
	}
	s.rec.OrderRan(o.ID)
	time.Sleep(s.orderTime + time.Duration(s.extraNanos.Load()))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(o)
}
