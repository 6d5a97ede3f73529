package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/io/engine"
)

// repeatingEngine answers each request with a token that names it. On a kept connection it
// writes a response to an earlier request first.
type repeatingEngine struct {
	repeated string
	ran      atomic.Int32
}

func (e *repeatingEngine) run(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *repeatingEngine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	rd := bufio.NewReader(c)
	for kept := false; ; kept = true {
		r, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		e.ran.Add(1)
		if kept {
			_, _ = io.WriteString(c, e.repeated)
		}
		_, _ = io.WriteString(c, tokenResponse(r.Header.Get("X-Request-Id")))
	}
}

func tokenResponse(text string) string {
	body := fmt.Sprintf("data: {\"index\":0,\"text\":%q,\"done\":true}\n\n", text)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// An engine repeats its response to an earlier request on a kept connection. Its protocol has
// no ID in responses, so that must not be possible for any call.
func TestResponseRepeatedByEngine(t *testing.T) {
	for name, repeated := range map[string]string{
		"not loaded": "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
		"busy":       "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"tokens":     tokenResponse("earlier"),
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = l.Close() }()
			e := &repeatingEngine{repeated: repeated}
			go e.run(l)
			client := engine.NewClient("http://"+l.Addr().String(), &http.Client{Transport: &http.Transport{}}, "")
			for i := range 6 {
				id, text := fmt.Sprintf("r%d", i), ""
				err := client.Generate(t.Context(), engine.GenerateRequest{RequestID: id}, func(tok engine.Token) error { text = tok.Text; return nil })
				assert.NilError(t, err, id)
				assert.Equal(t, text, id)
			}
			assert.Equal(t, e.ran.Load(), int32(6))
		})
	}
}

// An engine reports an error as an event of its stream. That is no token.
func TestErrorInTokenStream(t *testing.T) {
	for _, event := range []string{`{"error":{"message":"out of memory"}}`, `{}`, `{"text":"x"}`, `{"index":-1,"text":"x"}`, `null`} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "data: "+event+"\n\n")
		}))
		tokens := 0
		err := engine.NewClient(srv.URL, srv.Client(), "").Generate(t.Context(), engine.GenerateRequest{}, func(engine.Token) error { tokens++; return nil })
		srv.Close()
		assert.Assert(t, err != nil, event)
		assert.Equal(t, tokens, 0, event)
	}
}
