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
	codeRow   = regexp.MustCompile("^\\| ([A-Z][0-9]) \\| `([A-Za-z0-9_/-]+)` \\| .+ \\|$")
	reasonRow = regexp.MustCompile(`^\| (-[a-z]) \| .+ \|$`)
)

// TestMatrixIsComplete checks that every cell of docs/FAULTS.md refers to existing tests or to
// a reason.
func TestMatrixIsComplete(t *testing.T) {
	body, err := os.ReadFile("../../docs/FAULTS.md")
	assert.NilError(t, err)
	defined := map[string]bool{}
	names := testNames(t)
	var cells [][]string
	for _, line := range strings.Split(string(body), "\n") {
		switch {
		case codeRow.MatchString(line):
			m := codeRow.FindStringSubmatch(line)
			defined[m[1]] = true
			assert.Assert(t, names[m[2]], "%s: no test %s", m[1], m[2])
		case reasonRow.MatchString(line):
			defined[reasonRow.FindStringSubmatch(line)[1]] = true
		case strings.Count(line, "|") > 8 && !strings.HasPrefix(line, "| step") && !strings.HasPrefix(line, "|--"):
			cells = append(cells, strings.Split(strings.Trim(line, "| "), "|"))
		}
	}
	assert.Assert(t, len(cells) >= 20, "only %d rows", len(cells))
	for _, row := range cells {
		assert.Equal(t, len(row), 11, "%s", row[0])
		for _, cell := range row[1:] {
			codes := strings.Fields(cell)
			assert.Assert(t, len(codes) > 0, "empty cell in row %q", row[0])
			for _, c := range codes {
				assert.Assert(t, defined[c], "code %q in row %q is not defined", c, row[0])
			}
		}
	}
}

// testNames returns the names of all tests in the source tree, with a subtest of
// TestPromisesUnderFaults for each fault.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	testDecl := regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9_]+)\(`)
	err := filepath.WalkDir("../..", func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		body, err := os.ReadFile(path)
		for _, m := range testDecl.FindAllStringSubmatch(string(body), -1) {
			names[m[1]] = true
		}
		return err
	})
	assert.NilError(t, err)
	for _, f := range local.FaultNames() {
		names["TestPromisesUnderFaults/"+f] = names["TestPromisesUnderFaults"]
	}
	return names
}
