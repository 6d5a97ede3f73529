package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
)

// trickle sends a byte now and then until the connection is closed.
type trickle struct{ conn net.Conn }

func (s trickle) run() {
	for {
		time.Sleep(50 * time.Millisecond)
		if _, err := io.WriteString(s.conn, "x"); err != nil {
			return
		}
	}
}

// A caller stalls within its request's body, or sends a byte now and then: it was never answered.
func TestStalledBodyEndsWithItsTimeout(t *testing.T) {
	srv := httptest.NewServer(NewHandler(&fakeService{}, time.Now))
	t.Cleanup(srv.Close)
	for _, path := range []string{"/v1/chat/completions", "/v1/orders/ticket", "/v1/orders/orders/x", "/v1/services/portal/x"} {
		for _, sendsBytes := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s %t", path, sendsBytes), func(t *testing.T) {
				t.Parallel()
				c, err := net.Dial("tcp", srv.Listener.Addr().String())
				assert.NilError(t, err)
				defer func() { _ = c.Close() }()
				_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\n%s: T\r\n%s: 300\r\nContent-Length: 9000\r\n\r\n{", path, HeaderTicket, HeaderTimeout)
				assert.NilError(t, err)
				if sendsBytes {
					go trickle{c}.run()
				}
				assert.NilError(t, c.SetReadDeadline(time.Now().Add(3*time.Second)))
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				assert.NilError(t, err)
				_, err = io.ReadAll(resp.Body) // the connection may be reset after it, since bytes still come
				_ = resp.Body.Close()
				assert.NilError(t, err)
				assert.Equal(t, resp.Header.Get(HeaderOutcome), fleet.OutcomeNotRun.String())
			})
		}
	}
}
