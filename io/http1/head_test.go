package http1_test

import (
	"bufio"
	"cmp"
	"errors"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/io/http1"
)

// check reads a response, after interim ones, that arrives in parts of n bytes.
func check(text string, n int) error {
	s := http1.NewHeadScanner()
	for rest := text; len(rest) > 0; rest = rest[min(n, len(rest)):] {
		s.Scan([]byte(rest[:min(n, len(rest))]))
	}
	for rd := bufio.NewReader(strings.NewReader(text)); ; {
		resp, err := http.ReadResponse(rd, nil)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		if resp.StatusCode/100 != 1 || resp.StatusCode == http.StatusSwitchingProtocols {
			return cmp.Or(http1.CheckStatus(resp), s.Err())
		}
	}
}

func TestBrokenHeads(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"sound":                     {ok + "A: b c\r\nContent-Length: 1\r\n\r\nx: y z", nil},
		"no field":                  {ok + "\r\nBad Name: v\r\n\r\n", nil},
		"no blank after the colon":  {ok + "A:b\r\nC:\r\n\r\n", nil},
		"colons in a value":         {ok + "A: b : c:d\r\n\r\n", nil},
		"bare newlines":             {"HTTP/1.1 200 OK\nA: b c\n\nx: y z", nil},
		"no reason":                 {"HTTP/1.1 200 \r\nA: b\r\n\r\n", nil},
		"blank in a name":           {ok + "A: b\r\nBad Name: v\r\n\r\n", http1.ErrMalformedHead},
		"blank in the first name":   {ok + "Bad Name: v\r\n\r\n", http1.ErrMalformedHead},
		"blank before the colon":    {ok + "Content-Length : 1\r\n\r\nxy", http1.ErrMalformedHead},
		"blanks before the colon":   {ok + "Transfer-Encoding  : chunked\r\n\r\n", http1.ErrMalformedHead},
		"continued with a blank":    {ok + "A: b\r\n Bad: v\r\n\r\n", http1.ErrMalformedHead},
		"continued with a tab":      {ok + "A: b\r\n\tc\r\n\r\n", http1.ErrMalformedHead},
		"continued by blanks":       {ok + "A: b\r\n  \r\nC: d\r\n\r\n", http1.ErrMalformedHead},
		"bare newlines, continued":  {"HTTP/1.1 200 OK\nA: b\n c\n\n", http1.ErrMalformedHead},
		"status 000":                {"HTTP/1.1 000 X\r\nA: b\r\n\r\n", http1.ErrStatus},
		"status 099":                {"HTTP/1.1 099 X\r\nA: b\r\n\r\n", http1.ErrStatus},
		"interim":                   {"HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + ok + "A: b\r\n\r\nx y: z", nil},
		"in an interim response":    {"HTTP/1.1 103 X\r\nBad Name: v\r\n\r\n" + ok + "\r\n", http1.ErrMalformedHead},
		"after an interim response": {"HTTP/1.1 103 X\r\nA: b\r\n\r\n" + ok + "Bad Name: v\r\n\r\n", http1.ErrMalformedHead},
		"after two":                 {"HTTP/1.1  100 X\nA: b\n\nHTTP/1.1 199\r\n\r\n" + ok + "A : b\r\n\r\n", http1.ErrMalformedHead},
		"other protocol":            {"HTTP/1.1 101 X\r\nA: b\r\n\r\nx y: z\r\n", nil},
		"HTTP/1.0":                  {"HTTP/1.0 200 OK\r\nContent-Length: 0\r\nX-Transfer-Encoding: y\r\nTransfer-Encodings: z\r\n\r\nTransfer-Encoding: chunked", nil},
		"encoding in HTTP/1.0":      {"HTTP/1.0 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", http1.ErrEncoding},
		"in other letters":          {"HTTP/1.0 200 OK\ntransfer-ENCODING:\n\n", http1.ErrEncoding},
		"encoding in HTTP/0.9":      {"HTTP/0.9 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", http1.ErrEncoding},
		"encoding in HTTP/1.1":      {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", nil},
		"after HTTP/1.0":            {"HTTP/1.0 103 X\r\n\r\n" + ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", nil},
		"both":                      {"HTTP/1.1 007 X\r\nBad Name: v\r\n\r\n", http1.ErrStatus},
	} {
		t.Run(name, func(t *testing.T) {
			for n := 1; n <= len(c.text); n++ {
				err := check(c.text, n)
				assert.Assert(t, errors.Is(err, c.want), "parts of %d bytes: %v", n, err)
			}
		})
	}
}

// isOneHead reports whether the fields consist of whole lines, none of which ends the head.
func isOneHead(fields string) bool {
	for _, line := range strings.SplitAfter(fields, "\n") {
		if line == "\n" || line == "\r\n" || line != "" && !strings.HasSuffix(line, "\n") {
			return false
		}
	}
	return true
}

// FuzzHead checks that no field whose name has a blank is left in an accepted head, however the head
// arrives, and that a head is judged by its own bytes only.
func FuzzHead(f *testing.F) {
	for _, fields := range []string{"A: b\r\n", "Bad Name: v\r\n", "A: b\r\n c\r\n", "A : b\n", "A: b\r\r\n", ":\r\n"} {
		f.Add(fields, "body : x\r\n", 3)
	}
	f.Fuzz(func(t *testing.T, fields, body string, n int) {
		text := "HTTP/1.1 200 OK\r\n" + fields + "\r\n"
		if n <= 0 || !isOneHead(fields) {
			return
		}
		whole := check(text, len(text))
		assert.Equal(t, errors.Is(check(text, n), http1.ErrMalformedHead), errors.Is(whole, http1.ErrMalformedHead), "%q", text)
		assert.Equal(t, errors.Is(check(text+body, n), http1.ErrMalformedHead), errors.Is(whole, http1.ErrMalformedHead), "%q", text)
		if whole != nil {
			return
		}
		for _, line := range strings.Split(strings.ReplaceAll(fields, "\r\n", "\n"), "\n") {
			name, _, _ := strings.Cut(line, ":")
			assert.Assert(t, !strings.ContainsAny(name, " \t"), "%q", text)
		}
	})
}
