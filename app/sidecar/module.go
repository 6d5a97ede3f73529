package sidecar

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/fx"
	"google.golang.org/grpc"

	"amaranthturn/app/node"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/clock"
	"amaranthturn/core/trace"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

// Module builds the agent daemon from *platform.Settings, *telemetry.Logs and
// *telemetry.Metrics.
var Module = fx.Module("sidecar", fx.Provide(newSidecar), fx.Invoke(serve))

func newSidecar(set *platform.Settings, l *telemetry.Logs, m *telemetry.Metrics) *Sidecar {
	client := node.Overrides{}.WithDefaults().HTTPClient()
	return New(set, clock.System{}, l, m, peer.NewPool(peer.DialOptions{ReconnectWait: node.ReconnectWait}),
		platform.NewEngine(set.TargetAddress, client), platform.NewOrigin(newOriginClient()), platform.NewStore(set.StoreAddress, client), uint64(time.Now().UnixNano()))
}

// originIdle is how long an unused connection to the origin is kept. The origin accepts few
// connections from all agents together, and one that is idle keeps others out.
const originIdle = 100 * time.Millisecond

// originConns is how many connections an agent has to the origin: with two the link does
// not stand still between a piece and the next. Only agents of the origin's region fetch
// from it, so that all together stay below what it accepts.
const originConns = 2

// newOriginClient returns a client that holds few connections.
func newOriginClient() *http.Client {
	d := net.Dialer{Timeout: callTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxConnsPerHost: originConns, MaxIdleConnsPerHost: originConns, IdleConnTimeout: originIdle, DisableCompression: true,
	}}
}

type server struct {
	s       *Sidecar
	loops   *node.Loops
	peers   *node.Server
	metrics *node.Server
}

func serve(lc fx.Lifecycle, s *Sidecar) {
	x := &server{s: s, loops: node.NewLoops()}
	lc.Append(fx.Hook{OnStart: x.start, OnStop: x.stop})
}

func (x *server) start(context.Context) error {
	o := node.Overrides{}.WithDefaults()
	peers, err := o.ListenOn("peers", x.s.set.PeersAddress)
	if err != nil {
		return err
	}
	metrics, err := o.MetricsServer(x.s.set.IP, x.s.metrics.Handler())
	if err != nil {
		return err
	}
	rpc := grpc.NewServer(peer.ServerOptions(nil)...)
	peer.RegisterChunks(rpc, x.s)
	peer.RegisterBeside(rpc, x.s)
	x.peers = &node.Server{Listener: peers, GRPC: rpc}
	x.metrics = metrics
	x.peers.Start()
	x.metrics.Start()
	for _, r := range []node.Runner{&firstRead{x.s}, &entryWatch{x.s}, &follower{x.s}, &driver{s: x.s, pause: clock.NewPauseDetector(pauseLimit)}, &keeper{x.s}} {
		x.loops.Go(r)
	}
	x.s.log.process.Info().Str("peers", x.s.set.PeersAddress).Str("engine", x.s.set.TargetAddress).Msg("sidecar started")
	return nil
}

func (x *server) stop(ctx context.Context) error {
	x.loops.Stop(ctx)
	x.peers.GRPC.Stop()
	_ = x.metrics.HTTP.Close() // the process ends
	x.s.pool.Close()
	x.s.log.process.Info().Msg(trace.MessageSidecarStopped)
	return nil
}
