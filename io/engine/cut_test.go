package engine_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/io/engine"
)

// cutServer answers one request with a text and then ends the connection.
type cutServer struct {
	l        net.Listener
	text     string
	received atomic.Int32
}

func (s *cutServer) run() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			s.received.Add(1)
			_, _ = io.WriteString(c, s.text)
		}
		_ = c.Close()
	}
}

// An answer of an engine that is cut after any byte is an error, never an empty success, and its
// request is sent once. The answer to a command ends with its head.
func TestCutAnswersOfEngineAreErrors(t *testing.T) {
	command := engine.Command{Fence: 7}
	for name, c := range map[string]struct {
		body string
		call func(ctx context.Context, c *engine.Client) error
	}{
		"state": {`{"boot":1,"models":[]}`, func(ctx context.Context, c *engine.Client) error {
			_, err := c.State(ctx)
			return err
		}},
		"events": {`[]`, func(ctx context.Context, c *engine.Client) error {
			_, err := c.Events(ctx, 0)
			return err
		}},
		"activate": {"", func(ctx context.Context, c *engine.Client) error { return c.Activate(ctx, command, "m", "v") }},
		"load": {"", func(ctx context.Context, c *engine.Client) error {
			return c.Load(ctx, command, "m", "v", 4, strings.NewReader("data"))
		}},
		"export cache": {"data", func(ctx context.Context, c *engine.Client) error {
			_, err := c.ExportCache(ctx, "v", 1)
			return err
		}},
		"generate": {"data: {\"index\":0,\"text\":\"a\",\"done\":true}\n", func(ctx context.Context, c *engine.Client) error {
			return c.Generate(ctx, engine.GenerateRequest{RequestID: "r", Version: "v"}, func(engine.Token) error { return nil })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(c.body), c.body)
			for n := range len(text) + 1 {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				s := &cutServer{l: l, text: text[:n]}
				go s.run()
				err = c.call(t.Context(), engine.NewClient("http://"+l.Addr().String(), &http.Client{Transport: &http.Transport{}}, ""))
				_ = l.Close()
				if n == len(text) || name == "generate" && n == len(text)-1 { // the last token was complete
					assert.NilError(t, err)
					continue
				}
				var failed *engine.FailedError
				assert.Assert(t, errors.As(err, &failed) && failed.Status == 0, "%q: %v", s.text, err)
				assert.Equal(t, s.received.Load(), int32(1), "%q", s.text)
			}
		})
	}
}
