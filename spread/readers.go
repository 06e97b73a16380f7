package spread

import (
	"math/rand/v2"
	"slices"
	"time"

	"siskingw/member"
)

const (
	// pushGracePeriod is how long even the first reader waits for a change to
	// arrive from the node that accepted it. That node pushes at once, so the
	// store is read only if it failed, and a change is not sent into the other
	// regions from two nodes.
	pushGracePeriod = 100 * time.Millisecond
	// storeContactTimeout is the time without contact with the store's region
	// after which relays of other regions watch the head.
	storeContactTimeout = 5 * time.Second
	// readerSettleTime is how long a node must be a reader before it calls the
	// store. A starting node knows few members at first and would consider
	// itself a relay; with a whole failure domain starting, that would be
	// thousands of store calls at once.
	readerSettleTime = 3 * time.Second
	// isolatedJitter is the full jitter added for a node that knows no other
	// member, because all nodes may be in that state at once.
	isolatedJitter = 10 * time.Second
	// standbyStep is the additional time that each further standby waits before
	// it takes over from readers that lost the store.
	standbyStep = 300 * time.Millisecond
	// standbyCount is the number of nodes after the readers that the readers
	// inform about their contact with the store. maxStandbySteps is the number of
	// nodes after which the wait no longer increases, so that some node reads
	// the store even if all nodes before it are disconnected.
	standbyCount    = 3
	maxStandbySteps = 8
	// contactReportInterval is the period at which readers tell their standbys
	// that they reach the store.
	contactReportInterval = time.Second
)

// ReaderOptions selects the nodes that watch the store. The zero value selects
// every relay of the store's region.
type ReaderOptions struct {
	// Count is the number of nodes that watch at a time, in different failure
	// domains if possible; 0 for every relay of the store's region. With a
	// count, the readers tell the other nodes the age of their contact with the
	// store, and the next nodes in order take over when the contact is lost.
	Count int
	// ContactTimeout is the age of the last contact with the store from which
	// other nodes take over. The default is 5 s.
	ContactTimeout time.Duration
	// PushGracePeriod is how long even the first reader waits for a change to
	// arrive from the node that accepted it. The default is 100 ms; a negative
	// value means none.
	PushGracePeriod time.Duration
	// SettleTime is how long a node must be a reader before it calls the store,
	// and IsolatedJitter the full jitter added for a node that knows no other
	// member. The defaults are 3 s and 10 s.
	SettleTime     time.Duration
	IsolatedJitter time.Duration
	// CutOff reports whether this node reaches no other node. Such a node watches
	// the store itself if a Count is set: waiting until the contact of the readers
	// is too old would take longer than a version may take to be in force. It may
	// be nil.
	CutOff func() bool
}

func (o ReaderOptions) withDefaults() ReaderOptions {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{{&o.ContactTimeout, storeContactTimeout}, {&o.PushGracePeriod, pushGracePeriod},
		{&o.SettleTime, readerSettleTime}, {&o.IsolatedJitter, isolatedJitter}} {
		if *d.value == 0 {
			*d.value = d.fallback
		}
	}
	o.PushGracePeriod = max(o.PushGracePeriod, 0)
	return o
}

// fixedCountRetryMax bounds the jitter between attempts if ReaderOptions.Count
// is set. The readers are few then, and a change must be found soon after the
// store is back.
const fixedCountRetryMax = 1500 * time.Millisecond

// fixedCountCheckInterval is the period at which a node checks whether it is a
// reader if ReaderOptions.Count is set: a standby has about two seconds to find
// a change.
const fixedCountCheckInterval = 100 * time.Millisecond

// checkInterval returns the period at which a node checks whether it is a
// reader.
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

// isReader reports whether this node watches the store. The relays of the
// store's region do, and the other relays while there is no contact with that
// region. If ReaderOptions.Count is set, the first of all relays do instead.
func (n *Node) isReader() bool {
	if r := n.opts.Readers; r.Count > 0 && r.CutOff != nil && r.CutOff() {
		return true
	}
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
	if age == 0 { // no contact yet; the age counts from here
		atomicMax(&n.storeContactMs, n.monotonicMs())
		return false
	}
	return time.Duration(age)*time.Millisecond > n.opts.Readers.ContactTimeout
}

// Reader reports whether this node watches the store, and the number of nodes that
// precede it in the order of readers.
func (n *Node) Reader() (index int, ok bool) { return n.readerIndex(), n.isReader() }

// isFixedCountReader reports whether this node is one of the first readers, or
// one of the standbys after them while the contact with the store is lost.
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
		delay += n.opts.CompareInterval // learns of the contact only from its region's head
	}
	return time.Duration(age)*time.Millisecond > n.opts.Readers.ContactTimeout+delay
}

// runContactReporter tells the standbys how recent the readers' contact with the
// store is.
func (n *Node) runContactReporter() {
	for sleep(n.ctx, contactReportInterval) {
		index := n.readerIndex()
		age := time.Duration(n.storeContactAge()) * time.Millisecond
		if n.storeLost.Load() {
			n.reportToStandbys()
			continue
		}
		if index >= n.opts.Readers.Count || age == 0 || age > n.opts.Readers.ContactTimeout {
			continue
		}
		order := n.readerOrder()
		for _, id := range order[min(n.opts.Readers.Count, len(order)):min(n.opts.Readers.Count+standbyCount, len(order))] {
			if p, ok := n.peerByID(id); ok {
				n.tasks.spawn(func() { _, _ = n.compare(p, takeoverTimeout) }) // a standby that does not answer needs no retry
			}
		}
	}
}

// loadDelay returns how long this reader waits for a peer to deliver a version
// before it loads it from the store. A standby that took over does not wait for
// the readers before it.
func (n *Node) loadDelay() time.Duration {
	index := n.readerIndex()
	if count := n.opts.Readers.Count; count > 0 && index >= count {
		index = 0
	}
	return n.opts.Readers.PushGracePeriod + time.Duration(index)*takeoverTimeout
}

// readerIndex returns the number of nodes that precede this one in the order of
// readers.
func (n *Node) readerIndex() int {
	if n.opts.Readers.Count == 0 {
		return max(0, n.topology().relayRank)
	}
	order := n.readerOrder()
	if i := slices.Index(order, n.view.Self().ID); i >= 0 {
		return i
	}
	return len(order)
}

// readerOrder returns the ids of all relays: the first relay of each failure
// domain, then the second ones and so on. Those of unreachable failure domains
// come last.
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
	// seedFirstReadDelay is how long a starting node that is a seed waits for a
	// peer with a version before it reads the store: one round trip within its
	// region. The other nodes query the seeds, so when a whole fleet starts
	// only its seeds read the store.
	seedFirstReadDelay = 30 * time.Millisecond
	// firstReadDelay and firstReadJitter are the minimum delay and the added
	// jitter for any other node: time for a peer to deliver the version, which
	// most cannot when a whole fleet starts.
	firstReadDelay  = 100 * time.Millisecond
	firstReadJitter = 150 * time.Millisecond
	// noVersionDelay and noVersionJitter are the same after the store answered
	// that there is no version yet. The readers watch for the first version and
	// distribute it; a node reads it itself only if that fails.
	noVersionDelay  = 2 * time.Second
	noVersionJitter = 3 * time.Second
)

// runFirstRead reads the store if a starting node finds no peer with a version.
// The readers start later, once the members are known.
func (n *Node) runFirstRead() {
	delay := firstReadDelay + rand.N(firstReadJitter)
	self := n.view.Self().PeerAddr
	isSeed := slices.ContainsFunc(n.opts.Seeds, func(p Peer) bool { return p.Addr == self })
	if isSeed {
		delay = seedFirstReadDelay
	}
	retryDelay := storeRetryBase
	for sleep(n.ctx, delay) && n.current.Load() == nil {
		h, err := n.readHead(n.ctx)
		if err == nil && h.Version > 0 {
			err = n.loadOnce(h)
		}
		if err != nil {
			n.stats.storeErrors.Inc()
			n.log.Info("cannot read first version from the store", "cause", cause(err), "error", err.Error())
		}
		delay = retryDelay/2 + rand.N(retryDelay)
		retryDelay = min(2*retryDelay, storeRetryMax)
		if err == nil && !isSeed {
			delay = noVersionDelay + rand.N(noVersionJitter)
		}
	}
}

// recordStoreContact records that the store answered this node.
func (n *Node) recordStoreContact() {
	if n.opts.Readers.Count > 0 {
		atomicMax(&n.storeContactMs, n.monotonicMs())
	}
	n.ownContactMs.Store(n.monotonicMs())
	n.setStoreLost(false)
}
