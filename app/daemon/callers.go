package daemon

import (
	"context"
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasCallerLeft reports whether the caller of the request with the given context has closed its connection.
// The server of NewHTTPServer cancels the context then, but later: it notices the close in a goroutine of its
// own. After a pause of the process, requests and the ends of their connections are read one right after the
// other, so that what must not be done for nobody has to look here first.
func HasCallerLeft(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*serverConn)
	return ok && c.isClosedByPeer()
}

// isClosedByPeer reports whether everything that the peer sent was received and its end follows.
func (c *serverConn) isClosedByPeer() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true // closed by this process
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	})
	return err != nil || closed
}
