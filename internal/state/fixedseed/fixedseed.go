// Package fixedseed runs a package's property tests with a fixed random seed, so that they give the same result on
// every run. It is for tests only.
package fixedseed

import (
	"flag"
	"testing"
)

// seed is the default seed; longer test runs set others with -rapid.seed.
const seed = "20261204"

// Run runs the tests of a package with the fixed seed, unless the command line sets one.
func Run(m *testing.M) {
	flag.Parse()
	isGiven := false
	flag.Visit(func(f *flag.Flag) { isGiven = isGiven || f.Name == "rapid.seed" })
	if f := flag.Lookup("rapid.seed"); f != nil && !isGiven {
		if err := f.Value.Set(seed); err != nil {
			panic(err)
		}
	}
	m.Run()
}
