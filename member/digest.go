package member

// Digests cover live records only. Nodes drop tombstones at different times,
// and that must not trigger an anti-entropy exchange. A node that missed a
// departure still holds the live record, so its digest differs.

// RootDigest returns the digest over all live records.
func (d *Directory) RootDigest() uint64 { return d.rootDigest.Load() }

// BucketDigests returns the digest of every bucket, folded to 32 bits.
func (d *Directory) BucketDigests() []uint32 {
	digests := make([]uint32, BucketCount)
	for i := range d.buckets {
		digests[i] = fold32(d.buckets[i].digest.Load())
	}
	return digests
}

// DifferingBuckets returns the indexes of the buckets whose digests differ from
// theirs, the output of BucketDigests on another node.
func (d *Directory) DifferingBuckets(theirs []uint32) []int {
	var differing []int
	for i := range min(len(theirs), BucketCount) {
		if theirs[i] != fold32(d.buckets[i].digest.Load()) {
			differing = append(differing, i)
		}
	}
	return differing
}

// Bucket returns the records of one bucket, including tombstones. i must be
// below BucketCount.
func (d *Directory) Bucket(i int) []*Record { return d.buckets[i].load() }

// All returns every record, including tombstones.
func (d *Directory) All() []*Record {
	var all []*Record
	for i := range d.buckets {
		all = append(all, d.buckets[i].load()...)
	}
	return all
}

// Live returns the number of live records.
func (d *Directory) Live() int {
	n := 0
	for _, dom := range d.loadDomains() {
		n += len(dom.load())
	}
	return n
}

func fold32(digest uint64) uint32 { return uint32(digest>>32) ^ uint32(digest) }

func (d *Directory) bucketOf(id string) *bucket {
	return &d.buckets[RankHash(id)%BucketCount]
}
