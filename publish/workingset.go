package publish

import (
	"maps"
	"slices"

	"siskingw/errdefs"
	"siskingw/object"
	"siskingw/snapshot"
)

// workingSet is the set of objects from which the next version is built: the
// base snapshot with staged changes.
type workingSet struct {
	base    *snapshot.Snapshot
	version uint64
	changed map[object.Key]*object.Object // new state of each changed object; nil: deleted
}

func newWorkingSet(base *snapshot.Snapshot, version uint64) *workingSet {
	return &workingSet{base: base, version: version, changed: make(map[object.Key]*object.Object)}
}

// overlaps reports whether the request changes an object that an earlier
// request of the same version changes. Such a request must wait for a later
// version; otherwise the changes of two authors would have the same revision.
func (w *workingSet) overlaps(r Request) bool {
	return slices.ContainsFunc(r.Changes, func(c Change) bool {
		_, ok := w.changed[c.Key()]
		return ok
	})
}

// stage returns the new states of the objects that the request changes, without
// those that stay equal. It returns a Conflict error, or NotFound for the
// deletion of an absent object.
func (w *workingSet) stage(r Request) (map[object.Key]*object.Object, error) {
	staged := make(map[object.Key]*object.Object)
	var conflicts []ObjectConflict
	for _, c := range r.Changes {
		k := c.Key()
		old := w.base.Get(k)
		if conflict := revisionConflict(c, old); conflict != nil {
			conflicts = append(conflicts, *conflict)
			continue
		}
		switch {
		case c.Delete != nil && old == nil:
			return nil, errdefs.NotFound.New("%s does not exist", k)
		case c.Delete != nil:
			staged[k] = nil
		case old == nil || !old.SameSpec(c.Object):
			next := *c.Object
			next.Revision, next.Author = w.version, r.Author
			staged[k] = &next
		}
	}
	if len(conflicts) > 0 {
		return nil, NewConflict(conflicts)
	}
	return staged, nil
}

// revisionConflict returns the conflict if the change is based on another
// revision than that of the current object, else nil. current is nil for an
// absent object.
func revisionConflict(c Change, current *object.Object) *ObjectConflict {
	if c.BasedOn == nil {
		return nil
	}
	conflict := ObjectConflict{Key: c.Key(), BasedOn: *c.BasedOn}
	if current != nil {
		conflict.Revision, conflict.Author = current.Revision, current.Author
	}
	if conflict.Revision == conflict.BasedOn {
		return nil
	}
	return &conflict
}

// validate checks all objects with the given changes applied and returns an
// Invalid error. It ignores faults that the base already has, so that a release
// with stricter rules does not block unrelated changes.
//
//siskingw:step validate
func (w *workingSet) validate(changed map[object.Key]*object.Object) error {
	err := object.Validate(w.objects(changed))
	if err == nil {
		return nil
	}
	baseFaults := object.FaultsOf(object.Validate(w.base.Objects()))
	return object.NewInvalid(slices.DeleteFunc(object.FaultsOf(err), func(f object.Fault) bool {
		return slices.Contains(baseFaults, f)
	}))
}

// objects returns the objects of the base with the given changes applied.
func (w *workingSet) objects(changed map[object.Key]*object.Object) []*object.Object {
	set := make([]*object.Object, 0, w.base.Len()+len(changed))
	for o := range w.base.All() {
		if _, ok := changed[o.Key()]; !ok {
			set = append(set, o)
		}
	}
	for _, o := range changed {
		if o != nil {
			set = append(set, o)
		}
	}
	return set
}

// next returns the snapshot of the next version and the delta from the base to
// it.
func (w *workingSet) next() (*snapshot.Snapshot, *snapshot.Delta, error) {
	d := &snapshot.Delta{BaseVersion: w.base.Version(), BaseDigest: w.base.Digest(), Version: w.version}
	for _, k := range slices.SortedFunc(maps.Keys(w.changed), object.Key.Compare) {
		if o := w.changed[k]; o != nil {
			d.Upserts = append(d.Upserts, o)
		} else {
			d.Deletes = append(d.Deletes, k)
		}
	}
	next, err := w.base.WithChanges(w.version, d.Upserts, d.Deletes)
	if err != nil {
		return nil, nil, err
	}
	d.Digest = next.Digest()
	return next, d, nil
}
