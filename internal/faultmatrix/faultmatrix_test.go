package faultmatrix

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/app/local"
)

var (
	codeRow = regexp.MustCompile("^\\| ([A-Z][0-9]) \\| `([A-Za-z0-9_/-]+)` \\| .+ \\|$")
	whyRow  = regexp.MustCompile(`^\| (-[a-z]) \| .+ \|$`)
)

// TestMatrixIsWhole reads docs/FAULTS.md: every cell names tests that exist, or a reason.
func TestMatrixIsWhole(t *testing.T) {
	body, err := os.ReadFile("../../docs/FAULTS.md")
	assert.NilError(t, err)
	known := map[string]bool{}
	names := testNames(t)
	var cells [][]string
	for _, line := range strings.Split(string(body), "\n") {
		switch {
		case codeRow.MatchString(line):
			m := codeRow.FindStringSubmatch(line)
			known[m[1]] = true
			assert.Assert(t, names[m[2]], "%s: no test %s", m[1], m[2])
		case whyRow.MatchString(line):
			known[whyRow.FindStringSubmatch(line)[1]] = true
		case strings.Count(line, "|") > 8 && !strings.HasPrefix(line, "| step") && !strings.HasPrefix(line, "|--"):
			cells = append(cells, strings.Split(strings.Trim(line, "| "), "|"))
		}
	}
	assert.Assert(t, len(cells) >= 20, "%d rows", len(cells))
	for _, row := range cells {
		assert.Equal(t, len(row), 11, "%s", row[0])
		for _, cell := range row[1:] {
			codes := strings.Fields(cell)
			assert.Assert(t, len(codes) > 0, "a blank cell in %q", row[0])
			for _, c := range codes {
				assert.Assert(t, known[c], "%q in row %q is not explained", c, row[0])
			}
		}
	}
}

// testNames returns the tests of the whole tree, and those of the local mode by fault.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	out := map[string]bool{}
	def := regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9_]+)\(`)
	err := filepath.WalkDir("../..", func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		body, err := os.ReadFile(path)
		for _, m := range def.FindAllStringSubmatch(string(body), -1) {
			out[m[1]] = true
		}
		return err
	})
	assert.NilError(t, err)
	for _, f := range local.FaultNames() {
		out["TestPromisesUnderFaults/"+f] = out["TestPromisesUnderFaults"]
	}
	return out
}
