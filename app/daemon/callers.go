package daemon

import (
	"context"
	"errors"
	"syscall"
	"time"

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

// SinceReceipt returns for how long at least the last bytes on the connection of a request lay unread, before
// ctx's request was read. The time in which an earlier request was handled on the connection does not count.
func SinceReceipt(ctx context.Context) time.Duration {
	c, ok := ctx.Value(connKey{}).(*serverConn)
	if !ok {
		return 0
	}
	c.mu.Lock()
	handledAt := c.handledAt
	c.mu.Unlock()
	since := c.sinceReceipt()
	if !handledAt.IsZero() {
		since = min(since, time.Since(handledAt))
	}
	return max(0, since)
}

// isClosedByPeer reports whether everything that the peer sent was received and its end follows.
func (c *serverConn) isClosedByPeer() bool {
	closed := false
	known, err := c.control(func(fd int) {
		var b [1]byte
		n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	})
	return known && (closed || err != nil)
}

// receiptResolution is the longest period of the kernel's clock, in which it counts the time since a receipt.
const receiptResolution = 10 * time.Millisecond

func (c *serverConn) sinceReceipt() time.Duration {
	since := time.Duration(0)
	_, _ = c.control(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv)*time.Millisecond - receiptResolution
		}
	})
	return since
}

// control calls f with the connection's file descriptor, and reports whether it has one. The error says that
// this process has closed the connection.
func (c *serverConn) control(f func(fd int)) (bool, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true, err
	}
	return true, raw.Control(func(fd uintptr) { f(int(fd)) })
}
