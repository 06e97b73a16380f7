package snapshot

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"siskingw/errdefs"
	"siskingw/object"
)

// Guards against accepting a shard that re-encodes to another digest, so that
// the next delta fails: the content must be canonical, sorted, and of the right
// shard.
func TestRebuildRefusesNonCanonicalContent(t *testing.T) {
	is := is.New(t)
	s, err := New(1, sampleObjects())
	is.NoErr(err)
	shardIndex := ShardOf(object.Key{Kind: object.KindEndpointSet, Name: "floor"})
	line := `{"kind":"EndpointSet","name":"floor","spec":{"announce":"auction-floor"}}` + "\n"
	is.Equal(string(s.ShardContent(shardIndex)), line)
	for i, bad := range []string{line + line, " " + line, line[:len(line)-1], "{}\n", "null\n",
		`{"kind":"Route"` + "\n"} {
		_, err := Rebuild(s, 2, s.Digest(), map[int][]byte{shardIndex: []byte(bad)})
		if !errorx.IsOfType(err, errdefs.Corrupt) {
			t.Errorf("case %d: got %v", i, err)
		}
	}
	_, err = Rebuild(s, 2, s.Digest(), map[int][]byte{(shardIndex + 1) % ShardCount: []byte(line)})
	is.True(errorx.IsOfType(err, errdefs.Corrupt))
	same, err := Rebuild(s, 2, s.Digest(), map[int][]byte{shardIndex: []byte(line)})
	is.NoErr(err)
	is.Equal(same.Digest(), s.Digest())
}

// Guards against input from a peer that panics the decoder, or that decodes to
// a snapshot with a different encoding.
func FuzzDecode(f *testing.F) {
	s, err := New(1, sampleObjects())
	if err != nil {
		f.Fatal(err)
	}
	raw, err := Decompress(s.Encode())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Decode(Compress(raw))
		if err != nil {
			return
		}
		if decoded, err := Decode(s.Encode()); err != nil || decoded.Digest() != s.Digest() ||
			decoded.Version() != s.Version() {
			t.Fatalf("version %d changes when it is encoded and decoded: %v", s.Version(), err)
		}
	})
}

// Guards against a delta from a peer that panics the decoder, or that is
// applied although the result does not have the digest and version stated in
// the delta.
func FuzzDecodeDelta(f *testing.F) {
	base, err := New(1, sampleObjects())
	if err != nil {
		f.Fatal(err)
	}
	next, err := base.WithChanges(2,
		[]*object.Object{{Kind: object.KindPolicy, Name: "p", Policy: &object.PolicySpec{Retries: 1}}}, nil)
	if err != nil {
		f.Fatal(err)
	}
	b, err := EncodeDelta(Diff(base, next))
	if err != nil {
		f.Fatal(err)
	}
	raw, err := Decompress(b)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, _ = DecodeDelta(raw)
		d, err := DecodeDelta(Compress(raw))
		if err != nil {
			return
		}
		d.BaseVersion, d.BaseDigest = base.Version(), base.Digest()
		got, err := base.Apply(d)
		if err == nil && (got.Digest() != d.Digest || got.Version() != d.Version || base.Digest() == (Digest{})) {
			t.Fatalf("delta to version %d produced version %d", d.Version, got.Version())
		}
	})
}
