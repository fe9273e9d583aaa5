package wire

import "flag"

// fixSeed makes generated inputs the same in every run; a longer search is a
// matter of the flag.
func fixSeed() {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set("20260101"); err != nil {
			panic(err)
		}
	}
}
