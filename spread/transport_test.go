package spread

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/object"
	"siskingw/peer"
	"siskingw/peer/peerpb"
	"siskingw/snapshot"
)

// serveNode runs a node with a snapshot in force on a loopback listener.
func serveNode(t *testing.T, s *snapshot.Snapshot, addr string) (*Node, *grpc.Server, Peer) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", addr)
	is.NoErr(err)
	rec := member.Record{ID: "far", Incarnation: 1, State: member.Alive, Region: "r1", FailureDomain: "d1", PeerAddr: l.Addr().String()}
	cur := new(snapshot.Current)
	is.NoErr(cur.Advance(s))
	pool := peer.NewPool(peer.Place{Region: "r1", FailureDomain: "d1"}, new(peer.Traffic), peer.Options{})
	n := New(Options{View: member.NewDirectory(rec, member.DirectoryOptions{}), Current: cur,
		Transport: NewTransport(pool, peer.Place{Region: "r1", FailureDomain: "d1"})})
	server := peer.NewServer()
	n.Register(server)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = server.Serve(l) }()
	go func() { _ = n.Run(ctx) }()
	t.Cleanup(func() { cancel(); server.Stop(); pool.Close() })
	for !n.recovery.finished() {
		time.Sleep(time.Millisecond)
	}
	return n, server, PeerOf(&rec)
}

// Guards against a stream of offers that mixes up replies, does not survive a
// restart of the peer, or costs as much as unary calls.
func TestOffersBetweenRegionsShareOneStream(t *testing.T) {
	is := is.New(t)
	base, err := snapshot.New(1, baseObjects())
	is.NoErr(err)
	_, server, to := serveNode(t, base, "127.0.0.1:0")
	traffic := new(peer.Traffic)
	place := peer.Place{Region: "r0", FailureDomain: "d0"}
	pool := peer.NewPool(place, traffic, peer.Options{})
	defer pool.Close()
	trans := NewTransport(pool, place)
	// A write is counted only after it has returned, which may be after its
	// reply.
	settled := func() uint64 {
		time.Sleep(50 * time.Millisecond)
		return traffic.Sent(peer.CrossRegion) + traffic.Received(peer.CrossRegion)
	}
	var cost uint64
	s := base
	for version := uint64(2); version < 6; version++ {
		next, err := s.WithChanges(version, []*object.Object{{Kind: object.KindRoute, Name: "r", Revision: version,
			Route: &object.RouteSpec{PathPrefix: "/", Service: "s1"}}}, nil)
		is.NoErr(err)
		data, err := snapshot.EncodeDelta(snapshot.Diff(s, next))
		is.NoErr(err)
		before := settled()
		reply, err := trans.Offer(t.Context(), to, &peerpb.OfferRequest{Sender: "near", Version: version, Deltas: [][]byte{data}})
		is.NoErr(err)
		is.Equal(reply.Status, peerpb.OfferReply_APPLIED)
		is.Equal(reply.Version, version)
		cost = settled() - before - uint64(len(data))
		s = next
	}
	// The target is 1.2 times the delta, and a change of one object is
	// 250 bytes.
	if cost > 50 {
		t.Errorf("an offer on an open stream costs %d bytes besides the delta", cost)
	}
	server.Stop()
	ctx, cancel := withLocalTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = trans.Offer(ctx, to, &peerpb.OfferRequest{Sender: "near", Version: 5})
	is.True(errorx.IsOfType(err, errdefs.PeerUnavailable))
	serveNode(t, s, to.Addr)
	for err != nil && t.Context().Err() == nil {
		time.Sleep(10 * time.Millisecond)
		_, err = trans.Offer(t.Context(), to, &peerpb.OfferRequest{Sender: "near", Version: 5})
	}
	is.NoErr(err)
}

// Guards against a snapshot transfer that loses bytes or ignores the transfer
// limit.
func TestSnapshotTransferOverLoopback(t *testing.T) {
	is := is.New(t)
	base, err := snapshot.New(1, baseObjects())
	is.NoErr(err)
	n, _, to := serveNode(t, base, "127.0.0.1:0")
	pool := peer.NewPool(to.Place(), new(peer.Traffic), peer.Options{})
	defer pool.Close()
	trans := NewTransport(pool, to.Place())
	data, busy, err := trans.FetchSnapshot(t.Context(), to, caller("a"))
	is.NoErr(err)
	is.True(busy == nil)
	got, err := snapshot.Decode(data)
	is.NoErr(err)
	is.Equal(got.Digest(), base.Digest())
	for range maxTransfers {
		n.transfers <- struct{}{}
	}
	_, busy, err = trans.FetchSnapshot(t.Context(), to, caller("b"))
	is.NoErr(err)
	is.Equal(busy.Peers[0].Id, "a")
}
