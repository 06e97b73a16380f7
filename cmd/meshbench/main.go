// Command meshbench measures parts of siskingw on one machine.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"

	"github.com/google/subcommands"

	"siskingw/bench/spread"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(new(spread.Command), "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}
