package proxy

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"siskingw/object"
)

// Guards against more connections to an address than the limit allows, and
// against idle connections that are never closed.
func TestPoolLimitsAndClosesConnections(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{}, 4)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(io.Discard, nc)
				closed <- struct{}{}
			}()
		}
	}()
	p := NewPool(PoolOptions{MaxPerAddress: 2, IdleTimeout: 30 * time.Millisecond})
	deadline := time.Now().Add(3 * time.Second)
	addr := l.Addr().String()
	a, err := p.get(t.Context(), addr, deadline)
	is.NoErr(err)
	b, err := p.get(t.Context(), addr, deadline)
	is.NoErr(err)
	_, err = p.get(t.Context(), addr, deadline)
	is.True(err != nil)
	p.put(a)
	c, err := p.get(t.Context(), addr, deadline)
	is.NoErr(err)
	is.True(c == a)
	p.put(b)
	p.put(c)
	for range 2 {
		select {
		case <-closed:
		case <-time.After(3 * time.Second):
			t.Fatal("an idle connection was not closed")
		}
	}
	d, err := p.get(t.Context(), addr, deadline)
	is.NoErr(err)
	p.Close()
	p.put(d)
	<-closed
	_, err = p.get(t.Context(), addr, deadline)
	is.True(err != nil)
}

// Guards against calls that the metrics do not count, or count with a wrong
// outcome.
func TestMetricsCountByOutcome(t *testing.T) {
	rt := newRawTarget(t, func(nc net.Conn, r *http.Request, _ int32) bool {
		if r.URL.Path == "/reset" {
			return reset(nc)
		}
		io.WriteString(nc, okAnswer)
		return true
	})
	r := newRig(t, &object.PolicySpec{Retries: 1}, rt.addr)
	set := metrics.NewSet()
	m := NewMetrics(set)
	r.out.opts.Metrics = m
	r.do(t, "GET", "/", "")
	r.do(t, "POST", "/reset", "")
	r.inbounds[0].Drain()
	r.do(t, "POST", "/", "")
	var b bytes.Buffer
	for range 100 { // a call is counted after its response was sent
		b.Reset()
		set.WritePrometheus(&b)
		if strings.Contains(b.String(), `outcome="not-run"} 1`) {
			break
		}
		time.Sleep(time.Millisecond)
	}
	for _, want := range []string{
		`siskingw_calls_total{side="outbound",kind="bid",outcome="answered"} 1`,
		`siskingw_calls_total{side="outbound",kind="bid",outcome="unknown"} 1`,
		`siskingw_calls_total{side="outbound",kind="bid",outcome="not-run"} 1`,
		`siskingw_call_added_seconds_count{side="outbound"} 1`,
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("missing %s in\n%s", want, b.String())
		}
	}
}
