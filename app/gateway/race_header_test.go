package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/forward"
	"amaranthturn/platform/platformtest"
)

// headerRecorder records the header of a response, too.
type headerRecorder struct {
	*recorder
	reply forward.Reply
}

// WriteHeader implements forward.Responder.
func (r *headerRecorder) WriteHeader(reply forward.Reply) {
	r.reply = reply
	r.recorder.WriteHeader(reply)
}

// resume sends the request of a replay after an event.
func (p *replay) resume(t *testing.T, g *Gateway, after string) forward.Reply {
	rec := &headerRecorder{recorder: &p.recorder}
	path := "/" + string(p.name) + "/x"
	began := time.Now()
	p.err = g.Serve(t.Context(), &forward.Call{ID: forward.RequestID(p.name), Method: "POST", URI: path, Path: path, Host: "h", Header: http.Header{}, Body: []byte("x"), LastEventID: after}, rec)
	p.took = time.Since(began)
	p.recorder.ended.Store(true)
	return rec.reply
}

// sealed sends a stream with a seal of its own. It is silent before an event, forever if the pause is
// negative. Without a framing its end is that of the connection.
func sealed(seal string, from, before int, pause time.Duration, framed bool) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n",
			platformtest.HeaderAttemptID, r.Header.Get(platformtest.HeaderAttemptID), platformtest.HeaderSeal, seal)
		if framed {
			head += "Transfer-Encoding: chunked\r\n"
		} else {
			head = strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1)
		}
		_, err := io.WriteString(c, head+"\r\n")
		for i := from; i <= replayedEvents+1 && err == nil; i++ {
			switch {
			case i == before && pause < 0:
				_, _ = io.Copy(io.Discard, c)
				return false
			case i == before:
				time.Sleep(pause)
			}
			ev := fmt.Sprintf("id: %d\ndata: v1-%d\n\n", i, i)
			switch {
			case i > replayedEvents && framed:
				_, err = io.WriteString(c, "0\r\n\r\n")
			case i > replayedEvents:
			case framed:
				_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
			default:
				_, err = io.WriteString(c, ev)
			}
		}
		return framed && err == nil
	}
}

// The header that the caller receives is that of the target whose first event it receives, also if
// that of another target has arrived before.
func TestHeaderIsThatOfTheFirstEvent(t *testing.T) {
	for _, c := range []struct {
		first, second func(net.Conn, *http.Request) bool
		want          string
	}{
		{sealed("a", 1, 1, -1, true), sealed("b", 1, 0, 0, true), "b"},
		{sealed("a", 1, 1, 2*replayedStall, true), sealed("b", 1, 1, -1, true), "a"},
		{sealed("a", 1, 2, -1, true), sealed("b", 2, 0, 0, true), "a"},
		{sealed("a", 1, 1, -1, false), sealed("b", 1, 0, 0, true), "b"},
	} {
		p := replayOf(t, "s", 3, play{raw: c.first}, play{raw: c.second})
		g := newReplayGateway(t, []*replay{p})
		reply := p.resume(t, g, "")
		assert.NilError(t, p.err)
		assert.Equal(t, p.received(), wholeStream())
		assert.Equal(t, reply.Header.Get(platformtest.HeaderSeal), c.want)
		assert.Assert(t, !reply.Unframed)
		assert.Assert(t, p.arrived() >= 2, "no replacement")
	}
}

// A stream that its caller resumes is replaced after the event that the caller has.
func TestResumedStreamIsReplaced(t *testing.T) {
	p := replayOf(t, "s", 3, play{version: 1, end: endHangs}, play{version: 1})
	g := newReplayGateway(t, []*replay{p})
	p.resume(t, g, "3")
	assert.NilError(t, p.err)
	whole := wholeStream()
	assert.Equal(t, p.received(), whole[strings.Index(whole, "id: 4"):])
	assert.Assert(t, p.arrived() >= 2, "no replacement")
}

// The end of a body without a framing completes no framed stream, also beside another attempt.
func TestUnframedReplacementOfASilentTarget(t *testing.T) {
	for _, c := range []struct {
		firstFramed, secondFramed, complete bool
	}{{true, true, true}, {true, false, false}, {false, true, true}, {false, false, true}} {
		p := replayOf(t, "s", 2, play{raw: sealed("a", 1, 4, -1, c.firstFramed)}, play{raw: sealed("b", 4, 0, 0, c.secondFramed)})
		g := newReplayGateway(t, []*replay{p})
		reply := p.resume(t, g, "")
		assert.Equal(t, p.received(), wholeStream())
		assert.Equal(t, reply.Unframed, !c.firstFramed)
		if c.complete {
			assert.NilError(t, p.err)
		} else {
			assert.Assert(t, errors.Is(p.err, errTruncated), "%v", p.err)
		}
	}
}

// A target has sent its last event and pauses before the end of its body. That replacements have nothing
// to add is no end.
func TestPauseBeforeTheEndOfTheBody(t *testing.T) {
	first := play{version: 1}
	first.pauses[replayedEvents+1] = 6 * replayedStall
	p := replayOf(t, "s", 4, first, play{version: 1})
	g := newReplayGateway(t, []*replay{p})
	p.resume(t, g, "")
	assert.NilError(t, p.err)
	assert.Equal(t, p.received(), wholeStream())
	assert.Assert(t, p.arrived() >= 2, "no replacement")
}
