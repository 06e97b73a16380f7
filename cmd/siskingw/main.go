// Command siskingw is the only binary of the product. It contains the node and the
// operators' commands.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"siskingw/cli"
	"siskingw/node"
)

func main() {
	c := subcommands.NewCommander(flag.CommandLine, "siskingw")
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(&node.Command{}, "")
	cli.Register(c)
	flag.Parse()
	os.Exit(int(c.Execute(context.Background())))
}
