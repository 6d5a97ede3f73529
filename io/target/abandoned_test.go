package target_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"amaranthturn/io/target"
)

// listenSmallWindow returns a listener whose connections buffer few bytes that are not read.
func listenSmallWindow(t *testing.T) net.Listener {
	t.Helper()
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		ctlErr := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
		return errors.Join(ctlErr, err)
	}}
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func request(body string) *target.Request {
	return &target.Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: []byte(body), Match: func(int, http.Header) target.Match { return target.MatchRequest }}
}

// A target that does not read for a while got a request whole that its caller had given up meanwhile: the
// rest lay in the entry's socket and was still sent.
func TestRequestInSocketIsDroppedWhenAbandoned(t *testing.T) {
	l := listenSmallWindow(t)
	for name, size := range map[string]int{"body written before the response is read": 8 << 10, "larger body": 48 << 10} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := target.NewPool().Do(ctx, l.Addr().String(), request(strings.Repeat("x", size)))
			assert.ErrorIs(t, err, context.DeadlineExceeded)

			c, err := l.Accept() // the target goes on
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			n, err := io.Copy(io.Discard, req.Body)
			assert.Assert(t, err != nil, "the target read the request whole: %d bytes of body", n)
		})
	}
}

// A target that takes the end of a connection for a caller that has sent all and waits goes on with a
// request that was given up.
func TestAbandonedRequestIsNotTakenForHalfClosed(t *testing.T) {
	for name, beginning := range map[string]string{
		"before the response": "",
		"within the response": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nbegins",
	} {
		t.Run(name, func(t *testing.T) {
			l := listenSmallWindow(t)
			go abandon(t, l.Addr().String(), beginning)
			c, err := l.Accept()
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			rd := bufio.NewReader(c)
			_, err = http.ReadRequest(rd)
			assert.NilError(t, err)
			_, err = io.WriteString(c, beginning)
			assert.NilError(t, err)
			_, err = rd.ReadByte()
			assert.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}

// abandon sends a request and gives it up, after the beginning of the response if there is one.
func abandon(t *testing.T, addr, beginning string) {
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	resp, err := target.NewPool().Do(ctx, addr, request(""))
	if err != nil {
		return
	}
	_, _ = io.ReadFull(resp.Body, make([]byte, len("begins")))
	resp.Close()
}
