package cmds

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/io/operator"
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

// closedPort is a TCP port of loopback that belongs to the test and refuses connections until it
// is opened.
type closedPort struct {
	file *os.File
	url  string
}

func newClosedPort(t *testing.T) *closedPort {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	file := os.NewFile(uintptr(fd), "port")
	t.Cleanup(func() { _ = file.Close() })
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	addr := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}
	return &closedPort{file: file, url: "http://" + addr.String()}
}

// open serves h on the port.
func (p *closedPort) open(t *testing.T, h http.Handler) {
	t.Helper()
	assert.NilError(t, syscall.Listen(int(p.file.Fd()), syscall.SOMAXCONN))
	listener, err := net.FileListener(p.file)
	assert.NilError(t, err)
	server := &http.Server{Handler: h}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
}

// entryResponses is an entry that returns one response after another, the last one repeatedly.
// An empty response closes the connection.
type entryResponses struct {
	bodies []string
	served atomic.Int32
}

const (
	convergedResponse    = `{"converged":true,"entry":"entry-1"}`
	notConvergedResponse = `{"converged":false,"entry":"entry-1"}`
)

func (r *entryResponses) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	n := int(r.served.Add(1))
	body := r.bodies[min(n, len(r.bodies))-1]
	if body == "" {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte(body))
}

// firstWrite is a buffer that closes a channel at the first write.
type firstWrite struct {
	bytes.Buffer
	once    sync.Once
	written chan struct{}
}

func (w *firstWrite) Write(b []byte) (int, error) {
	n, err := w.Buffer.Write(b)
	w.once.Do(func() { close(w.written) })
	return n, err
}

// TestWatchWaitsForEntry starts a watch before its entry listens: the watch says that it waits, and
// follows the fleet as soon as the entry responds.
func TestWatchWaitsForEntry(t *testing.T) {
	port := newClosedPort(t)
	errOut := &firstWrite{written: make(chan struct{})}
	var out bytes.Buffer
	code := make(chan int)
	go func() {
		code <- Main([]string{"status", "--watch", "--every", "5ms", "--timeout", "30s", "--entry", port.url}, &out, errOut)
	}()
	<-errOut.written
	port.open(t, &entryResponses{bodies: []string{notConvergedResponse, convergedResponse}})
	assert.Equal(t, <-code, ExitOK, errOut.String())
	assert.Assert(t, strings.HasPrefix(out.String(), "converged"), out.String())
	assert.Equal(t, strings.Count(errOut.String(), "waiting for entry "+port.url), 1, errOut.String())
	assert.Assert(t, strings.Contains(errOut.String(), "connection refused"), errOut.String())
}

// TestWatchOutlastsLostEntry loses the entry during a watch, as a restart does. Two connections are
// closed, because the client repeats a request at once when a kept-alive one is.
func TestWatchOutlastsLostEntry(t *testing.T) {
	port := newClosedPort(t)
	port.open(t, &entryResponses{bodies: []string{notConvergedResponse, "", "", notConvergedResponse, convergedResponse}})
	code, out, errOut := run("status", "--watch", "--every", "5ms", "--timeout", "30s", "--entry", port.url)
	assert.Equal(t, code, ExitOK, errOut)
	assert.Assert(t, strings.HasPrefix(out, "converged"), out)
	assert.Equal(t, strings.Count(errOut, "waiting for entry"), 1, errOut)
}

// TestWatchEnds checks the exit code of a watch that ends without a converged fleet, and that it
// does not wait for an address at which no entry can appear.
func TestWatchEnds(t *testing.T) {
	closed, open, other := newClosedPort(t), newClosedPort(t), newClosedPort(t)
	open.open(t, &entryResponses{bodies: []string{notConvergedResponse}})
	other.open(t, http.NotFoundHandler())
	for _, test := range []struct {
		name, entry, timeout string
		code                 int
		line                 string
	}{
		{"entry never listens", closed.url, "100ms", ExitUsage, "connection refused"},
		{"fleet does not converge", open.url, "100ms", ExitFailure, "serving"},
		{"not an entry", other.url, "1h", ExitUsage, operator.ErrNoInstance.Error()},
		{"unknown scheme", "ftp://127.0.0.1", "1h", ExitUsage, "unsupported protocol scheme"},
	} {
		t.Run(test.name, func(t *testing.T) {
			code, _, errOut := run("status", "--watch", "--every", "5ms", "--timeout", test.timeout, "--entry", test.entry)
			assert.Equal(t, code, test.code, errOut)
			assert.Assert(t, strings.Contains(errOut, test.line), "%q", errOut)
		})
	}
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
