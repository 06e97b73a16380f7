// Command meshbench runs experiments on siskingw and its parts.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"siskingw/bench/load"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&load.Command{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}
