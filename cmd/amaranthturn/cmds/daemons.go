package cmds

import (
	"fmt"

	"go.uber.org/fx"

	"amaranthturn/app/agent"
	"amaranthturn/app/daemon"
	"amaranthturn/app/entry"
	"amaranthturn/app/settings"
)

type entryCommand struct {
	Settings string `long:"settings" description:"settings file (TOML)" required:"true"`
}

func (c *entryCommand) run(p *program, args []string) int {
	if len(args) > 0 {
		return p.usageError("entry --settings FILE")
	}
	s, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return p.fail(ExitFailure, err)
	}
	return p.runDaemon(&s.Common, fx.Supply(s), entry.Module)
}

type agentCommand struct {
	Settings string `long:"settings" description:"settings file (TOML)" required:"true"`
}

func (c *agentCommand) run(p *program, args []string) int {
	if len(args) > 0 {
		return p.usageError("agent --settings FILE")
	}
	s, err := settings.LoadAgent(c.Settings)
	if err != nil {
		return p.fail(ExitFailure, err)
	}
	return p.runDaemon(&s.Common, fx.Supply(s), agent.Module)
}

// runDaemon runs a daemon until p.ctx is canceled by SIGTERM or an interrupt.
func (p *program) runDaemon(s *settings.Common, options ...fx.Option) int {
	overrides := daemon.Overrides{LogOutput: p.err}
	tls, err := daemon.LoadTLS(s.TLS)
	if err != nil {
		return p.fail(ExitFailure, err)
	}
	overrides.TLS = tls
	grace := s.StopGrace()
	app := fx.New(append(options, fx.NopLogger, fx.StopTimeout(grace), fx.Supply(overrides.WithDefaults()))...)
	if err := daemon.Run(p.ctx, app, grace); err != nil {
		return p.fail(ExitFailure, fmt.Errorf("%s: %w", s.Instance, err))
	}
	return ExitOK
}
