// Command targetstub runs a stub of a target, see package targetstub.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"siskingw/errdefs"
	"siskingw/targetstub"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:0", "address to listen on")
	behavior := targetstub.DefaultBehavior()
	flag.Func("behavior", "JSON object with fields of the behavior", func(s string) error {
		return json.Unmarshal([]byte(s), &behavior)
	})
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := serve(ctx, *listen, behavior); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(errdefs.ExitCode(err))
	}
}

// serve serves the stub until ctx ends. It prints the address of the listener, so
// that the port can be chosen by the system with port 0.
func serve(ctx context.Context, addr string, b targetstub.Behavior) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errdefs.Invalid.Wrap(err, "cannot listen on %s", addr)
	}
	fmt.Println(l.Addr())
	return targetstub.New(b).Serve(ctx, l)
}
