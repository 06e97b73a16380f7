package spread

import (
	"math/rand/v2"
	"slices"
	"time"

	"siskingw/member"
)

const (
	// readGracePeriod is how long even the first reader waits for a change to arrive
	// from the node that accepted it. That node pushes at once, so the store
	// is read only when it failed, and a change is not sent into the other
	// regions from two sides.
	readGracePeriod = 100 * time.Millisecond
	// storeContactTimeout is how long the store's region may be silent before relays
	// of other regions watch the head.
	storeContactTimeout = 5 * time.Second
	// readerSettleTime is how long a node must hold the duty before it calls the
	// store. A starting node knows few members at first and would take itself
	// for a relay; with a whole failure domain starting, that would be
	// thousands of store calls at once.
	readerSettleTime = 3 * time.Second
	// isolatedJitter is the full jitter added for a node that knows no other
	// member: all nodes may be in that state at once.
	isolatedJitter = 10 * time.Second
	// standbyStep is the time by which each further node waits longer before
	// it takes over from readers that lost the store.
	standbyStep = 300 * time.Millisecond
	// standbyCount is the number of nodes after the readers that are told of the
	// readers' contact to the store, and maxSuccession the number after which
	// nobody waits longer, so that somebody reads the store even when the nodes
	// before it are all cut off.
	standbyCount    = 3
	maxStandbySteps = 8
	// contactReportInterval is the period at which readers tell their successors that
	// they reach the store.
	contactReportInterval = time.Second
)

// ReaderOptions selects the nodes that watch the store. The zero value selects
// every relay of the store's region.
type ReaderOptions struct {
	// Count is the number of nodes that watch at a time, in different failure
	// domains if possible; 0 for every relay of the store's region. With a
	// count the readers tell the others how fresh their contact to the store is,
	// and the next in order take over when it is lost.
	Count int
	// Silence is the age of the contact from which others take over. The
	// default is 5 s.
	Silence time.Duration
	// Grace is how long even the first reader waits for a change to arrive from
	// the node that accepted it. The default is 100 ms; negative for none.
	Grace time.Duration
	// Settle is how long a node holds the duty before it calls the store, and
	// AloneSpread the full jitter added for one that knows no other member. The
	// defaults are 3 s and 10 s.
	Settle      time.Duration
	AloneSpread time.Duration
}

func (o ReaderOptions) withDefaults() ReaderOptions {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{{&o.Silence, storeContactTimeout}, {&o.Grace, readGracePeriod}, {&o.Settle, readerSettleTime}, {&o.AloneSpread, isolatedJitter}} {
		if *d.value == 0 {
			*d.value = d.fallback
		}
	}
	o.Grace = max(o.Grace, 0)
	return o
}

// fixedCountRetryMax bounds the jitter between tries of counted readers. They are
// few, and a change must be found soon after the store is back.
const fixedCountRetryMax = 1500 * time.Millisecond

// fixedCountCheckInterval is the period at which a node checks whether it is one of the
// counted readers: a successor has about two seconds to find a change.
const fixedCountCheckInterval = 100 * time.Millisecond

// checkInterval returns the period at which a node checks whether it has the duty.
func (o ReaderOptions) checkInterval() time.Duration {
	if o.Count > 0 {
		return fixedCountCheckInterval
	}
	return readerCheckInterval
}

func (o ReaderOptions) retryMax() time.Duration {
	if o.Count > 0 {
		return fixedCountRetryMax
	}
	return storeRetryMax
}

// isReader reports whether this node watches the store: the relays of the
// store's region do, and others when nothing was heard from that region. With a
// count of readers, the first of all relays do.
func (n *Node) isReader() bool {
	t := n.topology()
	if !t.isRelay() {
		return false
	}
	if n.opts.Readers.Count > 0 {
		return n.isFixedCountReader()
	}
	if t.self.Region == n.opts.StoreRegion {
		return true
	}
	age := n.storeContactAge()
	if age == 0 { // never heard of; count from the start of the process
		atomicMax(&n.storeContactMs, n.monotonicMs())
		return false
	}
	return time.Duration(age)*time.Millisecond > n.opts.Readers.Silence
}

// isFixedCountReader reports whether this node is one of the first readers, or one
// of those after them while the contact to the store is lost.
func (n *Node) isFixedCountReader() bool {
	standbyIndex := n.readerIndex() - n.opts.Readers.Count
	if standbyIndex < 0 {
		return true
	}
	age := n.storeContactAge()
	if age == 0 {
		atomicMax(&n.storeContactMs, n.monotonicMs())
		return false
	}
	delay := time.Duration(min(standbyIndex, maxStandbySteps)) * standbyStep
	if standbyIndex >= standbyCount {
		delay += n.opts.CompareEvery // hears of the contact from its region's head
	}
	return time.Duration(age)*time.Millisecond > n.opts.Readers.Silence+delay
}

// runContactReporter tells the successors of the readers how fresh the contact to the
// store is.
func (n *Node) runContactReporter() {
	for sleep(n.ctx, contactReportInterval) {
		index := n.readerIndex()
		age := time.Duration(n.storeContactAge()) * time.Millisecond
		if index >= n.opts.Readers.Count || age == 0 || age > n.opts.Readers.Silence {
			continue
		}
		order := readerOrder(n.view)
		for _, id := range order[min(n.opts.Readers.Count, len(order)):min(n.opts.Readers.Count+standbyCount, len(order))] {
			if p, ok := n.peerByID(id); ok {
				n.tasks.spawn(func() { _, _ = n.compare(p, takeoverTimeout) }) // a silent peer is nothing to the beacon
			}
		}
	}
}

// loadDelay returns how long this reader waits for a peer before it loads a head.
// A successor that had to take over does not wait for those before it.
func (n *Node) loadDelay() time.Duration {
	index := n.readerIndex()
	if count := n.opts.Readers.Count; count > 0 && index >= count {
		index = 0
	}
	return n.opts.Readers.Grace + time.Duration(index)*takeoverTimeout
}

// readerIndex returns the number of nodes that read the store before this one.
func (n *Node) readerIndex() int {
	if n.opts.Readers.Count == 0 {
		return max(0, n.topology().relayRank)
	}
	order := readerOrder(n.view)
	if i := slices.Index(order, n.view.Self().ID); i >= 0 {
		return i
	}
	return len(order)
}

// readerOrder returns the relays of the fleet: the first of each failure domain,
// then the second ones, those of unreachable failure domains last.
func readerOrder(v member.View) []string {
	var order, unreachable []string
	for rank := range member.RelayCount {
		for _, d := range v.FailureDomains() {
			ranked := v.Ranked(d.Name)
			switch {
			case rank >= len(ranked):
			case d.Unreachable:
				unreachable = append(unreachable, ranked[rank].ID)
			default:
				order = append(order, ranked[rank].ID)
			}
		}
	}
	return append(order, unreachable...)
}

const (
	// seedFirstReadDelay is how long a starting node that is a seed waits for a peer
	// with a version before it reads the store: one round trip within its region.
	// The other nodes ask the seeds, so when a whole fleet starts only its seeds
	// read.
	seedFirstReadDelay = 30 * time.Millisecond
	// firstReadDelay and firstReadSpread are the same for any other node: the
	// seeds may be down, or start later than the others.
	firstReadDelay  = 250 * time.Millisecond
	firstReadJitter = 350 * time.Millisecond
)

// runFirstRead reads the store when a starting node finds no peer with a
// version. The duty of the readers begins later, once the members are known.
func (n *Node) runFirstRead() {
	delay := firstReadDelay + rand.N(firstReadJitter)
	self := n.view.Self().PeerAddr
	if slices.ContainsFunc(n.opts.Seeds, func(p Peer) bool { return p.Addr == self }) {
		delay = seedFirstReadDelay
	}
	maxDelay := storeRetryBase
	for sleep(n.ctx, delay) && n.current.Load() == nil {
		h, err := n.readHead(n.ctx)
		if err == nil && h.Version > 0 {
			err = n.loadOnce(h)
		}
		if err != nil {
			n.stats.storeErrors.Inc()
			n.log.Info("first version not read from the store", "cause", cause(err), "error", err.Error())
		}
		delay = maxDelay/2 + rand.N(maxDelay)
		maxDelay = min(2*maxDelay, storeRetryMax)
	}
}

// recordStoreContact notes that the store answered this node.
func (n *Node) recordStoreContact() {
	if n.opts.Readers.Count > 0 {
		atomicMax(&n.storeContactMs, n.monotonicMs())
	}
}
