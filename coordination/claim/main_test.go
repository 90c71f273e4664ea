package claim_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property test, so that every run has the same
// result. The flag -rapid.seed sets another seed.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
