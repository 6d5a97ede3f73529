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

// mode is what a proxy does to the connections through it.
type mode int32

// The modes.
const (
	modePass    mode = iota // pass
	modeDelay               // delay
	modeReset               // reset
	modeSilent              // silent
	modeOneWay              // one_way
	modeRefused             // refused
	modes                   // modes
)

// delayTime is what modeDelay adds to each read, longer than any link of a region has.
const delayTime = 80 * time.Millisecond

// proxy passes the connections to one address on, until it is told otherwise.
type proxy struct {
	listener net.Listener
	to       string
	mode     atomic.Int32

	mu    sync.Mutex // guards conns
	conns map[net.Conn]struct{}
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, conns: map[net.Conn]struct{}{}}
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

func (p *proxy) now() mode { return mode(p.mode.Load()) }

func (p *proxy) connect(in net.Conn) {
	if p.now() == modeRefused {
		abort(in)
		return
	}
	out, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		abort(in)
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = struct{}{}, struct{}{}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go (&pipe{p: p, from: in, to: out, done: done, forth: true}).run()
	go (&pipe{p: p, from: out, to: in, done: done}).run()
	<-done
	<-done
	_, _ = in.Close(), out.Close() // both ways have ended
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

// pipe is one direction of a connection.
type pipe struct {
	p        *proxy
	from, to net.Conn
	done     chan struct{}
	forth    bool // from the side that connected
}

func (x *pipe) run() {
	defer func() { x.done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := x.from.Read(buf)
		for x.p.now() == modeSilent || x.p.now() == modeOneWay && x.forth {
			time.Sleep(10 * time.Millisecond) // what was read is held back, as by a lost path
		}
		if x.p.now() == modeDelay {
			time.Sleep(delayTime)
		}
		if _, werr := x.to.Write(buf[:n]); werr != nil || err != nil {
			if errors.Is(err, io.EOF) {
				if t, ok := x.to.(*net.TCPConn); ok {
					_ = t.CloseWrite() // the other end may be gone already
				}
				return
			}
			abort(x.to)
			return
		}
	}
}

// set changes the mode; a reset ends the open connections at once.
func (p *proxy) set(m mode) {
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

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // without it the close is an orderly one
	}
	_ = c.Close()
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	_ = p.listener.Close() // nothing is accepted any more
	p.set(modeReset)
}
