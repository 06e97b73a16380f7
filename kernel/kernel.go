// Package kernel manages the lifecycle of a node's services: a registry of
// named services that are started in dependency order, run concurrently and
// stopped in reverse order.
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

// Service is a component that the kernel starts, runs and stops.
type Service interface {
	// Name returns the unique name under which other services look up this one.
	Name() string
	// Needs returns the names of the services that must be started before this
	// one.
	Needs() []string
	// Start prepares the service. It may look up the services that it needs. After
	// an error, Stop is called as well.
	Start(ctx context.Context, k *Kernel) error
	// Run runs the service until ctx ends. An error or an earlier return stops the
	// node.
	Run(ctx context.Context) error
	// Stop stops the service gracefully; ctx limits the wait. Run is still active
	// during a graceful stop.
	Stop(ctx context.Context) error
}

// Kernel holds the registered services of one process.
type Kernel struct {
	log        logr.Logger
	services   map[string]Service
	registered []string
	started    []Service
}

// New returns an empty kernel.
func New(log logr.Logger) *Kernel {
	return &Kernel{log: log, services: make(map[string]Service)}
}

// Register adds a service. It returns an Internal error when the name is
// already registered.
func (k *Kernel) Register(s Service) error {
	if _, ok := k.services[s.Name()]; ok {
		return errdefs.Internal.New("service %q is already registered", s.Name())
	}
	k.services[s.Name()] = s
	k.registered = append(k.registered, s.Name())
	return nil
}

// Lookup returns the service registered under name as type T. It returns an
// Internal error when there is none or it has another type.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, errdefs.Internal.New("service %q is not registered", name)
	}
	v, ok := s.(T)
	if !ok {
		return zero, errdefs.Internal.New("service %q has the unexpected type %T", name, s)
	}
	return v, nil
}

// Run starts the services in dependency order, runs them until ctx ends, one of
// them returns or a signal arrives on stop, and then stops them in reverse
// order. stopTimeout limits the whole stop; a second signal cuts it short. Run
// returns the error of the first service that returned, or an Internal error
// when the services cannot be started.
func (k *Kernel) Run(ctx context.Context, stop <-chan os.Signal, stopTimeout time.Duration) error {
	sorted, err := k.dependencyOrder()
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

// start starts the services in order and records those that must be stopped,
// which include one whose Start failed.
func (k *Kernel) start(ctx context.Context, sorted []Service) error {
	for _, s := range sorted {
		k.started = append(k.started, s)
		if err := s.Start(ctx, k); err != nil {
			return errdefs.Internal.Wrap(err, "start service %q", s.Name())
		}
		k.log.V(1).Info("service started", "service", s.Name())
	}
	return nil
}

// runGroup runs the started services as one group. After a signal or the end of
// ctx their Run methods stay active until all services are stopped, so that
// work in flight can finish.
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

// stopAll stops the started services in reverse order. A signal on stop cancels
// the context of their Stop methods.
func (k *Kernel) stopAll(stop <-chan os.Signal, stopTimeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	go func() {
		select {
		case sig := <-stop:
			k.log.Info("stopping immediately", "signal", sig.String())
			cancel()
		case <-ctx.Done():
		}
	}()
	for _, s := range slices.Backward(k.started) {
		if err := s.Stop(ctx); err != nil {
			k.log.Error(err, "service failed to stop cleanly", "service", s.Name())
		}
	}
	k.started = nil
}

// dependencyOrder returns the services in dependency order, in the order of
// registration as far as the dependencies allow. It returns an Internal error
// for a missing dependency or a dependency cycle.
func (k *Kernel) dependencyOrder() ([]Service, error) {
	const (
		visiting = 1
		visited  = 2
	)
	state := make(map[string]int)
	var sorted []Service
	var visit func(name, dependent string) error
	visit = func(name, neededBy string) error {
		s, ok := k.services[name]
		if !ok {
			return errdefs.Internal.New("service %q needs %q, which is not registered", neededBy, name)
		}
		switch state[name] {
		case visited:
			return nil
		case visiting:
			return errdefs.Internal.New("service %q is part of a dependency cycle", name)
		}
		state[name] = visiting
		for _, dependency := range s.Needs() {
			if err := visit(dependency, name); err != nil {
				return err
			}
		}
		state[name] = visited
		sorted = append(sorted, s)
		return nil
	}
	for _, name := range k.registered {
		if err := visit(name, name); err != nil {
			return nil, err
		}
	}
	return sorted, nil
}
