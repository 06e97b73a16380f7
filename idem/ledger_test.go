package idem

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/member"
)

var (
	ownerA = &member.Record{ID: "a", Incarnation: 1}
	ownerB = &member.Record{ID: "b", Incarnation: 2}
)

// Guards against a retry that runs again instead of getting the stored response.
func TestRetryGetsStoredResponse(t *testing.T) {
	is := is.New(t)
	l := NewLedger("a", 1, Options{})
	k := Mint(ownerA, time.Now())
	d, err := l.Begin(context.Background(), k, "")
	is.NoErr(err)
	is.Equal(d.Action, Run)
	response := &Response{Status: 200, Header: http.Header{"Lot": {"7", "8"}}, Body: []byte("sold")}
	l.RecordResponse(k, response)
	d, err = l.Begin(context.Background(), k, "")
	is.NoErr(err)
	is.Equal(d.Action, Replay)
	is.Equal(d.Response, response)
}

// Guards against a key that both the draining and the new owner run, and against a
// new owner that runs it without a voucher.
func TestDrainingOwnerHandsNewKeyOver(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	a, b := NewLedger("a", 1, Options{}), NewLedger("b", 2, Options{})
	a.Drain(func(Key) *member.Record { return ownerB })
	k := Mint(ownerA, time.Now())
	d, err := b.Begin(ctx, k, "")
	is.True(err != nil)
	is.Equal(d.Action, Unknown) // without a voucher
	moved, err := a.Begin(ctx, k, "")
	is.NoErr(err)
	is.Equal(moved.Action, Moved)
	is.Equal(moved.Owner, ownerB)
	d, err = b.Begin(ctx, k, moved.Voucher)
	is.NoErr(err)
	is.Equal(d.Action, Run)
	b.RecordUnknown(k)
	d, _ = b.Begin(ctx, k, moved.Voucher)
	is.Equal(d.Action, Unknown)
}

func BenchmarkBeginRecordResponse(b *testing.B) {
	l := NewLedger("a", 1, Options{MaxBytes: 1 << 30})
	response := &Response{Status: 200, Body: make([]byte, 100)}
	b.ReportAllocs()
	for b.Loop() {
		k := Mint(ownerA, time.Now())
		l.Begin(context.Background(), k, "")
		l.RecordResponse(k, response)
	}
}
