package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	"amaranthturn/core/ticket"
	"amaranthturn/io/peer"
	"amaranthturn/io/service"
)

// steppedClock is a clock that only moves when it is told to.
type steppedClock struct{ now atomic.Pointer[time.Time] }

// Now implements clock.Clock.
func (c *steppedClock) Now() time.Time { return *c.now.Load() }

func (c *steppedClock) set(t time.Time) { c.now.Store(&t) }

// orderReply is what a caller of an order is told.
type orderReply struct {
	outcome fleet.Outcome
	reply   peer.Reply
}

// orderCaller runs an order and passes on its reply.
type orderCaller struct {
	orders  *orders
	ticket  ticket.Ticket
	replies chan orderReply
}

func (c *orderCaller) run(ctx context.Context) {
	outcome, reply := c.orders.run(ctx, c.ticket, peer.Call{Method: http.MethodPost, Path: "/x"})
	c.replies <- orderReply{outcome, reply}
}

// An order ends after its ticket has expired: the caller that waits for it was told that its result
// is unknown, although the service had answered.
func TestOrderThatOutlastsItsTicketIsAnswered(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-finish
		_, _ = io.WriteString(w, "bale 7")
	}))
	defer srv.Close()
	clk, now := &steppedClock{}, time.Unix(1_000_000, 0)
	clk.set(now)
	o := &orders{
		a:       &Agent{opt: Options{Clock: clk, Service: service.NewClient(srv.URL)}},
		table:   ticket.NewTable("t1", 5, ticket.DefaultLimits),
		running: map[ticket.ID]*orderJob{},
	}
	c := &orderCaller{o, ticket.Ticket{ID: "1", Target: "t1", Incarnation: 5, Issued: now, Expires: now.Add(time.Second)}, make(chan orderReply, 1)}
	go c.run(t.Context())
	<-started
	clk.set(now.Add(time.Minute))
	close(finish)
	r := <-c.replies
	assert.Equal(t, r.outcome, fleet.OutcomeDone)
	assert.Equal(t, string(r.reply.Body), "bale 7")
}
