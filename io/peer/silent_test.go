package peer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"amaranthturn/io/peer"
)

// steadyLoad reports the load of a target each period.
type steadyLoad struct{}

func (steadyLoad) WatchLoad(ctx context.Context, period time.Duration, send func(peer.TargetLoad) error) error {
	for ctx.Err() == nil {
		if err := send(peer.TargetLoad{Version: 1}); err != nil {
			return err
		}
		time.Sleep(period)
	}
	return ctx.Err()
}

// silentConn is a connection whose peer is not heard any more.
type silentConn struct {
	net.Conn
	silent <-chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.silent:
		<-c.closed
		return 0, net.ErrClosed
	default:
	}
	return n, err
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// The connection to an agent fell silent, and the entry waited 13 s for the next report.
func TestLoadIsWatchedOnANewConnectionWhenOneFallsSilent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := grpc.NewServer(peer.ServerOptions(nil)...)
	peer.RegisterLoad(srv, steadyLoad{})
	go func() { _ = srv.Serve(l) }()
	defer srv.Stop()
	silent := make(chan struct{})
	var mu sync.Mutex
	dials := 0
	pool := peer.NewPool(peer.DialOptions{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		mu.Lock()
		defer mu.Unlock()
		if dials++; dials > 1 || err != nil {
			return c, err
		}
		return &silentConn{Conn: c, silent: silent, closed: make(chan struct{})}, nil
	}})
	defer pool.Close()
	reports := make(chan struct{}, 1000)
	watch := func() error {
		return pool.WatchLoad(t.Context(), l.Addr().String(), 20*time.Millisecond, 500*time.Millisecond, func(peer.TargetLoad) { reports <- struct{}{} })
	}
	done := make(chan error, 1)
	go func() { done <- watch() }()
	<-reports
	close(silent)
	select {
	case err := <-done:
		assert.Assert(t, err != nil)
	case <-time.After(5 * time.Second):
		t.Fatal("the watch of a silent connection has not ended")
	}
	for len(reports) > 0 {
		<-reports
	}
	go func() { done <- watch() }()
	select {
	case <-reports:
	case <-time.After(5 * time.Second):
		t.Fatal("no report on a new connection")
	}
}
