package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"amaranthturn/core/fleet"
)

// fake answers with two tokens and then ends as it is told.
type fake struct {
	refusal *fleet.Refusal
	tokens  int
	leaving bool
}

func (f *fake) Leaving() bool { return f.leaving }

func (f *fake) Entries(fleet.Workspace, string) (EntryList, *fleet.Refusal) {
	return EntryList{Entries: []EntryRow{{"e1", "127.0.0.1:1", "z"}}, KeepMS: 20000}, f.refusal
}

func (f *fake) Generate(_ context.Context, _ Generation, send func(Token) error) *fleet.Refusal {
	for i := range f.tokens {
		if err := send(Token{Version: "v1", Index: i, Text: fmt.Sprint("t", i), Done: f.refusal == nil && i == f.tokens-1, Finish: "stop"}); err != nil {
			return fleet.Unknown(fleet.ReasonCallerGone)
		}
	}
	return f.refusal
}

func (f *fake) Call(context.Context, Call) (Answer, *fleet.Refusal) {
	return Answer{Status: 200, ContentType: "text/plain", Body: []byte("ok")}, f.refusal
}

func (f *fake) Ticket(context.Context, fleet.Workspace, fleet.Service) (TicketAnswer, *fleet.Refusal) {
	return TicketAnswer{Ticket: "T", Service: "orders", Target: "o1", Expires: time.Unix(1_700_000_000, 0).UTC()}, f.refusal
}

func (f *fake) Order(context.Context, string, Call) (Answer, *fleet.Refusal) {
	return Answer{Status: 201, ContentType: "text/plain", Body: []byte("bale 7")}, f.refusal
}

const chat = `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`

func ask(f *fake, method, path, body string, h ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set(HeaderRequestID, "r1")
	for i := 0; i+1 < len(h); i += 2 {
		r.Header.Set(h[i], h[i+1])
	}
	w := httptest.NewRecorder()
	NewHandler(f, time.Now).ServeHTTP(w, r)
	return w
}

// TestAnswers compares what callers see with golden files.
func TestAnswers(t *testing.T) {
	full := fleet.NotRun(fleet.ReasonQueueFull, 1500*time.Millisecond)
	lost := fleet.Unknown(fleet.ReasonTargetLost)
	whole := strings.Replace(chat, `"stream":true,`, "", 1)
	rows := map[string]*httptest.ResponseRecorder{
		"entries":            ask(&fake{}, "GET", "/v1/entries?workspace=w", ""),
		"stream":             ask(&fake{tokens: 2}, "POST", "/v1/chat/completions", chat),
		"stream_cut":         ask(&fake{tokens: 2, refusal: lost}, "POST", "/v1/chat/completions", chat),
		"stream_refused":     ask(&fake{refusal: full}, "POST", "/v1/chat/completions", chat),
		"whole":              ask(&fake{tokens: 2}, "POST", "/v1/chat/completions", whole),
		"whole_cut":          ask(&fake{tokens: 2, refusal: lost}, "POST", "/v1/chat/completions", whole),
		"malformed":          ask(&fake{}, "POST", "/v1/chat/completions", "{"),
		"bad_class":          ask(&fake{}, "POST", "/v1/chat/completions", chat, HeaderClass, "royal"),
		"bad_timeout":        ask(&fake{}, "POST", "/v1/chat/completions", chat, HeaderTimeout, "-1"),
		"ticket":             ask(&fake{}, "POST", "/v1/orders/ticket", `{"service":"orders"}`),
		"order":              ask(&fake{}, "POST", "/v1/orders/orders/new", "{}", HeaderTicket, "T"),
		"order_unknown":      ask(&fake{refusal: lost}, "POST", "/v1/orders/orders/new", "{}", HeaderTicket, "T"),
		"order_no_ticket":    ask(&fake{}, "POST", "/v1/orders/orders/new", "{}", "Idempotency-Key", "1"),
		"service":            ask(&fake{}, "GET", "/v1/services/portal/stock?die=7", ""),
		"leaving_connection": ask(&fake{leaving: true}, "GET", "/v1/entries", ""),
	}
	for name, w := range rows {
		t.Run(name, func(t *testing.T) {
			head := ""
			for _, k := range []string{"Connection", "Content-Type", HeaderOutcome, HeaderRetryAfter, HeaderVersion} {
				if v := w.Header().Get(k); v != "" {
					head += k + ": " + v + "\n"
				}
			}
			golden.Assert(t, fmt.Sprintf("%d\n%s\n%s\n", w.Code, head, w.Body), name+".golden")
		})
	}
}

// TestEveryRefusalIsTyped: no reason is answered with a status that looks whole.
func TestEveryRefusalIsTyped(t *testing.T) {
	for _, o := range []fleet.Outcome{fleet.OutcomeNotRun, fleet.OutcomeUnknown} {
		for _, why := range []fleet.Reason{fleet.ReasonNoTarget, fleet.ReasonDeadline, fleet.ReasonCrashing, fleet.ReasonRunning, fleet.ReasonSwitching} {
			w := ask(&fake{refusal: &fleet.Refusal{Outcome: o, Reason: why}}, "POST", "/v1/chat/completions", chat)
			assert.Assert(t, w.Code >= http.StatusBadRequest)
			var body errorAnswer
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
			assert.Equal(t, body.Error.Outcome, o.String())
		}
	}
}

// BenchmarkStreamToken measures a token from the entry to its caller.
func BenchmarkStreamToken(b *testing.B) {
	const tokens = 200
	h := NewHandler(&fake{tokens: tokens}, time.Now)
	for b.Loop() {
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(chat)))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}
