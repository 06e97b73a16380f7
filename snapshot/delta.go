package snapshot

import (
	"reflect"
	"slices"

	"siskingw/errdefs"
	"siskingw/object"
)

// Delta holds the changes from one snapshot, identified by version and digest,
// to a later one.
type Delta struct {
	BaseVersion uint64           `json:"baseVersion"`
	BaseDigest  Digest           `json:"baseDigest"`
	Version     uint64           `json:"version"`
	Digest      Digest           `json:"digest"` // digest of the resulting snapshot
	Upserts     []*object.Object `json:"upserts,omitempty"`
	Deletes     []object.Key     `json:"deletes,omitempty"`
}

// Apply returns the snapshot that results from applying d; the receiver does
// not change. It returns a BaseMismatch error when d has another base, Stale
// when the version of d is not higher, Invalid when d deletes an absent object,
// Corrupt when the digest of the result is not the one in d, and Dangling when
// a reference in the result does not resolve.
func (s *Snapshot) Apply(d *Delta) (*Snapshot, error) {
	if d.BaseVersion != s.version || d.BaseDigest != s.digest {
		return nil, errdefs.BaseMismatch.New("delta to version %d has base version %d (%s), not version %d (%s)",
			d.Version, d.BaseVersion, d.BaseDigest, s.version, s.digest)
	}
	if d.Version <= s.version {
		return nil, errdefs.Stale.New("delta from version %d to %d does not increase the version", s.version, d.Version)
	}
	next, err := s.WithChanges(d.Version, d.Upserts, d.Deletes)
	if err != nil {
		return nil, err
	}
	if next.digest != d.Digest {
		return nil, errdefs.Corrupt.New("version %d has digest %s, want %s", d.Version, next.digest, d.Digest)
	}
	return next, nil
}

// WithChanges returns a snapshot at the given version with the changes applied.
// It shares unchanged shards with the receiver. It returns an Invalid error for
// the deletion of an absent object and a Dangling error for a reference that
// does not resolve.
func (s *Snapshot) WithChanges(version uint64, upserts []*object.Object, deletes []object.Key) (*Snapshot, error) {
	groups := make(map[int][]*object.Object)
	groupOf := func(k object.Key) []*object.Object {
		i := ShardOf(k)
		if _, ok := groups[i]; !ok {
			groups[i] = slices.Clone(s.shards[i].objects)
		}
		return groups[i]
	}
	for _, k := range deletes {
		group := groupOf(k)
		i := indexOf(group, k)
		if i < 0 {
			return nil, errdefs.Invalid.New("%s cannot be deleted: it does not exist", k)
		}
		groups[ShardOf(k)] = slices.Delete(group, i, i+1)
	}
	for _, o := range upserts {
		group := groupOf(o.Key())
		if i := indexOf(group, o.Key()); i >= 0 {
			group[i] = o
			continue
		}
		groups[ShardOf(o.Key())] = append(group, o)
	}
	changedKeys := slices.Clone(deletes)
	for _, o := range upserts {
		changedKeys = append(changedKeys, o.Key())
	}
	return s.replaceShards(version, groups, changedKeys)
}

// Replace returns a snapshot of the given objects at the given version. It
// shares equal objects and unchanged shards with the receiver. It returns an
// Invalid error for duplicate keys and a Dangling error for a reference that
// does not resolve.
func (s *Snapshot) Replace(version uint64, objects []*object.Object) (*Snapshot, error) {
	var upserts []*object.Object
	declared := make(map[object.Key]bool, len(objects))
	for _, o := range objects {
		k := o.Key()
		if declared[k] {
			return nil, errdefs.Invalid.New("%s is declared more than once", k)
		}
		declared[k] = true
		if old := s.Get(k); old == nil || !reflect.DeepEqual(old, o) {
			upserts = append(upserts, o)
		}
	}
	var deletes []object.Key
	for o := range s.All() {
		if !declared[o.Key()] {
			deletes = append(deletes, o.Key())
		}
	}
	return s.WithChanges(version, upserts, deletes)
}

// replaceShards returns a snapshot with the objects of the shards in groups
// replaced and the other shards shared. changedKeys lists the keys of the
// objects that differ.
func (s *Snapshot) replaceShards(version uint64, groups map[int][]*object.Object,
	changedKeys []object.Key) (*Snapshot, error) {
	next := &Snapshot{version: version, shards: s.shards}
	for i, group := range groups {
		slices.SortFunc(group, compareObjects)
		sh, err := newShard(group)
		if err != nil {
			return nil, err
		}
		next.shards[i] = sh
	}
	next.digest = digestOf(&next.shards)
	idx, err := s.index.update(next, changedKeys)
	if err != nil {
		return nil, err
	}
	next.index = idx
	return next, nil
}

func indexOf(group []*object.Object, k object.Key) int {
	return slices.IndexFunc(group, func(o *object.Object) bool { return o.Key() == k })
}

// Diff returns the delta that changes base into next.
func Diff(base, next *Snapshot) *Delta {
	d := &Delta{BaseVersion: base.version, BaseDigest: base.digest, Version: next.version, Digest: next.digest}
	for i := range ShardCount {
		if base.shards[i].digest != next.shards[i].digest {
			d.addShardDiff(base.shards[i], next.shards[i])
		}
	}
	return d
}

// addShardDiff adds the differences between two versions of one shard.
func (d *Delta) addShardDiff(base, next *shard) {
	old := make(map[object.Key]*object.Object, len(base.objects))
	for _, o := range base.objects {
		old[o.Key()] = o
	}
	for _, o := range next.objects {
		prev, ok := old[o.Key()]
		delete(old, o.Key())
		if !ok || !sameCanonical(prev, o) {
			d.Upserts = append(d.Upserts, o)
		}
	}
	for _, o := range base.objects {
		if _, gone := old[o.Key()]; gone {
			d.Deletes = append(d.Deletes, o.Key())
		}
	}
}

func sameCanonical(a, b *object.Object) bool {
	if a == b {
		return true
	}
	x, errX := a.Canonical()
	y, errY := b.Canonical()
	return errX == nil && errY == nil && string(x) == string(y)
}
