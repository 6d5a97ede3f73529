package target

import (
	"io"
	"net/http"
)

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
