package cmds

import (
	"encoding/json"
	"os"
	"time"

	"amaranthturn/app/local"
)

type localCommand struct {
	Instances  int           `long:"instances" default:"14" description:"model runners"`
	Entries    int           `long:"entries" default:"7" description:"entry instances"`
	Regions    int           `long:"regions" default:"3" description:"regions with one availability zone each"`
	ModelBytes int           `long:"model-bytes" default:"8388608" description:"size of a model version"`
	Duration   time.Duration `long:"duration" default:"20s" description:"minimum time during which requests are sent"`
	Faults     []string      `long:"fault" description:"fault to inject (repeatable, see --faults)"`
	ListFaults bool          `long:"faults" description:"list the faults and exit"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of weights, callers and random decisions"`
	Objective  string        `long:"objective" default:"time" description:"time or origin_bytes"`
	OneSlot    bool          `long:"one-slot" description:"engines hold one version at a time"`
	Flat       bool          `long:"flat" description:"do not rate-limit links"`
	NoTLS      bool          `long:"no-tls" description:"do not encrypt connections between daemons"`
	Report     string        `long:"report" description:"write the report as JSON to this file"`
	Log        string        `long:"log" description:"write the daemons' log lines to this file"`
	Verbose    bool          `long:"verbose" description:"log of the daemons goes to standard error"`
}

func newLocalCommand() *localCommand { return &localCommand{} }

func (c *localCommand) options() local.Options {
	o := local.Options{
		Instances: c.Instances, Entries: c.Entries, Regions: c.Regions, ModelBytes: c.ModelBytes, Duration: c.Duration,
		Seed: c.Seed, Objective: c.Objective, OneSlot: c.OneSlot, Flat: c.Flat, NoTLS: c.NoTLS, Verbose: c.Verbose,
	}
	for _, f := range c.Faults {
		o.Faults = append(o.Faults, local.Fault(f))
	}
	return o
}

func (c *localCommand) run(p *program, args []string) int {
	if c.ListFaults {
		p.printf("%s", local.FaultHelp())
		return ExitOK
	}
	if len(args) > 0 {
		return p.usageError("local [options]; see local --help")
	}
	o := c.options()
	if err := o.Check(); err != nil {
		return p.fail(ExitUsage, err)
	}
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return p.fail(ExitUsage, err)
		}
		defer func() { _ = f.Close() }() // lines are written unbuffered
		o.Log = f
	}
	rep, err := local.Run(p.ctx, o, p.out)
	if p.ctx.Err() != nil {
		p.printf("interrupted: all daemons have been stopped\n")
		return ExitFailure
	}
	if err != nil {
		return p.fail(ExitFailure, err)
	}
	rep.Print(p.out)
	if err := c.writeReport(rep); err != nil {
		return p.fail(ExitUsage, err)
	}
	if rep.Failed() {
		return ExitFailure
	}
	return ExitOK
}

func (c *localCommand) writeReport(rep *local.Report) error {
	if c.Report == "" {
		return nil
	}
	body, err := json.MarshalIndent(rep, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.Report, append(body, '\n'), 0o644)
}
