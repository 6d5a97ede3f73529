package daemon

import (
	"bytes"
	"strconv"
)

//go:generate stringer -type=splitPhase -output=daemon_string.go -linecomment

// splitPhase is the part of a request that the next byte of a connection belongs to.
type splitPhase int

// The phases. After a header the length of the body is unknown until the server has parsed it.
const (
	phaseHeader      splitPhase = iota // header
	phaseHeaderEnded                   // header_ended
	phaseBody                          // body
	phaseChunkSize                     // chunk_size
	phaseChunkData                     // chunk_data
	phaseChunkEnd                      // chunk_end
	phaseTrailer                       // trailer
	phaseBetween                       // between
)

// splitter finds the ends of the requests in what a connection receives. It only decides how the
// bytes are divided into reads and changes none: what it takes for an end is not trusted. The zero
// value is at the start of a request.
type splitter struct {
	phase splitPhase
	line  []byte // the start of the current line, at most maxChunkLine bytes
	lines int    // complete lines of the header
	left  int64  // bytes left of the body or the chunk
}

// maxChunkLine is how much of a line is looked at. The size of a chunk stands at its start.
const maxChunkLine = 32

// take returns how many bytes at the start of data belong to the current request, or to the next
// one if the current one has ended. It is at least 1 if there is data.
func (s *splitter) take(data []byte) int {
	if s.phase == phaseBetween {
		*s = splitter{}
	}
	n := 0
	for n < len(data) && s.phase != phaseBetween && s.phase != phaseHeaderEnded {
		n += s.step(data[n:])
	}
	if s.phase == phaseHeaderEnded && n == 0 {
		return len(data) // nothing is known about the body
	}
	return n
}

// step consumes a part of data, within one line or one run of a body's bytes.
func (s *splitter) step(data []byte) int {
	if s.phase == phaseBody || s.phase == phaseChunkData {
		n := min(int64(len(data)), s.left)
		s.left -= n
		if s.left == 0 {
			s.endData()
		}
		return int(n)
	}
	end := bytes.IndexByte(data, '\n')
	part := data
	if end >= 0 {
		part = data[:end]
	}
	s.line = append(s.line, part[:min(len(part), maxChunkLine-len(s.line))]...)
	if end < 0 {
		return len(data)
	}
	s.endLine(bytes.TrimSuffix(s.line, []byte("\r")))
	s.line = s.line[:0]
	return end + 1
}

// endData ends a body of known length or the data of a chunk.
func (s *splitter) endData() {
	if s.phase == phaseBody {
		s.phase = phaseBetween
		return
	}
	s.phase = phaseChunkEnd
}

func (s *splitter) endLine(line []byte) {
	switch s.phase {
	case phaseHeader:
		if len(line) == 0 && s.lines > 0 {
			s.phase = phaseHeaderEnded
		}
		s.lines++
	case phaseChunkSize:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseInt(string(bytes.TrimSpace(size)), 16, 64)
		switch {
		case err != nil || n < 0:
			s.phase = phaseHeaderEnded // the server rejects it
		case n == 0:
			s.phase = phaseTrailer
		default:
			s.phase, s.left = phaseChunkData, n
		}
	case phaseChunkEnd:
		s.phase = phaseChunkSize
	case phaseTrailer:
		if len(line) == 0 {
			s.phase = phaseBetween
		}
	}
}

// setBody sets the length of the body of the request whose header has ended, -1 for chunks.
func (s *splitter) setBody(length int64) {
	switch {
	case s.phase != phaseHeaderEnded:
	case length < 0:
		s.phase = phaseChunkSize
	case length == 0:
		s.phase = phaseBetween
	default:
		s.phase, s.left = phaseBody, length
	}
}
