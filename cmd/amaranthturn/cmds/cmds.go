// Package cmds implements the subcommands of the amaranthturn program.
//
// # Usage
//
//	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// # Exit codes
//
// 0: success; the fleet has converged or the file is valid. 1: the fleet has not converged, a
// file was refused, a promise was broken or a daemon could not start. 2: wrong usage, or an
// entry or file that cannot be reached.
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
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// program holds the context and the output streams of a command.
type program struct {
	ctx context.Context
	out io.Writer
	err io.Writer
}

// command describes one subcommand.
type command struct {
	name    string
	aliases []string
	short   string
	long    string
	handler handler
}

// handler holds the options of a command and runs it.
type handler interface {
	run(p *program, args []string) int
}

// commands returns all subcommands.
func commands() []command {
	return []command{
		{name: "entry", short: "run an entry daemon", handler: &entryCommand{},
			long: "Serves callers and routes their requests and orders to targets. On SIGTERM, finishes the requests in progress and stops."},
		{name: "agent", short: "run the agent daemon of a target instance", handler: &agentCommand{},
			long: "Fetches and verifies weights, sends commands to the engine, forwards requests to it and drains it. On SIGTERM, finishes the requests in progress and stops."},
		{name: "serve", short: "run a daemon on a machine of the users' platform", handler: &serveCommand{},
			long: "serve entry runs an entry for callers; serve agent runs the agent of a model's target. Addresses come from the platform's settings file. Logs go to standard output as JSON lines."},
		{name: "status", aliases: []string{"st"}, short: "show whether the fleet has converged", handler: &statusCommand{},
			long: "Queries one entry for the state of the entire fleet. Exits 0 when the fleet has converged, 1 when it has not, 2 when the entry does not respond. With --watch, waits for both until it is interrupted or --timeout is over."},
		{name: "explain", short: "show the settings and state of an instance and their reasons", handler: &explainCommand{},
			long: "Shows which default or exception determines each setting of an instance and what the instance waits for."},
		{name: "config-check", aliases: []string{"check"}, short: "check a configuration", handler: &checkCommand{},
			long: "Exits 0 when every daemon would accept the file, 1 when it is refused. Prints one line per problem. Also: config check FILE."},
		{name: "config-diff", aliases: []string{"diff"}, short: "show what a new configuration changes", handler: &diffCommand{},
			long: "Exits 0 when nothing changes, 1 when something does. Also: config diff OLD NEW."},
		{name: "settings", short: "check a daemon's settings file", handler: &settingsCommand{},
			long: "Exits 0 when the daemon would accept the file, 1 when not, and prints the line or key at fault. Usage: settings check [--for serve|entry|agent] FILE."},
		{name: "completion", short: "print a script that completes commands in a shell", handler: &completionCommand{},
			long: "Usage: source <(amaranthturn completion bash)"},
		{name: "trace", short: "show the cause of a request's outcome from logs", handler: &traceCommand{},
			long: "Reads log lines of any number of processes from files or standard input, collects the lines of one request and shows them, the decisive one first. Exits 1 when the logs contain no line of the request. Usage: trace ID [FILE...]."},
		{name: "logs", short: "summarize request outcomes from logs", handler: &logsCommand{},
			long: "logs summary [FILE...] counts outcomes and reasons over time; logs failed [FILE...] lists the ids of failed requests. Reads files or standard input."},
		{name: "local", short: "run a complete fleet in one process and check its promises", handler: newLocalCommand(),
			long: "Starts stand-ins, entries and agents over loopback, sends requests and orders, publishes a new version after half of the duration and reports whether a promise was broken."},
		{name: "soak", short: "run daemons as processes under random faults and check the promises", handler: &soakCommand{},
			long: "Starts stand-ins and daemons as separate processes, injects random process and connection faults selected by a seed, removes them, and checks the promises against what callers received and the stand-ins ran. Exits 1 when a promise was broken."},
		{name: "standins", short: "run the stand-ins of the platform, origin, engines and services", handler: &standinsCommand{},
			long: "For running the daemons as separate processes; writes their settings files to a directory."},
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
	byName := map[string]command{}
	for _, c := range commands() {
		added, err := parser.AddCommand(c.name, c.short, c.long, c.handler)
		if err != nil {
			return p.fail(ExitUsage, err)
		}
		added.Aliases = c.aliases
		byName[c.name] = c
	}
	rest, err := parser.ParseArgs(joinConfigCommand(args))
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, flagErr.Message)
		return ExitOK
	}
	if err != nil {
		return p.fail(ExitUsage, err)
	}
	return byName[parser.Active.Name].handler.run(p, rest)
}

// joinConfigCommand allows `config check` and `config diff` to be written as two words.
func joinConfigCommand(args []string) []string {
	if len(args) >= 2 && args[0] == "config" && (args[1] == "check" || args[1] == "diff") {
		return append([]string{"config-" + args[1]}, args[2:]...)
	}
	return args
}

// fail prints each line of the error with the program's name and returns code.
func (p *program) fail(code int, err error) int {
	for _, line := range strings.Split(strings.TrimSpace(err.Error()), "\n") {
		_, _ = fmt.Fprintf(p.err, "amaranthturn: %s\n", line)
	}
	return code
}

func (p *program) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.out, format, args...)
}

// usageError prints the usage of a command that got wrong arguments.
func (p *program) usageError(text string) int {
	return p.fail(ExitUsage, errors.New("usage: amaranthturn "+text))
}
