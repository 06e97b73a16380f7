// Command siskingw is the one binary of the product: the node and the
// operators' commands.
package main

import (
	"os"

	"siskingw/faults"
)

func main() {
	os.Exit(faults.ExitUsage)
}
