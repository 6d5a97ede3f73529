package cmds

import (
	"errors"
	"os"

	"go.uber.org/fx"

	"amaranthturn/app/gateway"
	"amaranthturn/app/node"
	"amaranthturn/app/settings"
	"amaranthturn/app/sidecar"
	"amaranthturn/app/telemetry"
	"amaranthturn/platform"
)

type serveCommand struct {
	Settings string `long:"settings" description:"settings file; default: where the platform puts it"`
	LogLevel string `long:"log-level" default:"info" description:"debug, info, warn or error"`
}

func (c *serveCommand) run(p *program, args []string) int {
	if len(args) != 1 || args[0] != "entry" && args[0] != "agent" {
		return p.usage("serve entry|agent [--settings FILE]")
	}
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return p.fail(ExitNot, err)
	}
	module := gateway.Module
	if args[0] == "agent" {
		module = sidecar.Module
	}
	w := telemetry.NewWriter(p.out)
	defer w.Close()
	logs := telemetry.NewLogs(w, settings.Log{Level: c.LogLevel}, string(s.Instance))
	app := fx.New(module, fx.NopLogger, fx.StopTimeout(s.Bounds.Grace), fx.Supply(s, logs, telemetry.NewMetrics(args[0])))
	if err := node.Run(p.ctx, app, s.Bounds.Grace); err != nil {
		return p.fail(ExitNot, errors.Join(errors.New(string(s.Instance)), err))
	}
	return ExitOK
}
