package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	"amaranthturn/core/retry"
	"amaranthturn/core/roster"
	"amaranthturn/platform/platformtest"
)

// unacceptingAddress returns an address at which connections are neither accepted nor refused.
func unacceptingAddress(t *testing.T) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, unix.Listen(fd, 0))
	sa, err := unix.Getsockname(fd)
	assert.NilError(t, err)
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*unix.SockaddrInet4).Port}).String()
	for range 4 { // fills the backlog
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("connections are accepted")
	return ""
}

// A target breaks off while its replacement is still connecting, which then fails. The next attempt took
// no retry from the budget: that of the replacement is returned, since it was not sent.
func TestAttemptAfterUnsentReplacementTakesARetry(t *testing.T) {
	p := replayOf(t, "s", 4, play{version: 1}, play{version: 1})
	g := newReplayGateway(t, []*replay{p})
	g.budgets = retry.NewBudgets[fleet.Service](retry.BudgetsSettings{Allowance: 1, Window: time.Hour}, 1, time.Now().Add(-2*time.Hour))
	unaccepting := unacceptingAddress(t)
	p.plays[0].raw = func(c net.Conn, r *http.Request) bool {
		others := g.targetsBeside(c.LocalAddr().String())
		g.update(func() {
			others[0].Address, others[1].State = unaccepting, roster.StateDraining
		}, others)
		first := play{version: 1, end: endClosed, endAt: 2}
		first.pauses[2] = 2 * replayedStall
		_ = first.stream(c, r, r.Header.Get(platformtest.HeaderAttemptID))
		g.update(func() { others[1].State = roster.StateReady }, others)
		return false
	}
	p.serve(g)
	assert.NilError(t, p.err)
	assert.Equal(t, p.received(), wholeStream())
	assert.Equal(t, p.arrived(), 2)
	g.update(func() { assert.Assert(t, !g.budgets.Allow(p.name, g.now())) }, nil)
}

// targetsBeside returns the targets at other addresses.
func (g *Gateway) targetsBeside(addr string) []*roster.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	var others []*roster.Target
	for i := range 3 {
		if rt, _ := g.roster.Get(fleet.InstanceID(fmt.Sprintf("s-%d", i))); rt.Address != addr {
			others = append(others, &rt)
		}
	}
	return others
}

// update changes targets.
func (g *Gateway) update(change func(), targets []*roster.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
	for _, rt := range targets {
		g.roster.Update(*rt)
	}
	g.refreshBalancers(g.now())
}
