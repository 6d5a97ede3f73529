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

// platformSettings returns an entry's settings file in the platform's format.
func platformSettings(t *testing.T) string {
	t.Helper()
	body, err := os.ReadFile("../../../platform/testdata/settings.toml")
	assert.NilError(t, err)
	return string(body)
}

// fakeDaemon records the seeds of each reload.
type fakeDaemon struct{ seeds chan []string }

func (r *fakeDaemon) Reload(s *platform.Settings) { r.seeds <- s.Seeds }

// TestHangupReloadsSettings checks that a hangup signal reloads the seeds, and that an invalid
// file changes nothing and does not end the daemon.
func TestHangupReloadsSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }
	signals := make(chan os.Signal, 1)
	d := &fakeDaemon{seeds: make(chan []string, 1)}
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
	write(platformSettings(t))
	signals <- syscall.SIGHUP
	assert.DeepEqual(t, <-d.seeds, []string{"10.0.0.1:1"})
	cancel()
	<-done
	assert.Assert(t, strings.Contains(out.String(), "reload failed, keeping the current settings"), out.String())
}

// TestServeReportsInvalidField checks that the error names a missing required field, and the line
// of a value of the wrong type.
func TestServeReportsInvalidField(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	for _, c := range []struct{ line, bad, want string }{
		{`Node = "entry-1"`, "", "Node: is missing"},
		{`Address = "127.0.0.1:5"`, "", "Platform.Address: is missing"},
		{`Front = "127.0.0.1:1"`, "", "Listen.Front: is missing"},
		{`Zone = "z"`, "Zone = 7", "line 3"},
	} {
		assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(platformSettings(t), c.line, c.bad, 1)), 0o600))
		var out, errOut strings.Builder
		assert.Equal(t, Main([]string{"serve", "entry", "--settings", path}, &out, &errOut), ExitFailure)
		assert.Assert(t, strings.Contains(errOut.String(), c.want), "%q", errOut.String())
	}
}
