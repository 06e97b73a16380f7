package proxy

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/admit"
	"siskingw/evenload"
	"siskingw/member"
	"siskingw/object"
)

// newsOfB returns a HeaderNews value that states the number of calls at the target
// of the instance b.
func newsOfB(calls int) string {
	it := evenload.Item{ID: "b", ServiceTime: 100 * time.Millisecond}
	for i := range it.Ahead {
		it.Ahead[i] = calls
	}
	return evenload.Encode([]evenload.Item{it})
}

// askFullTarget sends a call to the node of a full target with 13 slots and returns
// the cause of the refusal, or "" when the call was queued.
func askFullTarget(t *testing.T, flags, news string) string {
	t.Helper()
	gate := admit.New(admit.Options{Slots: 13, QueueTimeout: 30 * time.Millisecond})
	for range 13 {
		ticket, err := gate.Enter(t.Context(), object.WorkBid)
		if err != nil {
			t.Fatal(err)
		}
		defer ticket.Release()
	}
	in := NewInbound(InboundOptions{Target: "127.0.0.1:1", Gate: gate, EvenLoad: NewEvenLoad(func() string { return "a" }, evenload.HandOnShare)})
	for range 10 { // calls that came before
		in.opts.EvenLoad.budget.Arrived(evenload.HandOnShare)
	}
	_, addr := serveCalls(t, in)
	req, _ := http.NewRequest("GET", "http://"+addr+"/", nil)
	req.Header.Set(HeaderWork, "0;20;"+flags+";route;;")
	req.Header.Set(HeaderDeadline, "80")
	req.Header.Set(HeaderNews, news)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.Header.Get(HeaderOutcome) != OutcomeNotRun {
		t.Fatalf("outcome %q", resp.Header.Get(HeaderOutcome))
	}
	if c := resp.Header.Get(HeaderCause); c == string(causeElsewhere) {
		if !strings.HasPrefix(resp.Header.Get(HeaderNews), "b;") {
			t.Fatal("the caller's node does not learn who has room")
		}
		return c
	}
	return ""
}

// Guards against calls that wait at a full target while another one is idle, and
// against calls that are handed on to a full target, or for ever.
func TestFullTargetHandsOnWhatHasRoomElsewhere(t *testing.T) {
	is := is.New(t)
	is.Equal(askFullTarget(t, flagHandOn, newsOfB(3)), string(causeElsewhere))
	is.Equal(askFullTarget(t, flagHandOn, newsOfB(13)), "")
	is.Equal(askFullTarget(t, flagHandOn, ""), "")
	is.Equal(askFullTarget(t, "", newsOfB(3)), "")                       // was handed on before, or an old build
	is.Equal(askFullTarget(t, flagHandOn+flagAllowLate, newsOfB(3)), "") // late calls take what is left
}

// Guards against a call that is handed on more than once, that its caller gets as a
// refusal, or that uses up the budget of retries.
func TestHandedOnCallIsSentOnceMore(t *testing.T) {
	is := is.New(t)
	var calls, handedOn atomic.Int32
	node := serveOn(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		if flags := strings.Split(r.Header.Get(HeaderWork), ";")[2]; strings.Contains(flags, flagHandOn) {
			handedOn.Add(1)
			w.Header().Set(HeaderOutcome, OutcomeNotRun)
			w.Header().Set(HeaderCause, string(causeElsewhere))
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	r := newRig(t, &object.PolicySpec{TargetLatencyMs: 500, TimeoutMs: 2000}, "127.0.0.1:1")
	r.out.opts.RelayNews = true
	rec := *r.records[0]
	rec.InboundAddr, rec.Sequence = node, rec.Sequence+1
	r.view.Merge([]member.Record{rec})
	for range 30 { // more than the budget
		resp, _ := r.do(t, "POST", "/", "x")
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(resp.Header.Get(HeaderNews), "")
	}
	is.Equal(handedOn.Load(), int32(30))
	is.Equal(calls.Load(), int32(60))
}

// Guards against news that does not reach the caller's node, so that only its own
// calls tell it about a target.
func TestNewsIsRelayedWithinTheFailureDomain(t *testing.T) {
	is := is.New(t)
	target := serveOn(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	r := newRig(t, &object.PolicySpec{TargetLatencyMs: 500, TimeoutMs: 2000}, target)
	r.out.opts.RelayNews = true
	in := r.inbounds[0]
	in.opts.EvenLoad = NewEvenLoad(func() string { return "a" }, evenload.HandOnShare)
	b := *r.records[0]
	b.ID = "b"
	r.view.Merge([]member.Record{b})
	in.opts.EvenLoad.board.Learn(evenload.Decode(newsOfB(7)), in.opts.EvenLoad.now())
	for range 4 {
		r.do(t, "GET", "/", "")
	}
	heard := r.out.opts.Balancer.Newest("floor", "a")
	is.Equal(len(heard), 1)
	is.Equal(heard[0].ID, "b")
}
