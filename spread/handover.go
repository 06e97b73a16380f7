package spread

import (
	"slices"
	"sync"
	"time"

	"siskingw/peer/peerpb"
)

const (
	// lostReaderExpiry is how long a reader counts as having lost the store after
	// it said so. It repeats that with each contact report.
	lostReaderExpiry = 5 * contactReportInterval / 2
	// maxLostReaders is the number of readers without the store from which the
	// store itself is taken to be down: further nodes do not take over, because
	// all of them would only call it in vain.
	maxLostReaders = 8
	// readerSilence is the age of the last answer from which a reader with a count
	// counts as having lost the store: its watch answers each second.
	readerSilence = contactReportInterval + 400*time.Millisecond
	// firstRetryMax bounds the jitter before a reader repeats its first failed
	// call, which may only show that a connection was closed.
	firstRetryMax = 50 * time.Millisecond
)

// lostReaders holds the readers that said that they lost the store, with the time
// of their statement in ms of the node's monotonic clock.
type lostReaders struct {
	mu   sync.Mutex
	byID map[string]int64
}

// note records statements received at now from sender. A sender that does not name
// itself reaches the store.
func (l *lostReaders) note(sender string, lost []*peerpb.LostReader, now int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byID, sender)
	for _, r := range lost[:min(len(lost), maxLostReaders)] {
		at := now - int64(r.AgeMs)
		if now-at >= lostReaderExpiry.Milliseconds() || at <= l.byID[r.Id] {
			continue
		}
		if l.byID == nil {
			l.byID = make(map[string]int64)
		}
		l.byID[r.Id] = at
	}
}

// current returns the statements that have not expired, in the order of their ids.
func (l *lostReaders) current(now int64) []*peerpb.LostReader {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*peerpb.LostReader
	for id, at := range l.byID {
		if now-at >= lostReaderExpiry.Milliseconds() {
			delete(l.byID, id)
			continue
		}
		out = append(out, &peerpb.LostReader{Id: id, AgeMs: uint32(max(now-at, 0))})
	}
	slices.SortFunc(out, func(a, b *peerpb.LostReader) int {
		if a.Id < b.Id {
			return -1
		}
		return 1
	})
	return out
}

// lostReaders returns the readers without the store that this node knows of,
// itself included.
func (n *Node) lostReaders() []*peerpb.LostReader {
	if n.opts.Readers.Count == 0 {
		return nil
	}
	lost := n.otherLostReaders()
	if n.storeLost.Load() {
		lost = append([]*peerpb.LostReader{{Id: n.view.Self().ID}}, lost...)
	}
	return lost
}

// otherLostReaders is lostReaders without this node, which tries its own calls in
// any case.
func (n *Node) otherLostReaders() []*peerpb.LostReader {
	self := n.view.Self().ID
	return slices.DeleteFunc(n.lost.current(n.monotonicMs()), func(r *peerpb.LostReader) bool { return r.Id == self })
}

// readerOrder returns the ids of the nodes in the order in which they watch the
// store: those that lost it come last, unless there are so many that the store is
// down for all.
func (n *Node) readerOrder() []string {
	order := readerOrder(n.view)
	lost := n.otherLostReaders()
	if len(lost) == 0 || len(lost) > maxLostReaders {
		return order
	}
	isLost := func(id string) bool {
		return slices.ContainsFunc(lost, func(r *peerpb.LostReader) bool { return r.Id == id })
	}
	var last []string
	for _, id := range order {
		if isLost(id) {
			last = append(last, id)
		}
	}
	return append(slices.DeleteFunc(order, isLost), last...)
}

// setStoreLost records whether this reader lost the store, and tells the next nodes
// in order at once: waiting until the age of its contact shows it would take longer
// than a version may take to be in force.
func (n *Node) setStoreLost(lost bool) {
	if n.opts.Readers.Count == 0 || n.storeLost.Swap(lost) == lost {
		return
	}
	n.log.Info("handover of the store watch", "lost", lost, "contactAgeMs", n.storeContactAge())
	n.reportToStandbys()
}

// reportToStandbys exchanges versions with the first nodes in the order of readers
// and with the standbys after them.
func (n *Node) reportToStandbys() {
	self := n.view.Self().ID
	order := slices.DeleteFunc(n.readerOrder(), func(id string) bool { return id == self })
	for _, id := range order[:min(n.opts.Readers.Count+standbyCount, len(order))] {
		if p, ok := n.peerByID(id); ok {
			n.tasks.spawn(func() { _, _ = n.compare(p, takeoverTimeout) }) // a standby that does not answer needs no retry
		}
	}
}
