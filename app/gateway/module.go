package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/fx"
	"google.golang.org/grpc"

	"amaranthturn/app/node"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/clock"
	"amaranthturn/io/peer"
	"amaranthturn/io/target"
	"amaranthturn/platform"
)

// Module builds the entry daemon from *platform.Settings, *telemetry.Logs and
// *telemetry.Metrics.
var Module = fx.Module("gateway", fx.Provide(newGateway), fx.Invoke(serve))

func newGateway(set *platform.Settings, l *telemetry.Logs, m *telemetry.Metrics) *Gateway {
	return New(set, clock.System{}, l, m, peer.NewPool(peer.DialOptions{ReconnectWait: node.ReconnectWait}),
		platform.NewStore(set.StoreAddress, newHTTPClient()), platform.NewTargetClient(target.NewPool()),
		uint64(time.Now().UnixNano()))
}

func newHTTPClient() *http.Client { return node.Overrides{}.WithDefaults().HTTPClient() }

// Timing of a stop, within the platform's grace of eight seconds.
const (
	// lameDuck is how long callers that still know the address are answered and told to
	// close: three times the time for which they keep an answer of the directory.
	lameDuck = 3 * time.Second
	// stopMargin is kept from the platform's grace for the end of the process.
	stopMargin = 700 * time.Millisecond
)

// server is the outward side of the daemon.
type server struct {
	g         *Gateway
	loops     *node.Loops
	callers   *node.Server
	directory []*node.Server
	peers     *node.Server
}

func serve(lc fx.Lifecycle, g *Gateway) {
	s := &server{g: g, loops: node.NewLoops()}
	lc.Append(fx.Hook{OnStart: s.start, OnStop: s.stop})
}

func (s *server) start(context.Context) error {
	set := s.g.set
	o := node.Overrides{}.WithDefaults()
	peers, err := o.ListenOn("peers", set.PeersAddress)
	if err != nil {
		return err
	}
	callers, err := o.ListenOn("callers", set.CallersAddress)
	if err != nil {
		return err
	}
	for _, addr := range []string{set.ReadinessAddress, set.DirectoryAddress} {
		if addr == "" {
			continue
		}
		l, err := o.ListenOn("directory", addr)
		if err != nil {
			return err
		}
		s.directory = append(s.directory, node.NewHTTP(l, platform.NewDirectoryHandler(s.g)))
	}
	metrics, err := o.MetricsServer(set.IP, s.g.metrics.Handler())
	if err != nil {
		return err
	}
	s.directory = append(s.directory, metrics)
	rpc := grpc.NewServer(peer.ServerOptions(nil)...)
	peer.RegisterMesh(rpc, s.g)
	s.peers = &node.Server{Listener: peers, GRPC: rpc}
	s.callers = node.NewHTTP(callers, platform.NewCallerHandler(s.g))
	for _, x := range append(s.directory, s.peers, s.callers) {
		x.Start()
	}
	for _, r := range []node.Runner{&ticker{s.g}, &storeReader{g: s.g}, &copier{s.g}, &mesher{s.g}} {
		s.loops.Go(r)
	}
	s.g.log.process.Info().Str("callers", set.CallersAddress).Str("peers", set.PeersAddress).Msg("gateway started")
	return nil
}

// stop answers callers until those that know the address have learned another, then ends
// the requests in progress.
func (s *server) stop(ctx context.Context) error {
	s.g.log.process.Info().Msg("stopping")
	s.g.leaving.Store(true)
	s.g.mu.Lock()
	s.g.league.Leave()
	s.g.mu.Unlock()
	deadline := time.Now().Add(s.g.set.Bounds.StopGrace - stopMargin)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	node.Sleep(ctx, lameDuck)
	err := s.callers.HTTP.Shutdown(ctx)
	s.loops.Stop(ctx)
	s.peers.GRPC.Stop()
	for _, d := range s.directory {
		_ = d.HTTP.Close() // the process ends
	}
	s.g.pool.Close()
	s.g.log.process.Info().AnErr("unfinished", err).Msg("gateway stopped")
	return nil
}
