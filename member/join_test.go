package member

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"siskingw/peer"
	"siskingw/peer/peerpb"
)

// startingSeed is a connection to a node that has no full set yet, or that does not
// answer.
type startingSeed struct {
	grpc.ClientStream
	answers bool
	sent    bool
}

func (*startingSeed) Invoke(context.Context, string, any, any, ...grpc.CallOption) error {
	return io.EOF
}

func (s *startingSeed) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	if !s.answers {
		return nil, io.ErrUnexpectedEOF
	}
	return s, nil
}

func (*startingSeed) SendMsg(any) error { return nil }
func (*startingSeed) CloseSend() error  { return nil }

func (s *startingSeed) RecvMsg(m any) error {
	if s.sent {
		return io.EOF
	}
	s.sent = true
	batch, err := codec{time.Now()}.encode(nil)
	m.(*peerpb.JoinChunk).Batch = batch
	return err
}

// startingService returns the service of a node with 8 seeds, and the number of
// joins that it asked for.
func startingService(answers bool) (*Service, *atomic.Int32) {
	asked := new(atomic.Int32)
	opts := Options{Connect: func(string, peer.Place) (grpc.ClientConnInterface, error) {
		asked.Add(1)
		return &startingSeed{answers: answers}, nil
	}}
	for i := range maxJoinCandidates {
		opts.Seeds = append(opts.Seeds, Seed{Addr: fmt.Sprintf("10.0.0.%d:7380", i+1), Place: peer.Place{FailureDomain: "fd"}})
	}
	self := Record{ID: "n", Incarnation: 1, FailureDomain: "fd", PeerAddr: "10.0.1.1:7380"}
	return NewService(NewDirectory(self, DirectoryOptions{}), opts), asked
}

// Pattern: start of a whole fleet. Guards against rounds in which every node gets
// nearly the same records from all nodes that it knows, which fills slow links.
func TestRoundEndsAfterAnswersOfStartingNodes(t *testing.T) {
	is := is.New(t)
	s, asked := startingService(true)
	full, answered := s.joinRound(t.Context(), 0)
	is.True(!full)
	is.True(answered)
	is.Equal(asked.Load(), int32(maxIncompleteJoins))
}

// Pattern: start of a whole fleet whose seeds start a moment later. Guards against
// a node whose pauses grow, and whose rounds are used up, while no seed is there.
func TestRoundsWithoutAnAnswerDoNotCountAtFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, asked := startingService(false)
		ctx, cancel := context.WithTimeout(t.Context(), quickJoinTime*8/10)
		defer cancel()
		is.True(s.Join(ctx) != nil)
		// Pauses of 50 ms on average; with growing ones it would ask in four rounds.
		is.True(asked.Load() >= 8*maxJoinCandidates)
	})
}

// Every node of a fleet restarts at the same moment and joins through the same
// three seeds. Guards against joins that are rejected and retried in a later
// round in fleets of up to 80 nodes, and against sending 20,000 records to 64
// nodes concurrently.
func TestFleetRestartThroughThreeSeeds(t *testing.T) {
	is := is.New(t)
	const seeds = 3
	for _, nodes := range []int{14, 63, 80} {
		is.True(sendsFullSet(nodes))
		is.True(maxConcurrentJoins(nodes)*seeds >= int64(nodes))
	}
	is.True(!sendsFullSet(20_000))
	is.True(maxConcurrentJoins(20_000) <= 4) // at most 4 times 2 MB are in flight
}
