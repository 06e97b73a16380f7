// Package crowd tests node processes with crowds of clients that stay outside the
// limits on memory: many unfinished or large request bodies at once. Each test runs
// alone, because it measures the memory and the descriptors of whole processes.
package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// binDir holds the binary that TestMain builds.
var binDir string

// TestMain builds the nodes without the race detector, also for tests with it: the
// detector multiplies the memory of a process, and the bounds hold for the product.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "siskingw-crowd-")
	if err != nil {
		panic(err)
	}
	binDir = dir
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", dir, "siskingw/cmd/siskingw").CombinedOutput()
	if err != nil {
		panic(fmt.Sprintf("go build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}
