package snapshot

import (
	"reflect"
	"slices"

	"siskingw/errdefs"
	"siskingw/object"
)

// Delta is the change from one exact snapshot to the next.
type Delta struct {
	BaseVersion uint64           `json:"baseVersion"`
	BaseDigest  Digest           `json:"baseDigest"`
	Version     uint64           `json:"version"`
	Digest      Digest           `json:"digest"` // of the resulting snapshot
	Upserts     []*object.Object `json:"upserts,omitempty"`
	Deletes     []object.Key     `json:"deletes,omitempty"`
}

// Apply returns the snapshot that d leads to. The receiver is not changed.
// It returns BaseMismatch when d was made for another snapshot, Corrupt when
// the result has another digest than d states, and Dangling when a reference
// of the result does not resolve.
func (s *Snapshot) Apply(d *Delta) (*Snapshot, error) {
	if d.BaseVersion != s.version || d.BaseDigest != s.digest {
		return nil, errdefs.BaseMismatch.New("delta to version %d is for version %d (%s), not for %d (%s)",
			d.Version, d.BaseVersion, d.BaseDigest, s.version, s.digest)
	}
	if d.Version <= s.version {
		return nil, errdefs.Stale.New("delta leads from version %d back to %d", s.version, d.Version)
	}
	next, err := s.With(d.Version, d.Upserts, d.Deletes)
	if err != nil {
		return nil, err
	}
	if next.digest != d.Digest {
		return nil, errdefs.Corrupt.New("version %d has digest %s, want %s", d.Version, next.digest, d.Digest)
	}
	return next, nil
}

// With returns the snapshot at the given version after the changes. Untouched
// shards are shared. Deleting an absent object is an Invalid error.
func (s *Snapshot) With(version uint64, upserts []*object.Object, deletes []object.Key) (*Snapshot, error) {
	touched := make(map[int][]*object.Object)
	edit := func(k object.Key) []*object.Object {
		i := ShardOf(k)
		if _, ok := touched[i]; !ok {
			touched[i] = slices.Clone(s.shards[i].objects)
		}
		return touched[i]
	}
	for _, k := range deletes {
		group := edit(k)
		i := indexOf(group, k)
		if i < 0 {
			return nil, errdefs.Invalid.New("%s cannot be deleted: it does not exist", k)
		}
		touched[ShardOf(k)] = slices.Delete(group, i, i+1)
	}
	for _, o := range upserts {
		group := edit(o.Key())
		if i := indexOf(group, o.Key()); i >= 0 {
			group[i] = o
			continue
		}
		touched[ShardOf(o.Key())] = append(group, o)
	}
	changed := slices.Clone(deletes)
	for _, o := range upserts {
		changed = append(changed, o.Key())
	}
	return s.replaceShards(version, touched, changed)
}

// Replace returns the snapshot of a whole set at the given version. Objects that
// the receiver holds alike are shared, and so are untouched shards. It returns
// an Invalid error for duplicates and a Dangling error like New.
func (s *Snapshot) Replace(version uint64, objects []*object.Object) (*Snapshot, error) {
	var upserts []*object.Object
	kept := make(map[object.Key]bool, len(objects))
	for _, o := range objects {
		k := o.Key()
		if kept[k] {
			return nil, errdefs.Invalid.New("%s is declared twice", k)
		}
		kept[k] = true
		if old := s.Get(k); old == nil || !reflect.DeepEqual(old, o) {
			upserts = append(upserts, o)
		}
	}
	var deletes []object.Key
	for o := range s.All() {
		if !kept[o.Key()] {
			deletes = append(deletes, o.Key())
		}
	}
	return s.With(version, upserts, deletes)
}

// replaceShards returns a snapshot that shares every shard not in touched.
func (s *Snapshot) replaceShards(version uint64, touched map[int][]*object.Object, changed []object.Key) (*Snapshot, error) {
	next := &Snapshot{version: version, shards: s.shards}
	for i, group := range touched {
		slices.SortFunc(group, compareObjects)
		sh, err := newShard(group)
		if err != nil {
			return nil, err
		}
		next.shards[i] = sh
	}
	next.digest = digestOf(&next.shards)
	idx, err := s.index.update(next, changed)
	if err != nil {
		return nil, err
	}
	next.index = idx
	return next, nil
}

func indexOf(group []*object.Object, k object.Key) int {
	return slices.IndexFunc(group, func(o *object.Object) bool { return o.Key() == k })
}

// Diff returns the delta from base to next.
func Diff(base, next *Snapshot) *Delta {
	d := &Delta{BaseVersion: base.version, BaseDigest: base.digest, Version: next.version, Digest: next.digest}
	for i := range ShardCount {
		if base.shards[i].digest != next.shards[i].digest {
			d.addShard(base.shards[i], next.shards[i])
		}
	}
	return d
}

// addShard adds the difference of one shard.
func (d *Delta) addShard(base, next *shard) {
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
