// Package publish accepts operators' changes and stores versions. A version
// consists of content-addressed parts and comes into being by one
// compare-and-swap of the head; a version is never visible in part.
package publish

import (
	"encoding/json"
	"time"

	"siskingw/errdefs"
	"siskingw/snapshot"
)

// HeadKey is the store key of the head.
const HeadKey = "siskingw/head"

// partPrefix is followed by the SHA-256 of the part's uncompressed content.
const partPrefix = "siskingw/part/"

// maxHeadOperations bounds the operations that the head lists, so that the
// head stays at a few KB. Older operations are found in the commits.
const maxHeadOperations = 64

// Head names the latest version. It is the only key that changes in place.
type Head struct {
	Version    uint64          `json:"version"`
	Commit     snapshot.Digest `json:"commit"`
	Snapshot   snapshot.Digest `json:"snapshot"` // digest of the version's snapshot
	GCEpoch    uint64          `json:"gcEpoch,omitempty"`
	Operations []OperationRef  `json:"operations,omitempty"` // the latest, oldest first
}

// OperationRef tells which version an operation produced.
type OperationRef struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// Operation describes one accepted request.
type Operation struct {
	ID      string    `json:"id"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"` // of acceptance, by the accepting node's clock
	Summary string    `json:"summary"`
}

// Commit describes one version. It is stored as a part and never changes.
type Commit struct {
	Version       uint64                               `json:"version"`
	Parent        snapshot.Digest                      `json:"parent,omitzero"` // commit of the previous version
	ParentVersion uint64                               `json:"parentVersion,omitempty"`
	Snapshot      snapshot.Digest                      `json:"snapshot"`
	Delta         snapshot.Digest                      `json:"delta,omitzero"` // zero when the delta is too large for a part
	Shards        [snapshot.ShardCount]snapshot.Digest `json:"shards"`
	Operations    []Operation                          `json:"operations"`
}

// DecodeHead reads a head as it is stored. It returns a Corrupt error for
// anything that Acceptor did not write.
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

// encode returns the stored form of the head.
func (h Head) encode() ([]byte, error) {
	b, err := json.Marshal(h)
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "head of version %d cannot be encoded", h.Version)
	}
	return b, nil
}

// find returns the version that the operation produced.
func (h Head) find(operationID string) (uint64, bool) {
	for _, o := range h.Operations {
		if o.ID == operationID {
			return o.Version, true
		}
	}
	return 0, false
}

// listsAfter returns the version after which the head lists every operation.
func (h Head) listsAfter() uint64 {
	if len(h.Operations) < maxHeadOperations {
		return 0
	}
	return h.Operations[0].Version // operations of this version may be cut off
}

// withOperations returns the operations with those of one more version.
func (h Head) withOperations(version uint64, ops []Operation) []OperationRef {
	refs := append([]OperationRef(nil), h.Operations...)
	for _, o := range ops {
		refs = append(refs, OperationRef{ID: o.ID, Version: version})
	}
	return refs[max(0, len(refs)-maxHeadOperations):]
}
