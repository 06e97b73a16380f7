// Command storestub serves an in-memory stub of the platform's store for tests and
// benchmarks. It is not part of the product.
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

// Rate limits of the platform's store.
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

// serve runs both listeners until SIGINT or SIGTERM arrives.
func serve(mem *memstore.Store, limits memstore.Faults, addr, control string) error {
	grpcListener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	httpListener, err := net.Listen("tcp", control)
	if err != nil {
		return err
	}
	grpcServer := grpc.NewServer(grpc.MaxRecvMsgSize(8 << 20))
	stub.New(mem).Register(grpcServer)
	httpServer := &http.Server{Handler: controlHandler(mem, limits), ReadHeaderTimeout: time.Second}
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	group.Add(func() error { return grpcServer.Serve(grpcListener) }, func(error) { grpcServer.Stop() })
	group.Add(func() error { return httpServer.Serve(httpListener) }, func(error) { _ = httpServer.Close() })
	if err = group.Run(); errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}

// controlHandler serves the control API:
//
//	GET  /counts  returns the call counts as JSON
//	POST /faults  replaces memstore.Faults, given as JSON; rates left out keep the command-line limits
//	POST /lapse   expires every lease
//	POST /break   ends every watch
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
