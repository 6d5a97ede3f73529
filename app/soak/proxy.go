package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

//go:generate stringer -type=mode -output=soak_string.go -linecomment

// mode selects what a proxy does to its connections.
type mode int32

// Proxy modes.
const (
	modePass         mode = iota // pass
	modeDelay                    // delay
	modeReset                    // reset
	modeUnresponsive             // silent
	modeOneWay                   // one_way
	modeRefused                  // refused
	modeCount                    // modes
)

// addedDelay is the delay that modeDelay adds to each read. It exceeds the delay of every link
// within a region.
const addedDelay = 80 * time.Millisecond

// proxy forwards connections to one address, subject to its mode.
type proxy struct {
	listener net.Listener
	upstream string
	mode     atomic.Int32

	mu    sync.Mutex // guards conns
	conns map[net.Conn]struct{}
}

func newProxy(upstream string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, upstream: upstream, conns: map[net.Conn]struct{}{}}
	go p.run()
	return p, nil
}

// run accepts until the listener is closed.
func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(c)
	}
}

func (p *proxy) currentMode() mode { return mode(p.mode.Load()) }

func (p *proxy) connect(client net.Conn) {
	if p.currentMode() == modeRefused {
		abort(client)
		return
	}
	server, err := net.DialTimeout("tcp", p.upstream, time.Second)
	if err != nil {
		abort(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go (&pipe{proxy: p, src: client, dst: server, done: done, isRequest: true}).run()
	go (&pipe{proxy: p, src: server, dst: client, done: done}).run()
	<-done
	<-done
	_, _ = client.Close(), server.Close() // both directions have ended
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// pipe copies one direction of a connection.
type pipe struct {
	proxy     *proxy
	src, dst  net.Conn
	done      chan struct{}
	isRequest bool // direction from client to server
}

func (d *pipe) run() {
	defer func() { d.done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := d.src.Read(buf)
		for d.proxy.currentMode() == modeUnresponsive || d.proxy.currentMode() == modeOneWay && d.isRequest {
			time.Sleep(10 * time.Millisecond) // withhold the data, as if the path were lost
		}
		if d.proxy.currentMode() == modeDelay {
			time.Sleep(addedDelay)
		}
		if _, werr := d.dst.Write(buf[:n]); werr != nil || err != nil {
			if errors.Is(err, io.EOF) {
				if t, ok := d.dst.(*net.TCPConn); ok {
					_ = t.CloseWrite() // the other end may have closed already
				}
				return
			}
			abort(d.dst)
			return
		}
	}
}

// setMode changes the mode. modeReset and modeRefused also reset the open connections.
func (p *proxy) setMode(m mode) {
	p.mode.Store(int32(m))
	if m != modeReset && m != modeRefused {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // otherwise Close sends FIN instead of RST
	}
	_ = c.Close()
}

// close stops accepting and resets the open connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(modeReset)
}
