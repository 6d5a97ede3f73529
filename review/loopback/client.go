//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Int64

// call is one attempt of a client.
type call struct {
	id             string
	method, path   string
	host           string
	key            string
	header         map[string]string
	body           []byte
	deadline       time.Duration
	status         int // 0 if there was no complete answer
	seal           string
	err            error
	sentAt, doneAt time.Time
}

func newCall(method, host, path, key string, deadline time.Duration) *call {
	return &call{id: fmt.Sprintf("%016x", lastAttempt.Add(1)), method: method, host: host, path: path, key: key, deadline: deadline}
}

// on sends the call on a connection and reads the answer.
func (c *call) on(conn net.Conn, rd *bufio.Reader) {
	c.sentAt = time.Now()
	defer func() { c.doneAt = time.Now() }()
	_ = conn.SetDeadline(c.sentAt.Add(c.deadline))
	req, err := http.NewRequest(c.method, "http://"+c.host+c.path, bytes.NewReader(c.body))
	if err != nil {
		fail(err)
	}
	req.Header.Set(name("attempt"), c.id)
	req.Header.Set(name("deadline"), strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.key != "" {
		req.Header.Set(name("credential"), c.key)
	}
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	if c.err = req.Write(conn); c.err != nil {
		return
	}
	resp, err := http.ReadResponse(rd, req)
	if err != nil {
		c.err = err
		return
	}
	if _, c.err = io.Copy(io.Discard, resp.Body); c.err == nil {
		c.status, c.seal = resp.StatusCode, resp.Header.Get(name("seal"))
	}
}

// alone sends the call on a new connection.
func (c *call) alone(addr string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		c.sentAt, c.doneAt, c.err = time.Now(), time.Now(), err
		return
	}
	defer func() { _ = conn.Close() }()
	c.on(conn, bufio.NewReader(conn))
}

func (c *call) String() string {
	out := fmt.Sprintf("request %s %s %s", c.id, c.method, c.path)
	if c.key != "" {
		out += " with key " + c.key
	}
	if c.status == 0 {
		return fmt.Sprintf("%s: no answer (%v)", out, c.err)
	}
	return fmt.Sprintf("%s: answered %d", out, c.status)
}

// keptClient sends calls one after the other on a connection that it keeps.
type keptClient struct {
	addr string
	conn net.Conn
	rd   *bufio.Reader
	used int // calls on the connection
}

// send sends a call and reports whether the connection had been kept from an earlier call.
func (k *keptClient) send(c *call) (kept bool) {
	if k.conn == nil {
		conn, err := net.DialTimeout("tcp", k.addr, time.Second)
		if err != nil {
			c.sentAt, c.doneAt, c.err = time.Now(), time.Now(), err
			return false
		}
		k.conn, k.rd, k.used = conn, bufio.NewReader(conn), 0
	}
	kept = k.used > 0
	k.used++
	c.on(k.conn, k.rd)
	if c.err != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
	return kept
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
