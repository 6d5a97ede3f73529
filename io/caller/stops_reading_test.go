package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
)

// largeStream sends more than what the buffers of connections hold, and reports how it ended.
type largeStream struct {
	fakeService
	ended chan error
}

func (s *largeStream) Generate(_ context.Context, _ GenerateRequest, send func(Token) error) *fleet.Refusal {
	text := strings.Repeat("x", 256<<10)
	var err error
	for i := 0; err == nil && i < 200; i++ {
		err = send(Token{Version: "v1", Index: i, Text: text})
	}
	s.ended <- err
	return fleet.Unknown(fleet.ReasonCallerDisconnected)
}

// A caller stops reading its stream and keeps its connection: the request held its slot for good.
func TestStreamOfACallerThatStopsReadingEnds(t *testing.T) {
	svc := &largeStream{ended: make(chan error, 1)}
	srv := httptest.NewServer(NewHandler(svc, time.Now))
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	assert.NilError(t, err)
	defer srv.Close()
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n%s: 300\r\nContent-Length: %d\r\n\r\n%s", HeaderTimeout, len(chat), chat)
	assert.NilError(t, err)
	_, err = io.ReadFull(c, make([]byte, 100))
	assert.NilError(t, err)
	select {
	case err := <-svc.ended:
		assert.Assert(t, err != nil)
	case <-time.After(4 * time.Second):
		t.Fatal("the stream has not ended 4 s after a timeout of 0.3 s")
	}
}
