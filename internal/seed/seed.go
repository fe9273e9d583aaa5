// Package seed fixes the seed of property-based tests (pgregory.net/rapid), so that every run
// has the same inputs and the same verdict. A longer search is a matter of rapid's flags.
package seed

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed is the seed of all tests, for rapid's flag rapid.seed.
const fixedSeed = "20260101"

// Main runs the tests of a package, as its TestMain, with the fixed seed; a seed given by the
// flag rapid.seed takes precedence.
func Main(m *testing.M) {
	flag.Parse()
	if seedFlag := flag.Lookup("rapid.seed"); seedFlag != nil && seedFlag.Value.String() == "0" {
		if err := seedFlag.Value.Set(fixedSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
