package target

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

var errEventTooLong = errors.New("event is too long")

// Event is one whole event of a stream, with the empty line that ends it.
type Event struct {
	Raw []byte
	ID  string
}

// Events reads whole events; one that breaks off is not returned.
type Events struct {
	rd *bufio.Reader
}

// NewEvents reads from r.
func NewEvents(r io.Reader) *Events { return &Events{rd: bufio.NewReaderSize(r, 4<<10)} }

// Next returns the next event. io.EOF means that the stream ended after a whole event,
// io.ErrUnexpectedEOF that it ended within one.
func (e *Events) Next() (Event, error) {
	var ev Event
	for {
		line, err := e.rd.ReadSlice('\n')
		ev.Raw = append(ev.Raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(ev.Raw) > maxEvent {
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
