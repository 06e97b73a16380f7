package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"siskingw/errdefs"
	"siskingw/platform/standin"
)

const (
	targetSlots = 6
	targetWork  = 40 * time.Millisecond
	// targetBeat is the interval of a target's heartbeats. It makes the timeout
	// after which a target without heartbeats counts as gone longer than drainTime,
	// so that only an acknowledged deregistration can stop its traffic in time.
	targetBeat = time.Second
	slowWork   = 200 * time.Millisecond // added to the work of a slow target
)

// target is one process of an instance's target.
type target struct {
	id     string
	seen   *record
	stand  *standin.Target
	server *http.Server
	stop   context.CancelFunc
	done   chan struct{}

	slow  atomic.Bool
	lossy atomic.Bool // every fourth request runs, but its connection is reset
	fails atomic.Bool // every other response has status 500
	count atomic.Int64
}

// startTarget starts a target at addr that announces itself to the node whose
// control address is given.
func startTarget(id, addr, control string, seen *record) (*target, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "target %s", id)
	}
	t := &target{id: id, seen: seen, done: make(chan struct{})}
	t.stand = standin.NewTarget(standin.TargetOptions{
		ID: id, Service: service, Addr: addr, Slots: targetSlots, Work: targetWork, Control: control, Beat: targetBeat,
	})
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(l) }() // ends with crash or leave
	ctx, stop := context.WithCancel(context.Background())
	t.stop = stop
	go t.announce(ctx)
	return t, nil
}

// announce sends a heartbeat to the node every targetBeat until ctx ends.
func (t *target) announce(ctx context.Context) {
	defer close(t.done)
	tick := time.NewTicker(targetBeat)
	defer tick.Stop()
	for {
		_ = t.stand.Announce(ctx) // retried by the next heartbeat
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// crash ends the target without deregistering it.
func (t *target) crash() {
	t.stop()
	<-t.done
	_ = t.server.Close()
}

// leave deregisters the target, retrying until the node acknowledges it, serves
// requests until after drainTime, and ends the target.
func (t *target) leave() {
	t.stop()
	<-t.done
	const tries, pause = 40, 50 * time.Millisecond
	for range tries {
		if t.stand.Leave(context.Background()) == nil {
			t.seen.mu.Lock()
			t.seen.departures = append(t.seen.departures, departure{t.id, time.Now()})
			t.seen.mu.Unlock()
			break
		}
		time.Sleep(pause)
	}
	time.Sleep(drainTime + time.Second) // to record requests that arrive too late
	_ = t.server.Close()
}

// ServeHTTP records the request and passes it to the stand-in, unless a fault is
// set.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == standin.HealthPath {
		t.stand.ServeHTTP(w, r)
		return
	}
	stated := standin.ParseRequest(r)
	a := arrival{id: stated.ID, target: t.id, at: time.Now(), deadline: stated.Deadline}
	switch sent, ok := t.seen.of(a.id); {
	case !ok:
	case r.Method != sent.method || r.URL.RequestURI() != sent.path:
		a.wrong = fmt.Sprintf("%s %s became %s %s", sent.method, sent.path, r.Method, r.URL.RequestURI())
	case stated.Caller != service:
		a.wrong = fmt.Sprintf("the caller became %q", stated.Caller)
	}
	a.other = stated.Expected != "" && stated.Expected != t.id
	t.seen.arrive(a)
	if t.slow.Load() {
		time.Sleep(slowWork)
	}
	n := t.count.Add(1)
	const one, of = 1, 4
	switch {
	case t.lossy.Load() && n%of == one:
		t.stand.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case t.fails.Load() && n%2 == 0 && !a.other:
		t.seen.ran(map[string]int{a.id: 1})
		standin.SignResponse(w.Header(), t.id, a.id)
		w.WriteHeader(http.StatusInternalServerError)
	default:
		t.stand.ServeHTTP(w, r)
	}
}

// targets generates a unique id for every target process.
type targets struct {
	mu   sync.Mutex
	next int
}

func (s *targets) id() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	return fmt.Sprintf("i-%d", s.next)
}
