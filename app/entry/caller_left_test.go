package entry

import (
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/app/daemon"
	"amaranthturn/io/caller"
)

// An entry that stood still sent on what it read after the callers had left.
func TestRequestsReadAfterTheirCallersLeftAreNotSentOn(t *testing.T) {
	for _, c := range []struct{ name, path, body string }{
		{"generation", generatePath, generateBody}, {"stream", generatePath, streamBody}, {"call", callPath, "x"}, {"order", orderPath, "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			env := newStopEnv(t, &hangingAgent{}, 64)
			defer func() { <-env.stop() }()
			env.send(generatePath, generateBody) // makes the connection to the agent
			<-env.agent.begun
			l := &gatedListener{TCPListener: listen(t).(*net.TCPListener), gate: make(chan struct{})}
			callers := daemon.NewHTTPServer(l, caller.NewHandler(env.e, env.e.now))
			callers.Start()
			defer func() { _ = callers.HTTP.Close() }()
			for range 40 {
				conn, err := net.Dial("tcp", l.Addr().String())
				assert.NilError(t, err)
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Order-Ticket: %s\r\nContent-Length: %d\r\n\r\n%s", c.path, env.ticket, len(c.body), c.body)
				assert.NilError(t, err)
				assert.NilError(t, conn.Close())
			}
			time.Sleep(50 * time.Millisecond)
			close(l.gate)
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, len(env.agent.begun), 0)
		})
	}
}
