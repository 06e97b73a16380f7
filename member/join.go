package member

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskingw/errdefs"
	"siskingw/peer"
	"siskingw/peer/peerpb"
	"siskingw/telemetry"
)

const (
	// largeFleetJoinLimit is the number of joins that one node serves
	// concurrently, and smallFleetJoinLimit that number in a fleet of up to
	// smallFleetRecords. The limit of a small fleet is higher because all nodes
	// of a starting fleet join through a few seeds and refuse calls until they
	// know each other's targets.
	largeFleetJoinLimit = 4
	smallFleetJoinLimit = 64
	// smallFleetRecords is the number of records, about 25 KB, up to which
	// every joining node gets the full set.
	smallFleetRecords = 256
	// maxJoinCandidates is the number of nodes asked in one round.
	maxJoinCandidates = 8
	joinBaseDelay     = 100 * time.Millisecond
	joinMaxDelay      = 5 * time.Second
	// maxIncompleteJoins is the number of answers without a full set after which
	// a round ends. While a whole fleet starts no node has a full set, and every
	// further answer transfers mostly the same records.
	maxIncompleteJoins = 3
	// quickJoinTime is how long after its start a node asks again soon if no
	// node has answered: its seeds may start a moment later.
	quickJoinTime = time.Second
	// localJoinRounds is the number of rounds in which a node that is not a
	// relay looks for a full set only within its failure domain, so that a
	// restarting failure domain transfers the set across its boundary only a
	// few times.
	localJoinRounds = 4
	// seedPingInterval is the mean time between a relay's pings of a random
	// seed, through which groups of nodes that never knew each other find each
	// other.
	seedPingInterval = time.Minute
)

// sendsFullSet reports whether a set of that many records is small enough to
// send all of it to a joining node, even when the node asks only for nearby
// members.
func sendsFullSet(records int) bool { return records <= smallFleetRecords }

// maxConcurrentJoins returns the number of joins that a node serves
// concurrently when it knows that many records.
func maxConcurrentJoins(records int) int64 {
	if sendsFullSet(records) {
		return smallFleetJoinLimit
	}
	return largeFleetJoinLimit
}

// Join fetches the records of all members from other nodes, beginning with the
// nearest seeds and known members. It retries with full jitter and returns a
// Timeout error when ctx ends before this node has a full set; Run then keeps
// trying. A node without seeds is the first of its fleet.
//
//siskingw:step announce
func (s *Service) Join(ctx context.Context) error {
	started := s.clock.Now()
	round := 0
	for asked := 1; ; asked++ {
		complete, answered := s.joinRound(ctx, round)
		if complete {
			s.joinedOnce.Do(func() { close(s.joined) })
			s.opts.Log.Info(telemetry.EventJoined, "rounds", asked, "members", len(s.dir.All()),
				"ms", s.clock.Now().Sub(started).Milliseconds())
			return nil
		}
		if !s.sleep(ctx, fullJitter(round)) {
			return errdefs.Timeout.Wrap(ctx.Err(), "no full set of members received in %d join rounds (%d seeds)",
				asked, len(s.opts.Seeds))
		}
		if answered || s.clock.Now().Sub(started) >= quickJoinTime {
			round++
		}
	}
}

// fullJitter returns a random delay below an exponentially growing bound.
func fullJitter(round int) time.Duration {
	bound := min(joinMaxDelay, joinBaseDelay<<min(round, 10))
	return time.Duration(rand.Int64N(int64(bound)))
}

func (s *Service) jitter(d time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(d))) }

// joinRound asks the candidates and reports whether this node now has the full
// set, and whether any of them answered. When every node that answers is still
// joining itself, the union of their records counts as the full set from round
// localJoinRounds on.
func (s *Service) joinRound(ctx context.Context, round int) (full, anyAnswer bool) {
	candidates := s.joinCandidates(s.opts.Seeds)
	complete, answered := s.joinAny(ctx, candidates, round)
	if complete {
		return true, true
	}
	if answered == 0 && s.opts.FallbackSeeds != nil {
		fallback := s.joinCandidates(s.opts.FallbackSeeds(ctx))
		candidates = append(candidates, fallback...)
		if complete, answered = s.joinAny(ctx, fallback, round); complete {
			return true, true
		}
	}
	if len(candidates) == 0 {
		return true, false // the first node of its fleet
	}
	return answered > 0 && round >= localJoinRounds, answered > 0
}

// joinAny asks nodes until one returns a full set, and also returns the number
// that answered. It asks the next node when one has failed or returned less
// than a full set, or after JoinStagger without an answer, and ends after
// maxIncompleteJoins answers.
func (s *Service) joinAny(ctx context.Context, candidates []Seed, round int) (complete bool, answered int) {
	type result struct {
		complete bool
		err      error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, len(candidates))
	asked, pending := 0, 0
	for asked < len(candidates) || pending > 0 {
		if asked < len(candidates) {
			seed := candidates[asked]
			asked++
			pending++
			go func() {
				complete, err := s.joinVia(ctx, seed, s.domainOnly(seed, round))
				if err != nil {
					s.opts.Log.V(1).Info("join failed", "seed", seed.Addr, "error", err.Error())
				}
				results <- result{complete, err}
			}()
		}
		var stagger <-chan time.Time
		if asked < len(candidates) || answered > 0 {
			stagger = s.clock.After(s.opts.JoinStagger)
		}
		select {
		case r := <-results:
			pending--
			if r.err == nil {
				answered++
			}
			if r.complete || answered >= maxIncompleteJoins {
				return r.complete, answered
			}
		case <-stagger:
			if asked == len(candidates) { // the others may be down; the next round asks them again
				return false, answered
			}
		}
	}
	return false, answered
}

// domainOnly reports whether to ask a node for the nearby members only. The
// full set is fetched from within the local failure domain while it may be
// available there.
func (s *Service) domainOnly(seed Seed, round int) bool {
	self := s.dir.Self()
	if seed.Place.FailureDomain == self.FailureDomain || round >= localJoinRounds {
		return false
	}
	if round == 0 {
		return true
	}
	return !IsRelay(s.dir, self.ID)
}

// joinCandidates returns the seeds and some known members of the local failure
// domain, nearest first and in random order at equal distance.
func (s *Service) joinCandidates(seeds []Seed) []Seed {
	self := s.dir.Self()
	seeds = slices.Clone(seeds)
	ranked := s.dir.Ranked(self.FailureDomain)
	for _, i := range rand.Perm(len(ranked))[:min(maxJoinCandidates, len(ranked))] {
		seeds = append(seeds, Seed{ranked[i].PeerAddr, ranked[i].Place()})
	}
	seeds = slices.DeleteFunc(seeds, func(c Seed) bool { return c.Addr == self.PeerAddr })
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	slices.SortStableFunc(seeds, func(a, b Seed) int {
		return cmp.Compare(peer.Class(self.Place(), a.Place), peer.Class(self.Place(), b.Place))
	})
	return seeds[:min(maxJoinCandidates, len(seeds))]
}

// joinVia sends this node's record to another node and merges the records
// that it returns. It reports whether they were a full set.
func (s *Service) joinVia(ctx context.Context, seed Seed, domainOnly bool) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.JoinTimeout)
	defer cancel()
	client, err := s.client(&Record{PeerAddr: seed.Addr, Region: seed.Place.Region, FailureDomain: seed.Place.FailureDomain})
	if err != nil {
		return false, err
	}
	c := codec{s.clock.Now()}
	stream, err := client.Join(ctx, &peerpb.JoinRequest{Record: c.toProto(s.dir.Self()), DomainOnly: domainOnly})
	if err != nil {
		return false, errdefs.PeerUnavailable.Wrap(err, "join via %s", seed.Addr)
	}
	complete := false
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			s.answeredOnce.Do(func() { close(s.answered) })
			return complete && !domainOnly, nil
		}
		if err != nil {
			return false, errdefs.PeerUnavailable.Wrap(err, "join via %s", seed.Addr)
		}
		records, err := c.decode(chunk.Batch)
		if err != nil {
			return false, err
		}
		complete = complete || chunk.Complete
		s.dir.Merge(records)
	}
}

// serveJoin merges the record of a joining node, disseminates it, and sends
// back the records that the node asks for.
func (s *Service) serveJoin(req *peerpb.JoinRequest, stream grpc.ServerStreamingServer[peerpb.JoinChunk]) error {
	c := codec{s.clock.Now()}
	joiner := c.fromProto(req.Record)
	if known := s.dir.Lookup(joiner.ID); known == nil || joiner.Supersedes(known) {
		s.apply([]Record{joiner}, origin{local: true})
	}
	records := s.dir.All()
	if req.DomainOnly && !sendsFullSet(len(records)) {
		records = s.nearbyRecords(joiner)
	}
	for first := true; first || len(records) > 0; first = false {
		n := min(joinChunkRecords, len(records))
		batch, err := c.encode(records[:n])
		if err != nil {
			return err
		}
		if err := stream.Send(&peerpb.JoinChunk{Batch: batch, Complete: s.hasFullSet()}); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

// nearbyRecords returns the members of the joining node's failure domain, the
// relays of the others and the known record of the joining node itself.
func (s *Service) nearbyRecords(joiner Record) []*Record {
	records := slices.Clone(s.dir.Ranked(joiner.FailureDomain))
	for _, d := range s.dir.FailureDomains() {
		if d.Name != joiner.FailureDomain {
			records = append(records, Relays(s.dir, d.Name)...)
		}
	}
	if known := s.dir.Lookup(joiner.ID); known != nil {
		records = append(records, known)
	}
	return records
}

func (s *Service) hasFullSet() bool {
	select {
	case <-s.joined:
		return true
	default:
		return false
	}
}

// joinServer adapts serveJoin to the generated server interface, whose method
// has the same name as the client-side Service.Join.
type joinServer struct {
	*Service
}

// Join serves a joining node. It fails with InvalidArgument without a record
// and with ResourceExhausted when too many joins are in progress.
func (j joinServer) Join(req *peerpb.JoinRequest, stream grpc.ServerStreamingServer[peerpb.JoinChunk]) error {
	if req.Record == nil {
		return status.Error(codes.InvalidArgument, "join without a record")
	}
	defer j.activeJoins.Add(-1)
	if j.activeJoins.Add(1) > maxConcurrentJoins(len(j.dir.All())) {
		return status.Error(codes.ResourceExhausted, "too many joins are served")
	}
	return j.serveJoin(req, stream)
}

// joinLoop joins until this node has a full set. After that, while this node is
// a relay, it pings a random seed at random intervals.
func (s *Service) joinLoop(ctx context.Context) {
	if !s.hasFullSet() {
		if err := s.Join(ctx); err != nil {
			return // ctx ended
		}
	}
	for s.sleep(ctx, seedPingInterval/2+s.jitter(seedPingInterval)) {
		if n := len(s.opts.Seeds); n > 0 && IsRelay(s.dir, s.dir.Self().ID) {
			seed := s.opts.Seeds[rand.IntN(n)]
			if seed.Addr != s.dir.Self().PeerAddr {
				s.anyAnswers(ctx, []*Record{{PeerAddr: seed.Addr, Region: seed.Place.Region, FailureDomain: seed.Place.FailureDomain}})
			}
		}
	}
}
