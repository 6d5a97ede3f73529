package agent

import (
	"context"
	"time"

	"go.uber.org/fx"
	"google.golang.org/grpc"

	"amaranthturn/app/daemon"
	"amaranthturn/app/settings"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/keys"
	"amaranthturn/io/engine"
	"amaranthturn/io/operator"
	"amaranthturn/io/origin"
	"amaranthturn/io/peer"
	"amaranthturn/io/platform"
	"amaranthturn/io/service"
)

// Module builds an agent from *settings.Agent and daemon.Overrides.
var Module = fx.Module("agent",
	daemon.Module,
	fx.Provide(commonSettings, newMetrics, newAgent),
	fx.Invoke(serve),
)

func commonSettings(s *settings.Agent) *settings.Common { return &s.Common }

func newMetrics() *telemetry.Metrics { return telemetry.NewMetrics("agent") }

func newAgent(s *settings.Agent, o daemon.Overrides, l *telemetry.Logs, m *telemetry.Metrics, p *peer.Pool, r *keys.Ring) *Agent {
	opt := Options{
		Settings: s, Clock: o.Clock, Logs: l, Metrics: m, Pool: p, Ring: r, Seed: o.Seed,
		Platform: platform.NewClient(s.Platform.URL, o.HTTPClient()),
		Origin:   origin.NewClient(s.Origin.URL, o.HTTPClient()),
	}
	if s.Engine.URL != "" {
		// The engine runs on this instance, so its requests don't use the paced link.
		opt.Engine = engine.NewClient(s.Engine.URL, daemon.Overrides{}.HTTPClient(), s.Engine.Token)
	}
	if s.Service.URL != "" {
		opt.Service = service.NewClient(s.Service.URL)
	}
	return New(opt)
}

// server holds the daemon's listeners and loops.
type server struct {
	a         *Agent
	loops     *daemon.Loops
	peers     *daemon.Server
	operators *daemon.Server
}

func serve(lc fx.Lifecycle, a *Agent, s *settings.Agent, o daemon.Overrides) {
	srv := &server{a: a, loops: daemon.NewLoops()}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return srv.start(s, o) },
		OnStop:  srv.stop,
	})
}

func (s *server) start(cfg *settings.Agent, o daemon.Overrides) error {
	peers, err := o.ListenOn("listen.peers", cfg.Listen.Peers)
	if err != nil {
		return err
	}
	operators, err := o.ListenOn("listen.operators", cfg.Listen.Operators)
	if err != nil {
		return err
	}
	g := grpc.NewServer(peer.ServerOptions(daemon.Credentials(o.TLS))...)
	peer.RegisterAgent(g, s.a)
	s.peers = &daemon.Server{Listener: peers, GRPC: g}
	s.operators = daemon.NewHTTPServer(operators, operator.NewHandler(s.a.opt.Metrics.Handler(), s.a, nil))
	s.peers.Start()
	s.operators.Start()
	s.loops.Go(s.a.attach)
	s.loops.Go(s.a.driver)
	s.a.log.process.Info().Str("peers", cfg.Listen.Peers).Msg("agent started")
	return nil
}

// flushDelay gives the last responses time to be written before connections are closed.
const flushDelay = 200 * time.Millisecond

// stop waits for requests and orders in progress, then stops the loops and servers.
func (s *server) stop(ctx context.Context) error {
	s.a.Leave(ctx)
	// GRPC.Stop drops responses that are not written yet. A graceful stop would wait
	// for watches that never end.
	daemon.Sleep(ctx, flushDelay)
	s.loops.Stop(ctx)
	s.peers.StopGRPC()
	_ = s.operators.HTTP.Close()
	s.a.opt.Pool.Close()
	_ = s.a.opt.Metrics.Close()
	s.a.log.process.Info().Msg("agent stopped")
	return nil
}
