// Package cmds holds the subcommands of the amaranthturn program.
//
// # Usage
//
//	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// # Exit codes
//
// 0: converged, valid, done. 1: not converged, refused, a promise broken, a daemon
// that could not start. 2: wrong usage, or an entry or file that cannot be reached.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	ExitOK    = 0
	ExitNot   = 1
	ExitUsage = 2
)

// program is what a command runs with.
type program struct {
	ctx context.Context
	out io.Writer
	err io.Writer
}

// command is one row of the command table.
type command struct {
	name    string
	aliases []string
	short   string
	long    string
	options runner
}

// runner is the options of a command and its function.
type runner interface {
	run(p *program, args []string) int
}

func table() []command {
	return []command{
		{name: "entry", short: "run the daemon of an entry instance", options: &entryCommand{},
			long: "Answers callers and routes their requests and orders to targets. Stops on SIGTERM after the requests in progress."},
		{name: "agent", short: "run the process in a target instance's slot", options: &agentCommand{},
			long: "Fetches and verifies weights, gives the engine its orders, lets requests through and drains. Stops on SIGTERM after the requests in progress."},
		{name: "serve", short: "run a daemon on a machine of the users' platform", options: &serveCommand{},
			long: "serve entry answers callers; serve agent runs beside a model's target. The platform's settings file says where. Logs go to standard output as JSON lines."},
		{name: "status", aliases: []string{"st"}, short: "show whether the fleet has converged", options: &statusCommand{},
			long: "Asks one entry for the state of the whole fleet. Exits 0 when converged, 1 when not, 2 when the entry does not answer."},
		{name: "explain", short: "show why an instance does what it does", options: &explainCommand{},
			long: "Says which default or exception gave each setting of an instance and what the instance waits for."},
		{name: "config-check", aliases: []string{"check"}, short: "check a configuration", options: &checkCommand{},
			long: "Exits 0 when every daemon would accept the file, 1 when refused, with each problem in a line. Also: config check FILE."},
		{name: "config-diff", aliases: []string{"diff"}, short: "show what a new configuration changes", options: &diffCommand{},
			long: "Exits 0 when nothing changes, 1 when something does. Also: config diff OLD NEW."},
		{name: "settings", short: "check a daemon's settings file", options: &settingsCommand{},
			long: "Exits 0 when the daemon would start with the file, 1 when not, with line or key. Usage: settings check [--for serve|entry|agent] FILE."},
		{name: "completion", short: "print a script that completes commands in a shell", options: &completionCommand{},
			long: "Usage: source <(amaranthturn completion bash)"},
		{name: "trace", short: "show from logs why a request ended as it did", options: &traceCommand{},
			long: "Reads log lines of any number of processes from files or standard input, joins those of one request and shows the line that decided. Exits 1 when the logs have no line of it. Usage: trace ID [FILE...]."},
		{name: "logs", short: "count in logs how requests ended", options: &logsCommand{},
			long: "logs summary [FILE...] counts outcomes and reasons over time; logs failed [FILE...] lists the ids of requests that were not answered. Reads files or standard input."},
		{name: "local", short: "run a whole fleet in one process and prove its promises", options: newLocalCommand(),
			long: "Starts stand-ins, entries and agents over loopback, drives requests and orders, publishes a new version half-way and judges."},
		{name: "soak", short: "run daemons as processes under random faults and check the promises", options: &soakCommand{},
			long: "Starts stand-ins and daemons as separate processes, pauses, stops, kills and cuts them by a seed, heals, and judges from what callers were told and stand-ins ran. Exits 1 when a promise was broken."},
		{name: "standins", short: "run the stand-ins of the platform, origin, engines and services", options: &standinsCommand{},
			long: "For trying the daemons as separate processes; writes their settings files into a folder."},
	}
}

// Main runs the program and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := &program{ctx: ctx, out: out, err: errOut}
	parser := flags.NewNamedParser("amaranthturn", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "weight distribution system for bursts"
	parser.SubcommandsOptional = false
	rows := map[string]command{}
	for _, c := range table() {
		added, err := parser.AddCommand(c.name, c.short, c.long, c.options)
		if err != nil {
			return p.fail(ExitUsage, err)
		}
		added.Aliases = c.aliases
		rows[c.name] = c
	}
	rest, err := parser.ParseArgs(joinConfig(args))
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, f.Message)
		return ExitOK
	}
	if err != nil {
		return p.fail(ExitUsage, err)
	}
	return rows[parser.Active.Name].options.run(p, rest)
}

// joinConfig lets `config check` and `config diff` be written as two words.
func joinConfig(args []string) []string {
	if len(args) >= 2 && args[0] == "config" && (args[1] == "check" || args[1] == "diff") {
		return append([]string{"config-" + args[1]}, args[2:]...)
	}
	return args
}

// fail prints one clear line for each line of the error.
func (p *program) fail(code int, err error) int {
	for _, line := range strings.Split(strings.TrimSpace(err.Error()), "\n") {
		_, _ = fmt.Fprintf(p.err, "amaranthturn: %s\n", line)
	}
	return code
}

func (p *program) print(format string, args ...any) {
	_, _ = fmt.Fprintf(p.out, format, args...)
}

// usage reports arguments that a command does not take.
func (p *program) usage(text string) int {
	return p.fail(ExitUsage, errors.New("usage: amaranthturn "+text))
}
