package quota

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"siskingw/object"
	"siskingw/organisation"
	"siskingw/peer/peerpb"
	"siskingw/snapshot"
)

// benchSet returns a set of 84 organisations with quotas of 5 to 600 calls/s.
func benchSet(b *testing.B) *organisation.Set {
	var objects []*object.Object
	for i := range 84 {
		objects = append(objects, &object.Object{Kind: object.KindOrganisation, Name: fmt.Sprint("t", i),
			Organisation: &object.OrganisationSpec{RatePerS: 5 + 595/float64(i+1), Burst: 5}})
	}
	s, err := snapshot.New(1, objects)
	if err != nil {
		b.Fatal(err)
	}
	return organisation.NewSet(s)
}

func benchAsk(i, number, organisations int) Ask {
	a := Ask{Node: fmt.Sprint("n", i), Incarnation: 1, Number: uint64(number)}
	for k := range organisations {
		a.Wants = append(a.Wants, Want{Organisation: fmt.Sprint("t", (i+k)%84), Tokens: 2, Rate: 5, Waiting: k % 2})
	}
	return a
}

// BenchmarkPool measures one question to a pool that this many instances ask, each
// about 12 organisations: the limit of the instances that one pool can serve.
func BenchmarkPool(b *testing.B) {
	for _, n := range []int{28, 100, 333, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set, start := benchSet(b), time.Now()
			p := NewPool("n0", 1, testBounds, start, newRandom())
			interval := 225 * time.Millisecond / time.Duration(n)
			for k := range b.N {
				p.Answer(benchAsk(k%n, k, 12), set, start.Add(time.Duration(k)*interval))
			}
		})
	}
}

// echoPool answers questions by the code of a Service.
type echoPool struct {
	peerpb.UnimplementedQuotaServer
	pool *Pool
	set  *organisation.Set
}

func (e echoPool) Ask(_ context.Context, in *peerpb.QuotaAsk) (*peerpb.QuotaAnswer, error) {
	return e.pool.Answer(askFromProto(in, "n0"), e.set, time.Now()).toProto(), nil
}

// BenchmarkQuestion measures one question over a connection, both ends together.
func BenchmarkQuestion(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := grpc.NewServer()
	peerpb.RegisterQuotaServer(srv, echoPool{pool: NewPool("n0", 1, testBounds, time.Now(), newRandom()), set: benchSet(b)})
	go srv.Serve(l)
	defer srv.Stop()
	cc, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		b.Fatal(err)
	}
	defer cc.Close()
	c := peerpb.NewQuotaClient(cc)
	for k := range b.N {
		if _, err := c.Ask(context.Background(), benchAsk(k%333, k, 12).toProto()); err != nil {
			b.Fatal(err)
		}
	}
}
