package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"siskingw/admit"
	"siskingw/object"
	"siskingw/proxy"
)

// Parameters of the retry runs.
const (
	maxDepth        = 11 // services in the longest chain
	levelTargets    = 2  // endpoints of each service, so that a retry has another target
	retryCalls      = 400
	retryGoroutines = 8  // goroutines that make the calls
	retrySlots      = 64 // of each target
)

// leafFailure is a fault of the targets of the last service.
type leafFailure struct {
	name    string
	drained bool                                         // the gate refuses every call
	handler func(w http.ResponseWriter, r *http.Request) // nil while drained
}

var leafFailures = []leafFailure{
	{name: "target answers 500", handler: func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	}},
	{name: "target breaks the connection", handler: func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}},
	{name: "node refuses", drained: true},
}

// chain is a chain of services, each of which calls the next. Every call to the
// last one fails.
type chain struct {
	*mesh
	depth     int
	entryAddr string
	client    *http.Client
	attempts  [maxDepth + 1]atomic.Int64 // calls that reached the nodes, by level from 1
}

// retries measures how many attempts one call causes at the last service, by
// retry policy, fault and length of the chain.
func (c *Command) retries(ctx context.Context) error {
	policies := []struct {
		name string
		spec object.PolicySpec
	}{
		{"default (1 retry, 10% budget)", object.PolicySpec{}},
		{"3 retries, 100% budget", object.PolicySpec{Retries: 3, RetryBudgetPercent: 100}},
	}
	t := newTable(c.out, fmt.Sprintf("Retries: %d GET calls, %d endpoints for each service, every endpoint of the last one fails", retryCalls, levelTargets),
		"policy", "failure", "depth", "attempts at the leaf per call", "highest at any level", "retrying at every level without a budget (computed)")
	for _, p := range policies {
		for _, f := range leafFailures {
			for _, depth := range []int{1, 2, 3, 5, 8, maxDepth} {
				leaf, highest, err := retryRun(ctx, depth, p.spec, f)
				if err != nil {
					return err
				}
				attempts := max(p.spec.Retries, 1) + 1
				t.row(p.name, f.name, depth, fmt.Sprintf("%.3f", leaf), fmt.Sprintf("%.3f", highest), power(attempts, depth))
			}
		}
	}
	return nil
}

// power returns base to the power of exponent.
func power(base, exponent int) int {
	n := 1
	for range exponent {
		n *= base
	}
	return n
}

// retryRun makes one run and returns the attempts per call at the last level and
// the highest attempts per call of any level.
func retryRun(ctx context.Context, depth int, policy object.PolicySpec, f leafFailure) (leaf, highest float64, err error) {
	ch, err := newChain(depth, policy, f)
	if ch != nil {
		defer ch.close()
	}
	if err != nil {
		return 0, 0, err
	}
	defer ch.client.CloseIdleConnections()
	var wg sync.WaitGroup
	for range retryGoroutines {
		wg.Go(func() {
			for range retryCalls / retryGoroutines {
				callCtx, cancel := context.WithTimeout(ctx, retryCallTimeout)
				callURL(callCtx, ch.client, "http://"+ch.entryAddr+routePath(levelName(1), object.WorkPage))
				cancel()
			}
		})
	}
	wg.Wait()
	for level := 1; level <= depth; level++ {
		highest = max(highest, float64(ch.attempts[level].Load())/retryCalls)
	}
	return float64(ch.attempts[depth].Load()) / retryCalls, highest, ctx.Err()
}

func levelName(level int) string { return fmt.Sprintf("level-%d", level) }

// newChain starts the nodes and targets of every level, and a caller's node as
// the entry.
func newChain(depth int, policy object.PolicySpec, f leafFailure) (*chain, error) {
	var objects []*object.Object
	for level := 1; level <= depth; level++ {
		objects = append(objects, serviceObjects(levelName(level), &policy)...)
	}
	m, err := newMesh(objects)
	if err != nil {
		return nil, err
	}
	ch := &chain{mesh: m, depth: depth, client: newClient()}
	if ch.entryAddr, err = m.addCaller(); err != nil {
		return ch, err
	}
	for level := 1; level <= depth; level++ {
		for i := range levelTargets {
			if err := ch.addNode(level, i, f); err != nil {
				return ch, err
			}
		}
	}
	return ch, nil
}

// addNode starts target i of a level with its node. Targets of the last level
// fail, the others forward calls to the next level.
func (ch *chain) addNode(level, i int, f leafFailure) error {
	gate := admit.New(admit.Options{Slots: retrySlots})
	handler := f.handler
	if level < ch.depth {
		outbound, err := ch.addCaller()
		if err != nil {
			return err
		}
		handler = ch.forwardHandler(outbound, level+1)
	} else if f.drained {
		gate.Drain()
		handler = http.NotFound
	}
	target, err := ch.serve(http.HandlerFunc(handler))
	if err != nil {
		return err
	}
	countAttempts := func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ch.attempts[level].Add(1)
			h.ServeHTTP(w, r)
		})
	}
	id := fmt.Sprintf("%s-%d", levelName(level), i)
	return ch.addTarget(levelName(level), id, target, gate, retrySlots, countAttempts)
}

// forwardHandler returns the handler of a target that calls the given level
// through the outbound side of its own node, and returns the response's status
// and the headers that mark a call as not run or already retried.
func (ch *chain) forwardHandler(outbound string, level int) http.HandlerFunc {
	url := "http://" + outbound + routePath(levelName(level), object.WorkPage)
	return func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, url, nil)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		resp, err := ch.client.Do(req)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for _, name := range []string{proxy.HeaderOutcome, proxy.HeaderRetry} {
			if v := resp.Header.Get(name); v != "" {
				w.Header().Set(name, v)
			}
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = discard(resp.Body) // the body is not forwarded
	}
}
