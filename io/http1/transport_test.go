package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// accept runs serve on one connection and returns the other end, as the transport dials it.
func accept(t *testing.T, serve func(c *net.TCPConn)) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err == nil {
			serve(c.(*net.TCPConn))
			_ = c.Close()
		}
	}()
	c, err := dialer((&net.Dialer{}).DialContext).dial(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// writeAll writes until a write fails.
func writeAll(c net.Conn) error {
	for {
		if _, err := c.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
	}
}

// The reset is returned by a write, after or before the reader waits for it.
func TestResetIsNoEnd(t *testing.T) {
	serve := func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "part")
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
	}
	t.Run("written before", func(t *testing.T) {
		c := accept(t, serve)
		writeErr := writeAll(c)
		assert.Assert(t, errors.Is(writeErr, syscall.ECONNRESET), "%v", writeErr)
		body, err := io.ReadAll(c)
		assert.Equal(t, string(body), "part")
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	})
	t.Run("written meanwhile", func(t *testing.T) {
		for range 50 {
			c := accept(t, serve)
			go func() { _ = writeAll(c) }()
			_, err := io.ReadAll(c)
			assert.Assert(t, err != nil)
		}
	})
}

// An orderly end is one while the peer reads on.
func TestEndDuringWrite(t *testing.T) {
	c := accept(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "whole")
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	go func() { _ = writeAll(c) }()
	body, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "whole")
}

// A reader that waits for a write to a peer that reads nothing ends with its connection.
func TestEndDuringWriteThatIsNotRead(t *testing.T) {
	full, ended := make(chan struct{}), make(chan struct{})
	defer close(ended)
	c := accept(t, func(c *net.TCPConn) {
		<-full
		_ = c.CloseWrite()
		<-ended
	})
	var written atomic.Int64
	go func() {
		for {
			n, err := c.Write(make([]byte, 64<<10))
			if written.Add(int64(n)); err != nil {
				return
			}
		}
	}()
	for last := int64(0); last == 0 || written.Load() > last; time.Sleep(200 * time.Millisecond) {
		last = written.Load()
	}
	close(full) // the buffers of both sockets are
	time.AfterFunc(100*time.Millisecond, func() { _ = c.Close() })
	_, err := io.ReadAll(c)
	assert.Assert(t, errors.Is(err, net.ErrClosed), "%v", err)
}

// A kept connection that its peer has closed costs no call that may be repeated.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	var conns atomic.Int32
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	srv.Config.ConnState = func(c net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			conns.Add(1)
		case http.StateIdle:
			time.AfterFunc(5*time.Millisecond, func() { _ = c.Close() })
		}
	}
	srv.Start()
	defer srv.Close()
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	for range 20 {
		resp, err := client.Get(srv.URL)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
		_ = resp.Body.Close()
		time.Sleep(5 * time.Millisecond) // the server closes the connection about now
	}
	assert.Assert(t, conns.Load() > 1)
}

func TestConnections(t *testing.T) {
	var conns atomic.Int32
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()
	kept := NewTransport(&http.Transport{})
	for _, c := range []struct {
		tr   *Transport
		idle bool
		want int32
	}{{kept, false, 1}, {kept, true, 3}, {kept.WithNewConnections(), false, 3}} {
		conns.Store(0)
		kept.CloseIdleConnections()
		for range 3 {
			client := &http.Client{Transport: c.tr}
			resp, err := client.Post(srv.URL, "", strings.NewReader("body"))
			assert.NilError(t, err)
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "body")
			_ = resp.Body.Close()
			if c.idle {
				client.CloseIdleConnections()
			}
		}
		assert.Equal(t, conns.Load(), c.want)
	}
}

// answer writes one text for each request on a connection, which it closes once the client has done so.
func answer(c net.Conn, texts []string) {
	rd := bufio.NewReader(c)
	for _, text := range texts {
		r, err := http.ReadRequest(rd)
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, text)
	}
	_, _ = rd.ReadByte()
	_ = c.Close()
}

// A broken head is an error on a new connection and on a kept one, which is closed, and does not
// count for the responses before it.
func TestBrokenHeadOnEachConnection(t *testing.T) {
	const sound, broken = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nBad Name: v\r\nContent-Length: 0\r\n\r\n"
	const noStatus = "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		for _, texts := range [][]string{{broken}, {sound, sound, broken}, {sound, noStatus}, {noStatus}, {sound}} {
			c, err := l.Accept()
			if err != nil {
				return
			}
			answer(c, texts)
		}
	}()
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	for n, want := range []error{ErrMalformedHead, nil, nil, ErrMalformedHead, nil, ErrStatus, ErrStatus, nil} {
		resp, err := client.Get("http://" + l.Addr().String())
		assert.Assert(t, errors.Is(err, want), "request %d: %v", n, err)
		if err == nil {
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "ok")
			_ = resp.Body.Close()
		}
	}
}

// A long response is only its head for the scanner, whatever its body looks like.
func TestBodyIsNoHead(t *testing.T) {
	body := strings.Repeat("HTTP/1.1 200 OK\r\nBad Name: v\r\n\r\n", 10_000)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		_, _ = io.Copy(w, r.Body)
	}))
	defer srv.Close()
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	for range 5 {
		resp, err := client.Post(srv.URL, "", strings.NewReader(body))
		assert.NilError(t, err)
		got, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Assert(t, string(got) == body)
		_ = resp.Body.Close()
	}
}

// A client's timeout ends a request.
func TestTimeout(t *testing.T) {
	ended := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-ended }))
	defer srv.Close()
	defer close(ended)
	client := &http.Client{Transport: NewTransport(&http.Transport{}), Timeout: 50 * time.Millisecond}
	began := time.Now()
	resp, err := client.Get(srv.URL)
	if err == nil {
		_ = resp.Body.Close()
	}
	var timeout net.Error
	assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
	assert.Assert(t, time.Since(began) < 2*time.Second)
}

// The responses over TLS are not taken for broken ones.
func TestTLS(t *testing.T) {
	srv := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer srv.Close()
	client := &http.Client{Transport: NewTransport(srv.Client().Transport.(*http.Transport))}
	for range 3 {
		resp, err := client.Get(srv.URL)
		assert.NilError(t, err)
		_ = resp.Body.Close()
	}
}
