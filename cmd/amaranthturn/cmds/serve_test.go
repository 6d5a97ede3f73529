package cmds

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/platform"
)

// settingsFile is the platform's settings file of an entry.
func settingsFile(t *testing.T) string {
	t.Helper()
	body, err := os.ReadFile("../../../platform/testdata/settings.toml")
	assert.NilError(t, err)
	return string(body)
}

type reloaded struct{ seeds chan []string }

func (r *reloaded) Reload(s *platform.Settings) { r.seeds <- s.Seeds }

// A hangup signal reads the seeds again; a file that cannot be used changes nothing and
// does not end the daemon.
func TestHangupReadsSettingsAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }
	signals := make(chan os.Signal, 1)
	d := &reloaded{seeds: make(chan []string, 1)}
	var out strings.Builder
	r := &reloader{path: path, signals: signals, err: &out, daemon: d}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); r.run(ctx) }()
	write("Node = 5")
	signals <- syscall.SIGHUP
	for len(signals) > 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	write(settingsFile(t))
	signals <- syscall.SIGHUP
	assert.DeepEqual(t, <-d.seeds, []string{"10.0.0.1:1"})
	cancel()
	<-done
	assert.Assert(t, strings.Contains(out.String(), "settings are kept"), out.String())
}

// Every field that is needed is named when it is missing, and a wrong type with its line.
func TestServeNamesTheBadField(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	for _, c := range []struct{ line, bad, want string }{
		{`Node = "entry-1"`, "", "Node: is missing"},
		{`Address = "127.0.0.1:5"`, "", "Platform.Address: is missing"},
		{`Front = "127.0.0.1:1"`, "", "Listen.Front: is missing"},
		{`Zone = "z"`, "Zone = 7", "line 3"},
	} {
		assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(settingsFile(t), c.line, c.bad, 1)), 0o600))
		var out, errOut strings.Builder
		assert.Equal(t, Main([]string{"serve", "entry", "--settings", path}, &out, &errOut), ExitNot)
		assert.Assert(t, strings.Contains(errOut.String(), c.want), "%q", errOut.String())
	}
}
