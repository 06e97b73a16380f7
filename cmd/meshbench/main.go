// Command meshbench load-tests and benchmarks siskingw on one machine. It is not
// part of the product.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"

	"github.com/google/subcommands"

	"siskingw/bench/calls"
	"siskingw/bench/capacity"
	"siskingw/bench/demo"
	"siskingw/bench/load"
	"siskingw/bench/matrix"
	"siskingw/bench/members"
	"siskingw/bench/mutants"
	"siskingw/bench/soak"
	"siskingw/bench/spread"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(new(spread.Command), "")
	subcommands.Register(new(members.Command), "")
	subcommands.Register(new(calls.Command), "")
	subcommands.Register(new(calls.Role), "internal")
	subcommands.Register(new(load.Command), "")
	subcommands.Register(new(capacity.Command), "")
	subcommands.Register(new(demo.Command), "")
	subcommands.Register(new(matrix.Command), "")
	subcommands.Register(new(mutants.Command), "")
	subcommands.Register(new(soak.Command), "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}
