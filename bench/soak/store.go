package soak

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"siskingw/platform/standin"
	"siskingw/store/memstore"
)

// storeMode is a misbehavior of the store.
type storeMode int32

const (
	storeWell   storeMode = iota
	storeBusy             // 503
	storeReset            // the connection is reset
	storeSilent           // no response until the request is canceled
	storeSlow             // every request is delayed by storeDelay
	storeLost             // every other write is applied, but its connection is reset
	storeLate             // as storeLost, and the write is applied storeDelay later
)

// storeDelay is 60 times the usual response time.
const storeDelay = 240 * time.Millisecond

// unreliableStore serves a store to the nodes and misbehaves according to its mode.
// Configuration changes are written to mem directly and always succeed.
type unreliableStore struct {
	mem    *memstore.Store
	served *standin.Store
	mode   atomic.Int32
	writes atomic.Int64
	calls  atomic.Int64
}

func newUnreliableStore() *unreliableStore {
	mem := memstore.New(memstore.Options{})
	return &unreliableStore{mem: mem, served: standin.NewStore(mem)}
}

func (s *unreliableStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	write := r.Method != http.MethodGet
	switch mode := storeMode(s.mode.Load()); mode {
	case storeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case storeReset:
		panic(http.ErrAbortHandler)
	case storeSilent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case storeSlow:
		time.Sleep(storeDelay)
	case storeLost, storeLate:
		if write && s.writes.Add(1)%2 == 0 {
			body, err := io.ReadAll(r.Body)
			if err == nil {
				again := r.Clone(r.Context())
				again.Body = io.NopCloser(bytes.NewReader(body))
				if mode == storeLate {
					time.Sleep(storeDelay)
				}
				s.served.ServeHTTP(httptest.NewRecorder(), again)
			}
			panic(http.ErrAbortHandler)
		}
	}
	s.served.ServeHTTP(w, r)
}
