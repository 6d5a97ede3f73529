//go:build review

package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes connections on. Those that are open can be made silent for good.
type proxy struct {
	target string
	mu     sync.Mutex
	open   []*atomic.Bool // whether the connection is silent
}

func newProxy(ip, target string) (*proxy, string) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		fail(err)
	}
	p := &proxy{target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p, l.Addr().String()
}

func (p *proxy) pass(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	silent := &atomic.Bool{}
	p.mu.Lock()
	p.open = append(p.open, silent)
	p.mu.Unlock()
	for _, pair := range [][2]net.Conn{{c, t}, {t, c}} {
		go func() {
			buf := make([]byte, 64<<10)
			for {
				n, err := pair[0].Read(buf)
				if silent.Load() {
					if err != nil {
						return // the other side hears nothing of it
					}
					continue
				}
				if err != nil {
					_ = pair[1].Close()
					return
				}
				if _, err := pair[1].Write(buf[:n]); err != nil {
					_ = pair[0].Close()
					return
				}
			}
		}()
	}
}

// silence lets all open connections go silent, without a reset. New ones work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.open {
		s.Store(true)
	}
	n := len(p.open)
	p.open = nil
	return n
}
