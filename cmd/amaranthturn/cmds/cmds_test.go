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

func write(t *testing.T, name, body string) string {
	t.Helper()
	f := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(f, []byte(body), 0o600))
	return f
}

const document = `schema = 1
[[defaults.models]]
name = "m"
pool = "p"
version = "sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
`

// TestWrongUse: each mistake gives a clear line and the documented code, no panic.
func TestWrongUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = taken.Close() }()
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
peers = "` + taken.Addr().String() + `"
`
	rows := []struct {
		name string
		args []string
		code int
		line string
	}{
		{"unknown flag", []string{"local", "--speed"}, ExitUsage, "unknown flag"},
		{"unknown command", []string{"fly"}, ExitUsage, "Unknown command"},
		{"no command", nil, ExitUsage, "command"},
		{"missing settings", []string{"entry", "--settings", "none.toml"}, ExitNot, "no such file"},
		{"wrong settings", []string{"entry", "--settings", write(t, "e.toml", "instance = 3\n")}, ExitNot, "e.toml:1"},
		{"taken port", []string{"entry", "--settings", write(t, "e.toml", entry)}, ExitNot, "address already in use"},
		{"unreachable entry", []string{"status", "--entry", "http://127.0.0.1:1"}, ExitUsage, "connection refused"},
		{"explain nobody", []string{"explain"}, ExitUsage, "explain INSTANCE"},
		{"bad fault", []string{"local", "--fault", "flood"}, ExitUsage, "--fault"},
		{"trace nothing", []string{"trace"}, ExitUsage, "trace ID [FILE...]"},
		{"trace no file", []string{"trace", "x", "none.log"}, ExitUsage, "no such file"},
		{"logs of what", []string{"logs", "all"}, ExitUsage, "logs summary|failed"},
		{"settings without a file", []string{"settings", "check"}, ExitUsage, "settings check"},
		{"settings of the platform", []string{"settings", "check", write(t, "p.toml", "Zone = \n")}, ExitNot, "line 1"},
		{"a key is missing", []string{"settings", "check", write(t, "p.toml", "Zone = \"z\"\n")}, ExitNot, "Node"},
		{"settings of an agent", []string{"settings", "check", "--for", "agent", write(t, "a.toml", "\ninstance = 3\n")}, ExitNot, "a.toml:2"},
		{"completion of what", []string{"completion", "fish"}, ExitUsage, "completion bash"},
		{"check nothing", []string{"config", "check", "none.toml"}, ExitUsage, "no such file"},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			code, _, errOut := run(r.args...)
			assert.Equal(t, code, r.code, errOut)
			assert.Assert(t, strings.Contains(errOut, r.line), "%q", errOut)
			assert.Assert(t, strings.HasPrefix(errOut, "amaranthturn: "))
		})
	}
}

// TestTraceAndLogs reads a log file as the daemons write it.
func TestTraceAndLogs(t *testing.T) {
	file := write(t, "day.log", `edge-1 | {"level":"info","instance":"e1","subsystem":"members","target":"a","accepting":false,"time":"2026-01-01T00:00:09.000Z","message":"target changed"}
not a line of a log
{"level":"info","instance":"e1","subsystem":"requests","request":"r","outcome":"not_run","reason":"queue_full","time":"2026-01-01T00:00:10.000Z","message":"request"}
`)
	code, out, _ := run("trace", "r", file)
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.HasPrefix(out, "request r: no slot was free; targets that took no requests: 1\ndecided by 00:00:09.000 e1: target changed"), out)
	code, out, _ = run("trace", "other", file)
	assert.Equal(t, code, ExitNot)
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
	good := write(t, "good.toml", document)
	other := write(t, "other.toml", strings.Replace(document, "aaaa", "bbbb", 1))
	bad := write(t, "bad.toml", document+"[[exceptions]]\nname = \"x\"\n")
	code, out, _ := run("config", "check", good)
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(out, "accepted"))
	code, out, _ = run("config", "check", bad)
	assert.Equal(t, code, ExitNot)
	assert.Assert(t, strings.Contains(out, "bad.toml:6: exceptions.0"), out)
	code, _, _ = run("config", "diff", good, good)
	assert.Equal(t, code, ExitOK)
	code, out, _ = run("config", "diff", good, other)
	assert.Equal(t, code, ExitNot)
	assert.Assert(t, strings.HasPrefix(out, "~ model m"), out)
}

func TestHelp(t *testing.T) {
	code, out, _ := run("--help")
	assert.Equal(t, code, ExitOK)
	for _, c := range table() {
		assert.Assert(t, strings.Contains(out, c.name))
	}
}
