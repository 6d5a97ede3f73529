package caller

import (
	"net/http"

	"github.com/gin-gonic/gin"
)

// closingWriter asks a caller to close its connection if the entry is leaving when the response
// begins. If the server closed the connection while it is idle, it could lose a request that is on
// its way.
type closingWriter struct {
	gin.ResponseWriter
	svc Service
}

// closeWhenLeaving uses a closingWriter for the response.
func (h *handler) closeWhenLeaving(c *gin.Context) {
	w := &closingWriter{ResponseWriter: c.Writer, svc: h.svc}
	c.Writer = w
	c.Next()
	w.begin() // for a response without a body
}

// begin adds the header if the response has not begun.
func (w *closingWriter) begin() {
	if !w.Written() && w.svc.IsLeaving() {
		w.Header().Set("Connection", "close")
	}
}

// WriteHeaderNow implements gin.ResponseWriter.
func (w *closingWriter) WriteHeaderNow() {
	w.begin()
	w.ResponseWriter.WriteHeaderNow()
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

// WriteString implements io.StringWriter.
func (w *closingWriter) WriteString(s string) (int, error) {
	w.begin()
	return w.ResponseWriter.WriteString(s)
}

// Flush implements http.Flusher.
func (w *closingWriter) Flush() {
	w.begin()
	w.ResponseWriter.Flush()
}

// Unwrap returns the writer for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
