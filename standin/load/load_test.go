package load

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/standin/record"
)

// An entry takes an order and is killed, and the next one cannot be reached. The caller does not know whether the order
// has run: it must neither report that it has not, nor send it with another ticket. Found with the soak, seed 69006.
func TestOrderOfUnknownOutcomeIsNotReportedAsNotRun(t *testing.T) {
	tickets := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/ticket") {
			tickets++
			_, _ = w.Write([]byte(`{"ticket":"t"}`))
			return
		}
		panic(http.ErrAbortHandler)
	}))
	defer srv.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	unreachable := l.Addr().String()
	assert.NilError(t, l.Close())

	rec := record.New()
	c := &client{
		l: New(Settings{Seeds: []string{unreachable}, Timeout: time.Second}, rec), random: rand.New(rand.NewPCG(1, 1)),
		entries: []string{strings.TrimPrefix(srv.URL, "http://"), unreachable}, entriesExpireAt: time.Now().Add(time.Minute),
	}
	c.runOrder(t.Context())
	v := rec.Verdict()
	assert.Equal(t, v.OrdersUnknown, 1)
	assert.Equal(t, tickets, 1)
}
