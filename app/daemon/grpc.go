package daemon

import (
	"net"
	"sync"
)

// StopGRPC stops a gRPC server at once. It closes the connections itself because grpc.Server.Stop
// waits for the handshakes of those on which nothing arrives.
func (s *Server) StopGRPC() {
	s.rawConns.close()
	s.GRPC.Stop()
}

// rawConns are the open connections of a listener.
type rawConns struct {
	mu     sync.Mutex // guards all fields below
	closed bool
	open   map[*rawConn]struct{}
}

// add returns c as a connection of the set, which is closed at once if the set is.
func (s *rawConns) add(c net.Conn) net.Conn {
	rc := &rawConn{Conn: c, set: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close() // the server sees it with its first read
		return rc
	}
	if s.open == nil {
		s.open = map[*rawConn]struct{}{}
	}
	s.open[rc] = struct{}{}
	return rc
}

func (s *rawConns) remove(c *rawConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *rawConns) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.open {
		_ = c.Conn.Close() // the process stops
	}
}

type rawConn struct {
	net.Conn
	set *rawConns
}

// Close implements net.Conn.
func (c *rawConn) Close() error {
	c.set.remove(c)
	return c.Conn.Close()
}

// rawListener adds the connections that it accepts to a set.
type rawListener struct {
	net.Listener
	conns *rawConns
}

// Accept implements net.Listener.
func (l *rawListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.conns.add(c), nil
}
