// Package bounded reads what another process sends up to a limit. Reaching the limit is a
// *TooLargeError, so that a message that was cut does not look complete.
//
// # Usage
//
//	body, err := bounded.ReadAll(resp.Body, bounded.PartBody, maxBodyBytes)
//	var tooLarge *bounded.TooLargeError
//	if errors.As(err, &tooLarge) { … }
package bounded

import (
	"fmt"
	"io"
)

// MaxHeaderBytes is the maximum size of the headers of a response to a call of our own.
const MaxHeaderBytes = 64 << 10

// Part is a part of a message.
type Part string

// The parts.
const (
	PartHeader    Part = "header"
	PartBody      Part = "body"
	PartEvent     Part = "event"
	PartPages     Part = "pages"      // all pages of one list
	PartAllBodies Part = "all bodies" // those held at the same time
	PartMessage   Part = "message"
)

// TooLargeError reports a part of a message that is larger than its limit.
type TooLargeError struct {
	Part  Part
	Limit int64 // in bytes
}

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("%s exceeds %d bytes", e.Part, e.Limit) }

// Reader reads from R and returns a *TooLargeError instead of the bytes beyond Limit.
type Reader struct {
	R     io.Reader
	Part  Part
	Limit int64 // in bytes
	read  int64
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.read > r.Limit {
		return 0, r.tooLarge()
	}
	// One byte more than allowed distinguishes a message of exactly Limit bytes.
	if left := r.Limit - r.read + 1; int64(len(p)) > left {
		p = p[:left]
	}
	n, err := r.R.Read(p)
	r.read += int64(n)
	if r.read > r.Limit {
		return n - 1, r.tooLarge()
	}
	return n, err
}

func (r *Reader) tooLarge() error { return &TooLargeError{Part: r.Part, Limit: r.Limit} }

// ReadAll reads r to its end.
func ReadAll(r io.Reader, part Part, limit int64) ([]byte, error) {
	return io.ReadAll(&Reader{R: r, Part: part, Limit: limit})
}
