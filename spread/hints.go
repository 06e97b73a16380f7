package spread

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/store"
)

const (
	// seedPrefix is the key prefix of the seed hints in the store; the failure
	// domain and the id of the node follow.
	seedPrefix = "siskingw/seed/"
	// hintTTL is how long a hint remains after the node that wrote it stops.
	hintTTL = 60 * time.Second
	// hintRenewInterval is the period of renewals, a third of hintTTL.
	hintRenewInterval = hintTTL / 3
)

// Hints writes and reads the addresses that starting nodes may query if none of
// their seeds answers. A hint may be out of date; it only names an address.
type Hints struct {
	Store store.Store
	View  member.View
}

// Read returns the nodes that the store names. It returns none if the store
// fails; a starting node then has only its seeds.
func (h Hints) Read(ctx context.Context) []Peer {
	kvs, _, err := h.Store.Range(ctx, seedPrefix, false)
	if err != nil {
		return nil
	}
	var out []Peer
	for _, kv := range kvs {
		var p Peer
		if json.Unmarshal(kv.Value, &p) == nil && p.Addr != "" {
			out = append(out, p)
		}
	}
	return out
}

// Run keeps this node's hint in the store while the node is a relay of the
// store's region, until ctx ends. A store failure only delays a renewal. The
// first hint is written after one period, because a starting node that knows
// few members may rank as a relay by mistake. Run returns nil.
func (h Hints) Run(ctx context.Context, storeRegion string) error {
	var lease store.LeaseID
	for sleep(ctx, jittered(hintRenewInterval)) {
		self := h.View.Self()
		if self.Region != storeRegion || !member.IsRelay(h.View, self.ID) {
			lease = 0 // the old hint expires with its lease
			continue
		}
		lease = h.renew(ctx, lease, PeerOf(self))
	}
	return nil
}

// renew renews the lease, or writes the hint under a new one if there is none.
// It returns the lease in use, or 0 to grant a new one the next time.
func (h Hints) renew(ctx context.Context, lease store.LeaseID, self Peer) store.LeaseID {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if lease != 0 {
		if err := h.Store.KeepAlive(ctx, lease); err == nil || !errorx.IsOfType(err, errdefs.NotFound) {
			return lease
		}
	}
	value, err := json.Marshal(self)
	if err != nil {
		return 0
	}
	if lease, err = h.Store.Grant(ctx, hintTTL); err != nil {
		return 0
	}
	if _, err := h.Store.Put(ctx, seedPrefix+self.FailureDomain+"/"+self.ID, value, lease); err != nil {
		return 0
	}
	return lease
}
