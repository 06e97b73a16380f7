package member

import (
	"cmp"
	"slices"
	"strings"
)

// changeSet collects the changes of one merge, so that each affected list is
// replaced only once.
type changeSet struct {
	changed  []*Record
	domains  map[string][]listChange
	services map[string][]listChange
}

// listChange inserts a live record into a list or removes a record from it.
type listChange struct {
	record *Record
	remove bool
}

func newChangeSet() *changeSet {
	return &changeSet{domains: make(map[string][]listChange), services: make(map[string][]listChange)}
}

// add registers a new record for the lists that it belongs to.
func (cs *changeSet) add(r *Record) {
	cs.changed = append(cs.changed, r)
	c := listChange{record: r, remove: !r.Live()}
	cs.domains[r.FailureDomain] = append(cs.domains[r.FailureDomain], c)
	if r.Service != "" {
		cs.services[r.Service] = append(cs.services[r.Service], c)
	}
}

// removeReplaced registers the removal of old from the lists that do not
// contain next.
func (cs *changeSet) removeReplaced(old, next *Record) {
	c := listChange{record: old, remove: true}
	if old.FailureDomain != next.FailureDomain {
		cs.domains[old.FailureDomain] = append(cs.domains[old.FailureDomain], c)
	}
	if old.Service != next.Service && old.Service != "" {
		cs.services[old.Service] = append(cs.services[old.Service], c)
	}
}

// publishLists replaces every list that the change set affects.
func (d *Directory) publishLists(cs *changeSet) {
	for name, changes := range cs.domains {
		dom := d.domain(name)
		if dom == nil {
			dom = d.addDomain(changes[0].record)
		}
		next := applyChanges(dom.load(), changes)
		dom.records.Store(&next)
	}
	for name, changes := range cs.services {
		v, ok := d.services.Load(name)
		if !ok {
			v = new(list)
			d.services.Store(d.intern(name), v)
		}
		next := applyChanges(v.(*list).load(), changes)
		v.(*list).records.Store(&next)
		if len(next) == 0 {
			d.services.Delete(name)
		}
	}
	if len(cs.changed) > 0 {
		d.generation.Add(1)
	}
}

// sortThreshold is the number of changes from which sorting the whole list is
// cheaper than inserting the records one by one.
const sortThreshold = 32

// applyChanges returns a copy of ranked with the changes applied in order.
func applyChanges(ranked []*Record, changes []listChange) []*Record {
	if len(changes) < sortThreshold {
		next := append(make([]*Record, 0, len(ranked)+len(changes)), ranked...)
		for _, c := range changes {
			next = applyChange(next, c)
		}
		return next
	}
	last := make(map[string]listChange, len(changes))
	for _, c := range changes {
		last[c.record.ID] = c
	}
	next := make([]*Record, 0, len(ranked)+len(last))
	for _, r := range ranked {
		if _, ok := last[r.ID]; !ok {
			next = append(next, r)
		}
	}
	for _, c := range last {
		if !c.remove {
			next = append(next, c.record)
		}
	}
	slices.SortFunc(next, CompareRank)
	return slices.Clip(next)
}

func applyChange(ranked []*Record, c listChange) []*Record {
	i, ok := slices.BinarySearchFunc(ranked, c.record, CompareRank)
	switch {
	case ok && c.remove:
		return slices.Delete(ranked, i, i+1)
	case ok:
		ranked[i] = c.record
	case !c.remove:
		return slices.Insert(ranked, i, c.record)
	}
	return ranked
}

func (d *Directory) loadDomains() []*domain {
	if p := d.domains.Load(); p != nil {
		return *p
	}
	return nil
}

// domain returns the failure domain of the given name, or nil.
func (d *Directory) domain(name string) *domain {
	for _, dom := range d.loadDomains() {
		if dom.name == name {
			return dom
		}
	}
	return nil
}

func (d *Directory) addDomain(r *Record) *domain {
	dom := &domain{name: r.FailureDomain, region: r.Region}
	dom.sinceMs.Store(d.opts.Clock.Now().UnixMilli())
	next := append(slices.Clone(d.loadDomains()), dom)
	slices.SortFunc(next, func(a, b *domain) int {
		return cmp.Or(strings.Compare(a.region, b.region), strings.Compare(a.name, b.name))
	})
	d.domains.Store(&next)
	return dom
}

func (b *bucket) load() []*Record {
	if p := b.records.Load(); p != nil {
		return *p
	}
	return nil
}

// replace stores r in the bucket and returns the record that it replaces, or
// nil.
func (b *bucket) replace(r *Record) *Record {
	records := b.load()
	i, ok := findID(records, r.ID)
	if ok {
		old := records[i]
		next := slices.Clone(records)
		next[i] = r
		b.records.Store(&next)
		return old
	}
	next := make([]*Record, 0, len(records)+1)
	next = append(append(append(next, records[:i]...), r), records[i:]...)
	b.records.Store(&next)
	return nil
}

// remove deletes the record with the given id from the bucket.
func (b *bucket) remove(id string) {
	records := b.load()
	if i, ok := findID(records, id); ok {
		next := slices.Concat(records[:i], records[i+1:])
		b.records.Store(&next)
	}
}

func findID(records []*Record, id string) (int, bool) {
	return slices.BinarySearchFunc(records, id, func(r *Record, id string) int {
		return strings.Compare(r.ID, id)
	})
}

// addTombstone inserts r in the order of departure.
func (d *Directory) addTombstone(r *Record) {
	i, _ := slices.BinarySearchFunc(d.tombstones, r.DepartedMs+1, compareDeparted)
	d.tombstones = slices.Insert(d.tombstones, i, r)
}

func (d *Directory) removeTombstone(r *Record) {
	if !r.Departed() {
		return
	}
	i, _ := slices.BinarySearchFunc(d.tombstones, r.DepartedMs, compareDeparted)
	for ; i < len(d.tombstones) && d.tombstones[i].DepartedMs == r.DepartedMs; i++ {
		if d.tombstones[i] == r {
			d.tombstones = slices.Delete(d.tombstones, i, i+1)
			return
		}
	}
}

func compareDeparted(r *Record, ms int64) int { return cmp.Compare(r.DepartedMs, ms) }

// dropTombstones drops the oldest tombstones beyond TombstoneMax and those
// older than TombstoneTTL. d.mu must be held.
func (d *Directory) dropTombstones() {
	n := max(0, len(d.tombstones)-d.opts.TombstoneMax)
	for n < len(d.tombstones) && d.expired(d.tombstones[n]) {
		n++
	}
	for _, r := range d.tombstones[:n] {
		d.bucketOf(r.ID).remove(r.ID)
	}
	if n > 0 {
		d.tombstones = slices.Delete(d.tombstones, 0, n)
		d.generation.Add(1)
	}
}

// TombstoneCount returns the number of tombstones, after it has dropped the
// expired ones.
func (d *Directory) TombstoneCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropTombstones()
	return len(d.tombstones)
}
