package spread

import (
	"slices"

	"siskingw/member"
	"siskingw/peer"
	"siskingw/peer/peerpb"
)

// Peer is the address and location of a node.
type Peer struct {
	ID            string `json:"id"`   // empty if only the address is known
	Addr          string `json:"addr"` // host:port of the gRPC listener
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
}

// Place returns the location of the peer.
func (p Peer) Place() peer.Place {
	return peer.Place{Region: p.Region, FailureDomain: p.FailureDomain}
}

// source returns the peer as a message names it.
func (p Peer) source() *peerpb.Source {
	return &peerpb.Source{Id: p.ID, Addr: p.Addr, Region: p.Region, FailureDomain: p.FailureDomain}
}

// PeerOf returns the Peer of a member.
func PeerOf(r *member.Record) Peer {
	return Peer{ID: r.ID, Addr: r.PeerAddr, Region: r.Region, FailureDomain: r.FailureDomain}
}

// maxCandidates is the number of top-ranked nodes of a failure domain that a
// push tries. It exceeds the number of relays, because all of them may crash at
// once and the membership takes about 5 s to replace them.
const maxCandidates = 8

// topRanked returns the nodes of a failure domain to try, the relays first.
func topRanked(v member.View, domain string) []Peer {
	ranked := v.Ranked(domain)
	return peersOf(ranked[:min(maxCandidates, len(ranked))])
}

// group is a set of nodes, one of which must receive a version: the first that
// answers.
type group struct {
	name       string
	isRegion   bool   // the group represents a region: later candidates act as its head
	candidates []Peer // in the order in which they are tried
}

// topology is the node's place in the distribution tree, computed from its view
// at one moment.
type topology struct {
	self         Peer
	ranked       []Peer  // nodes of this failure domain by rank
	position     int     // own index in ranked, or -1
	regionRelays []Peer  // relays of this region in takeover order
	relayRank    int     // own index in regionRelays, or -1
	domainGroups []group // the other failure domains of this region
	regionGroups []group // the other regions
}

// topologyOf computes the topology of a view.
func topologyOf(v member.View) topology {
	t := topology{self: PeerOf(v.Self())}
	t.ranked = peersOf(v.Ranked(t.self.FailureDomain))
	t.position = indexOfPeer(t.ranked, t.self.ID)
	t.regionRelays = peersOf(member.RegionRelays(v, t.self.Region))
	t.relayRank = indexOfPeer(t.regionRelays, t.self.ID)
	for _, d := range v.FailureDomains() {
		candidates := topRanked(v, d.Name)
		if d.Region == t.self.Region && d.Name != t.self.FailureDomain && len(candidates) > 0 {
			t.domainGroups = append(t.domainGroups, group{name: d.Name, candidates: candidates})
		}
	}
	for _, r := range member.Regions(v) {
		candidates := peersOf(member.RegionRelays(v, r))
		if len(candidates) > 0 {
			for _, p := range topRanked(v, candidates[0].FailureDomain) {
				if indexOfPeer(candidates, p.ID) < 0 {
					candidates = append(candidates, p)
				}
			}
		}
		if r != t.self.Region && len(candidates) > 0 {
			t.regionGroups = append(t.regionGroups, group{name: r, isRegion: true, candidates: candidates})
		}
	}
	return t
}

// isRelay reports whether the node is a relay of its failure domain.
func (t *topology) isRelay() bool { return t.relayRank >= 0 }

// isIsolated reports whether the node knows no other member.
func (t *topology) isIsolated() bool {
	return len(t.ranked) <= 1 && len(t.domainGroups) == 0 && len(t.regionGroups) == 0
}

// domainRank returns how many failure domains of the region precede this node's
// in the takeover order.
func (t *topology) domainRank() int {
	rank := 0
	for i, p := range t.regionRelays {
		if p.FailureDomain == t.self.FailureDomain {
			break
		}
		if i == 0 || p.FailureDomain != t.regionRelays[i-1].FailureDomain {
			rank++
		}
	}
	return rank
}

func peersOf(records []*member.Record) []Peer {
	out := make([]Peer, len(records))
	for i, r := range records {
		out[i] = PeerOf(r)
	}
	return out
}

func indexOfPeer(peers []Peer, id string) int {
	return slices.IndexFunc(peers, func(p Peer) bool { return p.ID == id })
}
