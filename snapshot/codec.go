package snapshot

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/klauspost/compress/zstd"

	"siskingw/errdefs"
	"siskingw/object"
)

// maxDecodedBytes limits the decompressed size of a message, so that a small
// message cannot exhaust memory.
const maxDecodedBytes = 64 << 20

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderLowmem(true))
)

// Compress returns b as one zstd frame.
func Compress(b []byte) []byte { return encoder.EncodeAll(b, nil) }

// Decompress returns the content of zstd data. It returns a Corrupt error when
// b is not valid or its content is larger than 64 MiB.
func Decompress(b []byte) ([]byte, error) {
	out, err := decoder.DecodeAll(b, nil)
	if err != nil {
		return nil, errdefs.Corrupt.Wrap(err, "content cannot be decompressed")
	}
	return out, nil
}

// EncodeDelta returns d as zstd-compressed JSON. It returns an Internal error
// when d cannot be encoded.
func EncodeDelta(d *Delta) ([]byte, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "delta to version %d cannot be encoded", d.Version)
	}
	return Compress(b), nil
}

// DecodeDelta decodes the output of EncodeDelta. It returns a Corrupt error for
// any other input.
func DecodeDelta(b []byte) (*Delta, error) {
	raw, err := Decompress(b)
	if err != nil {
		return nil, err
	}
	d := new(Delta)
	if err := json.Unmarshal(raw, d); err != nil {
		return nil, errdefs.Corrupt.Wrap(err, "delta cannot be decoded")
	}
	if slices.Contains(d.Upserts, nil) {
		return nil, errdefs.Corrupt.New("delta to version %d contains a null object", d.Version)
	}
	return d, nil
}

// Encode returns the zstd-compressed encoding of the whole snapshot: the
// version (8 bytes, big-endian), the digest, and for every shard in order the
// length of its content (uvarint) and the content.
func (s *Snapshot) Encode() []byte {
	raw := binary.BigEndian.AppendUint64(nil, s.version)
	raw = append(raw, s.digest[:]...)
	for _, sh := range s.shards {
		raw = binary.AppendUvarint(raw, uint64(len(sh.content)))
		raw = append(raw, sh.content...)
	}
	return Compress(raw)
}

// Decode decodes the output of Encode and verifies the digest and every
// reference. It returns a Corrupt or Dangling error, never a partial snapshot.
func Decode(b []byte) (*Snapshot, error) {
	raw, err := Decompress(b)
	if err != nil {
		return nil, err
	}
	const headerBytes = 8 + len(Digest{})
	if len(raw) < headerBytes {
		return nil, errdefs.Corrupt.New("snapshot is truncated after %d bytes", len(raw))
	}
	version := binary.BigEndian.Uint64(raw)
	want := Digest(raw[8:headerBytes])
	raw = raw[headerBytes:]
	var contents [ShardCount][]byte
	for i := range contents {
		n, used := binary.Uvarint(raw)
		if used <= 0 || n > uint64(len(raw)-used) {
			return nil, errdefs.Corrupt.New("shard %d is truncated", i)
		}
		contents[i] = raw[used : used+int(n)]
		raw = raw[used+int(n):]
	}
	return FromShards(version, want, contents)
}

// FromShards builds a snapshot from the canonical content of all shards and
// verifies the digest and every reference. It returns a Corrupt or Dangling
// error.
func FromShards(version uint64, want Digest, contents [ShardCount][]byte) (*Snapshot, error) {
	byShard := make(map[int][]byte, ShardCount)
	for i, content := range contents {
		byShard[i] = content
	}
	return Rebuild(nil, version, want, byShard)
}

// Rebuild builds a snapshot from the canonical content of some shards, by shard
// index, and shares the other shards with base. base may be nil when contents
// holds every shard; a missing shard is an Internal error. Rebuild verifies the
// digest and every reference and returns a Corrupt or Dangling error.
func Rebuild(base *Snapshot, version uint64, want Digest, contents map[int][]byte) (*Snapshot, error) {
	next := &Snapshot{version: version}
	if base != nil {
		next.shards = base.shards
	}
	for i, content := range contents {
		sh, err := decodeShard(i, content)
		if err != nil {
			return nil, err
		}
		next.shards[i] = sh
	}
	if i := slices.Index(next.shards[:], nil); i >= 0 {
		return nil, errdefs.Internal.New("shard %d of version %d is missing", i, version)
	}
	if got := digestOf(&next.shards); got != want {
		return nil, errdefs.Corrupt.New("version %d has digest %s, want %s", version, got, want)
	}
	if err := next.finalize(); err != nil {
		return nil, err
	}
	return next, nil
}

// decodeShard decodes the content of shard i. It returns a Corrupt error unless
// every line is canonical JSON, the keys are in ascending order, and every key
// belongs to the shard.
func decodeShard(i int, content []byte) (*shard, error) {
	var objects []*object.Object
	for line := range bytes.Lines(content) {
		o := new(object.Object)
		if err := o.UnmarshalJSON(line); err != nil {
			return nil, errdefs.Corrupt.Wrap(err, "shard %d cannot be decoded", i)
		}
		if ShardOf(o.Key()) != i {
			return nil, errdefs.Corrupt.New("%s does not belong to shard %d", o.Key(), i)
		}
		if n := len(objects); n > 0 && compareObjects(objects[n-1], o) >= 0 {
			return nil, errdefs.Corrupt.New("%s is out of order in shard %d", o.Key(), i)
		}
		objects = append(objects, o)
	}
	sh, err := newShard(objects)
	if err != nil {
		return nil, errdefs.Corrupt.Wrap(err, "shard %d cannot be encoded", i)
	}
	if !bytes.Equal(sh.content, content) {
		return nil, errdefs.Corrupt.New("shard %d is not in canonical form", i)
	}
	return sh, nil
}
