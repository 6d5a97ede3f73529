package target_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/io/target"
)

// sentLine sends a request for a URI and returns its first line as the target reads it.
func sentLine(t *testing.T, uri string) (string, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	lines := make(chan string, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		line, _ := bufio.NewReader(c).ReadString('\n')
		lines <- strings.TrimSpace(line)
		_, _ = io.WriteString(c, okResponse)
		_ = c.Close()
	}()
	resp, err := target.NewPool().Do(t.Context(), l.Addr().String(), &target.Request{
		Method: "GET", URI: uri, Host: "h", Header: http.Header{}, Match: func(int, http.Header) target.Match { return target.MatchRequest },
	})
	if err != nil {
		return "", err
	}
	resp.Close()
	return <-lines, nil
}

// A path that began with two slashes was sent as the path of another host ("POST http://place/2f").
func TestURIIsSentUnchanged(t *testing.T) {
	for _, uri := range []string{
		"/", "/a%2Fb?q=1", "//place/2f", "//place//2f/?q=//x&r=%2f", "///", "//", "//a%20b;c=d/@:$", "//user@host:80/p", "/a|b?c={d}", "/?", "//a?",
	} {
		line, err := sentLine(t, uri)
		assert.NilError(t, err, uri)
		assert.Equal(t, line, "GET "+uri+" HTTP/1.1")
	}
	for _, uri := range []string{"//a|b", "//a%zz"} {
		_, err := sentLine(t, uri)
		var notSent *target.NotSentError
		assert.Assert(t, errors.As(err, &notSent), "%s: %v", uri, err)
	}
}
