package target_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/io/target"
)

// brokenHeads are heads whose statuses or names of fields HTTP does not allow.
var brokenHeads = map[string]string{
	"status 000":                "HTTP/1.1 000 X\r\nId: 1\r\nContent-Length: 2\r\n\r\nno",
	"status 099":                "HTTP/1.1 099 X\r\nId: 1\r\nContent-Length: 2\r\n\r\nno",
	"status of two digits":      "HTTP/1.1 20 X\r\nId: 1\r\nContent-Length: 2\r\n\r\nno",
	"status of four digits":     "HTTP/1.1 2000 X\r\nId: 1\r\nContent-Length: 2\r\n\r\nno",
	"status with a sign":        "HTTP/1.1 +20 X\r\nId: 1\r\nContent-Length: 2\r\n\r\nno",
	"blank in a name":           "HTTP/1.1 200 OK\r\nId: 1\r\nBad Name: v\r\nContent-Length: 2\r\n\r\nno",
	"blank in the last name":    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nBad Name: v\r\n\r\nno",
	"blank before the colon":    "HTTP/1.1 200 OK\r\nId: 1\r\nBad : v\r\nContent-Length: 2\r\n\r\nno",
	"length with a blank":       "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 2\r\n\r\nno more",
	"encoding with a blank":     "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"HTTP/1.0":                  "HTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"line that begins blank":    "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n Bad: v\r\nContent-Length: 2\r\n\r\nno",
	"line that begins with tab": "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n\tBad: v\r\nContent-Length: 2\r\n\r\nno",
	"first line begins blank":   "HTTP/1.1 200 OK\r\n Bad: v\r\nId: 1\r\nContent-Length: 2\r\n\r\nno",
	"tab in a name":             "HTTP/1.1 200 OK\r\nId: 1\r\nBad\tName: v\r\nContent-Length: 2\r\n\r\nno",
	"NUL in a name":             "HTTP/1.1 200 OK\r\nId: 1\r\nBad\x00Name: v\r\nContent-Length: 2\r\n\r\nno",
	"control character in one":  "HTTP/1.1 200 OK\r\nId: 1\r\nBad\x01: v\r\nContent-Length: 2\r\n\r\nno",
	"carriage return in one":    "HTTP/1.1 200 OK\r\nId: 1\r\nBad\rName: v\r\nContent-Length: 2\r\n\r\nno",
	"delete in a name":          "HTTP/1.1 200 OK\r\nId: 1\r\nBad\x7f: v\r\nContent-Length: 2\r\n\r\nno",
	"after a long header":       "HTTP/1.1 200 OK\r\nId: 1\r\nX: " + strings.Repeat("x", 9000) + "\r\nBad Name: v\r\nContent-Length: 2\r\n\r\nno",
	"name longer than a buffer": "HTTP/1.1 200 OK\r\nId: 1\r\n" + strings.Repeat("x", 9000) + " : v\r\nContent-Length: 2\r\n\r\nno",
	"interim, blank in a name":  "HTTP/1.1 103 Early Hints\r\nBad Name: v\r\n\r\n" + okResponse,
	"interim, status 099":       "HTTP/1.1 099 X\r\n\r\n" + okResponse,
	"after a sound interim":     "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nBad Name: v\r\nContent-Length: 2\r\n\r\nno",
	"of another request":        "HTTP/1.1 200 OK\r\nId: 0\r\nBad Name: v\r\nContent-Length: 2\r\n\r\nno" + okResponse,
	"after another request's":   strings.Replace(okResponse, "Id: 1", "Id: 0", 1) + "HTTP/1.1 200 OK\r\nId: 1\r\nBad Name: v\r\nContent-Length: 2\r\n\r\nno",
	"not run, blank in a name":  "HTTP/1.1 503 X\r\nId: 1\r\nNot-Run: 1\r\nBad Name: v\r\nContent-Length: 0\r\n\r\n",
	"not run without an ID":     "HTTP/1.1 503 X\r\nNot-Run: 1\r\n Bad: v\r\nContent-Length: 0\r\n\r\n",
}

// Nothing in a broken head counts: neither its status nor its ID, and the request may have run.
func TestBrokenHeadIsNoResponse(t *testing.T) {
	for name, text := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			s := start(t, []string{text})
			var matched []string // IDs of the responses whose heads were taken
			resp, err := target.NewPool().Do(t.Context(), s.l.Addr().String(), &target.Request{
				Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: []byte("body"),
				Match: func(_ int, h http.Header) target.Match {
					matched = append(matched, h.Get("Id"))
					return matchOf("1", h)
				},
			})
			if err == nil {
				body, _ := resp.ReadBody(1 << 20)
				resp.Close()
				t.Fatalf("response with status %d, header %v and body %q", resp.Status, resp.Header, body)
			}
			var noResponse *target.NoResponseError
			assert.Assert(t, errors.As(err, &noResponse), "%v", err)
			want := ""
			if name == "after another request's" {
				want = "0"
			}
			assert.Equal(t, strings.Join(matched, ","), want)
		})
	}
}

// A sound response after which another one arrives in the same segment is not judged by that one.
func TestHeadIsJudgedByItself(t *testing.T) {
	s := start(t, []string{okResponse + "HTTP/1.1 200 OK\r\nBad Name: v\r\n\r\n"})
	body, err := do(t, target.NewPool(), s.l.Addr().String(), "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
}
