// Package daemon provides the parts that entry daemons and agents share: listeners, TLS,
// the connection pool, and ordered start and stop.
//
// # Usage
//
//	app := fx.New(fx.Supply(settings, overrides), entry.Module, fx.NopLogger)
//	err := daemon.Run(ctx, app, grace)
package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"go.uber.org/fx"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"amaranthturn/app/settings"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/clock"
	"amaranthturn/core/keys"
	"amaranthturn/io/bounded"
	"amaranthturn/io/http1"
	"amaranthturn/io/peer"
)

// Module provides the dependencies of every daemon from *settings.Common and
// Overrides.
var Module = fx.Module("daemon", fx.Provide(newRing, newLogs, NewPool))

func newRing(s *settings.Common) (*keys.Ring, error) { return s.Keys.Ring() }

func newLogs(s *settings.Common, o Overrides) *telemetry.Logs {
	return telemetry.NewLogs(o.LogOutput, s.Log, s.Instance)
}

// Constants of daemons on the users' platform.
const (
	// MetricsPort is the port of the metrics page. It is outside the range of ports that
	// the platform assigns.
	MetricsPort = "9464"
	// MaxReconnectDelay is the maximum delay between two connection attempts to an unresponsive
	// process. It is short because all processes restart almost simultaneously after a
	// power failure.
	MaxReconnectDelay = 300 * time.Millisecond
)

// Sleep waits for d. It returns false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Overrides replaces parts of a daemon that does not run as a process of its own, as in
// the local mode, which limits the rate of links and injects faults.
type Overrides struct {
	Clock     clock.Clock
	LogOutput io.Writer
	// Dial opens connections to other daemons; nil means plain TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// DialHTTP opens connections to the platform and the origin; nil means plain TCP.
	DialHTTP func(ctx context.Context, network, addr string) (net.Conn, error)
	// Listen opens listeners; nil means plain TCP.
	Listen func(addr string) (net.Listener, error)
	TLS    *tls.Config
	Seed   uint64
}

// WithDefaults returns o with defaults for the clock, the log output, the listener and the
// seed where they are not set.
func (o Overrides) WithDefaults() Overrides {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.LogOutput == nil {
		o.LogOutput = os.Stderr
	}
	if o.Listen == nil {
		o.Listen = listenTCP
	}
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano())
	}
	return o
}

func listenTCP(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Key     string
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("%s: cannot listen on %s: %v", e.Key, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// ListenOn opens the listener on the address of a settings key.
func (o Overrides) ListenOn(key, addr string) (net.Listener, error) {
	l, err := o.Listen(addr)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) {
			err = op.Err
		}
		return nil, &ListenError{Key: key, Address: addr, Cause: err}
	}
	return l, nil
}

// LoadTLS returns the configuration for mutual TLS, or nil if the settings do not enable
// TLS.
func LoadTLS(s settings.TLS) (*tls.Config, error) {
	if !s.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	ca, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, fmt.Errorf("tls: %s contains no certificate", s.CAFile)
	}
	return MutualTLS(cert, pool), nil
}

// MutualTLS returns a configuration in which both sides present a certificate signed by
// the fleet's certificate authority. Certificates identify the fleet rather than an
// address, because IP addresses change with every replacement of an instance.
func MutualTLS(cert tls.Certificate, authority *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authority,
		RootCAs:      authority,
		ServerName:   ServerName,
	}
}

// ServerName is the server name in every certificate of the fleet.
const ServerName = "amaranthturn"

// Credentials returns the credentials for connections between daemons, or nil if c is nil.
func Credentials(c *tls.Config) credentials.TransportCredentials {
	if c == nil {
		return nil
	}
	return credentials.NewTLS(c)
}

// NewPool returns the pool of connections to other daemons.
func NewPool(o Overrides) *peer.Pool {
	return peer.NewPool(peer.DialOptions{Dial: o.Dial, Credentials: Credentials(o.TLS)})
}

// HTTPClient returns an HTTP client for the platform and the origin.
func (o Overrides) HTTPClient() *http.Client {
	dial := o.DialHTTP
	if dial == nil {
		dial = (&net.Dialer{Timeout: 2 * time.Second}).DialContext
	}
	return &http.Client{Transport: http1.NewTransport(&http.Transport{
		Proxy: nil, DialContext: dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: bounded.MaxHeaderBytes,
	})}
}

// Server is an HTTP or gRPC server with its listener.
type Server struct {
	Listener net.Listener
	HTTP     *http.Server
	GRPC     *grpc.Server
	conns    *connSet // nil for gRPC
	rawConns rawConns // of gRPC
}

// run serves until the server is stopped.
func (s *Server) run() {
	if s.HTTP != nil {
		_ = s.HTTP.Serve(s.Listener)
		return
	}
	_ = s.GRPC.Serve(&rawListener{Listener: s.Listener, conns: &s.rawConns})
}

// Start serves in the background.
func (s *Server) Start() { go s.run() }

// Limits of the header of a request. A request above maxHeaderBytes is answered with 431.
const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 256 << 10
)

// NewHTTPServer returns a server for h.
func NewHTTPServer(l net.Listener, h http.Handler) *Server {
	conns := newConnSet()
	return &Server{
		Listener: newConnListener(l, conns), conns: conns,
		HTTP: &http.Server{
			Handler: connHandler{h}, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
			ConnState: trackConn, ConnContext: withConn,
		},
	}
}

// AddConnContext adds f to the hooks that derive the context of a connection's requests. Replacing
// http.Server.ConnContext would hide from a drain which requests are being handled.
func (s *Server) AddConnContext(f func(context.Context, net.Conn) context.Context) {
	inner := s.HTTP.ConnContext
	s.HTTP.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return f(inner(ctx, c), c) }
}

// MetricsServer returns the server for a daemon's metrics on the users' platform.
func (o Overrides) MetricsServer(ip string, page http.Handler) (*Server, error) {
	l, err := o.ListenOn("metrics", net.JoinHostPort(ip, MetricsPort))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", page)
	return NewHTTPServer(l, mux), nil
}

// startTimeout is the maximum duration of a daemon's start.
const startTimeout = 15 * time.Second

// Run starts an application, waits until ctx ends and stops the application within grace.
func Run(ctx context.Context, app *fx.App, grace time.Duration) error {
	if err := app.Err(); err != nil {
		return RootCause(err)
	}
	start, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := app.Start(start); err != nil {
		return RootCause(err)
	}
	<-ctx.Done()
	stop, cancelStop := context.WithTimeout(context.Background(), grace)
	defer cancelStop()
	return app.Stop(stop)
}

// RootCause removes the wrapping that fx adds to the error of a constructor. It returns the
// ListenError in the chain, or else the innermost error.
func RootCause(err error) error {
	for {
		var l *ListenError
		if errors.As(err, &l) {
			return l
		}
		inner := errors.Unwrap(err)
		if inner == nil {
			return err
		}
		err = inner
	}
}

// Loops runs the loops of a daemon and waits until they have returned.
type Loops struct {
	cancel context.CancelFunc
	ctx    context.Context
	n      int
	done   chan struct{}
}

// NewLoops returns an empty set of loops.
func NewLoops() *Loops {
	ctx, cancel := context.WithCancel(context.Background())
	return &Loops{ctx: ctx, cancel: cancel, done: make(chan struct{})}
}

// Runner is a loop that returns when its context ends.
type Runner interface {
	Run(ctx context.Context)
}

// Go starts a loop. It must not be called after Stop.
func (l *Loops) Go(r Runner) {
	l.n++
	t := &loopTask{loops: l, runner: r}
	go t.run()
}

type loopTask struct {
	loops  *Loops
	runner Runner
}

func (t *loopTask) run() {
	t.runner.Run(t.loops.ctx)
	t.loops.done <- struct{}{}
}

// Stop cancels the loops and waits until all have returned or ctx ends.
func (l *Loops) Stop(ctx context.Context) {
	l.cancel()
	for range l.n {
		select {
		case <-l.done:
		case <-ctx.Done():
			return
		}
	}
}
