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

	"gotest.tools/v3/assert"

	"amaranthturn/io/target"
)

// serveOne runs serve on one connection, closes it, and returns the address that it is accepted on.
func serveOne(t *testing.T, serve func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		serve(c.(*net.TCPConn))
		_ = c.Close()
	}()
	return l.Addr().String()
}

// resettingTarget answers a request before it has read the body, and resets the connection.
type resettingTarget struct {
	addr  string
	reset chan struct{} // closed after the reset
}

// startResetting starts a target that reads the head of the request before it answers, or nothing.
func startResetting(t *testing.T, answer string, isRead bool) *resettingTarget {
	t.Helper()
	s := &resettingTarget{reset: make(chan struct{})}
	s.addr = serveOne(t, func(c *net.TCPConn) {
		if isRead {
			_, _ = http.ReadRequest(bufio.NewReader(c))
		}
		_, _ = io.WriteString(c, answer)
		time.Sleep(20 * time.Millisecond) // the caller receives the answer before the reset
		_ = c.SetLinger(0)
		_ = c.Close()
		close(s.reset)
	})
	return s
}

// awaitReset waits until the writer of the request has received the reset.
func (s *resettingTarget) awaitReset() {
	<-s.reset
	time.Sleep(50 * time.Millisecond)
}

const (
	uploadBytes  = 8 << 20 // more than the buffers of both sockets hold
	unframedPart = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nid: 1\ndata: a\n\n"
)

func upload(t *testing.T, addr string, size int, beforeSend func()) (*target.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)
	return target.NewPool().Do(ctx, addr, &target.Request{
		Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: []byte(strings.Repeat("x", size)),
		BeforeSend: func(http.Header) error {
			if beforeSend != nil {
				beforeSend()
			}
			return nil
		},
		Match: func(_ int, h http.Header) target.Match { return matchOf("1", h) },
	})
}

// isCutOff reports whether a body ended with a reset that the writer of the request or the reader of the
// body has received.
func isCutOff(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// The socket reports a reset once. The writer of the request receives it here, so that the reader
// sees the end of the connection, which must not complete an unframed response.
func TestResetWhileTheRequestIsWritten(t *testing.T) {
	reads := map[string]func(resp *target.Response) error{
		"body": func(resp *target.Response) error {
			_, err := resp.ReadBody(1 << 20)
			return err
		},
		"events": func(resp *target.Response) error {
			events := resp.Events()
			if _, err := events.Next(); err != nil {
				return err
			}
			_, err := events.Next()
			return err
		},
	}
	for name, read := range reads {
		t.Run("upload/"+name, func(t *testing.T) {
			s := startResetting(t, unframedPart, true)
			resp, err := upload(t, s.addr, uploadBytes, nil)
			assert.NilError(t, err)
			defer resp.Close()
			s.awaitReset()
			err = read(resp)
			assert.Assert(t, isCutOff(err), "%v", err)
		})
		t.Run("before it is written/"+name, func(t *testing.T) {
			s := startResetting(t, unframedPart, false)
			resp, err := upload(t, s.addr, 1, s.awaitReset)
			assert.NilError(t, err)
			defer resp.Close()
			err = read(resp)
			assert.Assert(t, isCutOff(err), "%v", err)
		})
	}
}

// The framing of a response shows that it is complete, whatever becomes of the request.
func TestFramedResponseBeforeResetIsComplete(t *testing.T) {
	for _, text := range []string{
		okResponse,
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		s := startResetting(t, text, true)
		resp, err := upload(t, s.addr, uploadBytes, nil)
		assert.NilError(t, err)
		s.awaitReset()
		body, err := resp.ReadBody(1 << 20)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
		resp.Close()
	}
}

// A target may end its response and read the rest of the request afterwards.
func TestUnframedResponseBeforeTheRequestIsRead(t *testing.T) {
	addr := serveOne(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, unframedPart)
		_ = c.CloseWrite()
		time.Sleep(50 * time.Millisecond) // the end is received while the request is being written
		_, _ = io.Copy(io.Discard, c)
	})
	resp, err := upload(t, addr, uploadBytes, nil)
	assert.NilError(t, err)
	defer resp.Close()
	body, err := resp.ReadBody(1 << 20)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "id: 1\ndata: a\n\n")
}

// A target that ends its response and does not read the request holds the caller no longer than its
// deadline.
func TestUnframedResponseToARequestThatIsNeverRead(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	addr := serveOne(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, unframedPart)
		_ = c.CloseWrite()
		<-ended
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	resp, err := target.NewPool().Do(ctx, addr, request(strings.Repeat("x", uploadBytes)))
	assert.NilError(t, err)
	defer resp.Close()
	began := time.Now()
	_, err = resp.ReadBody(1 << 20)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	assert.Assert(t, time.Since(began) < 2*time.Second)
}
