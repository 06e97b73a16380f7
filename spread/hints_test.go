package spread

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"siskingw/store/memstore"
)

// Guards against hints of stopped nodes that remain in the store, hints that
// are not rewritten after an outage, and hints of nodes that are not store
// readers.
func TestHintsFollowRelaysOfStoreRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(30, 2, 1, 5)
		st := memstore.New(memstore.Options{})
		ctx, cancel := context.WithCancel(t.Context())
		for _, r := range f.records {
			go func() { _ = (Hints{Store: st, View: fakeView{f, r}}).Run(ctx, "r0") }()
		}
		hints := Hints{Store: st}
		synctest.Wait()
		is.Equal(len(hints.Read(ctx)), 0) // a starting node knows too few members to be sure of its rank
		time.Sleep(hintRenewInterval * 12 / 10)
		is.Equal(len(hints.Read(ctx)), 3)
		is.Equal(hints.Read(ctx)[0].FailureDomain, "r0-d0")
		time.Sleep(10 * time.Minute)
		is.Equal(len(hints.Read(ctx)), 3)
		st.SetFaults(memstore.Faults{Down: true})
		time.Sleep(2 * time.Minute)
		is.Equal(len(hints.Read(ctx)), 0)
		st.SetFaults(memstore.Faults{})
		elapse(time.Minute)
		is.Equal(len(hints.Read(ctx)), 3)
		cancel()
		time.Sleep(2 * hintTTL)
		is.Equal(len(hints.Read(t.Context())), 0)
	})
}
