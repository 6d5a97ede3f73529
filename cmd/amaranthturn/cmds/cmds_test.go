package cmds

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Main(args, &o, &e)
	return code, o.String(), e.String()
}

func writeFile(t *testing.T, name, body string) string {
	t.Helper()
	f := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(f, []byte(body), 0o600))
	return f
}

const testDocument = `schema = 1
[[defaults.models]]
name = "m"
pool = "p"
version = "sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
`

// TestUsageErrors checks that each mistake prints a clear line and returns the documented exit
// code, without a panic.
func TestUsageErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	entry := `instance = "e"
region = "r"
availability_zone = "z"
[platform]
url = "http://127.0.0.1:1"
[keys]
active = "k"
[keys.secrets]
k = "0123456789abcdef"
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "` + listener.Addr().String() + `"
`
	tests := []struct {
		name string
		args []string
		code int
		line string
	}{
		{"unknown flag", []string{"local", "--speed"}, ExitUsage, "unknown flag"},
		{"unknown command", []string{"fly"}, ExitUsage, "Unknown command"},
		{"no command", nil, ExitUsage, "command"},
		{"missing settings", []string{"entry", "--settings", "none.toml"}, ExitFailure, "no such file"},
		{"invalid settings", []string{"entry", "--settings", writeFile(t, "e.toml", "instance = 3\n")}, ExitFailure, "e.toml:1"},
		{"port in use", []string{"entry", "--settings", writeFile(t, "e.toml", entry)}, ExitFailure, "address already in use"},
		{"unreachable entry", []string{"status", "--entry", "http://127.0.0.1:1"}, ExitUsage, "connection refused"},
		{"explain without an instance", []string{"explain"}, ExitUsage, "explain INSTANCE"},
		{"unknown fault", []string{"local", "--fault", "flood"}, ExitUsage, "--fault"},
		{"trace without an id", []string{"trace"}, ExitUsage, "trace ID [FILE...]"},
		{"trace with a missing file", []string{"trace", "x", "none.log"}, ExitUsage, "no such file"},
		{"unknown logs subcommand", []string{"logs", "all"}, ExitUsage, "logs summary|failed"},
		{"settings without a file", []string{"settings", "check"}, ExitUsage, "settings check"},
		{"invalid platform settings", []string{"settings", "check", writeFile(t, "p.toml", "Zone = \n")}, ExitFailure, "line 1"},
		{"missing platform setting", []string{"settings", "check", writeFile(t, "p.toml", "Zone = \"z\"\n")}, ExitFailure, "Node"},
		{"invalid agent settings", []string{"settings", "check", "--for", "agent", writeFile(t, "a.toml", "\ninstance = 3\n")}, ExitFailure, "a.toml:2"},
		{"unknown shell for completion", []string{"completion", "fish"}, ExitUsage, "completion bash"},
		{"check a missing file", []string{"config", "check", "none.toml"}, ExitUsage, "no such file"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, _, errOut := run(test.args...)
			assert.Equal(t, code, test.code, errOut)
			assert.Assert(t, strings.Contains(errOut, test.line), "%q", errOut)
			assert.Assert(t, strings.HasPrefix(errOut, "amaranthturn: "))
		})
	}
}

// TestTraceAndLogs runs trace and logs on a log file in the format of the daemons, with lines
// that carry a prefix or are not log lines.
func TestTraceAndLogs(t *testing.T) {
	file := writeFile(t, "day.log", `edge-1 | {"level":"info","instance":"e1","subsystem":"members","target":"a","accepting":false,"time":"2026-01-01T00:00:09.000Z","message":"target changed"}
not a line of a log
{"level":"info","instance":"e1","subsystem":"requests","request":"r","outcome":"not_run","reason":"queue_full","time":"2026-01-01T00:00:10.000Z","message":"request"}
`)
	code, out, _ := run("trace", "r", file)
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.HasPrefix(out, "request r: no slot was free; targets that took no requests: 1\ndecided by 00:00:09.000 e1: target changed"), out)
	code, out, _ = run("trace", "other", file)
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(out, "missing: no line of its end"), out)
	code, out, _ = run("logs", "summary", file)
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(out, "2 lines of 1 processes, 1 requests") && strings.Contains(out, "queue_full"), out)
	_, out, _ = run("logs", "failed", file)
	assert.Equal(t, out, "r\n")
	_, out, _ = run("completion", "bash")
	assert.Assert(t, strings.Contains(out, "complete -o default"))
}

func TestConfigCheckAndDiff(t *testing.T) {
	good := writeFile(t, "good.toml", testDocument)
	other := writeFile(t, "other.toml", strings.Replace(testDocument, "aaaa", "bbbb", 1))
	bad := writeFile(t, "bad.toml", testDocument+"[[exceptions]]\nname = \"x\"\n")
	code, out, _ := run("config", "check", good)
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(out, "accepted"))
	code, out, _ = run("config", "check", bad)
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(out, "bad.toml:6: exceptions.0"), out)
	code, _, _ = run("config", "diff", good, good)
	assert.Equal(t, code, ExitOK)
	code, out, _ = run("config", "diff", good, other)
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.HasPrefix(out, "~ model m"), out)
}

func TestHelp(t *testing.T) {
	code, out, _ := run("--help")
	assert.Equal(t, code, ExitOK)
	for _, c := range commands() {
		assert.Assert(t, strings.Contains(out, c.name))
	}
}
