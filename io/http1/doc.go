// Package http1 reports responses of HTTP/1 as broken that net/http accepts.
//
// # Usage
//
// Clients that use net/http's transport:
//
//	client := &http.Client{Transport: http1.NewTransport(&http.Transport{})}
//
// Others, of which package target is one:
//
//	s := http1.NewHeadScanner()
//	s.Scan(p) // for each part of the head as it arrives
//	resp, err := http.ReadResponse(rd, req)
//	if err == nil {
//		err = cmp.Or(http1.CheckStatus(resp), s.Err())
//	}
//
// # What is broken
//
// A status below 100 is none in HTTP. Neither a blank nor a control character may be in the name of a
// field (RFC 9112, section 5), and net/http rejects only the latter. A blank hides the field, so that a
// length or an encoding of the body does not count. A line that begins with a blank continues the value
// of the line before, so that one field becomes a part of another one. Nothing in such a head is
// reliable.
//
// A version before HTTP/1.1 has no transfer encodings. net/http drops that field, and the sizes of chunks
// would become a part of the body.
//
// A body without a length or chunks ends with its connection, but not with a reset. A socket reports
// a reset only once, to a read or to a write. If a write has returned it, the next read returns
// io.EOF.
package http1
