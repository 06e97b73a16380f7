// Command meshbench measures siskingw with many nodes in one process.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"siskingw/bench/members"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&members.Command{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
