package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"amaranthturn/core/fleet"
)

// fakeService sends the given number of tokens and then returns refusal.
type fakeService struct {
	refusal *fleet.Refusal
	tokens  int
	leaving bool
}

func (f *fakeService) IsLeaving() bool { return f.leaving }

func (f *fakeService) Ended() context.Context { return context.Background() }

func (f *fakeService) Entries(fleet.Workspace, string) (EntryList, *fleet.Refusal) {
	return EntryList{Entries: []EntryInfo{{"e1", "127.0.0.1:1", "z"}}, KeepMS: 20000}, f.refusal
}

func (f *fakeService) Generate(_ context.Context, _ GenerateRequest, send func(Token) error) *fleet.Refusal {
	for i := range f.tokens {
		if err := send(Token{Version: "v1", Index: i, Text: fmt.Sprint("t", i), Done: f.refusal == nil && i == f.tokens-1, FinishReason: "stop"}); err != nil {
			return fleet.Unknown(fleet.ReasonCallerDisconnected)
		}
	}
	return f.refusal
}

func (f *fakeService) Call(context.Context, Call) (Response, *fleet.Refusal) {
	return Response{Status: 200, ContentType: "text/plain", Body: []byte("ok")}, f.refusal
}

func (f *fakeService) Ticket(context.Context, fleet.Workspace, fleet.Service) (TicketResponse, *fleet.Refusal) {
	return TicketResponse{Ticket: "T", Service: "orders", Target: "o1", Expires: time.Unix(1_700_000_000, 0).UTC()}, f.refusal
}

func (f *fakeService) Order(context.Context, string, Call) (Response, *fleet.Refusal) {
	return Response{Status: 201, ContentType: "text/plain", Body: []byte("bale 7")}, f.refusal
}

const chat = `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`

func send(f *fakeService, method, path, body string, h ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set(HeaderRequestID, "r1")
	for i := 0; i+1 < len(h); i += 2 {
		r.Header.Set(h[i], h[i+1])
	}
	w := httptest.NewRecorder()
	NewHandler(f, time.Now).ServeHTTP(w, r)
	return w
}

// unframedService answers orders and calls without a length.
type unframedService struct{ fakeService }

func (*unframedService) Order(context.Context, string, Call) (Response, *fleet.Refusal) {
	return Response{Status: 201, Body: []byte("bale"), Unframed: true}, nil
}

func (*unframedService) Call(context.Context, Call) (Response, *fleet.Refusal) {
	return Response{Status: 200, Body: []byte("bale"), Unframed: true}, nil
}

// A length would state that the response of a service is complete, which nothing shows.
func TestUnframedAnswerOfAServiceIsNotFramedAsComplete(t *testing.T) {
	srv := httptest.NewServer(NewHandler(&unframedService{}, time.Now))
	defer srv.Close()
	for _, path := range []string{"/v1/orders/orders/x", "/v1/services/orders/x"} {
		req, err := http.NewRequest(http.MethodPost, srv.URL+path, strings.NewReader("{}"))
		assert.NilError(t, err)
		req.Header.Set(HeaderTicket, "T")
		resp, err := srv.Client().Do(req)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		assert.NilError(t, err)
		assert.Equal(t, string(body), "bale")
		assert.Assert(t, resp.ContentLength == -1 && len(resp.TransferEncoding) == 0 && resp.Close, "%s: %v", path, resp.Header)
	}
}

// TestResponses compares responses with golden files.
func TestResponses(t *testing.T) {
	queueFull := fleet.NotRun(fleet.ReasonQueueFull, 1500*time.Millisecond)
	targetLost := fleet.Unknown(fleet.ReasonTargetLost)
	unstreamed := strings.Replace(chat, `"stream":true,`, "", 1)
	responses := map[string]*httptest.ResponseRecorder{
		"entries":            send(&fakeService{}, "GET", "/v1/entries?workspace=w", ""),
		"stream":             send(&fakeService{tokens: 2}, "POST", "/v1/chat/completions", chat),
		"stream_cut":         send(&fakeService{tokens: 2, refusal: targetLost}, "POST", "/v1/chat/completions", chat),
		"stream_refused":     send(&fakeService{refusal: queueFull}, "POST", "/v1/chat/completions", chat),
		"whole":              send(&fakeService{tokens: 2}, "POST", "/v1/chat/completions", unstreamed),
		"whole_cut":          send(&fakeService{tokens: 2, refusal: targetLost}, "POST", "/v1/chat/completions", unstreamed),
		"malformed":          send(&fakeService{}, "POST", "/v1/chat/completions", "{"),
		"bad_class":          send(&fakeService{}, "POST", "/v1/chat/completions", chat, HeaderClass, "royal"),
		"bad_timeout":        send(&fakeService{}, "POST", "/v1/chat/completions", chat, HeaderTimeout, "-1"),
		"ticket":             send(&fakeService{}, "POST", "/v1/orders/ticket", `{"service":"orders"}`),
		"order":              send(&fakeService{}, "POST", "/v1/orders/orders/new", "{}", HeaderTicket, "T"),
		"order_unknown":      send(&fakeService{refusal: targetLost}, "POST", "/v1/orders/orders/new", "{}", HeaderTicket, "T"),
		"order_no_ticket":    send(&fakeService{}, "POST", "/v1/orders/orders/new", "{}", "Idempotency-Key", "1"),
		"service":            send(&fakeService{}, "GET", "/v1/services/portal/stock?die=7", ""),
		"leaving_connection": send(&fakeService{leaving: true}, "GET", "/v1/entries", ""),
	}
	for name, w := range responses {
		t.Run(name, func(t *testing.T) {
			header := ""
			for _, k := range []string{"Connection", "Content-Type", HeaderOutcome, HeaderRetryAfter, HeaderVersion} {
				if v := w.Header().Get(k); v != "" {
					header += k + ": " + v + "\n"
				}
			}
			golden.Assert(t, fmt.Sprintf("%d\n%s\n%s\n", w.Code, header, w.Body), name+".golden")
		})
	}
}

// TestRefusalsHaveErrorStatusAndOutcome guards against a refusal that is sent with a status
// of success.
func TestRefusalsHaveErrorStatusAndOutcome(t *testing.T) {
	for _, o := range []fleet.Outcome{fleet.OutcomeNotRun, fleet.OutcomeUnknown} {
		for _, reason := range []fleet.Reason{fleet.ReasonNoTarget, fleet.ReasonDeadlinePassed, fleet.ReasonCrashesTargets, fleet.ReasonStillRunning, fleet.ReasonVersionSwitching} {
			w := send(&fakeService{refusal: &fleet.Refusal{Outcome: o, Reason: reason}}, "POST", "/v1/chat/completions", chat)
			assert.Assert(t, w.Code >= http.StatusBadRequest)
			var body errorResponse
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
			assert.Equal(t, body.Error.Outcome, o.String())
		}
	}
}

// A body above the limit is refused as too large and as not run, not as malformed.
func TestBodyAboveItsLimit(t *testing.T) {
	for _, path := range []string{"/v1/chat/completions", "/v1/services/s/x", "/v1/orders/ticket"} {
		w := send(&fakeService{}, "POST", path, strings.Repeat("x", maxBodyBytes+1))
		assert.Equal(t, w.Code, http.StatusRequestEntityTooLarge)
		assert.Equal(t, w.Header().Get(HeaderOutcome), fleet.OutcomeNotRun.String())
	}
}

// BenchmarkStreamToken measures the time to send one token to a caller.
func BenchmarkStreamToken(b *testing.B) {
	const tokens = 200
	h := NewHandler(&fakeService{tokens: tokens}, time.Now)
	for b.Loop() {
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(chat)))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}
