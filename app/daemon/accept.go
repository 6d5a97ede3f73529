package daemon

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Limits of the time in which the connections that wait at a listener are accepted before it is
// closed. Closing it resets those that still wait.
const (
	// acceptQuietTime is how long nothing has arrived when the listener is closed.
	acceptQuietTime = 20 * time.Millisecond
	// acceptBusyTime is after how long a shorter time suffices, acceptMinQuietTime.
	acceptBusyTime     = 200 * time.Millisecond
	acceptMinQuietTime = time.Millisecond
	// acceptLimit is after how long the listener is closed though connections still arrive.
	acceptLimit = time.Second
)

// StopAccepting closes the listener once the connections that wait there have been accepted. Those
// that are open are served on.
func (s *Server) StopAccepting(ctx context.Context) {
	l, ok := s.Listener.(*connListener)
	if !ok || !l.beginClose() {
		_ = s.Listener.Close() // may be closed already
		return
	}
	t := time.NewTimer(acceptLimit)
	defer t.Stop()
	select {
	case <-l.emptied:
	case <-t.C:
	case <-ctx.Done():
	}
	_ = l.Close()
}

// connListener adds the connections that it accepts to a set.
type connListener struct {
	net.Listener
	conns   *connSet
	mu      sync.Mutex                // held while the close begins
	closing atomic.Pointer[time.Time] // when the close began
	once    sync.Once
	emptied chan struct{} // closed when no further connection is accepted
}

func newConnListener(l net.Listener, conns *connSet) *connListener {
	return &connListener{Listener: l, conns: conns, emptied: make(chan struct{})}
}

type deadliner interface{ SetDeadline(t time.Time) error }

// beginClose lets Accept close the listener when no connection waits. It returns false if the
// listener must be closed at once.
func (l *connListener) beginClose() bool {
	d, ok := l.Listener.(deadliner)
	if !ok {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing.Load() != nil {
		return true
	}
	now := time.Now()
	// This wakes an Accept that waits. It must come first: Accept sets deadlines of its own after that.
	if d.SetDeadline(now) != nil {
		return false
	}
	l.closing.Store(&now)
	return true
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	for {
		closing := l.closing.Load()
		if closing != nil {
			l.setQuietTime(time.Since(*closing))
		}
		c, err := l.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if closing == nil {
				continue // the close has just begun
			}
			// On a busy machine connections arrive between the deadline and this point.
			if c, err = acceptNow(l.Listener); err != nil {
				_ = l.Close()
				return nil, net.ErrClosed
			}
		}
		if err != nil {
			return nil, err
		}
		sc := &serverConn{Conn: c, conns: l.conns, idle: true}
		l.conns.add(sc)
		return sc, nil
	}
}

// acceptNow accepts a connection that waits at a listener, whose deadline may have passed. It returns
// an error if none waits.
func acceptNow(l net.Listener) (net.Conn, error) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	var fd int
	var acceptErr error
	err = raw.Control(func(listener uintptr) { fd, _, acceptErr = syscall.Accept(int(listener)) })
	if err = errors.Join(err, acceptErr); err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "connection")
	c, err := net.FileConn(f)
	_ = f.Close() // c has a descriptor of its own
	return c, err
}

// setQuietTime sets how long the next Accept waits, after a close has been going on for some time.
func (l *connListener) setQuietTime(since time.Duration) {
	d := acceptQuietTime
	if since > acceptBusyTime {
		d = acceptMinQuietTime
	}
	_ = l.Listener.(deadliner).SetDeadline(time.Now().Add(d)) // fails only if the listener is closed
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(l.end)
	return l.Listener.Close()
}

func (l *connListener) end() { close(l.emptied) }
