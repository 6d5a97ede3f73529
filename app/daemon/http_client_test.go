package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/app/daemon"
	"amaranthturn/core/fleet"
	"amaranthturn/io/engine"
	"amaranthturn/io/operator"
	"amaranthturn/io/origin"
	"amaranthturn/io/platform"
)

// serveOne answers one call with a text and then ends the connection. It returns the server's base.
func serveOne(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	}()
	return "http://" + l.Addr().String()
}

// calls are calls of the daemons and of operators, with the sound answers to them.
var calls = map[string]struct {
	head, body string
	call       func(ctx context.Context, base string, h *http.Client) error
}{
	"engine state": {"HTTP/1.1 200 OK\r\n", `{"boot":1,"models":[]}`, func(ctx context.Context, base string, h *http.Client) error {
		_, err := engine.NewClient(base, h, "").State(ctx)
		return err
	}},
	"engine load": {"HTTP/1.1 200 OK\r\n", "", func(ctx context.Context, base string, h *http.Client) error {
		return engine.NewClient(base, h, "").Load(ctx, engine.Command{}, "m", "v", 4, strings.NewReader("data"))
	}},
	"engine activate": {"HTTP/1.1 200 OK\r\n", "", func(ctx context.Context, base string, h *http.Client) error {
		return engine.NewClient(base, h, "").Activate(ctx, engine.Command{}, "m", "v")
	}},
	"engine cache": {"HTTP/1.1 200 OK\r\n", "data", func(ctx context.Context, base string, h *http.Client) error {
		_, err := engine.NewClient(base, h, "").ExportCache(ctx, "v", 1)
		return err
	}},
	"engine generate": {"HTTP/1.1 200 OK\r\n", "data: {\"index\":0,\"text\":\"a\",\"done\":true}\n", func(ctx context.Context, base string, h *http.Client) error {
		return engine.NewClient(base, h, "").Generate(ctx, engine.GenerateRequest{Version: "v"}, func(engine.Token) error { return nil })
	}},
	"origin manifest": {"HTTP/1.1 200 OK\r\n", "data", func(ctx context.Context, base string, h *http.Client) error {
		_, err := origin.NewClient(base, h).Manifest(ctx, "v")
		return err
	}},
	"origin range": {"HTTP/1.1 206 Partial Content\r\n", "data", func(ctx context.Context, base string, h *http.Client) error {
		_, err := origin.NewClient(base, h).Range(ctx, "v", 0, 4)
		return err
	}},
	"platform config": {"HTTP/1.1 200 OK\r\nX-Revision: 3\r\n", "a = 1\n", func(ctx context.Context, base string, h *http.Client) error {
		_, err := platform.NewClient(base, h).Config(ctx, fleet.Position{}, time.Second)
		return err
	}},
	"platform instances": {"HTTP/1.1 200 OK\r\nX-Revision: 3\r\n", "[]", func(ctx context.Context, base string, h *http.Client) error {
		_, err := platform.NewClient(base, h).Instances(ctx, fleet.Position{}, time.Second)
		return err
	}},
	"operator status": {"HTTP/1.1 200 OK\r\n", "{}", func(ctx context.Context, base string, _ *http.Client) error {
		_, err := operator.NewClient(base).Status(ctx)
		return err
	}},
}

// A broken head is an error of each call, whatever can be read of the answer.
func TestBrokenHeadsOfAnswersToCallsAreErrors(t *testing.T) {
	for name, c := range calls {
		length := fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
		version, _, _ := strings.Cut(c.head, " ")
		_, fields, _ := strings.Cut(c.head, "\r\n")
		for head, answer := range map[string]struct {
			text  string
			sound bool
		}{
			"sound":                 {c.head + length + "\r\n" + c.body, true},
			"sound, unframed":       {c.head + "\r\n" + c.body, true},
			"status 000":            {version + " 000 X\r\n" + fields + length + "\r\n" + c.body, false},
			"status 099":            {version + " 099 X\r\n" + fields + length + "\r\n" + c.body, false},
			"blank":                 {c.head + "Bad Name: v\r\n" + length + "\r\n" + c.body, false},
			"length with a blank":   {c.head + strings.Replace(length, ":", " :", 1) + "\r\n" + c.body, false},
			"encoding with a blank": {c.head + fmt.Sprintf("Transfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(c.body), c.body), false},
			"continued":             {c.head + "X: y\r\n Bad: v\r\n" + length + "\r\n" + c.body, false},
			"control character":     {c.head + "Bad\x01: v\r\n" + length + "\r\n" + c.body, false},
		} {
			t.Run(name+"/"+head, func(t *testing.T) {
				err := c.call(t.Context(), serveOne(t, answer.text), daemon.Overrides{}.WithDefaults().HTTPClient())
				assert.Equal(t, err == nil, answer.sound, "%v", err)
			})
		}
	}
}
