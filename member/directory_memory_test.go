package member

import (
	"fmt"
	"runtime"
	"testing"
)

// testRecords returns n records, each with its own copies of all strings, as if
// received from the network.
func testRecords(n int) []Record {
	records := make([]Record, n)
	for i := range records {
		records[i] = Record{
			ID: fmt.Sprintf("node-%06d-%04x", i, i*7919%65536), Incarnation: 1790000000000 + uint64(i), Sequence: 1,
			State: Alive, FailureDomain: fmt.Sprintf("fd-%d", i%9), Region: fmt.Sprintf("region-%d", i%9/3),
			PeerAddr:    fmt.Sprintf("10.%d.%d.%d:7946", i>>16, i>>8&255, i&255),
			InboundAddr: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Service:     fmt.Sprintf("service-%04d", i%2100), Slots: 14,
		}
	}
	return records
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against a directory that uses a large share of a node's 128 MB. The
// bound is the one that the design states for 20,000 records.
func TestMemoryOfTwentyThousandRecords(t *testing.T) {
	const records, bound = 20_000, 15 << 20
	before := heapBytes()
	d := NewDirectory(Record{ID: "self", Incarnation: 1, FailureDomain: "fd-0", Region: "region-0"}, DirectoryOptions{})
	d.Merge(testRecords(records))
	used := heapBytes() - before
	t.Logf("%d records take %d bytes, %d each", d.Live(), used, used/records)
	if used > bound {
		t.Fatalf("%d bytes for %d records, bound %d", used, records, bound)
	}
	runtime.KeepAlive(d)
}

// Measures merging one changed record into a directory of 20,000; a merge must
// not copy all of them.
func BenchmarkMergeOne(b *testing.B) {
	d := NewDirectory(Record{ID: "self", Incarnation: 1}, DirectoryOptions{})
	d.Merge(testRecords(20_000))
	r := *d.Lookup(d.All()[77].ID)
	b.ReportAllocs()
	for b.Loop() {
		r.Sequence++
		d.Merge([]Record{r})
	}
}
