package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"siskingw/faults"
	"siskingw/kernel"
	"siskingw/object"
	"siskingw/publish"
	"siskingw/telemetry"
)

type statusService struct{ node *Node }

func (s *statusService) Name() string                                { return nameStatus }
func (s *statusService) Needs() []string                             { return nil }
func (s *statusService) Start(context.Context, *kernel.Kernel) error { return nil }
func (s *statusService) Run(ctx context.Context) error               { <-ctx.Done(); return nil }
func (s *statusService) Stop(context.Context) error                  { return nil }

type adminService struct {
	node *Node
	callServer
}

func (s *adminService) Name() string    { return nameAdmin }
func (s *adminService) Needs() []string { return []string{namePublish} }
func (s *adminService) Start(_ context.Context, k *kernel.Kernel) error {
	p, _ := kernel.Lookup[*publishService](k, namePublish)
	mux := http.NewServeMux()
	telemetry.Mount(mux, func() error {
		if s.node.current.Version() == 0 {
			return faults.Busy.New("no configuration in force")
		}
		return nil
	})
	mux.HandleFunc("POST /apply", func(w http.ResponseWriter, r *http.Request) {
		var in struct{ Objects []*object.Object }
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), 400)
			return
		}
		req := publish.Request{OperationID: r.URL.Query().Get("op"), Author: "t"}
		for _, o := range in.Objects {
			req.Changes = append(req.Changes, publish.Change{Object: o})
		}
		res, err := p.acceptor.Apply(r.Context(), req)
		if err != nil {
			http.Error(w, err.Error(), 500)
			return
		}
		json.NewEncoder(w).Encode(res)
	})
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(s.node.dir.FailureDomains())
	})
	lis, err := net.Listen("tcp", s.node.settings.Listen.Admin)
	if err != nil {
		return err
	}
	s.lis, s.server = lis, &http.Server{Handler: mux}
	return nil
}
func (s *adminService) Stop(ctx context.Context) error { return s.server.Close() }
