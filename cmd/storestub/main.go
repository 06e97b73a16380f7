// Command storestub serves the store stand-in. It is not part of the product.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/oklog/run"
	"google.golang.org/grpc"

	"siskingw/store/memstore"
	"siskingw/store/stub"
	"siskingw/telemetry"
)

// The rates of the platform's store.
const (
	defaultWritesPerSec = 500
	defaultReadsPerSec  = 2000
)

func main() {
	addr := flag.String("addr", "127.0.0.1:2379", "address of the gRPC listener")
	control := flag.String("control", "127.0.0.1:2380", "address of the HTTP listener for faults and counts")
	writes := flag.Int("writes", defaultWritesPerSec, "writes a second above which calls are refused")
	reads := flag.Int("reads", defaultReadsPerSec, "reads a second above which calls are refused")
	flag.Parse()

	log := telemetry.NewLogger(os.Stderr, 0).WithName("storestub")
	mem := memstore.New(memstore.Options{})
	limits := memstore.Faults{WritesPerSec: *writes, ReadsPerSec: *reads}
	mem.SetFaults(limits)
	if err := serve(mem, limits, *addr, *control); err != nil {
		log.Error(err, "stopped")
		os.Exit(1)
	}
}

// serve runs both listeners until a signal arrives.
func serve(mem *memstore.Store, limits memstore.Faults, addr, control string) error {
	grpcListener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	httpListener, err := net.Listen("tcp", control)
	if err != nil {
		return err
	}
	g := grpc.NewServer(grpc.MaxRecvMsgSize(8 << 20))
	stub.New(mem).Register(g)
	h := &http.Server{Handler: controlHandler(mem, limits), ReadHeaderTimeout: time.Second}
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	group.Add(func() error { return g.Serve(grpcListener) }, func(error) { g.Stop() })
	group.Add(func() error { return h.Serve(httpListener) }, func(error) { _ = h.Close() })
	if err = group.Run(); errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}

// controlHandler serves GET /counts, and POST /faults with memstore.Faults as
// JSON, in which rates that are left out keep the limits of the command line.
// POST /lapse ends every lease, POST /break every watch.
func controlHandler(mem *memstore.Store, limits memstore.Faults) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(mem.Counts())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		f := limits
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		mem.SetFaults(f)
	})
	mux.HandleFunc("POST /lapse", func(http.ResponseWriter, *http.Request) {
		for _, id := range mem.Leases() {
			mem.ExpireLease(id)
		}
	})
	mux.HandleFunc("POST /break", func(http.ResponseWriter, *http.Request) { mem.BreakWatches() })
	return mux
}
