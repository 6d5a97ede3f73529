package daemon_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A part of the next request was read together with the previous one when a stop begins.
func TestStopAnswersRequestReadInPart(t *testing.T) {
	for _, part := range []string{"G", "GET /2 HT", "GET /2 HTTP/1.1\r\nHost: h\r\n"} {
		t.Run(fmt.Sprintf("%d bytes", len(part)), func(t *testing.T) {
			stopAfterPart(t, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", part)
		})
	}
}

// stopAfterPart sends a request together with a part of the next one, and the rest after the server
// has begun to stop and has answered the first one. Both are answered.
func stopAfterPart(t *testing.T, first, part string) {
	s, addr := startServer(t, &recorder{handled: map[string]int{}, delay: 300 * time.Millisecond})
	k := dial(t, addr)
	const second = "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
	assert.NilError(t, k.write(first+part))
	time.Sleep(100 * time.Millisecond)
	done := drain(t, s)
	body, err := k.response()
	assert.NilError(t, err)
	assert.Equal(t, body, "/1 <nil>")
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, k.write(second[len(part):]))
	body, err = k.response()
	assert.NilError(t, err)
	assert.Equal(t, body, "/2 <nil>")
	assert.NilError(t, <-done)
}

// The rest of a request's body arrives during a stop, then the next request.
func TestStopAnswersBodyThatArrives(t *testing.T) {
	s, addr := startServer(t, &recorder{handled: map[string]int{}})
	k := dial(t, addr)
	assert.NilError(t, k.write("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab"))
	time.Sleep(50 * time.Millisecond)
	done := drain(t, s)
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, k.write("cd"))
	body, err := k.response()
	assert.NilError(t, err)
	assert.Equal(t, body, "/1 <nil>")
	assert.NilError(t, <-done)
}

// Old callers, callers that never send anything and callers that stop within a request line end with
// a stop, and leave no goroutine.
func TestStopOfManyConnectionsLeavesNothing(t *testing.T) {
	before := runtime.NumGoroutine()
	s, addr := startServer(t, &recorder{handled: map[string]int{}, delay: 100 * time.Millisecond})
	var old []*kept
	for i := range 300 {
		k := dial(t, addr)
		switch i % 3 {
		case 0:
			assert.NilError(t, k.write("GET /old HTTP/1.0\r\n\r\n"))
			old = append(old, k)
		case 1:
			assert.NilError(t, k.write("GET /new HTTP/1.1\r\nHost: h\r\n\r\n"))
			old = append(old, k)
		}
	}
	time.Sleep(50 * time.Millisecond)
	done := drain(t, s)
	for _, k := range old {
		_, err := k.response()
		assert.NilError(t, err)
	}
	start := time.Now()
	assert.NilError(t, <-done)
	assert.Assert(t, time.Since(start) < time.Second, "%v", time.Since(start))
	for range 100 {
		if runtime.NumGoroutine() <= before+1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, runtime.NumGoroutine() <= before+1, "%d goroutines, %d before", runtime.NumGoroutine(), before)
}

// A caller that sends one byte and no more must not hold a stop until the end of its grace period.
func TestStopIsNotHeldByOneByte(t *testing.T) {
	s, addr := startServer(t, &recorder{handled: map[string]int{}})
	k := dial(t, addr)
	assert.NilError(t, k.write("G"))
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, <-drain(t, s))
}

// The next request begins in the read in which the body of the one before ends.
func TestStopAnswersRequestReadInPartAfterBody(t *testing.T) {
	for name, first := range map[string]string{
		"length": "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabcd",
		"chunks": "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2;x=y\r\ncd\r\n0\r\nA: b\r\n\r\n",
	} {
		for _, part := range []string{"G", "GET /2 HT", "GET /2 HTTP/1.1\r\nHost: h\r\n"} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, len(part)), func(t *testing.T) { stopAfterPart(t, first, part) })
		}
	}
}

// A caller that sent a second request together with the first and then disconnects is noticed while
// the first one is handled.
func TestDisconnectAfterTwoRequestsIsNoticed(t *testing.T) {
	h := &recorder{handled: map[string]int{}, delay: 5 * time.Second}
	_, addr := startServer(t, h)
	k := dial(t, addr)
	const second = "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
	assert.NilError(t, k.write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"+second))
	time.Sleep(100 * time.Millisecond)
	assert.NilError(t, k.Close())
	select {
	case <-h.ended():
	case <-time.After(2 * time.Second):
		t.Fatal("the first request is still handled 2 s after its caller has disconnected")
	}
}
