package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const validSettings = `instance = "entry-1"
region = "addis"
availability_zone = "addis-a"
[platform]
url = "http://127.0.0.1:8500"
[keys]
active = "k1"
[keys.secrets]
k1 = "0123456789abcdef"
[listen]
callers = "127.0.0.1:7000"
peers = "127.0.0.1:7001"
operators = "127.0.0.1:7002"
`

func writeFile(t *testing.T, body string) string {
	t.Helper()
	f := filepath.Join(t.TempDir(), "entry.toml")
	assert.NilError(t, os.WriteFile(f, []byte(body), 0o600))
	return f
}

func TestValidSettings(t *testing.T) {
	s, err := LoadEntry(writeFile(t, validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Concurrency, DefaultConcurrency)
}

// TestInvalidSettings compares all problems, each with its line and key, with golden files.
func TestInvalidSettings(t *testing.T) {
	tests := map[string]string{
		"unknown_key":  validSettings + "speed = 3\n",
		"many_at_once": strings.NewReplacer("127.0.0.1:7000", "localhost:7000", "http://127.0.0.1:8500", "nowhere", "0123456789abcdef", "short", `region = "addis"`, `region = ""`).Replace(validSettings),
		"bad_level":    validSettings + "[log]\nlevel = \"loud\"\n[log.subsystems]\nweights = \"quiet\"\n",
		"half_tls":     validSettings + "[tls]\ncert_file = \"a.pem\"\n",
	}
	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			f := writeFile(t, body)
			_, err := LoadEntry(f)
			var e *Error
			assert.Assert(t, errors.As(err, &e))
			golden.Assert(t, strings.ReplaceAll(err.Error(), f, "entry.toml")+"\n", name+".golden")
		})
	}
}

func TestMissingFile(t *testing.T) {
	_, err := LoadAgent(filepath.Join(t.TempDir(), "none.toml"))
	assert.ErrorContains(t, err, "no such file")
}
