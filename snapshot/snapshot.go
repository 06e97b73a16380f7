// Package snapshot implements the immutable, versioned set of configuration
// objects that a node puts in force, the deltas between versions, their digests
// and their encoding.
package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskingw/errdefs"
	"siskingw/object"
)

// ShardCount is the number of shards of a snapshot. It determines the digest,
// so it must not change between releases.
const ShardCount = 64

// shortKeyLength is the length in bytes of a kind/name up to which hashing it needs
// no allocation.
const shortKeyLength = 80

// Digest is a SHA-256 digest; its text form is hexadecimal.
type Digest [sha256.Size]byte

// String returns the digest in lowercase hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText encodes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes a digest in hexadecimal. It returns a Corrupt error for
// any other text.
func (d *Digest) UnmarshalText(b []byte) error {
	parsed, err := ParseDigest(string(b))
	if err != nil {
		return err
	}
	*d = parsed
	return nil
}

// ParseDigest parses a digest in hexadecimal. It returns a Corrupt error for
// any other text.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(d) {
		return d, errdefs.Corrupt.New("%q is not a digest", s)
	}
	copy(d[:], b)
	return d, nil
}

// ShardOf returns the index of the shard that the key belongs to, in the range
// 0 to ShardCount-1.
func ShardOf(k object.Key) int {
	var buf [shortKeyLength]byte
	b := append(append(append(buf[:0], k.Kind...), '/'), k.Name...)
	return int(xxhash.Sum64(b) % ShardCount)
}

// shard is an immutable group of objects, selected by the hash of the key.
type shard struct {
	objects []*object.Object // sorted by key
	content []byte           // canonical JSON, one object per line
	digest  Digest
}

// newShard returns a shard of the objects, which must be sorted by key.
func newShard(objects []*object.Object) (*shard, error) {
	s := &shard{objects: objects}
	for _, o := range objects {
		line, err := o.Canonical()
		if err != nil {
			return nil, err
		}
		s.content = append(append(s.content, line...), '\n')
	}
	s.digest = sha256.Sum256(s.content)
	return s, nil
}

// Snapshot is an immutable set of objects at one version, in which every
// reference resolves.
type Snapshot struct {
	version uint64
	digest  Digest
	shards  [ShardCount]*shard
	index   *index
}

// New builds a snapshot of the objects. It returns an Invalid error for
// duplicate keys and a Dangling error for a reference that does not resolve.
func New(version uint64, objects []*object.Object) (*Snapshot, error) {
	var groups [ShardCount][]*object.Object
	for _, o := range objects {
		i := ShardOf(o.Key())
		groups[i] = append(groups[i], o)
	}
	s := &Snapshot{version: version}
	for i, group := range groups {
		slices.SortFunc(group, compareObjects)
		if dup := firstDuplicate(group); dup != nil {
			return nil, errdefs.Invalid.New("%s is declared more than once", dup.Key())
		}
		sh, err := newShard(group)
		if err != nil {
			return nil, err
		}
		s.shards[i] = sh
	}
	return s, s.finalize()
}

// finalize computes the digest and builds the index. It returns a Dangling
// error for a reference that does not resolve.
func (s *Snapshot) finalize() error {
	s.digest = digestOf(&s.shards)
	idx, err := newIndex(s)
	if err != nil {
		return err
	}
	s.index = idx
	return nil
}

// digestOf returns the digest of the concatenated shard digests.
func digestOf(shards *[ShardCount]*shard) Digest {
	h := sha256.New()
	for _, sh := range shards {
		h.Write(sh.digest[:])
	}
	var d Digest
	h.Sum(d[:0])
	return d
}

// Check verifies the content, the digests and the references. It returns a
// Corrupt or Dangling error. The constructors make the same checks, so an error
// means that an object was modified after the snapshot was built.
func (s *Snapshot) Check() error {
	rebuilt, err := New(s.version, slices.Collect(s.All()))
	if err != nil {
		return err
	}
	for i, sh := range rebuilt.shards {
		if sh.digest != s.shards[i].digest || sha256.Sum256(s.shards[i].content) != s.shards[i].digest {
			return errdefs.Corrupt.New("shard %d of version %d does not match its digest", i, s.version)
		}
	}
	return s.checkFinalized()
}

// checkFinalized returns a Corrupt error unless the snapshot was built by a
// constructor, which resolves every reference, and the digest matches the
// shards.
func (s *Snapshot) checkFinalized() error {
	if s == nil || s.index == nil || digestOf(&s.shards) != s.digest {
		return errdefs.Corrupt.New("snapshot is incomplete")
	}
	return nil
}

// Version returns the version of the snapshot.
func (s *Snapshot) Version() uint64 { return s.version }

// Digest returns the digest of all objects. It does not cover the version.
func (s *Snapshot) Digest() Digest { return s.digest }

// ShardDigest returns the digest of the content of shard i.
func (s *Snapshot) ShardDigest(i int) Digest { return s.shards[i].digest }

// ShardContent returns the canonical content of shard i, one JSON object per
// line. It must not be modified.
func (s *Snapshot) ShardContent(i int) []byte { return s.shards[i].content }

// Len returns the number of objects.
func (s *Snapshot) Len() int {
	n := 0
	for _, sh := range s.shards {
		n += len(sh.objects)
	}
	return n
}

// Get returns the object with the key, or nil.
func (s *Snapshot) Get(k object.Key) *object.Object {
	sh := s.shards[ShardOf(k)]
	i, ok := slices.BinarySearchFunc(sh.objects, k, func(o *object.Object, k object.Key) int {
		return o.Key().Compare(k)
	})
	if !ok {
		return nil
	}
	return sh.objects[i]
}

// All yields every object, by shard and by key within a shard.
func (s *Snapshot) All() iter.Seq[*object.Object] {
	return func(yield func(*object.Object) bool) {
		for _, sh := range s.shards {
			for _, o := range sh.objects {
				if !yield(o) {
					return
				}
			}
		}
	}
}

// Objects returns every object, sorted by key.
func (s *Snapshot) Objects() []*object.Object {
	all := make([]*object.Object, 0, s.Len())
	for _, sh := range s.shards {
		all = append(all, sh.objects...)
	}
	slices.SortFunc(all, compareObjects)
	return all
}

// Unavailable returns the routes that are unavailable, sorted by name.
func (s *Snapshot) Unavailable() []*object.Object {
	var routes []*object.Object
	for o := range s.All() {
		if o.Route != nil && o.Route.Unavailable != "" {
			routes = append(routes, o)
		}
	}
	slices.SortFunc(routes, compareObjects)
	return routes
}

func compareObjects(a, b *object.Object) int {
	return a.Key().Compare(b.Key())
}

// firstDuplicate returns the first object of a sorted group whose key equals
// that of the object before it, or nil.
func firstDuplicate(group []*object.Object) *object.Object {
	for i := 1; i < len(group); i++ {
		if group[i].Key() == group[i-1].Key() {
			return group[i]
		}
	}
	return nil
}
