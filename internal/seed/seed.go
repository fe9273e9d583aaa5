// Package seed fixes the seed of property-based tests (pgregory.net/rapid), so that every run has the same
// inputs and the same result. Longer searches use rapid's own flags.
package seed

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed is the default value for rapid's flag rapid.seed in all tests.
const fixedSeed = "20260101"

// Main runs the tests of a package with fixedSeed and exits. It is called by the package's TestMain. A
// seed that is set with the flag rapid.seed takes precedence.
func Main(m *testing.M) {
	flag.Parse()
	if seedFlag := flag.Lookup("rapid.seed"); seedFlag != nil && seedFlag.Value.String() == "0" {
		if err := seedFlag.Value.Set(fixedSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
