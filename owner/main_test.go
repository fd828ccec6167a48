package owner

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid unless the flag sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
