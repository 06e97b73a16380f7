package crowd

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"siskingw/platform/standin"
)

// storeFaultTime is how long the store answers wrongly. Nodes ask it once a second.
const storeFaultTime = 8 * time.Second

// faultyStore answers reads and watches with fault while that is set.
type faultyStore struct {
	http.Handler
	fault    atomic.Pointer[func(w http.ResponseWriter, r *http.Request)]
	answered atomic.Int64 // requests answered by fault
	sent     atomic.Int64 // bytes
}

// ServeHTTP implements http.Handler.
func (s *faultyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f := s.fault.Load(); f != nil && r.Method == http.MethodGet {
		s.answered.Add(1)
		(*f)(&countingAnswer{w, &s.sent}, r)
		return
	}
	s.Handler.ServeHTTP(w, r)
}

// countingAnswer counts the bytes of an answer.
type countingAnswer struct {
	http.ResponseWriter
	sent *atomic.Int64
}

func (w *countingAnswer) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.sent.Add(int64(n))
	return n, err
}

// checkStoreFault checks that nodes stay within the bounds of checkCrowd, and go on
// serving, while their store answers with fault.
func checkStoreFault(t *testing.T, fault func(w http.ResponseWriter, r *http.Request)) {
	c := startCluster(t)
	usages := []*usage{watchUsage(t, c.callers), watchUsage(t, c.targets)}
	c.store.fault.Store(&fault)
	time.Sleep(storeFaultTime)
	t.Logf("the store answered %d requests with %d MiB", c.store.answered.Load(), c.store.sent.Load()>>20)
	if c.store.answered.Load() == 0 {
		t.Error("no node has asked the store")
	}
	for _, u := range usages {
		u.check(t, "with the faulty store")
	}
	c.waitServed("with the faulty store", tries*tryPause)
	c.store.fault.Store(nil)
	c.waitServed("after the fault", tries*tryPause)
	for _, u := range usages {
		u.check(t, "after the fault")
	}
}

// Guards against an answer of the store without end that fills the memory.
func TestEndlessStoreAnswer(t *testing.T) { checkStoreFault(t, standin.EndlessAnswer) }

// Guards against a page of the store with so many items that they fill the memory after
// they are decoded.
func TestStorePageOfManyItems(t *testing.T) { checkStoreFault(t, standin.PageOfManyItems()) }

// Guards against a range of the store without a last page that fills the memory.
func TestEndlessStorePages(t *testing.T) { checkStoreFault(t, standin.EndlessPages) }

// newFaultyStore returns a stand-in store without a fault.
func newFaultyStore(s *standin.Store) *faultyStore { return &faultyStore{Handler: s} }
