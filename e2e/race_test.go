//go:build race

package e2e

import "os"

// The race detector makes a process wait for a second at its end by default,
// which the tests of the stop would measure.
func init() { _ = os.Setenv("GORACE", "atexit_sleep_ms=0") }

// buildFlags let the processes run under the race detector, as the tests do.
var buildFlags = []string{"-race"}
