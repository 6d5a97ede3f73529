package service

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/io/bounded"
)

// TestNoHiddenRetry closes the connection after the request was read. The service must
// receive each call once, although the standard transport may retry.
func TestNoHiddenRetry(t *testing.T) {
	var seen atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if seen.Add(1)%2 == 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte("ok"))
	}))
	defer srv.Close()
	c := NewClient(srv.URL)
	for range 5 {
		before := seen.Load()
		_, err := c.Call(context.Background(), Request{Method: http.MethodPost, Path: "/orders", Body: []byte("x")})
		assert.Equal(t, seen.Load(), before+1)
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrNoResponse), "%v", err)
		}
	}
}

// A response without length or chunks ends with its connection, which does not show that it is
// complete.
func TestUnframedResponseIsMarked(t *testing.T) {
	for head, want := range map[string]bool{"": true, "Content-Length: 2\r\n": false} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // what is unread would reset the connection
			conn, rw, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = rw.WriteString("HTTP/1.1 200 OK\r\n" + head + "\r\nok")
			_ = rw.Flush()
			_ = conn.Close()
		}))
		resp, err := NewClient(srv.URL).Call(t.Context(), Request{Method: http.MethodPost, Path: "/orders", Body: []byte("x")})
		srv.Close()
		assert.NilError(t, err)
		assert.Equal(t, string(resp.Body), "ok")
		assert.Equal(t, resp.Unframed, want, head)
	}
}

// A response that is cut after any byte leaves unknown whether the call has run.
func TestCutResponseIsNoResponse(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for n := range text {
		var seen atomic.Int64
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			seen.Add(1)
			_, _ = io.Copy(io.Discard, r.Body) // what is unread would reset the connection
			conn, rw, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = rw.WriteString(text[:n])
			_ = rw.Flush()
			_ = conn.Close()
		}))
		_, err := NewClient(srv.URL).Call(t.Context(), Request{Method: http.MethodPost, Path: "/orders", Body: []byte("x")})
		srv.Close()
		assert.Assert(t, errors.Is(err, ErrNoResponse) && !errors.Is(err, ErrNotSent), "%q: %v", text[:n], err)
		assert.Equal(t, seen.Load(), int64(1))
	}
}

// TestStandardTransportRepeatsOnReusedConnection shows the behavior that Client avoids: the
// standard transport repeats a POST with an Idempotency-Key if a kept-alive connection breaks.
func TestStandardTransportRepeatsOnReusedConnection(t *testing.T) {
	var seen atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if seen.Add(1) == 2 {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		_, _ = w.Write([]byte("ok"))
	}))
	defer srv.Close()
	h := &http.Client{Timeout: 5 * time.Second}
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, srv.URL, http.NoBody)
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", "1")
		resp, err := h.Do(req)
		assert.NilError(t, err)
		_, err = io.ReadAll(resp.Body) // the connection is kept only if the response was read
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
	assert.Equal(t, seen.Load(), int64(3), "two calls must reach the server three times")
}

func TestRefusedConnectionReturnsErrNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = NewClient("http://"+addr).Call(context.Background(), Request{Method: http.MethodPost, Path: "/"})
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
}

func TestRedirectIsNotFollowed(t *testing.T) {
	var seen atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen.Add(1)
		http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
	}))
	defer srv.Close()
	reply, err := NewClient(srv.URL).Call(context.Background(), Request{Method: http.MethodPost, Path: "/"})
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, http.StatusTemporaryRedirect)
	assert.Equal(t, seen.Load(), int64(1))
}

// A service may answer without end. The call may have run, and the error names the limit.
func TestResponseWithoutEnd(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var err error
		for n := 0; err == nil && n < 4*maxResponseBytes; n += 64 << 10 {
			_, err = w.Write(make([]byte, 64<<10))
		}
	}))
	defer srv.Close()
	_, err := NewClient(srv.URL).Call(t.Context(), Request{Method: http.MethodPost, Path: "/"})
	assert.Assert(t, errors.Is(err, ErrNoResponse), "%v", err)
	var tooLarge *bounded.TooLargeError
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
}

// A header without end must not be read up to the standard limit of 10 MiB.
func TestHeaderWithoutEnd(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", 2*bounded.MaxHeaderBytes))
	}))
	defer srv.Close()
	_, err := NewClient(srv.URL).Call(t.Context(), Request{Method: http.MethodPost, Path: "/"})
	assert.Assert(t, errors.Is(err, ErrNoResponse), "%v", err)
}

// TestResponseRepeatedByService repeats a refusal wherever a connection is used again. No call
// may receive it.
func TestResponseRepeatedByService(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, rw, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		for {
			id := r.Header.Get("X-Request-Id")
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"+id)
			if r, err = http.ReadRequest(rw.Reader); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}
	}))
	defer srv.Close()
	c := NewClient(srv.URL)
	for _, id := range []string{"r1", "r2", "r3"} {
		resp, err := c.Call(context.Background(), Request{Method: http.MethodGet, Path: "/", RequestID: id})
		assert.NilError(t, err)
		assert.Equal(t, resp.Status, http.StatusOK)
		assert.Equal(t, string(resp.Body), id)
	}
}
