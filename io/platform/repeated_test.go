package platform_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	"amaranthturn/io/platform"
)

// repeatingPlatform answers each request, and repeats the answer before on a kept connection.
type repeatingPlatform struct{}

func (p repeatingPlatform) run(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (repeatingPlatform) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	rd := bufio.NewReader(c)
	for earlier := ""; ; {
		r, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		answer := "HTTP/1.1 304 Not Modified\r\n\r\n"
		if r.URL.Query().Get("after") == "0" {
			answer = documentResponse("[]", 9) // the list
			if r.URL.Path == "/v1/config" {
				answer = documentResponse("the configuration", 3)
			}
		}
		_, _ = io.WriteString(c, earlier+answer)
		earlier = answer
	}
}

func documentResponse(body string, revision int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Revision: %d\r\nX-Era: 1\r\nContent-Length: %d\r\n\r\n%s", revision, len(body), body)
}

// The platform repeats an answer on a kept connection. Its protocol has no ID in answers: a repeated
// instance list was taken for a configuration, and its higher revision for that of the last one read.
func TestAnswerRepeatedByPlatform(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go repeatingPlatform{}.run(l)
	c := platform.NewClient("http://"+l.Addr().String(), &http.Client{Transport: &http.Transport{}})
	for range 5 {
		list, err := c.Instances(t.Context(), fleet.Position{}, 0)
		assert.NilError(t, err)
		assert.Equal(t, list.Position, fleet.Position{Era: 1, Revision: 9})
		got, err := c.Config(t.Context(), fleet.Position{}, 0)
		assert.NilError(t, err)
		assert.Equal(t, string(got.Body), "the configuration")
		assert.Equal(t, got.Position, fleet.Position{Era: 1, Revision: 3})
		_, err = c.Config(t.Context(), got.Position, time.Millisecond)
		assert.Assert(t, errors.Is(err, platform.ErrUnchanged), "%v", err)
	}
}
