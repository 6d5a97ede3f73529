package target

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes is the maximum size of an event.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("event exceeds 1 MiB")

// Event is a complete event of a stream, including the empty line that ends it.
type Event struct {
	Raw []byte
	ID  string
}

// EventReader reads complete events. It does not return a truncated event.
type EventReader struct {
	rd *bufio.Reader
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader { return &EventReader{rd: bufio.NewReaderSize(r, 4<<10)} }

// Next returns the next event. It returns io.EOF if the stream ended after a complete event
// and io.ErrUnexpectedEOF if it ended within one.
func (e *EventReader) Next() (Event, error) {
	var ev Event
	for {
		line, err := e.rd.ReadSlice('\n')
		ev.Raw = append(ev.Raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(ev.Raw) > maxEventBytes {
				return Event{}, errEventTooLong
			}
			continue
		case errors.Is(err, io.EOF) && len(ev.Raw) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			ev.ID = string(bytes.TrimSpace(id))
		}
	}
}
