package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-logr/logr"

	"siskingw/buildinfo"
	"siskingw/errdefs"
	"siskingw/object"
	"siskingw/publish"
	"siskingw/snapshot"
)

const (
	// maxRequestBytes is the maximum size of a request body. The objects of a
	// fleet of the target size take about 2 MB.
	maxRequestBytes = 16 << 20
	// defaultHistory and maxHistory limit the number of versions in a response.
	defaultHistory = 20
	maxHistory     = 1000
)

// Publisher accepts changes of objects. It is implemented by *publish.Acceptor.
type Publisher interface {
	Apply(ctx context.Context, req publish.Request) (publish.Result, error)
	History(ctx context.Context, limit int) ([]publish.HistoryEntry, error)
}

// Server serves the API.
type Server struct {
	publisher Publisher
	current   *snapshot.Current
	status    StatusSource
	rollouts  func() Rollouts // nil without roll-outs
	log       logr.Logger
}

// NewServer returns the API server of one node. cur holds the version in force on
// it.
func NewServer(publisher Publisher, cur *snapshot.Current, status StatusSource, log logr.Logger) *Server {
	return &Server{publisher: publisher, current: cur, status: status, log: log}
}

// Register registers the API's handlers on mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/apply", s.handle(s.apply))
	mux.HandleFunc("GET /v1/objects", s.handle(s.list))
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.handle(s.get))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.handle(s.remove))
	mux.HandleFunc("GET /v1/history", s.handle(s.history))
	mux.HandleFunc("GET /v1/status", s.handle(func(*http.Request) (any, error) { return s.status.Status(), nil }))
	mux.HandleFunc("GET /v1/rollouts", s.handle(s.listRollouts))
	mux.HandleFunc("GET /v1/version", s.handle(s.version))
}

// handle returns a handler that writes the result of f, or its error, as JSON.
func (s *Server) handle(f func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		status := http.StatusOK
		result, err := f(r)
		if err != nil {
			status, result = toWire(err)
			s.log.V(1).Info("operator request failed", "method", r.Method, "path", r.URL.Path, "status", status, "error", err.Error())
		}
		b, err := json.Marshal(result)
		if err != nil {
			s.log.Error(err, "response cannot be encoded", "path", r.URL.Path)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		if _, err := w.Write(append(b, '\n')); err != nil {
			s.log.V(1).Info("response could not be written", "path", r.URL.Path, "error", err.Error())
		}
	}
}

// apply publishes the change in the request body. It returns an Invalid error for
// a body that is not a publish.Request in JSON.
func (s *Server) apply(r *http.Request) (any, error) {
	var req publish.Request
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&req); err != nil {
		return nil, errdefs.Invalid.Wrap(err, "request cannot be decoded")
	}
	return s.publisher.Apply(r.Context(), req)
}

func (s *Server) remove(r *http.Request) (any, error) {
	q := r.URL.Query()
	key := object.Key{Kind: object.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	change := publish.Change{Delete: &key}
	if q.Has("basedOn") {
		revision, err := uintParam(r, "basedOn", 0)
		if err != nil {
			return nil, err
		}
		change.BasedOn = &revision
	}
	since, err := uintParam(r, "since", 0)
	if err != nil {
		return nil, err
	}
	return s.publisher.Apply(r.Context(), publish.Request{
		OperationID: q.Get("operation"), Author: q.Get("author"), Since: since, Changes: []publish.Change{change},
	})
}

func (s *Server) list(r *http.Request) (any, error) {
	out := Objects{Objects: []*object.Object{}}
	snap := s.current.Load()
	if snap == nil {
		return out, nil
	}
	out.Version = snap.Version()
	kind := object.Kind(r.URL.Query().Get("kind"))
	for _, o := range snap.Objects() {
		if kind == "" || o.Kind == kind {
			out.Objects = append(out.Objects, o)
		}
	}
	return out, nil
}

func (s *Server) get(r *http.Request) (any, error) {
	key := object.Key{Kind: object.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	if snap := s.current.Load(); snap != nil {
		if o := snap.Get(key); o != nil {
			return o, nil
		}
	}
	return nil, errdefs.NotFound.New("%s does not exist in version %d", key, s.current.Version())
}

func (s *Server) history(r *http.Request) (any, error) {
	limit, err := uintParam(r, "limit", defaultHistory)
	if err != nil {
		return nil, err
	}
	entries, err := s.publisher.History(r.Context(), int(min(limit, maxHistory)))
	if entries == nil {
		entries = []publish.HistoryEntry{}
	}
	return History{Entries: entries}, err
}

func (s *Server) version(*http.Request) (any, error) {
	snap := s.current.Load()
	if snap == nil {
		return Version{Build: buildinfo.Get()}, nil
	}
	return Version{Version: snap.Version(), Digest: snap.Digest(), Build: buildinfo.Get()}, nil
}

// uintParam returns the value of a query parameter, or defaultValue if it is absent
// or empty. It returns an Invalid error if the value is not an unsigned integer.
func uintParam(r *http.Request, name string, defaultValue uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errdefs.Invalid.New("parameter %s: %q is not a number", name, text)
	}
	return n, nil
}
