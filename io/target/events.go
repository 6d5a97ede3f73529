package target

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"amaranthturn/io/bounded"
)

// maxEventBytes is the maximum size of an event.
const maxEventBytes = 1 << 20

// Event is a complete event of a stream, including the empty line that ends it and the comments before
// it.
type Event struct {
	Raw []byte
	ID  string
}

// ErrMalformedEvent reports an event with a line that is no field.
var ErrMalformedEvent = errors.New("line of an event is no field")

// EventReader reads complete events. It does not return a truncated event, nor one that other
// bytes follow, such as the header of a response.
type EventReader struct {
	rd   *bufio.Reader
	held *bounded.Share // nil if the events are not counted
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader { return &EventReader{rd: bufio.NewReaderSize(r, 4<<10)} }

// hold counts the bytes of the current event.
func (e *EventReader) hold(n int) error {
	if e.held == nil {
		return nil
	}
	return e.held.Hold(int64(n))
}

// Next returns the next event, which counts as held until the next call. Comments, by which a slow server
// shows that it is there, are no events. It returns io.EOF if the stream ended after a complete event or comment,
// io.ErrUnexpectedEOF if it ended within one, *bounded.TooLargeError if the event is too
// large, by itself or with those of the pool's other responses, and ErrMalformedEvent if one of its lines is no field.
func (e *EventReader) Next() (Event, error) {
	var ev Event
	lineStart, blockStart, hasField := 0, 0, false
	for {
		part, err := e.rd.ReadSlice('\n')
		ev.Raw = append(ev.Raw, part...)
		if err := e.hold(cap(ev.Raw)); err != nil {
			return Event{}, err
		}
		switch {
		case len(ev.Raw) > maxEventBytes:
			return Event{}, &bounded.TooLargeError{Part: bounded.PartEvent, Limit: maxEventBytes}
		case errors.Is(err, bufio.ErrBufferFull):
			continue // the line is longer than the buffer
		case errors.Is(err, io.EOF) && len(ev.Raw) > blockStart:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err
		}
		line := bytes.TrimRight(ev.Raw[lineStart:], "\r\n")
		lineStart = len(ev.Raw)
		if len(line) == 0 {
			if hasField {
				return ev, nil
			}
			blockStart = len(ev.Raw)
			continue
		}
		if !isField(line) {
			return Event{}, ErrMalformedEvent
		}
		hasField = hasField || line[0] != ':'
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			ev.ID = string(bytes.TrimSpace(id))
		}
	}
}

// isField reports whether a line is a comment or a field, whose name is in lower case.
func isField(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	return len(bytes.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-_")) == 0
}
