package target_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/io/target"
)

// server accepts one connection after another and writes raw responses, one per request.
type server struct {
	l         net.Listener
	responses [][]string // by connection
	conns     int        // connections accepted so far
}

func start(t *testing.T, responses ...[]string) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{l: l, responses: responses}
	t.Cleanup(func() { _ = l.Close() })
	go s.run()
	return s
}

func (s *server) run() {
	for _, responses := range s.responses {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.conns++
		rd := bufio.NewReader(c)
		for _, resp := range responses {
			req, err := http.ReadRequest(rd)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, resp)
		}
		_ = c.Close()
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

func do(t *testing.T, p *target.Pool, addr, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, addr, &target.Request{
		Method: "POST", URI: "/a%2Fb?q=1", Host: "h", Header: http.Header{}, Body: []byte("body"),
		Match: func(_ int, h http.Header) target.Match { return matchOf(id, h) },
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func matchOf(id string, h http.Header) target.Match {
	switch h.Get("Id") {
	case id:
		return target.MatchRequest
	case "":
		return target.MatchUnidentified
	}
	return target.MatchOther
}

func TestConnectionIsReused(t *testing.T) {
	s := start(t, []string{okResponse, strings.Replace(okResponse, "Id: 1", "Id: 2", 1)})
	p := target.NewPool()
	for _, id := range []string{"1", "2"} {
		body, err := do(t, p, s.l.Addr().String(), id)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, s.conns, 1)
}

// A second response to an earlier request must not be taken for the response to the next
// request.
func TestStaleResponseIsSkipped(t *testing.T) {
	stale := strings.Replace(okResponse, "ok", "no", 1)
	s := start(t, []string{okResponse, stale + strings.Replace(okResponse, "Id: 1", "Id: 2", 1)})
	p := target.NewPool()
	_, err := do(t, p, s.l.Addr().String(), "1")
	assert.NilError(t, err)
	body, err := do(t, p, s.l.Addr().String(), "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
}

// A response that doesn't name its request is accepted as the first of a connection, which is
// not used again. Later it proves nothing, not even that the request has not run.
func TestUnidentifiedResponse(t *testing.T) {
	none := strings.Replace(okResponse, "Id: 1\r\n", "", 1)
	second := strings.Replace(okResponse, "Id: 1", "Id: 2", 1)
	s := start(t, []string{none}, []string{okResponse, none + second}, []string{second})
	p := target.NewPool()
	for range 2 {
		body, err := do(t, p, s.l.Addr().String(), "1")
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, s.conns, 2)
	_, err := do(t, p, s.l.Addr().String(), "2")
	var noResponse *target.NoResponseError
	assert.Assert(t, errors.As(err, &noResponse), "%v", err)
	body, err := do(t, p, s.l.Addr().String(), "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	assert.Equal(t, s.conns, 3)
}

// After a response to another request, one that names none may belong to either.
func TestUnidentifiedResponseAfterAnother(t *testing.T) {
	none := strings.Replace(okResponse, "Id: 1\r\n", "", 1)
	s := start(t, []string{okResponse + none})
	_, err := do(t, target.NewPool(), s.l.Addr().String(), "2")
	var noResponse *target.NoResponseError
	assert.Assert(t, errors.As(err, &noResponse), "%v", err)
}

// Bytes after a complete response belong to no request, so the connection must not be reused.
func TestConnectionWithExtraBytesIsClosed(t *testing.T) {
	s := start(t, []string{okResponse + "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nbad"}, []string{strings.Replace(okResponse, "Id: 1", "Id: 2", 1)})
	p := target.NewPool()
	_, err := do(t, p, s.l.Addr().String(), "1")
	assert.NilError(t, err)
	body, err := do(t, p, s.l.Addr().String(), "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	assert.Equal(t, s.conns, 2)
}

// A request that may have run must not be sent again, not even if a reused connection breaks.
func TestRequestIsNotRepeated(t *testing.T) {
	s := start(t, []string{okResponse, ""}, []string{okResponse})
	p := target.NewPool()
	_, err := do(t, p, s.l.Addr().String(), "1")
	assert.NilError(t, err)
	_, err = do(t, p, s.l.Addr().String(), "1")
	var noResponse *target.NoResponseError
	assert.Assert(t, errors.As(err, &noResponse), "%v", err)
	assert.Equal(t, s.conns, 1)
}

func TestRefusedConnectionIsNotSentError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = do(t, target.NewPool(), addr, "1")
	var notSent *target.NotSentError
	assert.Assert(t, errors.As(err, &notSent), "%v", err)
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	s := start(t, []string{strings.Replace(okResponse, "Length: 2", "Length: 5", 1)})
	_, err := do(t, target.NewPool(), s.l.Addr().String(), "1")
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
}

func TestEventReader(t *testing.T) {
	rd := target.NewEventReader(strings.NewReader("id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nid: 3\ndata"))
	for _, want := range []string{"1", "2"} {
		ev, err := rd.Next()
		assert.NilError(t, err)
		assert.Equal(t, ev.ID, want)
	}
	_, err := rd.Next()
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "a truncated event must not be returned")
}

// An event whose lines go over into the header of a response must not be returned.
func TestEventWithResponseHeaderInside(t *testing.T) {
	const sound = "id: 1\nweight-versions: 2\nevent: x\n: comment\ndata\ndata: HTTP/1.1 200 OK\nretry: 5\n\n"
	for _, text := range []string{
		"id: 2\ndata: aHTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		"id: 2\ndata: a\nHTTP/1.1 404 Not Found\r\n\r\n",
		"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
	} {
		rd := target.NewEventReader(strings.NewReader(sound + text))
		ev, err := rd.Next()
		assert.NilError(t, err)
		assert.Equal(t, string(ev.Raw), sound)
		_, err = rd.Next()
		assert.Assert(t, errors.Is(err, target.ErrMalformedEvent), "%q: %v", text, err)
	}
}
