package entry

import (
	"context"
	"time"

	"go.uber.org/fx"
	"google.golang.org/grpc"

	"amaranthturn/app/daemon"
	"amaranthturn/app/settings"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/keys"
	"amaranthturn/io/caller"
	"amaranthturn/io/operator"
	"amaranthturn/io/peer"
	"amaranthturn/io/platform"
)

// Module builds an entry daemon from *settings.Entry and daemon.Overrides.
var Module = fx.Module("entry",
	daemon.Module,
	fx.Provide(commonSettings, newMetrics, newEntry),
	fx.Invoke(serve),
)

func commonSettings(s *settings.Entry) *settings.Common { return &s.Common }

func newMetrics() *telemetry.Metrics { return telemetry.NewMetrics("entry") }

func newEntry(s *settings.Entry, o daemon.Overrides, l *telemetry.Logs, m *telemetry.Metrics, p *peer.Pool, r *keys.Ring) *Entry {
	return New(Options{
		Settings: s, Clock: o.Clock, Logs: l, Metrics: m, Pool: p, Ring: r, Seed: o.Seed,
		Platform: platform.NewClient(s.Platform.URL, o.HTTPClient()),
	})
}

// lameDuckPeriod is how long a leaving entry still accepts connections and asks callers to
// close theirs before it closes its listener.
const lameDuckPeriod = 2 * time.Second

// keepAliveGrace is how long requests on kept-alive connections are still served after the
// listener was closed.
const keepAliveGrace = 2 * time.Second

// exitReserve is the end of the grace period in which orders are stopped and the process exits.
const exitReserve = time.Second

// flushDelay gives the last answers to relayed requests time to be written before GRPC.Stop drops
// them.
const flushDelay = 200 * time.Millisecond

// server holds the daemon's listeners and loops.
type server struct {
	e         *Entry
	loops     *daemon.Loops
	callers   *daemon.Server
	operators *daemon.Server
	peers     *daemon.Server
}

func serve(lc fx.Lifecycle, e *Entry, s *settings.Entry, o daemon.Overrides) error {
	srv := &server{e: e, loops: daemon.NewLoops()}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return srv.start(s, o) },
		OnStop:  srv.stop,
	})
	return nil
}

func (s *server) start(cfg *settings.Entry, o daemon.Overrides) error {
	peers, err := o.ListenOn("listen.peers", cfg.Listen.Peers)
	if err != nil {
		return err
	}
	callers, err := o.ListenOn("listen.callers", cfg.Listen.Callers)
	if err != nil {
		return err
	}
	operators, err := o.ListenOn("listen.operators", cfg.Listen.Operators)
	if err != nil {
		return err
	}
	g := grpc.NewServer(peer.ServerOptions(daemon.Credentials(o.TLS))...)
	peer.RegisterEntry(g, s.e)
	s.peers = &daemon.Server{Listener: peers, GRPC: g}
	s.callers = daemon.NewHTTPServer(callers, caller.NewHandler(s.e, s.e.now))
	s.operators = daemon.NewHTTPServer(operators, operator.NewHandler(s.e.opt.Metrics.Handler(), s.e, s.e))
	for _, x := range []*daemon.Server{s.peers, s.callers, s.operators} {
		x.Start()
	}
	for _, r := range []daemon.Runner{&ticker{s.e}, &configWatcher{e: s.e}, &listWatcher{e: s.e}, &syncer{s.e}} {
		s.loops.Go(r)
	}
	s.e.log.process.Info().Str("callers", cfg.Listen.Callers).Msg("entry started")
	return nil
}

// stop shuts the entry down without interrupting requests in progress: it first asks
// callers to close their connections, then closes the listener, then waits for the
// requests. Those that do not end by themselves are ended in time to answer them within the grace
// period.
func (s *server) stop(ctx context.Context) error {
	grace := s.e.opt.Settings.StopGrace()
	if d, ok := ctx.Deadline(); ok {
		grace = min(grace, time.Until(d))
	}
	s.e.stop.Begin(grace, exitReserve)
	s.e.leaving.Store(true)
	s.e.log.process.Info().Msg("stopping")
	daemon.Sleep(ctx, min(lameDuckPeriod, grace/4))
	// After the listener is closed, callers connect to other entries, while each
	// kept-alive connection is still served one more request. The connections are closed
	// only when they are no longer used, because closing one from this side could drop a
	// request that is already being sent.
	s.callers.StopAccepting(ctx)
	daemon.Sleep(ctx, min(keepAliveGrace, grace/4))
	err := s.e.stop.Drain(ctx, s.callers)
	s.e.Leave(ctx)
	daemon.Sleep(ctx, flushDelay)
	s.loops.Stop(ctx)
	s.e.closeSessions()
	s.peers.StopGRPC()
	_ = s.operators.HTTP.Close()
	s.e.opt.Pool.Close()
	_ = s.e.opt.Metrics.Close()
	s.e.stop.Log(s.e.log.process.Info()).AnErr("unfinished", err).Msg("entry stopped")
	return err
}
