// Package kernel is the micro-kernel of a node: a registry of named services
// that are started in dependency order, run together and stopped in reverse.
package kernel

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"siskingw/errdefs"
	"siskingw/telemetry"
)

// Service is a unit that the kernel starts, runs and stops.
type Service interface {
	// Name identifies the service; other services look it up by this name.
	Name() string
	// Needs lists the names of services that must be started first.
	Needs() []string
	// Start prepares the service. It may look up the services that it needs.
	Start(ctx context.Context, k *Kernel) error
	// Run works until ctx ends. An error or an early return stops the node.
	Run(ctx context.Context) error
	// Stop ends the service gracefully; ctx bounds the wait.
	Stop(ctx context.Context) error
}

// Kernel holds the registered services of one process.
type Kernel struct {
	log      logr.Logger
	services map[string]Service
	order    []string
	started  []Service
}

// New returns an empty kernel.
func New(log logr.Logger) *Kernel {
	return &Kernel{log: log, services: make(map[string]Service)}
}

// Register adds a service. It returns an Internal error when the name is taken.
func (k *Kernel) Register(s Service) error {
	if _, ok := k.services[s.Name()]; ok {
		return errdefs.Internal.New("service %q is registered twice", s.Name())
	}
	k.services[s.Name()] = s
	k.order = append(k.order, s.Name())
	return nil
}

// Lookup returns the service registered under name as type T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, errdefs.Internal.New("service %q is not registered", name)
	}
	v, ok := s.(T)
	if !ok {
		return zero, errdefs.Internal.New("service %q has type %T", name, s)
	}
	return v, nil
}

// Run starts every service in dependency order, runs them until ctx ends, one
// of them returns, or a signal arrives on stop, and then stops them in reverse
// order. stopTimeout bounds the whole stop; a second signal ends it at once.
func (k *Kernel) Run(ctx context.Context, stop <-chan os.Signal, stopTimeout time.Duration) error {
	sorted, err := k.sort()
	if err != nil {
		return err
	}
	if err := k.start(ctx, sorted); err != nil {
		k.stopAll(stop, stopTimeout)
		return err
	}
	runErr := k.runGroup(ctx, stop, stopTimeout)
	return runErr
}

// start starts services in order and remembers those that must be stopped.
func (k *Kernel) start(ctx context.Context, sorted []Service) error {
	for _, s := range sorted {
		k.started = append(k.started, s)
		if err := s.Start(ctx, k); err != nil {
			return errdefs.Internal.Wrap(err, "service %q did not start", s.Name())
		}
		k.log.V(1).Info("service started", "service", s.Name())
	}
	return nil
}

// runGroup runs the started services as one group. The services keep running
// while they are stopped, so that work in flight can finish.
func (k *Kernel) runGroup(ctx context.Context, stop <-chan os.Signal, stopTimeout time.Duration) error {
	runCtx, cancelRun := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelRun()
	var g run.Group
	done := make(chan struct{})
	g.Add(func() error {
		select {
		case sig := <-stop:
			k.log.Info(telemetry.EventStopping, "signal", sig.String())
		case <-ctx.Done():
		case <-done:
		}
		k.stopAll(stop, stopTimeout)
		return nil
	}, func(error) { close(done) })
	for _, s := range k.started {
		g.Add(func() error { return s.Run(runCtx) }, func(error) { cancelRun() })
	}
	return g.Run()
}

// stopAll stops the started services in reverse order.
func (k *Kernel) stopAll(stop <-chan os.Signal, stopTimeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	go func() {
		select {
		case sig := <-stop:
			k.log.Info("stopping at once", "signal", sig.String())
			cancel()
		case <-ctx.Done():
		}
	}()
	for _, s := range slices.Backward(k.started) {
		if err := s.Stop(ctx); err != nil {
			k.log.Error(err, "service did not stop cleanly", "service", s.Name())
		}
	}
	k.started = nil
}

// sort returns the services in dependency order, keeping the order of
// registration where the dependencies leave it open.
func (k *Kernel) sort() ([]Service, error) {
	const (
		visiting = 1
		visited  = 2
	)
	state := make(map[string]int)
	var sorted []Service
	var visit func(name, neededBy string) error
	visit = func(name, neededBy string) error {
		s, ok := k.services[name]
		if !ok {
			return errdefs.Internal.New("service %q needs %q, which is not registered", neededBy, name)
		}
		switch state[name] {
		case visited:
			return nil
		case visiting:
			return errdefs.Internal.New("service %q depends on itself", name)
		}
		state[name] = visiting
		for _, need := range s.Needs() {
			if err := visit(need, name); err != nil {
				return err
			}
		}
		state[name] = visited
		sorted = append(sorted, s)
		return nil
	}
	for _, name := range k.order {
		if err := visit(name, name); err != nil {
			return nil, err
		}
	}
	return sorted, nil
}
