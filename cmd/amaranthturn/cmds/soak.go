package cmds

import (
	"os"
	"time"

	"amaranthturn/app/soak"
)

type soakCommand struct {
	Seed      uint64        `long:"seed" default:"1" description:"seed of the faults"`
	Runs      int           `long:"runs" default:"1" description:"number of runs, with consecutive seeds"`
	Duration  time.Duration `long:"duration" default:"20s" description:"time during which each run injects faults"`
	Instances int           `long:"instances" default:"4" description:"model runners"`
	Entries   int           `long:"entries" default:"3" description:"entry instances"`
	BasePort  int           `long:"base-port" default:"18000" description:"first of the loopback ports used"`
	Dir       string        `long:"dir" description:"directory in which each run creates one for settings and logs (default: temporary)"`
}

func (c *soakCommand) run(p *program, args []string) int {
	if len(args) > 0 || c.Runs < 1 || c.Instances < 1 || c.Entries < 1 {
		return p.usageError("soak [--seed N] [--runs N] [--duration 20s] [--instances N] [--entries N]")
	}
	bin, err := os.Executable()
	if err != nil {
		return p.fail(ExitUsage, err)
	}
	failedRuns := 0
	for i := range c.Runs {
		seed := c.Seed + uint64(i)
		dir, err := os.MkdirTemp(c.Dir, "soak-")
		if err != nil {
			return p.fail(ExitUsage, err)
		}
		p.printf("seed %d, logs in %s\n", seed, dir)
		rep, err := soak.Run(p.ctx, soak.Options{
			Binary: bin, Dir: dir, Seed: seed, Duration: c.Duration, Instances: c.Instances, Entries: c.Entries, BasePort: c.BasePort,
		}, p.out)
		if err != nil {
			return p.fail(ExitFailure, err)
		}
		p.printf("seed %d: %d requests, %d complete, %d not run, %d unknown; %d orders, %d run; broken promises: %v\n",
			seed, rep.RequestsSent, rep.ResponsesComplete, rep.ResponsesNotRun, rep.ResponsesUnknown, rep.OrdersSent, rep.OrdersRun, rep.Violations)
		if len(rep.Violations) > 0 {
			failedRuns++
		}
	}
	if failedRuns > 0 {
		p.printf("%d of %d runs broke a promise\n", failedRuns, c.Runs)
		return ExitFailure
	}
	return ExitOK
}
