package sidecar

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Another agent may send a manifest without chunks, which would be complete at once.
func TestUnusableManifestFromAgent(t *testing.T) {
	digest := `"sha256:` + strings.Repeat("ab", 32) + `"`
	for name, body := range map[string]string{
		"none": "", "null": "null", "empty": "{}", "no digests": `{"digests":[],"chunk_bytes":8}`, "no digest": `{"digests":["sha256:"],"chunk_bytes":8}`,
		"short": `{"digests":["sha256:abcd"],"chunk_bytes":8}`, "negative": `{"digests":[` + digest + `],"chunk_bytes":-1}`,
		"2^63-1": `{"digests":[` + digest + `],"chunk_bytes":9223372036854775807}`, "1e400": `{"digests":[` + digest + `],"chunk_bytes":1e400}`,
		"too many": `{"digests":[` + strings.Repeat(digest+",", 65_536) + digest + `],"chunk_bytes":8}`,
		"deep":     `{"digests":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + `}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decodeManifest("m", 2, []byte(body))
			assert.Assert(t, err != nil)
		})
	}
	m, err := decodeManifest("m", 2, []byte(`{"digests":[`+digest+`],"chunk_bytes":8}`))
	assert.NilError(t, err)
	assert.Equal(t, len(m.Chunks), 1)
	assert.Equal(t, string(m.Version), "m@2")
}
