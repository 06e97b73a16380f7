package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
)

// Pattern: start of a whole fleet. Guards against a node that waits for a lost SYN
// while the instance that it connects to has come up meanwhile, and against later
// attempts that are too short for a slow link.
func TestFirstConnectionAttemptsAreShort(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewServer()
	go server.Serve(l)
	defer server.Stop()
	var attempts atomic.Int32
	var lost atomic.Int32 // attempts whose SYN is lost
	lost.Store(1)
	waits := make(chan time.Duration, 16)
	pool := NewPool(Place{}, &Traffic{}, Options{Dial: func(ctx context.Context, addr string, _ LinkClass) (net.Conn, error) {
		if attempts.Add(1) <= lost.Load() {
			started := time.Now()
			<-ctx.Done()
			waits <- time.Since(started)
			return nil, ctx.Err()
		}
		return new(net.Dialer).DialContext(ctx, "tcp", addr)
	}})
	defer pool.Close()
	connect := func() time.Duration {
		conn, err := pool.Conn(l.Addr().String(), Place{})
		is.NoErr(err)
		cc := conn.(*grpc.ClientConn)
		started := time.Now()
		for s := cc.GetState(); s != connectivity.Ready; s = cc.GetState() {
			cc.Connect()
			is.True(cc.WaitForStateChange(t.Context(), s))
		}
		return time.Since(started)
	}
	is.True(connect() < dialTimeout)
	is.True(<-waits < 2*firstDialTimeout)

	pool.Close()
	pool = NewPool(Place{}, &Traffic{}, pool.opts)
	attempts.Store(0)
	const longAttempts = 3
	lost.Store(shortAttempts + longAttempts)
	connect()
	for range shortAttempts {
		is.True(<-waits < 2*firstDialTimeout)
	}
	// An attempt begins before its dial does, so a single wait can be measured too
	// short when the scheduler delays the dial.
	var longest time.Duration
	for range longAttempts {
		wait := <-waits
		is.True(wait >= 2*firstDialTimeout)
		longest = max(longest, wait)
	}
	is.True(longest >= dialTimeout)
}
