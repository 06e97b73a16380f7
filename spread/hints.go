package spread

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
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
	// fallbackDelay and fallbackJitter are the minimum delay and the added jitter
	// after which a starting node reads the hints; its seeds have had time to
	// start and to answer by then.
	fallbackDelay  = 500 * time.Millisecond
	fallbackJitter = 500 * time.Millisecond
	// fallbackMaxAge is how long a starting node uses the hints that it has read.
	fallbackMaxAge = 2 * time.Second
	// maxHints bounds the hints that a starting node uses: three relays of each
	// failure domain of the store's region write one.
	maxHints = 64
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
		if p, ok := decodeHint(kv.Value); ok && len(out) < maxHints {
			out = append(out, p)
		}
	}
	return out
}

// decodeHint decodes a hint. It returns false for one that names no address to
// connect to, such as that of another writer.
func decodeHint(b []byte) (Peer, bool) {
	var p Peer
	if json.Unmarshal(b, &p) != nil {
		return Peer{}, false
	}
	host, port, err := net.SplitHostPort(p.Addr)
	if err != nil || host == "" {
		return Peer{}, false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return p, err == nil && n != 0
}

// FallbackHints reads hints for a starting node whose seeds do not answer. When a
// whole fleet starts, most seeds start a moment after the nodes that ask them;
// without a delay, every node would read the hints several times. It is safe for
// concurrent use.
type FallbackHints struct {
	hints    Hints
	earliest time.Time // before it, Read returns none

	mu     sync.Mutex
	readAt time.Time
	last   []Peer
}

// NewFallbackHints returns the hints of a node that starts now.
func NewFallbackHints(h Hints) *FallbackHints {
	return &FallbackHints{hints: h, earliest: time.Now().Add(fallbackDelay + rand.N(fallbackJitter))}
}

// Read returns the nodes that the store names, as read at most fallbackMaxAge ago.
// It returns none in the first moments of the node, and if the store fails; the
// store is not asked again sooner then.
func (f *FallbackHints) Read(ctx context.Context) []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Before(f.earliest) {
		return nil
	}
	if f.readAt.IsZero() || now.Sub(f.readAt) > fallbackMaxAge {
		f.readAt, f.last = now, f.hints.Read(ctx)
	}
	return f.last
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
