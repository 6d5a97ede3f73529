package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/fx"

	"amaranthturn/app/daemon"
	"amaranthturn/app/gateway"
	"amaranthturn/app/settings"
	"amaranthturn/app/sidecar"
	"amaranthturn/app/telemetry"
	"amaranthturn/platform"
)

type serveCommand struct {
	Settings string `long:"settings" description:"settings file (default: the file that the platform's environment variable names)"`
	LogLevel string `long:"log-level" default:"info" description:"debug, info, warn or error"`
}

func (c *serveCommand) run(p *program, args []string) int {
	if len(args) != 1 || args[0] != "entry" && args[0] != "agent" {
		return p.usageError("serve entry|agent [--settings FILE]")
	}
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return p.fail(ExitFailure, err)
	}
	// Without a handler SIGHUP would terminate the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	r := &reloader{path: path, signals: hangups, err: p.err}
	module := fx.Options(gateway.Module, fx.Invoke(func(g *gateway.Gateway) { r.daemon = g }))
	if args[0] == "agent" {
		module = fx.Options(sidecar.Module, fx.Invoke(func(s *sidecar.Sidecar) { r.daemon = s }))
	}
	w := telemetry.NewWriter(p.out, string(s.Instance))
	defer w.Close()
	logs := telemetry.NewLogs(w, settings.Log{Level: c.LogLevel}, string(s.Instance))
	app := fx.New(module, fx.NopLogger, fx.StopTimeout(s.Bounds.StopGrace), fx.Supply(s, logs, telemetry.NewMetrics(args[0])))
	go r.run(p.ctx)
	if err := daemon.Run(p.ctx, app, s.Bounds.StopGrace); err != nil {
		return p.fail(ExitFailure, errors.Join(errors.New(string(s.Instance)), err))
	}
	return ExitOK
}

// reloader reloads the settings file on each hangup signal.
type reloader struct {
	path    string
	signals <-chan os.Signal
	err     io.Writer
	daemon  interface {
		Reload(settings *platform.Settings)
	}
}

// run reloads until ctx is canceled. An invalid file is reported and changes nothing.
func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signals:
		}
		s, err := platform.LoadSettings(r.path)
		if err != nil {
			_, _ = fmt.Fprintf(r.err, "amaranthturn: reload failed, keeping the current settings: %v\n", err)
			continue
		}
		if r.daemon != nil {
			r.daemon.Reload(s)
		}
	}
}
