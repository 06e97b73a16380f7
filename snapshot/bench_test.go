package snapshot

import (
	"fmt"
	"runtime"
	"testing"

	"siskingw/object"
)

// benchServices is the number of services that the system is designed for
// (design 1.3).
const benchServices = 2100

// benchObjects returns the objects of a system of the designed size: a service,
// an endpoint set and a route per service name, and one policy per ten
// services.
func benchObjects() []*object.Object {
	var set []*object.Object
	for i := range benchServices {
		name, policy := fmt.Sprintf("service-%04d", i), fmt.Sprintf("policy-%03d", i/10)
		set = append(set,
			&object.Object{Kind: object.KindEndpointSet, Name: name, Revision: uint64(i), Author: "ann",
				EndpointSet: &object.EndpointSetSpec{Announce: name, MinReady: 2}},
			&object.Object{Kind: object.KindService, Name: name, Revision: uint64(i), Author: "ann",
				Service: &object.ServiceSpec{EndpointSet: name, Policy: policy, Protocol: "http"}},
			&object.Object{Kind: object.KindRoute, Name: name, Revision: uint64(i), Author: "ann",
				Route: &object.RouteSpec{
					Host: name + ".example", PathPrefix: "/", Service: name, Kind: object.WorkPage}})
		if i%10 == 0 {
			set = append(set, &object.Object{Kind: object.KindPolicy, Name: policy, Revision: 1, Author: "ann",
				Policy: &object.PolicySpec{TimeoutMs: 500, Retries: 1}})
		}
	}
	return set
}

func benchSnapshot(b *testing.B) *Snapshot {
	b.Helper()
	s, err := New(1, benchObjects())
	if err != nil {
		b.Fatal(err)
	}
	return s
}

func BenchmarkNew(b *testing.B) {
	set := benchObjects()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := New(1, set); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkApply applies a delta with one changed route.
func BenchmarkApply(b *testing.B) {
	base := benchSnapshot(b)
	changed := *base.Get(object.Key{Kind: object.KindRoute, Name: "service-0007"})
	route := *changed.Route
	route.Kind = object.WorkBid
	changed.Route, changed.Revision = &route, 2
	next, err := base.WithChanges(2, []*object.Object{&changed}, nil)
	if err != nil {
		b.Fatal(err)
	}
	d := Diff(base, next)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := base.Apply(d); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEncode(b *testing.B) {
	s := benchSnapshot(b)
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		size = len(s.Encode())
	}
	b.ReportMetric(float64(size), "encoded-bytes")
}

func BenchmarkDecode(b *testing.B) {
	encoded := benchSnapshot(b).Encode()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(encoded); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMatch matches a request when every route has its own host, and when
// all routes share one host.
func BenchmarkMatch(b *testing.B) {
	ownHost, set := benchSnapshot(b), benchObjects()
	for _, o := range set {
		if o.Route != nil {
			o.Route.Host, o.Route.PathPrefix = "", "/"+o.Name
		}
	}
	sharedHost, err := New(1, set)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("own host", func(b *testing.B) { benchMatch(b, ownHost, "service-0007.example", "/lots/7") })
	b.Run("one host", func(b *testing.B) { benchMatch(b, sharedHost, "any.example", "/service-2099/lots/7") })
}

func benchMatch(b *testing.B, s *Snapshot, host, path string) {
	for b.Loop() {
		if s.Match(host, path) == nil {
			b.Fatal("no route")
		}
	}
}

// BenchmarkMemory reports the heap bytes that a decoded snapshot retains, and
// the bytes that the next version adds while both are reachable.
func BenchmarkMemory(b *testing.B) {
	encoded := benchSnapshot(b).Encode()
	for b.Loop() {
		before := heapBytes()
		s, err := Decode(encoded)
		if err != nil {
			b.Fatal(err)
		}
		decoded := heapBytes()
		next, err := s.WithChanges(2, nil, []object.Key{{Kind: object.KindRoute, Name: "service-0007"}})
		if err != nil {
			b.Fatal(err)
		}
		after := heapBytes()
		b.ReportMetric(float64(decoded-before), "snapshot-B")
		b.ReportMetric(float64(after-decoded), "next-B")
		runtime.KeepAlive(s)
		runtime.KeepAlive(next)
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
