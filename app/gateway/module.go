package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/fx"
	"google.golang.org/grpc"

	"amaranthturn/app/daemon"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/clock"
	"amaranthturn/io/peer"
	"amaranthturn/io/target"
	"amaranthturn/platform"
)

// Module builds the entry daemon from *platform.Settings, *telemetry.Logs and
// *telemetry.Metrics.
var Module = fx.Module("gateway", fx.Provide(newGateway), fx.Invoke(serve))

func newGateway(settings *platform.Settings, l *telemetry.Logs, m *telemetry.Metrics) *Gateway {
	return New(settings, clock.System{}, l, m, peer.NewPool(peer.DialOptions{MaxReconnectDelay: daemon.MaxReconnectDelay}),
		platform.NewStore(settings.StoreAddress, newHTTPClient()), platform.NewTargetClient(target.NewPool()),
		uint64(time.Now().UnixNano()))
}

func newHTTPClient() *http.Client { return daemon.Overrides{}.WithDefaults().HTTPClient() }

// Timing of a stop, within the platform's grace period.
const (
	// lameDuckPeriod is how long callers that still use the address are served and asked to
	// close their connections. It is three times directoryTTL, because some callers cache a
	// directory response that long. It is at most half of the grace period.
	lameDuckPeriod = 3 * time.Second
	// stopMargin is the end of the grace period that is left for the exit of the process.
	stopMargin = 700 * time.Millisecond
)

// server holds the daemon's listeners and loops.
type server struct {
	g         *Gateway
	loops     *daemon.Loops
	callers   *daemon.Server
	directory []*daemon.Server
	peers     *daemon.Server
}

func serve(lc fx.Lifecycle, g *Gateway) {
	s := &server{g: g, loops: daemon.NewLoops()}
	lc.Append(fx.Hook{OnStart: s.start, OnStop: s.stop})
}

func (s *server) start(context.Context) error {
	settings := s.g.settings
	o := daemon.Overrides{}.WithDefaults()
	peers, err := o.ListenOn("peers", settings.PeersAddress)
	if err != nil {
		return err
	}
	callers, err := o.ListenOn("callers", settings.CallersAddress)
	if err != nil {
		return err
	}
	for _, addr := range []string{settings.ReadinessAddress, settings.DirectoryAddress} {
		if addr == "" {
			continue
		}
		l, err := o.ListenOn("directory", addr)
		if err != nil {
			return err
		}
		s.directory = append(s.directory, daemon.NewHTTPServer(l, platform.NewDirectoryHandler(s.g)))
	}
	metrics, err := o.MetricsServer(settings.IP, s.g.metrics.Handler())
	if err != nil {
		return err
	}
	s.directory = append(s.directory, metrics)
	rpc := grpc.NewServer(peer.ServerOptions(nil)...)
	peer.RegisterMesh(rpc, s.g)
	s.peers = &daemon.Server{Listener: peers, GRPC: rpc}
	s.callers = daemon.NewHTTPServer(callers, platform.NewCallerHandler(s.g))
	s.callers.AddConnContext(platform.WithConn)
	for _, srv := range append(s.directory, s.peers, s.callers) {
		srv.Start()
	}
	for _, r := range []daemon.Runner{
		&ticker{s.g}, &storeReader{g: s.g}, &follower{s.g}, &entryExchanger{g: s.g},
		&daemon.MemoryReporter{Metrics: s.g.metrics, Copy: s.g.copyUsage},
	} {
		s.loops.Go(r)
	}
	s.g.log.process.Info().Str("callers", settings.CallersAddress).Str("peers", settings.PeersAddress).Msg("gateway started")
	return nil
}

// stop serves callers for lameDuckPeriod, in which those that know the address can switch to
// another entry, and then waits for the requests in progress. Those that do not end by themselves
// are ended in time to answer them within the grace period.
func (s *server) stop(ctx context.Context) error {
	grace := s.g.settings.Bounds.StopGrace
	ctx, cancel := context.WithTimeout(ctx, grace-min(stopMargin, grace/4))
	defer cancel()
	s.g.log.process.Info().Msg("stopping")
	s.g.stop.Begin(grace, stopMargin)
	s.g.leaving.Store(true)
	s.g.mu.Lock()
	s.g.entryList.Leave()
	s.g.mu.Unlock()
	daemon.Sleep(ctx, min(lameDuckPeriod, grace/2))
	err := s.g.stop.Drain(ctx, s.callers)
	s.loops.Stop(ctx)
	s.peers.StopGRPC()
	for _, d := range s.directory {
		_ = d.HTTP.Close() // the process exits
	}
	s.g.pool.Close()
	s.g.stop.Log(s.g.log.process.Info()).AnErr("unfinished", err).Msg("gateway stopped")
	return nil
}
