package daemon

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// splitRequests passes parts to a splitter as a connection does, and returns the requests that it
// finds in them.
func splitRequests(parts []string, bodies []int64) []string {
	s := &splitter{}
	var out []string
	current := ""
	for _, p := range parts {
		for data := []byte(p); len(data) > 0; {
			n := s.take(data)
			current += string(data[:n])
			data = data[n:]
			if s.phase == phaseHeaderEnded && len(bodies) > 0 {
				s.setBody(bodies[0])
				bodies = bodies[1:]
			}
			if s.phase == phaseBetween {
				out = append(out, current)
				current = ""
			}
		}
	}
	if current != "" {
		out = append(out, current)
	}
	return out
}

func TestSplitterFindsEndsOfRequests(t *testing.T) {
	requests := []string{
		"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /2 HTTP/1.1\r\nContent-Length: 5\r\n\r\n\r\n\r\na",
		"GET /3 HTTP/1.1\nHost: h\n\n",
		"POST /4 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\na;x=\"1\"\r\n\r\n\r\n0\r\n\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"POST /5 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n\r\n",
		"GET /6 HTTP/1.1\r\nX: " + string(make([]byte, 9000)) + "\r\n\r\n",
	}
	bodies := []int64{0, 5, 0, -1, -1, 0}
	all := ""
	for _, r := range requests {
		all += r
	}
	rapid.Check(t, func(t *rapid.T) {
		var parts []string
		for rest := all; rest != ""; {
			n := rapid.IntRange(1, min(len(rest), rapid.SampledFrom([]int{1, 3, 40, 5000}).Draw(t, "max"))).Draw(t, "n")
			parts = append(parts, rest[:n])
			rest = rest[n:]
		}
		assert.DeepEqual(t, splitRequests(parts, bodies), requests)
	})
}

// Whatever a caller sends, all bytes are passed on and each call makes progress.
func TestSplitterPassesEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &splitter{}
		data := []byte(rapid.StringMatching(`[G\r\n0a;: ]{0,200}`).Draw(t, "data"))
		for len(data) > 0 {
			n := s.take(data)
			if n < 1 || n > len(data) {
				t.Fatalf("take returned %d of %d", n, len(data))
			}
			data = data[n:]
			if rapid.Bool().Draw(t, "parsed") {
				s.setBody(rapid.Int64Range(-1, 50).Draw(t, "length"))
			}
		}
	})
}
