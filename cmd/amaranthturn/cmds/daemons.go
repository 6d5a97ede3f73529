package cmds

import (
	"fmt"

	"go.uber.org/fx"

	"amaranthturn/app/agent"
	"amaranthturn/app/entry"
	"amaranthturn/app/node"
	"amaranthturn/app/settings"
)

type entryCommand struct {
	Settings string `long:"settings" description:"settings file (TOML)" required:"true"`
}

func (c *entryCommand) run(p *program, args []string) int {
	if len(args) > 0 {
		return p.usage("entry --settings FILE")
	}
	s, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return p.fail(ExitNot, err)
	}
	return p.daemon(&s.Common, fx.Supply(s), entry.Module)
}

type agentCommand struct {
	Settings string `long:"settings" description:"settings file (TOML)" required:"true"`
}

func (c *agentCommand) run(p *program, args []string) int {
	if len(args) > 0 {
		return p.usage("agent --settings FILE")
	}
	s, err := settings.LoadAgent(c.Settings)
	if err != nil {
		return p.fail(ExitNot, err)
	}
	return p.daemon(&s.Common, fx.Supply(s), agent.Module)
}

// daemon runs a daemon until the process is told to stop.
func (p *program) daemon(s *settings.Common, options ...fx.Option) int {
	o := node.Overrides{LogTo: p.err}
	tls, err := node.LoadTLS(s.TLS)
	if err != nil {
		return p.fail(ExitNot, err)
	}
	o.TLS = tls
	grace := s.StopGrace()
	app := fx.New(append(options, fx.NopLogger, fx.StopTimeout(grace), fx.Supply(o.WithDefaults()))...)
	if err := node.Run(p.ctx, app, grace); err != nil {
		return p.fail(ExitNot, fmt.Errorf("%s: %w", s.Instance, err))
	}
	return ExitOK
}
