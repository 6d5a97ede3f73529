package config

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"amaranthturn/core/fleet"
)

const (
	versionA = "sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	versionB = "sha256:bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

const base = `schema = 1
[defaults]
origin_region = "addis"
[[defaults.models]]
name = "assistant"
pool = "runners"
version = "` + versionA + `"
[[defaults.services]]
name = "orders"
pool = "orders"
[[workspaces]]
name = "big"
weight = 2.0
[[workspaces]]
name = "small"
`

func exception(name, scope, set string) string {
	return "[[exceptions]]\nname = \"" + name + "\"\nreason = \"trial before the fair\"\n[exceptions.scope]\n" + scope + "\n[exceptions.set]\n" + set + "\n"
}

func parse(t *testing.T, body string) *Document {
	t.Helper()
	doc, err := Parse([]byte(body))
	assert.NilError(t, err)
	return doc
}

func TestNarrowerExceptionWins(t *testing.T) {
	doc := parse(t, base+
		exception("region", "region = \"addis\"\nmodel = \"assistant\"", "objective = \"origin_bytes\"")+
		exception("one", "region = \"addis\"\ntarget = \"runner-1\"\nmodel = \"assistant\"", "objective = \"time\"\nversion = \""+versionB+"\""))
	narrow := doc.PlanFor(fleet.Instance{ID: "runner-1", Region: "addis", Pool: "runners"}).Models[0]
	wide := doc.PlanFor(fleet.Instance{ID: "runner-2", Region: "addis", Pool: "runners"}).Models[0]
	assert.Equal(t, narrow.Objective, "time")
	assert.Equal(t, narrow.Version, fleet.Version(versionB))
	assert.Equal(t, narrow.From, "one")
	assert.Equal(t, wide.Objective, "origin_bytes")
	assert.Equal(t, wide.Version, fleet.Version(versionA))
}

func TestRequestExceptionPicksVersion(t *testing.T) {
	doc := parse(t, base+exception("trial", "workspace = \"small\"\nmodel = \"assistant\"", "version = \""+versionB+"\""))
	v, _ := doc.VersionFor("small", "assistant", 7)
	assert.Equal(t, v, fleet.Version(versionB))
	v, _ = doc.VersionFor("big", "assistant", 7)
	assert.Equal(t, v, fleet.Version(versionA))
	assert.DeepEqual(t, doc.IsolatedVersions("assistant"), []fleet.Version{versionB})
}

func TestShareIsStableByFingerprint(t *testing.T) {
	doc := parse(t, base+exception("share", "share = 0.25\nmodel = \"assistant\"", "version = \""+versionB+"\""))
	inShare := 0
	for i := range 1000 {
		f := fleet.Fingerprint(uint64(i) * 0x9e3779b97f4a7c15)
		v, _ := doc.VersionFor("big", "assistant", f)
		again, _ := doc.VersionFor("small", "assistant", f)
		assert.Equal(t, v, again)
		if v == versionB {
			inShare++
		}
	}
	assert.Assert(t, inShare > 200 && inShare < 300, "%d of 1000 requests are in the share", inShare)
}

// TestRefusalMessages compares every refusal, including lines and keys, with its golden
// file.
func TestRefusalMessages(t *testing.T) {
	documents := map[string]string{
		"blank_reason":  strings.Replace(base+exception("x", "region = \"addis\"", "objective = \"time\""), "trial before the fair", "  ", 1),
		"unknown_key":   base + "[defaults.speed]\nfast = true\n",
		"bad_version":   strings.Replace(base, versionA, "v1.2", 1),
		"overlap":       base + exception("a", "region = \"addis\"", "objective = \"time\"") + exception("b", "target = \"runner-1\"", "objective = \"origin_bytes\""),
		"mixed_scope":   base + exception("a", "region = \"addis\"\nworkspace = \"big\"", "weight = 2.0"),
		"many_at_once":  "schema = 2\n[defaults]\nobjective = \"fast\"\nmin_serving = -3\n[[defaults.models]]\nname = \"\"\npool = \"\"\nversion = \"\"\n",
		"not_toml":      "schema = = 1",
		"no_model":      base + exception("a", "model = \"ghost\"", "objective = \"time\""),
		"version_alone": base + exception("a", "region = \"addis\"", "version = \""+versionB+"\""),
	}
	for name, body := range documents {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(body))
			var refused *RefusedError
			assert.Assert(t, errors.As(err, &refused))
			golden.Assert(t, strings.ReplaceAll(err.Error(), "; line", ";\nline")+"\n", name+".golden")
		})
	}
}

func TestTooLargeIsRefused(t *testing.T) {
	_, err := Parse([]byte(base + strings.Repeat("# filler\n", MaxDocumentBytes/8)))
	assert.ErrorContains(t, err, "more than")
}

func TestDiffListsEveryChange(t *testing.T) {
	before := parse(t, base)
	after := parse(t, strings.Replace(base, versionA, versionB, 1)+exception("a", "region = \"addis\"", "objective = \"origin_bytes\""))
	lines := Diff(before, after)
	assert.Equal(t, len(lines), 2)
	assert.Equal(t, len(Diff(before, before)), 0)
}

// FuzzParse searches for input for which Parse is not deterministic or the resolution
// of the document panics.
func FuzzParse(f *testing.F) {
	f.Add([]byte(base))
	f.Add([]byte(base + exception("a", "share = 0.5\nmodel = \"assistant\"", "version = \""+versionB+"\"")))
	f.Fuzz(func(t *testing.T, body []byte) {
		doc, err := Parse(body)
		again, err2 := Parse(body)
		assert.Equal(t, err == nil, err2 == nil)
		if err != nil {
			return
		}
		in := fleet.Instance{ID: "i", Region: "addis", Pool: "runners"}
		assert.DeepEqual(t, doc.PlanFor(in), again.PlanFor(in))
		doc.Explain(in)
		doc.LimitsFor("big")
	})
}
