// Package fixedseed makes property tests reproducible by running them with a fixed seed.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }
//
// The flags -rapid.seed and -rapid.checks select another seed or number of checks.
package fixedseed

import (
	"flag"
	"testing"
)

// Seed is the seed used unless the command line sets one.
const Seed = "20261204"

// Main runs the tests of a package with the fixed seed.
func Main(m *testing.M) int {
	flag.Parse()
	setDefault("rapid.seed", Seed)
	_ = flag.Set("rapid.nofailfile", "true")
	return m.Run()
}

// MainWithChecks is like Main, with a number of checks per property other than the library's
// default of 100.
func MainWithChecks(m *testing.M, checks string) int {
	flag.Parse()
	setDefault("rapid.checks", checks)
	return Main(m)
}

// setDefault sets a flag unless the command line changed it from its default.
func setDefault(name, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set(name, value)
	}
}
