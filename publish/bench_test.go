package publish

import (
	"context"
	"fmt"
	"testing"
	"time"

	"siskingw/object"
	"siskingw/snapshot"
	"siskingw/store/memstore"
)

// benchServices is the number of services that the system is designed for
// (design 1.3).
const benchServices = 2100

// BenchmarkAcceptorApply publishes changes of one of the routes to 2,100
// services with an in-memory store. The batch window is 1 ns, so that waiting
// for it does not count.
func BenchmarkAcceptorApply(b *testing.B) {
	mem := memstore.New(memstore.Options{})
	a := NewAcceptor(mem, new(snapshot.Current), Options{BatchWindow: time.Nanosecond})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = a.Run(ctx) }()
	defer func() { cancel(); <-done }()
	var all []*object.Object
	for i := range benchServices {
		name := fmt.Sprintf("service-%04d", i)
		all = append(all, endpointSet(name, name), service(name, name), benchRoute(name, object.WorkPage))
	}
	if _, err := a.Apply(ctx, request("all", all...)); err != nil {
		b.Fatal(err)
	}
	kinds := []object.WorkKind{object.WorkBid, object.WorkPage}
	n := 0
	before := mem.Counts()
	b.ReportAllocs()
	for b.Loop() {
		n++
		if _, err := a.Apply(ctx, request(fmt.Sprint("op", n), benchRoute("service-0007", kinds[n%2]))); err != nil {
			b.Fatal(err)
		}
	}
	after := mem.Counts()
	b.ReportMetric(float64(after.Writes-before.Writes)/float64(n), "store-writes/op")
	b.ReportMetric(float64(after.Reads-before.Reads)/float64(n), "store-reads/op")
}

func benchRoute(name string, kind object.WorkKind) *object.Object {
	return &object.Object{Kind: object.KindRoute, Name: name,
		Route: &object.RouteSpec{Host: name + ".example", PathPrefix: "/", Service: name, Kind: kind}}
}
