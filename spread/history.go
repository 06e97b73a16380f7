package spread

import (
	"sync"

	"siskingw/snapshot"
)

const (
	// maxChainDeltas and maxChainBytes bound the deltas that a node keeps, in
	// encoded form, for peers that are behind.
	maxChainDeltas = 64
	maxChainBytes  = 1 << 20
)

// encodedDelta is the encoding of a delta, with its version and its base.
type encodedDelta struct {
	base       uint64
	baseDigest snapshot.Digest
	version    uint64
	data       []byte
}

// newEncodedDelta returns the entry for a delta whose encoding is data.
func newEncodedDelta(d *snapshot.Delta, data []byte) encodedDelta {
	return encodedDelta{base: d.BaseVersion, baseDigest: d.BaseDigest, version: d.Version, data: data}
}

// history holds the latest deltas, each based on the previous one, and the
// encoding of one snapshot.
type history struct {
	mu      sync.Mutex
	entries []encodedDelta
	bytes   int

	encodeMu sync.Mutex // held during encoding, so that concurrent requests encode a snapshot once
	encoded  []byte
	version  uint64
}

// add appends entries. An entry that does not follow the last one replaces the
// history; an entry that is not newer is ignored.
func (h *history) add(entries ...encodedDelta) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range entries {
		if n := len(h.entries); n > 0 {
			last := h.entries[n-1].version
			if e.version <= last {
				continue
			}
			if e.base != last {
				h.entries, h.bytes = nil, 0
			}
		}
		h.entries = append(h.entries, e)
		h.bytes += len(e.data)
		for len(h.entries) > maxChainDeltas || h.bytes > maxChainBytes {
			h.bytes -= len(h.entries[0].data)
			h.entries = h.entries[1:]
		}
	}
}

// chain returns the deltas from the exact base to the version, or nil.
func (h *history) chain(base uint64, digest snapshot.Digest, version uint64) [][]byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, e := range h.entries {
		if e.base == base && e.baseDigest == digest {
			return h.upTo(i, version)
		}
	}
	return nil
}

// chainFrom is chain for a base of which only the version is known; with base 0
// it returns only the last delta.
func (h *history) chainFrom(base, version uint64) [][]byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, e := range h.entries {
		if e.base == base || base == 0 && e.version == version {
			return h.upTo(i, version)
		}
	}
	return nil
}

// upTo returns the encodings from index i to the version, or nil if the history
// does not end with that version.
func (h *history) upTo(i int, version uint64) [][]byte {
	if h.entries[len(h.entries)-1].version != version {
		return nil
	}
	var out [][]byte
	for _, e := range h.entries[i:] {
		out = append(out, e.data)
	}
	return out
}

// encode returns the encoding of s and caches it until another version is
// encoded.
func (h *history) encode(s *snapshot.Snapshot) []byte {
	h.encodeMu.Lock()
	defer h.encodeMu.Unlock()
	if h.version != s.Version() {
		h.encoded, h.version = s.Encode(), s.Version()
	}
	return h.encoded
}
