package sidecar

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/fx"
	"google.golang.org/grpc"

	"amaranthturn/app/daemon"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/clock"
	"amaranthturn/core/trace"
	"amaranthturn/io/bounded"
	"amaranthturn/io/http1"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

// Module builds the agent daemon from *platform.Settings, *telemetry.Logs and
// *telemetry.Metrics.
var Module = fx.Module("sidecar", fx.Provide(newSidecar), fx.Invoke(serve))

func newSidecar(settings *platform.Settings, l *telemetry.Logs, m *telemetry.Metrics) *Sidecar {
	client := daemon.Overrides{}.WithDefaults().HTTPClient()
	return New(settings, clock.System{}, l, m, peer.NewPool(peer.DialOptions{MaxReconnectDelay: daemon.MaxReconnectDelay}),
		platform.NewEngine(settings.TargetAddress, client), platform.NewOrigin(newOriginClient()), platform.NewStore(settings.StoreAddress, client), uint64(time.Now().UnixNano()))
}

// originIdleTimeout is how long an idle connection to the origin is kept open. The origin
// accepts few connections from all agents together, and an idle connection takes up one of
// them.
const originIdleTimeout = 100 * time.Millisecond

// maxOriginConns is how many connections an agent has to the origin. With two connections the
// link is not idle between consecutive chunks. Only agents of the origin's region fetch from
// it, so that the total stays below the origin's limit.
const maxOriginConns = 2

// newOriginClient returns a client that opens at most maxOriginConns connections.
func newOriginClient() *http.Client {
	dialer := net.Dialer{Timeout: callTimeout}
	return &http.Client{Transport: http1.NewTransport(&http.Transport{
		DialContext: dialer.DialContext, MaxConnsPerHost: maxOriginConns, MaxIdleConnsPerHost: maxOriginConns, IdleConnTimeout: originIdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: bounded.MaxHeaderBytes,
	})}
}

// server holds the daemon's listeners and loops.
type server struct {
	s       *Sidecar
	loops   *daemon.Loops
	peers   *daemon.Server
	metrics *daemon.Server
}

func serve(lc fx.Lifecycle, s *Sidecar) {
	srv := &server{s: s, loops: daemon.NewLoops()}
	lc.Append(fx.Hook{OnStart: srv.start, OnStop: srv.stop})
}

func (srv *server) start(context.Context) error {
	o := daemon.Overrides{}.WithDefaults()
	peers, err := o.ListenOn("peers", srv.s.settings.PeersAddress)
	if err != nil {
		return err
	}
	metrics, err := o.MetricsServer(srv.s.settings.IP, srv.s.metrics.Handler())
	if err != nil {
		return err
	}
	rpc := grpc.NewServer(peer.ServerOptions(nil)...)
	peer.RegisterChunks(rpc, srv.s)
	peer.RegisterLoad(rpc, srv.s)
	srv.peers = &daemon.Server{Listener: peers, GRPC: rpc}
	srv.metrics = metrics
	srv.peers.Start()
	srv.metrics.Start()
	for _, r := range []daemon.Runner{
		&initialStoreReader{srv.s}, &entryExchanger{srv.s}, &follower{srv.s}, &enginePoller{s: srv.s, pauseDetector: clock.NewPauseDetector(pauseThreshold)}, &loader{srv.s}, &versionManager{srv.s},
		&daemon.MemoryReporter{Metrics: srv.s.metrics, Copy: srv.s.copyUsage},
	} {
		srv.loops.Go(r)
	}
	srv.s.log.process.Info().Str("peers", srv.s.settings.PeersAddress).Str("engine", srv.s.settings.TargetAddress).Msg("sidecar started")
	return nil
}

func (srv *server) stop(ctx context.Context) error {
	srv.loops.Stop(ctx)
	srv.peers.StopGRPC()
	_ = srv.metrics.HTTP.Close() // the process exits
	srv.s.pool.Close()
	srv.s.log.process.Info().Msg(trace.MessageSidecarStopped)
	return nil
}
