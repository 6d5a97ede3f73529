package target

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
)

func newHTTPRequest(r *Request) (*http.Request, error) {
	u, err := requestURL(r)
	if err != nil {
		return nil, err
	}
	h := r.Header.Clone()
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // prevents net/http from adding its own
	}
	hr := &http.Request{
		Method: r.Method, URL: u, Host: r.Host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		hr.Body = io.NopCloser(bytes.NewReader(r.Body))
	} else if r.Method != http.MethodGet && r.Method != http.MethodHead {
		hr.Body = http.NoBody
	}
	return hr, nil
}

// errUnsendableURI reports a URI that net/http would change.
var errUnsendableURI = errors.New("the path begins with two slashes and has characters that are not encoded")

// requestURL returns the URL for which net/http sends the request's URI unchanged. It takes an opaque
// one that begins with two slashes for an authority and a path, and sends that with a scheme.
func requestURL(r *Request) (*url.URL, error) {
	if !strings.HasPrefix(r.URI, "//") {
		return &url.URL{Scheme: "http", Host: r.Host, Opaque: r.URI}, nil
	}
	u, err := url.ParseRequestURI(r.URI)
	if err != nil {
		return nil, err
	}
	u.Scheme, u.Host = "http", r.Host
	if u.RequestURI() != r.URI {
		return nil, errUnsendableURI
	}
	return u, nil
}

// requestWriter writes a request, one with a large body while its response may already be arriving.
type requestWriter struct {
	req  *http.Request
	w    io.Writer
	done chan struct{} // closed when err is set
	err  error
}

func newRequestWriter(req *http.Request, w io.Writer) *requestWriter {
	return &requestWriter{req: req, w: w, done: make(chan struct{})}
}

func (w *requestWriter) run() {
	w.err = w.req.Write(w.w)
	close(w.done)
}

// isWritten reports whether the request has been written completely.
func (w *requestWriter) isWritten() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// wait waits until the request has been written and returns the error of writing it.
func (w *requestWriter) wait() error {
	<-w.done
	return w.err
}
