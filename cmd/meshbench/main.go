// Command meshbench loads siskingw and measures it.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"siskingw/bench/calls"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&calls.Command{}, "")
	subcommands.Register(&calls.Role{}, "internal")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
