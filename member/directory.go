package member

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// BucketCount is the number of buckets whose digests two nodes compare. It
	// is part of the protocol and must not change between releases.
	BucketCount = 256

	defaultTombstoneTTL = time.Hour
	defaultTombstoneMax = 4096
)

// DirectoryOptions configures a Directory. Zero values select the defaults.
type DirectoryOptions struct {
	Clock        clockwork.Clock // default: the real clock
	TombstoneTTL time.Duration   // how long tombstones are kept, default 1 h
	TombstoneMax int             // number of tombstones kept at most, default 4096
}

// Directory holds every known member record. Readers take no lock: each list is
// immutable and replaced as a whole. Changing a record copies its bucket (1/256
// of the records), the ranked list of its failure domain and the list of its
// service.
type Directory struct {
	opts       DirectoryOptions
	generation atomic.Uint64
	self       atomic.Pointer[Record]
	rootDigest atomic.Uint64
	buckets    [BucketCount]bucket
	domains    atomic.Pointer[[]*domain] // sorted by region, then name
	services   sync.Map                  // service name to *list

	mu         sync.Mutex        // serializes writers
	interned   map[string]string // interned failure domain, region and service names
	tombstones []*Record         // sorted by DepartedMs
	listeners  atomic.Pointer[[]func([]*Record)]
}

// bucket holds the records whose id hashes to the same index.
type bucket struct {
	records atomic.Pointer[[]*Record] // sorted by id
	digest  atomic.Uint64             // sum of the fingerprints of the live records
}

// list is a copy-on-write list of live records in rank order.
type list struct {
	records atomic.Pointer[[]*Record]
}

func (l *list) load() []*Record {
	if p := l.records.Load(); p != nil {
		return *p
	}
	return nil
}

// domain is the local view of one failure domain.
type domain struct {
	list
	name, region string
	unreachable  atomic.Bool
	sinceMs      atomic.Int64
}

// NewDirectory returns a directory that holds only this node's own record.
func NewDirectory(self Record, opts DirectoryOptions) *Directory {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.TombstoneTTL == 0 {
		opts.TombstoneTTL = defaultTombstoneTTL
	}
	if opts.TombstoneMax == 0 {
		opts.TombstoneMax = defaultTombstoneMax
	}
	if self.State == 0 {
		self.State = Alive
	}
	d := &Directory{opts: opts, interned: make(map[string]string)}
	d.self.Store(&Record{ID: self.ID})
	d.mu.Lock()
	defer d.mu.Unlock()
	cs := newChangeSet()
	d.put(&self, cs)
	d.publishLists(cs)
	return d
}

// Self returns this node's own record.
func (d *Directory) Self() *Record { return d.self.Load() }

// Generation returns a counter that increases with every merge that changes a
// record and with every change in the reachability of a failure domain.
func (d *Directory) Generation() uint64 { return d.generation.Load() }

// Lookup returns the record of a node, which may be a tombstone, or nil when
// the node is unknown.
func (d *Directory) Lookup(id string) *Record {
	records := d.bucketOf(id).load()
	i, ok := findID(records, id)
	if !ok {
		return nil
	}
	return records[i]
}

// Ranked returns the live members of a failure domain in rank order.
func (d *Directory) Ranked(failureDomain string) []*Record {
	if dom := d.domain(failureDomain); dom != nil {
		return dom.load()
	}
	return nil
}

// Endpoints returns the live members that announce the service, in rank order;
// draining and suspect members are live.
func (d *Directory) Endpoints(service string) []*Record {
	if l, ok := d.services.Load(service); ok {
		return l.(*list).load()
	}
	return nil
}

// FailureDomains returns the known failure domains, sorted by region and then
// name.
func (d *Directory) FailureDomains() []DomainInfo {
	domains := d.loadDomains()
	infos := make([]DomainInfo, len(domains))
	for i, dom := range domains {
		infos[i] = DomainInfo{
			Name: dom.name, Region: dom.region, Live: len(dom.load()),
			Unreachable: dom.unreachable.Load(), SinceMs: dom.sinceMs.Load(),
		}
	}
	return infos
}

// SetUnreachable records whether this node can reach a failure domain; since is
// the time of the last answer or change. It reports whether the reachability
// changed. The records of the failure domain are not touched.
func (d *Directory) SetUnreachable(failureDomain string, unreachable bool, since time.Time) bool {
	dom := d.domain(failureDomain)
	if dom == nil {
		return false
	}
	dom.sinceMs.Store(since.UnixMilli())
	if dom.unreachable.Swap(unreachable) == unreachable {
		return false
	}
	d.generation.Add(1)
	return true
}

// OnChange registers f to be called after records changed. It is called without
// any lock held. Calls for concurrent merges may overlap and arrive in any
// order.
func (d *Directory) OnChange(f func(changed []*Record)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var next []func([]*Record)
	if p := d.listeners.Load(); p != nil {
		next = slices.Clone(*p)
	}
	next = append(next, f)
	d.listeners.Store(&next)
}

// Merge stores each record that supersedes the known one and returns the
// records that changed. A record about this node from elsewhere is refuted: the
// local record stays and gets a higher sequence or incarnation.
func (d *Directory) Merge(records []Record) []*Record {
	d.mu.Lock()
	cs := newChangeSet()
	for i := range records {
		d.mergeOne(&records[i], cs)
	}
	d.dropTombstones()
	d.publishLists(cs)
	d.mu.Unlock()
	d.notify(cs.changed)
	return cs.changed
}

// UpdateSelf changes this node's own record, increments its sequence and
// returns the new record. change must not modify ID, Incarnation or Sequence.
func (d *Directory) UpdateSelf(change func(*Record)) *Record {
	d.mu.Lock()
	next := *d.Self()
	change(&next)
	next.Sequence++
	cs := newChangeSet()
	d.put(&next, cs)
	d.publishLists(cs)
	d.mu.Unlock()
	d.notify(cs.changed)
	return d.Self()
}

func (d *Directory) notify(changed []*Record) {
	if p := d.listeners.Load(); p != nil && len(changed) > 0 {
		for _, f := range *p {
			f(changed)
		}
	}
}

// mergeOne stores one record if it supersedes the known one, and adds the change
// to cs. It refutes a record about this node and ignores an invalid record. d.mu
// must be held.
func (d *Directory) mergeOne(r *Record, cs *changeSet) {
	if r.ID == "" || r.State < Alive || r.State > Left {
		return
	}
	if r.ID == d.Self().ID {
		d.adoptStatements(r, cs)
		d.refute(r, cs)
		return
	}
	old := d.Lookup(r.ID)
	if old != nil && !r.Supersedes(old) {
		if next, added := keepStatements(old, r); added { // r may be of an earlier process
			d.put(&next, cs)
		}
		return
	}
	next := *r
	if old != nil {
		next, _ = keepStatements(r, old)
	}
	if !next.Departed() {
		next.DepartedMs = 0
	} else {
		next.DepartedMs = d.departedAt(&next, old)
		if old == nil && d.expired(&next) {
			return
		}
	}
	d.put(&next, cs)
}

// departedAt returns the time from which the age of a tombstone is computed, in
// ms since 1970.
func (d *Directory) departedAt(next, old *Record) int64 {
	now := d.opts.Clock.Now().UnixMilli()
	if old != nil && old.Departed() && old.Incarnation == next.Incarnation {
		return old.DepartedMs
	}
	if next.DepartedMs == 0 || next.DepartedMs > now {
		return now
	}
	return next.DepartedMs
}

func (d *Directory) expired(r *Record) bool {
	return d.opts.Clock.Now().UnixMilli()-r.DepartedMs >= d.opts.TombstoneTTL.Milliseconds()
}

// refute raises the local record above a record that supersedes it. Left takes
// precedence over every other state, so a process that has left only refutes
// records with a higher sequence or incarnation than its final one.
func (d *Directory) refute(r *Record, cs *changeSet) {
	self := d.Self()
	if !r.Supersedes(self) {
		return
	}
	next := *self
	next.Sequence = r.Sequence + 1
	if r.Incarnation > self.Incarnation {
		next.Incarnation, next.Sequence = r.Incarnation+1, 1
	}
	d.put(&next, cs)
}

// put replaces one record in its bucket and adds the affected lists to cs.
func (d *Directory) put(r *Record, cs *changeSet) {
	next := *r
	next.FailureDomain = d.intern(r.FailureDomain)
	next.Region = d.intern(r.Region)
	next.Service = d.intern(r.Service)
	old := d.bucketOf(r.ID).replace(&next)
	d.updateDigests(old, &next)
	if old != nil {
		cs.removeReplaced(old, &next)
		d.removeTombstone(old)
	}
	if next.Departed() {
		if next.DepartedMs == 0 {
			next.DepartedMs = d.opts.Clock.Now().UnixMilli()
		}
		d.addTombstone(&next)
	}
	cs.add(&next)
	if next.ID == d.Self().ID {
		d.self.Store(&next)
	}
}

// updateDigests updates the digests for the replacement of old by next; either
// may be nil.
func (d *Directory) updateDigests(old, next *Record) {
	var diff uint64
	var id string
	if old != nil && old.Live() {
		diff -= old.Fingerprint()
		id = old.ID
	}
	if next != nil && next.Live() {
		diff += next.Fingerprint()
		id = next.ID
	}
	if id != "" {
		d.bucketOf(id).digest.Add(diff)
		d.rootDigest.Add(diff)
	}
}

// intern returns one shared copy of a name that many records carry.
func (d *Directory) intern(s string) string {
	if known, ok := d.interned[s]; ok {
		return known
	}
	s = strings.Clone(s)
	d.interned[s] = s
	return s
}
