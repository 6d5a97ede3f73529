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
	setDefault("rapid.seed", Seed)
	_ = flag.Set("rapid.nofailfile", "true")
	return m.Run()
}

// MainWith is Main with another number of checks a property than the library's 100.
func MainWith(m *testing.M, checks string) int {
	flag.Parse()
	setDefault("rapid.checks", checks)
	return Main(m)
}

// setDefault sets a flag that the command line left as it was.
func setDefault(name, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set(name, value)
	}
}
