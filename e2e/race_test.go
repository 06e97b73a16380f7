//go:build race

package e2e

import "os"

// By default the race detector delays the exit of a process by a second, which the
// tests would count as time that a node takes to stop.
func init() { _ = os.Setenv("GORACE", "atexit_sleep_ms=0") }

// buildFlags builds the processes with the race detector, as the tests are.
var buildFlags = []string{"-race"}
