package member

import (
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"siskingw/errdefs"
	"siskingw/peer/peerpb"
)

const (
	// joinChunkRecords keeps each chunk of a join stream under 100 KB before
	// compression.
	joinChunkRecords = 1000
	// minCompressBytes is the encoded size from which compression saves more
	// bytes than it adds.
	minCompressBytes = 200
	// maxDecompressedBytes limits the decompressed size of a received batch.
	maxDecompressedBytes = 8 << 20
	// zstdWindowBytes limits the memory of the compressor. A small window is
	// enough because repeated names lie close together.
	zstdWindowBytes = 64 << 10
)

// The zstd coders are safe for concurrent use. The whole process shares one
// pair because each of them allocates a window.
var (
	encoder = sync.OnceValue(func() *zstd.Encoder {
		e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(zstdWindowBytes),
			zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedFastest))
		if err != nil {
			panic(err) // unreachable: the options are constants
		}
		return e
	})
	decoder = sync.OnceValue(func() *zstd.Decoder {
		d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(maxDecompressedBytes))
		if err != nil {
			panic(err) // unreachable: the options are constants
		}
		return d
	})
)

// codec converts records between their in-memory and wire forms. The wire
// carries the age of a tombstone instead of a timestamp; now is the local time
// from which ages are computed.
type codec struct {
	now time.Time
}

func (c codec) toProto(r *Record) *peerpb.MemberRecord {
	p := &peerpb.MemberRecord{
		Id: r.ID, Incarnation: r.Incarnation, Sequence: r.Sequence, State: uint32(r.State),
		FailureDomain: r.FailureDomain, Region: r.Region, PeerAddr: r.PeerAddr,
		InboundAddr: r.InboundAddr, Service: r.Service, Slots: r.Slots,
		TargetVersion: r.TargetVersion, TargetNote: r.TargetNote, QuotaInstances: r.QuotaInstances,
	}
	if t := r.TargetDeparture; t != nil {
		p.TargetDeparture = &peerpb.TargetDeparture{Target: t.Target, StartedMs: t.StartedMs, AcknowledgedMs: t.AcknowledgedMs}
	}
	if v := r.StatedVersion; v != nil {
		p.StatedVersion = &peerpb.StatedVersion{Target: v.Target, StatedMs: v.StatedMs, Incarnation: v.Incarnation}
		if v.Service != r.Service || v.Version != r.TargetVersion {
			p.StatedVersion.Service, p.StatedVersion.Version, p.StatedVersion.Other = v.Service, v.Version, true
		}
	}
	if r.Departed() {
		p.DepartedAgeS = uint32(max(0, c.now.UnixMilli()-r.DepartedMs) / 1000)
	}
	return p
}

func (c codec) fromProto(p *peerpb.MemberRecord) Record {
	r := Record{
		ID: p.Id, Incarnation: p.Incarnation, Sequence: p.Sequence, State: State(min(p.State, uint32(Left)+1)),
		FailureDomain: p.FailureDomain, Region: p.Region, PeerAddr: p.PeerAddr,
		InboundAddr: p.InboundAddr, Service: p.Service, Slots: p.Slots,
		TargetVersion: p.TargetVersion, TargetNote: p.TargetNote[:min(len(p.TargetNote), MaxTargetNoteBytes)], QuotaInstances: p.QuotaInstances,
	}
	if t := p.TargetDeparture; t != nil {
		r.TargetDeparture = &TargetDeparture{Target: t.Target, StartedMs: t.StartedMs, AcknowledgedMs: t.AcknowledgedMs}
	}
	if v := p.StatedVersion; v != nil {
		r.StatedVersion = &StatedVersion{Target: v.Target, Service: p.Service, Version: p.TargetVersion,
			Incarnation: v.Incarnation, StatedMs: v.StatedMs}
		if v.Other {
			r.StatedVersion.Service, r.StatedVersion.Version = v.Service, v.Version
		}
	}
	if r.Departed() {
		r.DepartedMs = c.now.UnixMilli() - int64(p.DepartedAgeS)*1000
	}
	return r
}

// encode returns the records as one batch, compressed unless it is shorter than
// minCompressBytes. It returns a Corrupt error when they cannot be encoded.
func (c codec) encode(records []*Record) (*peerpb.RecordBatch, error) {
	msg := &peerpb.MemberRecords{Records: make([]*peerpb.MemberRecord, len(records))}
	for i, r := range records {
		msg.Records[i] = c.toProto(r)
	}
	data, err := proto.Marshal(msg)
	if err != nil {
		return nil, errdefs.Corrupt.Wrap(err, "%d membership records cannot be encoded", len(records))
	}
	if len(data) < minCompressBytes {
		return &peerpb.RecordBatch{Data: data}, nil
	}
	return &peerpb.RecordBatch{Data: encoder().EncodeAll(data, nil), Compressed: true}, nil
}

// decode returns the records of a batch, or a Corrupt error when the batch is
// damaged or exceeds maxDecompressedBytes.
func (c codec) decode(b *peerpb.RecordBatch) ([]Record, error) {
	if b == nil {
		return nil, nil
	}
	data := b.Data
	if b.Compressed {
		var err error
		if data, err = decoder().DecodeAll(b.Data, nil); err != nil {
			return nil, errdefs.Corrupt.Wrap(err, "batch of %d bytes cannot be decompressed", len(b.Data))
		}
	}
	var msg peerpb.MemberRecords
	if err := proto.Unmarshal(data, &msg); err != nil {
		return nil, errdefs.Corrupt.Wrap(err, "batch of %d bytes cannot be decoded", len(data))
	}
	records := make([]Record, len(msg.Records))
	for i, p := range msg.Records {
		records[i] = c.fromProto(p)
	}
	return records, nil
}

func keyOf(r *Record) *peerpb.MemberKey {
	return &peerpb.MemberKey{Id: r.ID, Incarnation: r.Incarnation, Sequence: r.Sequence, State: uint32(r.State)}
}

// keyMatches reports whether k identifies exactly the version r of a record.
func keyMatches(k *peerpb.MemberKey, r *Record) bool {
	return k != nil && k.Id == r.ID && k.Incarnation == r.Incarnation && k.Sequence == r.Sequence &&
		k.State == uint32(r.State)
}

// recordWithKey returns a copy of r with the incarnation, sequence and state of
// a key.
func recordWithKey(r *Record, k *peerpb.MemberKey) Record {
	s := *r
	s.Incarnation, s.Sequence, s.State = k.Incarnation, k.Sequence, State(min(k.State, uint32(Left)+1))
	return s
}
