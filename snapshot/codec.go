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

// maxDecodedBytes bounds what a compressed message may expand to.
const maxDecodedBytes = 64 << 20

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderLowmem(true))
)

// Compress returns b compressed with zstd.
func Compress(b []byte) []byte { return encoder.EncodeAll(b, nil) }

// Decompress returns the content of b, or a Corrupt error.
func Decompress(b []byte) ([]byte, error) {
	out, err := decoder.DecodeAll(b, nil)
	if err != nil {
		return nil, errdefs.Corrupt.Wrap(err, "content cannot be decompressed")
	}
	return out, nil
}

// EncodeDelta returns the compressed encoding of d.
func EncodeDelta(d *Delta) ([]byte, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "delta to version %d cannot be encoded", d.Version)
	}
	return Compress(b), nil
}

// DecodeDelta reads what EncodeDelta wrote. It returns a Corrupt error for
// anything else.
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
		return nil, errdefs.Corrupt.New("delta to version %d holds an empty object", d.Version)
	}
	return d, nil
}

// Encode returns the compressed encoding of the whole snapshot: the version,
// the digest and the content of every shard in order.
func (s *Snapshot) Encode() []byte {
	raw := binary.BigEndian.AppendUint64(nil, s.version)
	raw = append(raw, s.digest[:]...)
	for _, sh := range s.shards {
		raw = binary.AppendUvarint(raw, uint64(len(sh.content)))
		raw = append(raw, sh.content...)
	}
	return Compress(raw)
}

// Decode reads what Encode wrote and checks the digest and every reference.
// It returns a Corrupt or Dangling error and never a partial snapshot.
func Decode(b []byte) (*Snapshot, error) {
	raw, err := Decompress(b)
	if err != nil {
		return nil, err
	}
	const headerBytes = 8 + len(Digest{})
	if len(raw) < headerBytes {
		return nil, errdefs.Corrupt.New("snapshot is cut off after %d bytes", len(raw))
	}
	version := binary.BigEndian.Uint64(raw)
	want := Digest(raw[8:headerBytes])
	raw = raw[headerBytes:]
	var contents [ShardCount][]byte
	for i := range contents {
		n, used := binary.Uvarint(raw)
		if used <= 0 || n > uint64(len(raw)-used) {
			return nil, errdefs.Corrupt.New("shard %d is cut off", i)
		}
		contents[i] = raw[used : used+int(n)]
		raw = raw[used+int(n):]
	}
	return FromShards(version, want, contents)
}

// FromShards builds a snapshot from the canonical content of its shards and
// checks the digest and every reference.
func FromShards(version uint64, want Digest, contents [ShardCount][]byte) (*Snapshot, error) {
	touched := make(map[int][]byte, ShardCount)
	for i, content := range contents {
		touched[i] = content
	}
	return Rebuild(nil, version, want, touched)
}

// Rebuild builds a snapshot from the canonical content of the touched shards
// and takes the other shards from base; base may be nil when every shard is
// touched. It checks the digest and every reference and returns a Corrupt or
// Dangling error.
func Rebuild(base *Snapshot, version uint64, want Digest, touched map[int][]byte) (*Snapshot, error) {
	next := &Snapshot{version: version}
	if base != nil {
		next.shards = base.shards
	}
	for i, content := range touched {
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
	if err := next.seal(); err != nil {
		return nil, err
	}
	return next, nil
}

// decodeShard reads one shard's lines, which must be canonical, in order and
// of this shard.
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
