package entry

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"amaranthturn/app/daemon"
	"amaranthturn/core/fleet"
	"amaranthturn/io/peer"
)

// relayCall is a request that another entry has relayed to the one that stops.
type relayCall struct {
	addr    string
	refusal *fleet.Refusal
	err     error
	done    chan struct{}
}

func (r *relayCall) run() {
	defer close(r.done)
	pool := peer.NewPool(peer.DialOptions{})
	defer pool.Close()
	req := peer.GenerateRequest{RequestID: "r", Workspace: "w", Model: stopModel, Body: []byte(generateBody), Deadline: time.Now().Add(20 * time.Second)}
	r.err = pool.Relay(context.Background(), r.addr, req, func(ev peer.GenerateEvent) error {
		r.refusal = ev.Refusal
		return nil
	})
}

// The answers of relayed requests that a stop ends were dropped with their connections.
func TestStopAnswersRelayedRequests(t *testing.T) {
	env := newStopEnv(t, &hangingAgent{}, 64)
	l := listen(t)
	rpc := grpc.NewServer(peer.ServerOptions(nil)...)
	peer.RegisterEntry(rpc, env.e)
	env.s.peers = &daemon.Server{Listener: l, GRPC: rpc}
	env.s.peers.Start()
	calls := make([]*relayCall, 64)
	for i := range calls {
		calls[i] = &relayCall{addr: l.Addr().String(), done: make(chan struct{})}
		go calls[i].run()
	}
	for range calls {
		<-env.agent.begun
	}
	exited := env.stop()
	for _, c := range calls {
		<-c.done
		assert.NilError(t, c.err)
		assert.Assert(t, c.refusal != nil)
		assert.Equal(t, c.refusal.Reason, fleet.ReasonLeaving)
	}
	<-exited
}
