package member

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"siskingw/faults"
	"siskingw/peer/peerpb"
)

// Guards against fields that are lost on the wire, ages that depend on another
// node's clock, and damaged batches that are taken.
func TestCodec(t *testing.T) {
	is := is.New(t)
	sent := codec{time.UnixMilli(5_000_000)}
	received := codec{time.UnixMilli(9_000_000)} // another clock
	records := fleet(600)
	records[1].State, records[1].DepartedMs = Dead, 4_990_000
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
	records[1].DepartedMs = 8_990_000 // 10 s ago by either clock
	is.Equal(got, records)
	_, err = received.decode(&peerpb.RecordBatch{Data: batch.Data[:len(batch.Data)/2], Compressed: true})
	is.True(errorx.IsOfType(err, faults.Corrupt))
	one, err := sent.encode(pointers[:1])
	is.NoErr(err)
	is.True(!one.Compressed)
	t.Logf("1 record takes %d bytes", len(one.Data))
}
