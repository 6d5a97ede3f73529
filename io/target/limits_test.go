package target_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/io/bounded"
	"amaranthturn/io/target"
)

// endless writes start once and then repeat until its caller closes the connection.
type endless struct {
	l             net.Listener
	start, repeat string
	conns         chan int64 // bytes written to each connection until it was closed
}

func startEndless(t *testing.T, start, repeat string) *endless {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	e := &endless{l: l, start: start, repeat: repeat, conns: make(chan int64, 4)}
	go e.run()
	return e
}

func (e *endless) run() {
	for {
		c, err := e.l.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *endless) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	_, _ = c.Read(make([]byte, 4<<10))
	total := int64(0)
	n, err := io.WriteString(c, e.start)
	block := strings.Repeat(e.repeat, 1+(16<<10)/len(e.repeat))
	for total += int64(n); err == nil && total < maxEndlessBytes; total += int64(n) {
		n, err = io.WriteString(c, block)
	}
	e.conns <- total
}

// A target may send a status line, a header line, headers or interim responses without end.
// The caller must not wait for its deadline or keep what it reads.
func TestHeadWithoutEndIsAnError(t *testing.T) {
	for name, c := range map[string]struct{ start, repeat string }{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"no status line":    {"", "\x00garbage"},
		"header line":       {"HTTP/1.1 200 OK\r\nId: ", "x"},
		"headers":           {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"interim header":    {"HTTP/1.1 103 Early Hints\r\n", "X-A: b\r\n"},
		"empty lines":       {"", "\r\n"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEndless(t, c.start, c.repeat)
			_, err := do(t, target.NewPool(), e.l.Addr().String(), "1")
			var noResponse *target.NoResponseError
			assert.Assert(t, errors.As(err, &noResponse), "%v", err)
			var tooLarge *bounded.TooLargeError
			if errors.As(err, &tooLarge) {
				assert.Equal(t, tooLarge.Part, bounded.PartHeader)
			}
			assert.Assert(t, waitClosed(t, e) < 16<<20, "connection was read far beyond the limit")
		})
	}
}

// The header is limited, not the body that follows it, and each response has its own limit.
func TestHeaderLimitDoesNotApplyToBodies(t *testing.T) {
	body := strings.Repeat("x", 3*bounded.MaxHeaderBytes)
	response := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 196608\r\nX-Long: " + strings.Repeat("y", bounded.MaxHeaderBytes/2) + "\r\n\r\n" + body
	s := start(t, []string{response, response, response})
	p := target.NewPool()
	for range 3 {
		got, err := do(t, p, s.l.Addr().String(), "1")
		assert.NilError(t, err)
		assert.Equal(t, got, body)
	}
	assert.Equal(t, s.conns, 1)
}

// A header just above the limit is reported as too large and its connection is not used again.
func TestHeaderAboveItsLimit(t *testing.T) {
	long := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nX-Long: " + strings.Repeat("y", bounded.MaxHeaderBytes) + "\r\n\r\nok"
	s := start(t, []string{long, okResponse}, []string{okResponse})
	p := target.NewPool()
	_, err := do(t, p, s.l.Addr().String(), "1")
	var tooLarge *bounded.TooLargeError
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
	assert.Equal(t, tooLarge.Part, bounded.PartHeader)
	_, err = do(t, p, s.l.Addr().String(), "1")
	assert.NilError(t, err)
	assert.Equal(t, s.conns, 2)
}

// What surrounds the chunks of a body may come without end as well.
func TestChunkFramingWithoutEndIsAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ start, repeat string }{
		"one extension":   {head + "1;", "x"},
		"many extensions": {head, "1;" + strings.Repeat("e", 1000) + "\r\nx\r\n"},
		"trailer line":    {head + "1\r\nx\r\n0\r\nX: ", "x"},
		"trailers":        {head + "1\r\nx\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEndless(t, c.start, c.repeat)
			_, err := do(t, target.NewPool(), e.l.Addr().String(), "1")
			assert.Assert(t, err != nil)
			assert.Assert(t, waitClosed(t, e) < 16<<20, "connection was read far beyond the limit")
		})
	}
}

// A response to an earlier request may have a body without end.
func TestStaleBodyWithoutEndIsAnError(t *testing.T) {
	e := startEndless(t, "HTTP/1.1 200 OK\r\nId: 0\r\n\r\n", "x")
	_, err := do(t, target.NewPool(), e.l.Addr().String(), "1")
	var tooLarge *bounded.TooLargeError
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
	assert.Assert(t, waitClosed(t, e) < 16<<20)
}

func waitClosed(t *testing.T, e *endless) int64 {
	t.Helper()
	select {
	case n := <-e.conns:
		return n
	case <-time.After(5 * time.Second):
		t.Fatal("connection was not closed")
	}
	return 0
}

// A body without length or chunks that ends with its connection is complete; one whose
// connection is reset is not. Neither connection is used again.
func TestBodyThatEndsWithItsConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"
	s := start(t, []string{head + "all"}, []string{okResponse})
	p := target.NewPool()
	body, err := do(t, p, s.l.Addr().String(), "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "all")
	_, err = do(t, p, s.l.Addr().String(), "1")
	assert.NilError(t, err)
	assert.Equal(t, s.conns, 2)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(c, head+"part")
		_ = c.(*net.TCPConn).SetLinger(0) // Close resets the connection
		time.Sleep(20 * time.Millisecond) // the header must arrive before the reset
		_ = c.Close()
	}()
	_, err = do(t, p, l.Addr().String(), "1")
	assert.Assert(t, err != nil, "a reset body looks complete")
}

// Many targets may answer with large bodies at once. Their sum is limited, small responses
// still succeed, and the bytes are free again after Close.
func TestHeldBodiesAreLimited(t *testing.T) {
	const size = 20 << 20
	large := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n" + strings.Repeat("x", size)
	p := target.NewPool()
	for range 2 {
		var held []*target.Response
		for i := range 3 {
			resp, err := p.Do(t.Context(), start(t, []string{large}).l.Addr().String(), &target.Request{
				Method: "GET", URI: "/", Host: "h", Header: http.Header{}, Match: func(int, http.Header) target.Match { return target.MatchRequest },
			})
			assert.NilError(t, err)
			held = append(held, resp)
			_, err = resp.ReadBody(32 << 20)
			if i < 2 {
				assert.NilError(t, err)
				continue
			}
			var tooLarge *bounded.TooLargeError
			assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
			assert.Equal(t, tooLarge.Part, bounded.PartAllBodies)
		}
		body, err := do(t, p, start(t, []string{okResponse}).l.Addr().String(), "1")
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		for _, resp := range held {
			resp.Close()
		}
	}
}
