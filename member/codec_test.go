package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"siskingw/errdefs"
	"siskingw/peer/peerpb"
)

// Guards against fields that are lost on the wire, ages that depend on the
// clock of another node, and damaged batches that are accepted.
func TestCodec(t *testing.T) {
	is := is.New(t)
	sent := codec{time.UnixMilli(5_000_000)}
	received := codec{time.UnixMilli(9_000_000)} // a different clock
	records := testRecords(600)
	records[1].State, records[1].DepartedMs = Dead, 4_990_000
	records[2].TargetDeparture = &TargetDeparture{Target: "t", StartedMs: 1, AcknowledgedMs: 2}
	var pointers []*Record
	for i := range records {
		pointers = append(pointers, &records[i])
	}
	batch, err := sent.encode(pointers)
	is.NoErr(err)
	t.Logf("600 records take %d bytes, %.1f each", len(batch.Data), float64(len(batch.Data))/600)
	is.True(batch.Compressed)
	got, err := received.decode(batch)
	is.NoErr(err)
	records[1].DepartedMs = 8_990_000 // 10 s ago on either clock
	is.Equal(got, records)
	_, err = received.decode(&peerpb.RecordBatch{Data: batch.Data[:len(batch.Data)/2], Compressed: true})
	is.True(errorx.IsOfType(err, errdefs.Corrupt))
	one, err := sent.encode(pointers[:1])
	is.NoErr(err)
	is.True(!one.Compressed)
	t.Logf("1 record takes %d bytes", len(one.Data))
}

// Measures encoding, decoding and merging the full set of records that a
// joining node receives, in chunks as on the wire. Ids and addresses are random
// so that they do not compress better than real ones.
func BenchmarkFullSet(b *testing.B) {
	const records = 20_000
	r := rand.New(rand.NewPCG(1, 2))
	d := NewDirectory(Record{ID: "self", Incarnation: 1}, DirectoryOptions{})
	for _, rec := range testRecords(records) {
		rec.ID = fmt.Sprintf("i-%016x", r.Uint64())
		host := fmt.Sprintf("10.%d.%d.%d", r.IntN(256), r.IntN(256), r.IntN(256))
		rec.PeerAddr, rec.InboundAddr = host+":7946", host+":8080"
		rec.Incarnation += r.Uint64N(1e9)
		d.Merge([]Record{rec})
	}
	all := d.All()
	bytes := 0
	for b.Loop() {
		bytes = 0
		joiner := NewDirectory(Record{ID: "joiner", Incarnation: 1}, DirectoryOptions{})
		for chunk := range slices.Chunk(all, joinChunkRecords) {
			batch, err := codec{}.encode(chunk)
			if err != nil {
				b.Fatal(err)
			}
			bytes += len(batch.Data)
			got, err := codec{}.decode(batch)
			if err != nil {
				b.Fatal(err)
			}
			joiner.Merge(got)
		}
		if joiner.Live() != d.Live()+1 {
			b.Fatal("records are missing")
		}
	}
	b.ReportMetric(float64(bytes), "wire-bytes")
	b.ReportMetric(float64(bytes)/records, "wire-bytes/record")
}
