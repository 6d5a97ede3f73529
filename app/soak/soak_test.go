package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// seeds are played in each run of the tests. A seed that ever failed stays, with a line on
// its cause.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, "the first one; it never failed"},
}

// TestPromisesUnderSoak runs the programs as processes under a few seconds of faults.
func TestPromisesUnderSoak(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "amaranthturn")
	out, err := exec.Command("go", "build", "-o", bin, "amaranthturn/cmd/amaranthturn").CombinedOutput()
	assert.NilError(t, err, string(out))
	for i, x := range seeds {
		dir := t.TempDir()
		rep, err := Run(context.Background(), Options{
			Binary: bin, Dir: dir, Seed: x.seed, Duration: 8 * time.Second, Instances: 3, Entries: 2, BasePort: 18500 + 50*i,
		}, io.Discard)
		assert.NilError(t, err)
		assert.Equal(t, len(rep.Broken), 0, "seed %d (%s): %v, faults %v", x.seed, x.cause, rep.Broken, rep.Faults)
	}
}

// echo is a server that sends back what it gets.
type echo struct{ l net.Listener }

func (e *echo) run() {
	for {
		c, err := e.l.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
	}
}

// TestProxyModes shows what the two ends of a connection see in each mode.
func TestProxyModes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go (&echo{l}).run()
	p, err := newProxy(l.Addr().String())
	assert.NilError(t, err)
	defer p.close()
	ask := func(c net.Conn) error {
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(400*time.Millisecond)))
		_, err := io.ReadFull(c, make([]byte, 1))
		return err
	}
	for m := modePass; m < modes; m++ {
		p.set(modePass)
		c, err := net.Dial("tcp", p.listener.Addr().String())
		assert.NilError(t, err)
		assert.NilError(t, ask(c))
		p.set(m)
		began := time.Now()
		err = ask(c)
		answers := m == modePass || m == modeDelay
		assert.Equal(t, err == nil, answers, "%v: %v", m, err)
		if m == modeDelay {
			assert.Assert(t, time.Since(began) >= 2*delayTime)
		}
		if m == modeSilent || m == modeOneWay {
			var timeout net.Error
			assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "%v: %v", m, err)
		}
		_ = c.Close()
	}
}

// A daemon that ends without being told to is noticed, one that runs is not.
func TestEndOfItsOwnIsNoticed(t *testing.T) {
	s := &soak{}
	for _, x := range []struct {
		command []string
		n       int
	}{{[]string{"sleep", "5"}, 0}, {[]string{"false"}, 1}} {
		p := &process{s: s, cmd: exec.Command(x.command[0], x.command[1:]...), done: make(chan struct{})}
		assert.NilError(t, p.cmd.Start())
		go (&waiter{p.cmd, p.done}).run()
		p.ended(300 * time.Millisecond)
		p.check()
		assert.Equal(t, len(s.stuck), x.n, "%v", s.stuck)
		p.kill()
	}
}
