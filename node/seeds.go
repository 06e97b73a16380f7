package node

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"siskingw/faults"
	"siskingw/member"
	"siskingw/spread"
	"siskingw/store"
)

const (
	seedPrefix = "siskingw/seed/"
	// seedTTL is long enough that renewal costs the store one call in 20 s for
	// each relay, and short enough that hints follow replaced instances.
	seedTTL   = 60 * time.Second
	seedRenew = seedTTL / 3
)

// seedHint is the value of a hint in the store.
type seedHint struct {
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
}

// seedHints writes this node's peer address to the store while the node is a
// relay, and reads the hints of others. Hints only help a node to find peers:
// a stale one costs a failed connection.
type seedHints struct {
	store store.Store // nil without a store
	view  member.View
	log   logr.Logger
	lease store.LeaseID
}

// run renews the hint until ctx ends.
func (s *seedHints) run(ctx context.Context) {
	if s.store == nil {
		return
	}
	t := time.NewTicker(seedRenew)
	defer t.Stop()
	for {
		if err := s.renew(ctx); err != nil && ctx.Err() == nil {
			s.log.V(1).Info("seed hint is not renewed", "error", err.Error())
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// renew keeps the lease alive, or writes the hint under a new lease.
func (s *seedHints) renew(ctx context.Context) error {
	self := s.view.Self()
	if !member.IsRelay(s.view, self.ID) {
		return nil // an earlier hint lapses with its lease
	}
	if s.lease != 0 {
		err := s.store.KeepAlive(ctx, s.lease)
		if !errorx.IsOfType(err, faults.NotFound) {
			return err
		}
	}
	id, err := s.store.Grant(ctx, seedTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(seedHint{self.PeerAddr, self.Region, self.FailureDomain})
	if err != nil {
		return faults.Internal.Wrap(err, "seed hint")
	}
	if _, err := s.store.Put(ctx, seedPrefix+self.FailureDomain+"/"+self.ID, value, id); err != nil {
		return err
	}
	s.lease = id
	return nil
}

// read returns the hints in the store, or nothing when it cannot be read.
func (s *seedHints) read(ctx context.Context) []spread.Peer {
	if s.store == nil {
		return nil
	}
	kvs, _, err := s.store.Range(ctx, seedPrefix, false)
	if err != nil {
		return nil
	}
	var peers []spread.Peer
	for _, kv := range kvs {
		var h seedHint
		if json.Unmarshal(kv.Value, &h) == nil {
			id := kv.Key[strings.LastIndexByte(kv.Key, '/')+1:]
			peers = append(peers, spread.Peer{ID: id, Addr: h.Address, Region: h.Region, FailureDomain: h.FailureDomain})
		}
	}
	return peers
}
