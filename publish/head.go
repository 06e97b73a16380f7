// Package publish validates operators' changes and publishes them as versions
// in the store. A version consists of immutable parts, each stored under the
// digest of its content: the commit, the delta to the previous version and the
// shards of the snapshot. One compare-and-swap of the head publishes a version,
// so readers never see an incomplete one.
package publish

import (
	"encoding/json"
	"time"

	"siskingw/errdefs"
	"siskingw/snapshot"
)

// HeadKey is the store key of the head.
const HeadKey = "siskingw/head"

// partPrefix is the store key prefix of parts. The SHA-256 of the part's
// uncompressed content follows in hexadecimal.
const partPrefix = "siskingw/part/"

// maxHeadOperations limits the operations listed in the head to keep the head
// at a few KB. Older operations are listed only in the commits.
const maxHeadOperations = 64

// Head identifies the latest version. Of the published data, it is the only key
// that is updated in place.
type Head struct {
	Version    uint64          `json:"version"`
	Commit     snapshot.Digest `json:"commit"`
	Snapshot   snapshot.Digest `json:"snapshot"` // digest of the version's snapshot
	GCEpoch    uint64          `json:"gcEpoch,omitempty"`
	Operations []OperationRef  `json:"operations,omitempty"` // the latest operations, oldest first
}

// OperationRef maps an operation to the version that it produced.
type OperationRef struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// Operation describes one accepted request.
type Operation struct {
	ID      string    `json:"id"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"` // when it was accepted, by the clock of the accepting node
	Summary string    `json:"summary"`
}

// Commit describes one version. It is stored as an immutable part.
type Commit struct {
	Version       uint64                               `json:"version"`
	Parent        snapshot.Digest                      `json:"parent,omitzero"` // previous version's commit
	ParentVersion uint64                               `json:"parentVersion,omitempty"`
	Snapshot      snapshot.Digest                      `json:"snapshot"`
	Delta         snapshot.Digest                      `json:"delta,omitzero"` // zero: too large for a part
	Shards        [snapshot.ShardCount]snapshot.Digest `json:"shards"`
	Operations    []Operation                          `json:"operations"`
}

// DecodeHead decodes the stored value of the head. It returns a Corrupt error
// when b is not JSON or a required field is missing.
func DecodeHead(b []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(b, &h); err != nil {
		return Head{}, errdefs.Corrupt.Wrap(err, "head cannot be decoded")
	}
	if h.Version == 0 || h.Commit == (snapshot.Digest{}) || h.Snapshot == (snapshot.Digest{}) {
		return Head{}, errdefs.Corrupt.New("head of version %d is incomplete", h.Version)
	}
	return h, nil
}

// encode returns the value of the head as stored.
func (h Head) encode() ([]byte, error) {
	b, err := json.Marshal(h)
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "head of version %d cannot be encoded", h.Version)
	}
	return b, nil
}

// findOperation returns the version that the operation produced, if the head
// lists it.
func (h Head) findOperation(operationID string) (uint64, bool) {
	for _, o := range h.Operations {
		if o.ID == operationID {
			return o.Version, true
		}
	}
	return 0, false
}

// completeAfter returns the version after which the head is known to list every
// operation.
func (h Head) completeAfter() uint64 {
	if len(h.Operations) < maxHeadOperations {
		return 0
	}
	return h.Operations[0].Version // some operations of this version may have been dropped
}

// withOperations returns the head's operations and those of a new version,
// without the oldest when they exceed maxHeadOperations.
func (h Head) withOperations(version uint64, ops []Operation) []OperationRef {
	refs := append([]OperationRef(nil), h.Operations...)
	for _, o := range ops {
		refs = append(refs, OperationRef{ID: o.ID, Version: version})
	}
	return refs[max(0, len(refs)-maxHeadOperations):]
}
