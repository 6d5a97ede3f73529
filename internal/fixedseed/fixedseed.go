// Package fixedseed makes property tests give the same verdict each time.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }
//
// Another seed or more steps are asked for with -rapid.seed and -rapid.checks.
package fixedseed

import (
	"flag"
	"testing"
)

// Seed is used when the command line names none.
const Seed = "20261204"

// Main runs the tests of a package with the fixed seed.
func Main(m *testing.M) int {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", Seed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	return m.Run()
}
