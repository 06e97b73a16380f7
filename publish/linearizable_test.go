package publish

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"siskingw/errdefs"
	"siskingw/object"
	"siskingw/store"
	"siskingw/store/memstore"
)

// outcomeTimeout ends a test that cannot make progress, for instance because a
// part was lost. A successful run takes 0.3 s.
const outcomeTimeout = 15 * time.Second

// operatorInput is one operator's change or read of one object.
type operatorInput struct {
	key     string
	read    bool
	basedOn uint64
}

// operatorOutput is the result: the revision that was read, produced, or
// reported in a conflict.
type operatorOutput struct {
	conflict bool
	revision uint64
}

// revisionModel models the revision of each object as a register with
// compare-and-set.
var revisionModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range history {
			k := o.Input.(operatorInput).key
			byKey[k] = append(byKey[k], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range byKey {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(uint64), input.(operatorInput), output.(operatorOutput)
		switch {
		case in.read:
			return out.revision == now, now
		case out.conflict:
			return out.revision == now && in.basedOn != now, now
		}
		return in.basedOn == now && out.revision > now, out.revision
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// operator makes changes based on the revisions that it last saw and records
// the history of its operations.
type operator struct {
	t        *testing.T
	id       int
	a        *Acceptor
	reader   *Reader
	started  time.Time
	lastSeen map[string]uint64
	history  []porcupine.Operation
	rng      *rand.Rand
}

func (o *operator) record(in operatorInput, call func() operatorOutput) {
	from := time.Since(o.started).Nanoseconds()
	out := call()
	o.history = append(o.history, porcupine.Operation{ClientId: o.id, Input: in, Call: from, Output: out,
		Return: time.Since(o.started).Nanoseconds()})
	o.lastSeen[in.key] = out.revision
}

// change retries one request with the same operation id until its outcome is
// known.
func (o *operator) change(n int, key string) {
	based := o.lastSeen[key]
	req := request(fmt.Sprintf("%d-%d", o.id, n), endpointSet(key, fmt.Sprintf("by-%d-%d", o.id, n)))
	req.Changes[0].BasedOn = &based
	o.record(operatorInput{key: key, basedOn: based}, func() operatorOutput {
		for {
			res, err := o.a.Apply(o.t.Context(), req)
			if err == nil {
				return operatorOutput{revision: res.Version}
			}
			if c := ConflictsOf(err); len(c) == 1 {
				return operatorOutput{conflict: true, revision: c[0].Revision}
			}
			if time.Since(o.started) > outcomeTimeout {
				o.t.Errorf("operator %d: the outcome is still unknown after the time limit: %v", o.id, err)
				return operatorOutput{}
			}
		}
	})
}

// read reads the object's revision from the store.
func (o *operator) read(key string) {
	o.record(operatorInput{key: key, read: true}, func() operatorOutput {
		h, _, err := o.reader.Head(o.t.Context())
		if errorx.IsOfType(err, errdefs.NotFound) {
			return operatorOutput{} // no version exists yet
		}
		s, err := o.reader.Load(o.t.Context(), h, nil)
		// The parts may be garbage-collected while they are read.
		for try := 0; try < 100 && errorx.IsOfType(err, errdefs.NotFound); try++ {
			if h, _, err = o.reader.Head(o.t.Context()); err == nil {
				s, err = o.reader.Load(o.t.Context(), h, nil)
			}
		}
		if err != nil {
			o.t.Errorf("operator %d cannot read version %d: %v", o.id, h.Version, err)
			return operatorOutput{}
		}
		if found := s.Get(object.Key{Kind: object.KindEndpointSet, Name: key}); found != nil {
			return operatorOutput{revision: found.Revision}
		}
		return operatorOutput{}
	})
}

// Guards against lost updates, operations applied twice and conflicts with a
// stale revision. Operators at three nodes work concurrently, with lost
// responses, failed writes and a collector that runs all the time; their
// history must be linearizable as a compare-and-set register per object.
func TestOperatorsAreLinearizable(t *testing.T) {
	const operators, rounds, acceptors = 6, 30, 3
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			mem := memstore.New(memstore.Options{})
			var nodes []*Acceptor
			for range acceptors {
				nodes = append(nodes, startAcceptor(t, mem, Options{BatchTimeout: time.Second}))
			}
			ops := make([]*operator, operators)
			started := time.Now()
			var wg sync.WaitGroup
			for i := range ops {
				o := &operator{
					t: t, id: i, a: nodes[i%acceptors], reader: NewReader(mem), started: started,
					lastSeen: make(map[string]uint64), rng: rand.New(rand.NewPCG(seed, uint64(i))),
				}
				ops[i] = o
				wg.Go(func() {
					for n := range rounds {
						key := fmt.Sprintf("k%d", o.rng.IntN(2))
						switch {
						case o.rng.IntN(3) == 0:
							o.read(key)
						case o.rng.IntN(4) == 0:
							mem.SetFaults(memstore.Faults{LoseAnswers: 1 + o.rng.IntN(4),
								FailNextWrites: o.rng.IntN(3)})
							fallthrough
						default:
							o.change(n, key)
						}
					}
				})
			}
			collected := collectUntilDone(t, mem, &wg)
			mem.SetFaults(memstore.Faults{})
			is.True(collected > 0)
			is.Equal(loadLatest(t, mem).Check(), nil)
			var history []porcupine.Operation
			for _, o := range ops {
				history = append(history, o.history...)
			}
			is.Equal(len(history), operators*rounds)
			is.Equal(porcupine.CheckOperationsTimeout(revisionModel, history, 10*time.Second), porcupine.Ok)
		})
	}
}

// collectUntilDone runs garbage collection until wg is done and returns the
// number of deleted parts. It uses practically no minimum age, so that only the
// GC epoch and the mod revisions protect the parts of versions that are being
// published.
func collectUntilDone(t *testing.T, st store.Store, wg *sync.WaitGroup) int {
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	c := NewCollector(st, CollectorOptions{MinAge: time.Nanosecond, KeepCommits: 8})
	c.deleteLimiter.SetLimit(rate.Inf)
	deleted := 0
	for {
		n, _ := c.Collect(t.Context()) // fails when its head swap fails or a response is lost
		deleted += n
		select {
		case <-done:
			return deleted
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// Guards against a model that accepts every history: it must reject a lost
// update.
func TestRevisionModelRefusesLostUpdate(t *testing.T) {
	is := is.New(t)
	in := operatorInput{key: "k"}
	is.True(!porcupine.CheckOperations(revisionModel, []porcupine.Operation{
		{ClientId: 0, Input: in, Call: 0, Output: operatorOutput{revision: 1}, Return: 2},
		{ClientId: 1, Input: in, Call: 1, Output: operatorOutput{revision: 2}, Return: 3},
	}))
}
