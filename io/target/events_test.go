package target_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/io/bounded"
	"amaranthturn/io/target"
)

// maxEndlessBytes keeps a test of code without a limit from filling the memory.
const maxEndlessBytes = 48 << 20

// An event without end may consist of one line or of many short ones.
func TestEventWithoutEndIsAnError(t *testing.T) {
	for name, line := range map[string]string{"one line": "x", "short lines": "data: x\n", "no data": ":\n"} {
		t.Run(name, func(t *testing.T) {
			stream := &repeater{text: []byte(line), left: maxEndlessBytes}
			_, err := target.NewEventReader(stream).Next()
			var tooLarge *bounded.TooLargeError
			assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
			assert.Equal(t, tooLarge.Part, bounded.PartEvent)
			assert.Assert(t, maxEndlessBytes-stream.left < 2<<20)
		})
	}
}

// A line of exactly the buffer's size must not end its event, and what follows in a long line
// must not be taken for a field.
func TestLongLinesDoNotEndAnEvent(t *testing.T) {
	for _, n := range []int{4<<10 - 1, 4 << 10, 4<<10 + 1, 8 << 10} {
		first := "data: " + strings.Repeat("x", n-len("data: ")) + "\nid: 1\n\n"
		second := "id: 2\ndata: " + strings.Repeat("y", n-len("id: 2\ndata: ")) + "id: 9\n\n"
		rd := target.NewEventReader(strings.NewReader(first + second))
		for i, want := range []string{first, second} {
			ev, err := rd.Next()
			assert.NilError(t, err)
			assert.Equal(t, string(ev.Raw), want)
			assert.Equal(t, ev.ID, []string{"1", "2"}[i])
		}
		_, err := rd.Next()
		assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	}
}

// repeater returns text until left bytes were read.
type repeater struct {
	text []byte
	left int
	pos  int
}

// Read implements io.Reader.
func (r *repeater) Read(p []byte) (int, error) {
	n := min(len(p), r.left)
	for i := range n {
		p[i] = r.text[r.pos%len(r.text)]
		r.pos++
	}
	r.left -= n
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// A slow server sends comments. They come with the event that follows, and none is an event itself.
func TestCommentsAreNoEvents(t *testing.T) {
	const first, second = ":\n\n\n: still there\r\n\r\n: a\nid: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
	for rest, want := range map[string]error{
		"": io.EOF, ":\n\n": io.EOF, "\n": io.EOF, ":": io.ErrUnexpectedEOF, ":\n": io.ErrUnexpectedEOF, ":\n\nid: 3\n": io.ErrUnexpectedEOF,
		"HTTP/1.1 200 OK\r\n\r\n": target.ErrMalformedEvent, ":\n\nHTTP/1.1 200 OK\r\n\r\n": target.ErrMalformedEvent,
	} {
		rd := target.NewEventReader(strings.NewReader(first + second + rest))
		for i, raw := range []string{first, second} {
			ev, err := rd.Next()
			assert.NilError(t, err)
			assert.Equal(t, string(ev.Raw), raw)
			assert.Equal(t, ev.ID, []string{"1", "2"}[i])
		}
		_, err := rd.Next()
		assert.Assert(t, errors.Is(err, want), "%q: %v", rest, err)
	}
	stream := &repeater{text: []byte(":\n\n"), left: maxEndlessBytes}
	_, err := target.NewEventReader(stream).Next()
	var tooLarge *bounded.TooLargeError
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
}
