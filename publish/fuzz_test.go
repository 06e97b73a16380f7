package publish

import (
	"reflect"
	"testing"
)

// Guards against a stored head that panics a reader, or that is accepted but
// changes when it is encoded again for the next head swap.
func FuzzDecodeHead(f *testing.F) {
	h := Head{Version: 3, GCEpoch: 1, Operations: []OperationRef{{ID: "op", Version: 3}}}
	h.Commit[0], h.Snapshot[0] = 1, 2
	b, err := h.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte(`{"version":1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := DecodeHead(b)
		if err != nil {
			return
		}
		encoded, err := h.encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeHead(encoded)
		if err != nil || decoded.Version != h.Version || decoded.Commit != h.Commit ||
			!reflect.DeepEqual(decoded.withOperations(1, nil), h.withOperations(1, nil)) {
			t.Fatalf("head %+v changed to %+v when it was encoded and decoded: %v", h, decoded, err)
		}
	})
}
