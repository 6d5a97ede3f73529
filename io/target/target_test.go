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

// server answers each connection with a script of raw bytes, one for each request.
type server struct {
	l       net.Listener
	answers [][]string // by connection
	conns   int
}

func start(t *testing.T, answers ...[]string) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{l: l, answers: answers}
	t.Cleanup(func() { _ = l.Close() })
	go s.run()
	return s
}

func (s *server) run() {
	for _, script := range s.answers {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.conns++
		rd := bufio.NewReader(c)
		for _, a := range script {
			req, err := http.ReadRequest(rd)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, a)
		}
		_ = c.Close()
	}
}

const whole = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

func ask(t *testing.T, p *target.Pool, addr, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	x, err := p.Do(ctx, addr, &target.Request{
		Method: "POST", URI: "/a%2Fb?q=1", Host: "h", Header: http.Header{}, Body: []byte("body"),
		Mine: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := io.ReadAll(x.Body)
	return string(body), err
}

func TestConnectionIsKept(t *testing.T) {
	s := start(t, []string{whole, strings.Replace(whole, "Id: 1", "Id: 2", 1)})
	p := target.NewPool()
	for _, id := range []string{"1", "2"} {
		body, err := ask(t, p, s.l.Addr().String(), id)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, s.conns, 1)
}

// A second answer to a request that ended must not become the next one's.
func TestLateAnswerIsSkipped(t *testing.T) {
	extra := strings.Replace(whole, "ok", "no", 1)
	s := start(t, []string{whole, extra + strings.Replace(whole, "Id: 1", "Id: 2", 1)})
	p := target.NewPool()
	_, err := ask(t, p, s.l.Addr().String(), "1")
	assert.NilError(t, err)
	body, err := ask(t, p, s.l.Addr().String(), "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
}

// Bytes behind a whole answer belong to no request: the connection is not used again.
func TestConnectionWithMoreBytesIsClosed(t *testing.T) {
	s := start(t, []string{whole + "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nbad"}, []string{strings.Replace(whole, "Id: 1", "Id: 2", 1)})
	p := target.NewPool()
	_, err := ask(t, p, s.l.Addr().String(), "1")
	assert.NilError(t, err)
	body, err := ask(t, p, s.l.Addr().String(), "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	assert.Equal(t, s.conns, 2)
}

// A request that may have run is never sent again by this layer, also on a connection that
// was kept.
func TestNothingIsSentTwice(t *testing.T) {
	s := start(t, []string{whole, ""}, []string{whole})
	p := target.NewPool()
	_, err := ask(t, p, s.l.Addr().String(), "1")
	assert.NilError(t, err)
	_, err = ask(t, p, s.l.Addr().String(), "1")
	var lost *target.LostError
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	assert.Equal(t, s.conns, 1)
}

func TestNothingListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = ask(t, target.NewPool(), addr, "1")
	var notSent *target.NotSentError
	assert.Assert(t, errors.As(err, &notSent), "%v", err)
}

func TestBrokenBodyIsAnError(t *testing.T) {
	s := start(t, []string{strings.Replace(whole, "Length: 2", "Length: 5", 1)})
	_, err := ask(t, target.NewPool(), s.l.Addr().String(), "1")
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
}

func TestEvents(t *testing.T) {
	rd := target.NewEvents(strings.NewReader("id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nid: 3\ndata"))
	for _, want := range []string{"1", "2"} {
		ev, err := rd.Next()
		assert.NilError(t, err)
		assert.Equal(t, ev.ID, want)
	}
	_, err := rd.Next()
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "an event that breaks off is not given on")
}
