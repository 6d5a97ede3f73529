package engine_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/internal/liveheap"
	"amaranthturn/io/bounded"
	"amaranthturn/io/engine"
)

// maxEndlessBytes keeps a test of code without a limit from filling the memory.
const maxEndlessBytes = 96 << 20

func serveWithoutEnd(t *testing.T, start, text string) *engine.Client {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, start)
		block := strings.Repeat(text, 1+(64<<10)/len(text))
		for n := 0; err == nil && n < maxEndlessBytes; n += len(block) {
			_, err = io.WriteString(w, block)
		}
	}))
	t.Cleanup(srv.Close)
	return engine.NewClient(srv.URL, srv.Client(), "")
}

func assertTooLarge(t *testing.T, err error, part bounded.Part) {
	t.Helper()
	var failed *engine.FailedError
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	var tooLarge *bounded.TooLargeError
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
	assert.Equal(t, tooLarge.Part, part)
}

// An engine may answer a question about its state without end.
func TestStateWithoutEnd(t *testing.T) {
	_, err := serveWithoutEnd(t, `{"models":[`, `{"name":"m"},`).State(t.Context())
	assertTooLarge(t, err, bounded.PartBody)
	_, err = serveWithoutEnd(t, `[`, `{"sequence":1},`).Events(t.Context(), 0)
	assertTooLarge(t, err, bounded.PartBody)
	_, err = serveWithoutEnd(t, "", "x").ExportCache(t.Context(), "v", 1)
	assertTooLarge(t, err, bounded.PartBody)
}

// An engine begins a line on each of many streams and does not end it. What has arrived must not add up
// to the memory of the process, in which other streams go on.
func TestUnfinishedLinesAreBoundedInSum(t *testing.T) {
	const streams, maxHeldBytes = 200, 48 << 20
	unfinished := strings.Repeat("x", 1000<<10)
	var sent atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Resume-From") == "1" {
			_, _ = io.WriteString(w, "data: {\"index\":0,\"text\":\"a\",\"done\":true}\n")
			return
		}
		_, _ = io.WriteString(w, unfinished)
		_ = http.NewResponseController(w).Flush()
		sent.Add(1)
		<-r.Context().Done()
	}))
	defer srv.Close()
	c := engine.NewClient(srv.URL, srv.Client(), "")
	ctx, cancel := context.WithCancel(t.Context())
	before := liveheap.Bytes()
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() { _ = c.Generate(ctx, engine.GenerateRequest{}, func(engine.Token) error { return nil }) })
	}
	for sent.Load() < streams {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond) // what is in the sockets is read
	held := liveheap.Bytes() - before
	assert.Check(t, held < maxHeldBytes, "%d bytes", held)
	assert.NilError(t, c.Generate(ctx, engine.GenerateRequest{ResumeFrom: 1}, func(engine.Token) error { return nil }))
	cancel()
	wg.Wait()
}

// What is no token may come without end, in one line or in many.
func TestStreamWithoutTokens(t *testing.T) {
	for name, text := range map[string]string{"one line": "x", "comments": ": x\n", "empty lines": "\n"} {
		t.Run(name, func(t *testing.T) {
			err := serveWithoutEnd(t, "", text).Generate(t.Context(), engine.GenerateRequest{}, func(engine.Token) error { return nil })
			assertTooLarge(t, err, bounded.PartEvent)
		})
	}
}

// An engine that sheds load states for how long. A malformed value must not cost the engine.
func TestPauseOfEngine(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"1.5": 1500 * time.Millisecond, "0": 0, "-1": 0, "soon": 0, "NaN": 0, "1e999": 0, "1e300": 1e6 * time.Second, "": 0,
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", value)
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		t.Cleanup(srv.Close)
		err := engine.NewClient(srv.URL, srv.Client(), "").Generate(t.Context(), engine.GenerateRequest{}, nil)
		var failed *engine.FailedError
		assert.Assert(t, errors.As(err, &failed), "%v", err)
		assert.Equal(t, failed.Pause, want, value)
	}
}
