package cmds

import (
	"amaranthturn/app/local"
)

type standinsCommand struct {
	Dir       string `long:"dir" required:"true" description:"directory for the settings files"`
	Instances int    `long:"instances" default:"3" description:"model runners"`
	Entries   int    `long:"entries" default:"2" description:"entry instances"`
	BasePort  int    `long:"base-port" default:"7000" description:"first of the loopback ports used"`
}

func (c *standinsCommand) run(p *program, args []string) int {
	if len(args) > 0 {
		return p.usageError("standins --dir DIR")
	}
	s, err := local.NewStandins(local.StandinOptions{
		Dir: c.Dir, Instances: c.Instances, Entries: c.Entries, BasePort: c.BasePort,
	})
	if err != nil {
		return p.fail(ExitFailure, err)
	}
	defer s.Close()
	p.printf("%s", s.Describe())
	<-p.ctx.Done()
	return ExitOK
}
