package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"siskingw/platform/standin"
)

const (
	callersPerNode = 4
	// callPause is the mean of the exponentially distributed pause between two
	// calls of a caller: four callers use about half of a target's slots.
	callPause = 25 * time.Millisecond
	shortWait = 1500 * time.Millisecond // deadline of GET requests
	longWait  = 3 * time.Second         // deadline of POST requests to /bids
	// Shares of the calls, 0 to 1.
	shareBids    = 0.35
	shareProbes  = 0.12 // use the route that the newest version adds
	shareLeaving = 0.04 // of the idempotent calls: the caller cancels them early
	// clientGrace is how long a caller waits for the response after the deadline
	// before it counts the request as unanswered.
	clientGrace = 1500 * time.Millisecond
)

// callers starts callersPerNode callers for every node. They run until ctx ends;
// wg counts them.
func (s *site) callers(ctx context.Context, seed uint64, wg *sync.WaitGroup) {
	for _, in := range s.instances {
		for n := range callersPerNode {
			random := rand.New(rand.NewPCG(seed, uint64(in.number*callersPerNode+n)))
			wg.Go(func() { s.caller(ctx, in, n, random) })
		}
	}
}

// caller sends requests one at a time on a keep-alive connection until ctx ends.
func (s *site) caller(ctx context.Context, in *instance, number int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		a := s.nextAttempt(in, fmt.Sprintf("%d-%d-%d", in.number, number, i), random)
		leave := time.Duration(0)
		if a.repeatable && random.Float64() < shareLeaving {
			leave = time.Duration(random.Int64N(int64(shortWait / 5)))
		}
		s.send(client, in, a, leave)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.ExpFloat64() * float64(callPause))):
		}
	}
}

// nextAttempt returns a random request: a GET on the route of the newest version,
// a bid, or a plain GET.
func (s *site) nextAttempt(in *instance, id string, random *rand.Rand) *attempt {
	a := &attempt{id: id, node: in.number, method: http.MethodGet, path: "/lots/" + id, repeatable: true, deadline: shortWait}
	switch p := random.Float64(); {
	case p < shareProbes:
		s.mu.Lock()
		a.version = s.version
		s.mu.Unlock()
		a.path = versionPath(a.version) + id
	case p < shareProbes+shareBids:
		a.method, a.path, a.repeatable, a.deadline = http.MethodPost, "/bids/"+id, false, longWait
	}
	in.mu.Lock()
	a.life = in.life
	in.mu.Unlock()
	return a
}

// send sends one request and records its result. If leave is positive, the caller
// cancels the request after that time.
func (s *site) send(client *http.Client, in *instance, a *attempt, leave time.Duration) {
	wait := a.deadline + clientGrace
	if leave > 0 {
		wait = leave
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var body []byte
	if !a.repeatable {
		body = []byte("bid " + a.id)
	}
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+at(in.ip, portOutbound)+a.path, bytes.NewReader(body))
	if err != nil {
		panic(err) // the URL is built from valid parts
	}
	req.Host = host
	standin.SetAttemptHeaders(req.Header, a.id, a.deadline)
	a.sent = time.Now()
	s.seen.begin(a)
	resp, err := client.Do(req)
	status, wrong := 0, ""
	if err == nil {
		var got []byte
		got, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			status = resp.StatusCode
			wrong = judge(a, resp, got, body)
		}
	}
	s.seen.end(a, func() {
		a.status, a.wrong = status, wrong
		a.own = resp != nil && standin.SignedAttempt(resp.Header) == ""
		if status == 0 && leave > 0 && ctx.Err() != nil {
			a.left = time.Now()
		}
	})
}

// judge returns how a response differs from what the target must send for the
// attempt, or "".
func judge(a *attempt, resp *http.Response, got, sent []byte) string {
	signed := standin.SignedAttempt(resp.Header)
	switch {
	case signed != "" && signed != a.id:
		return fmt.Sprintf("the response with status %d belongs to another request: %q", resp.StatusCode, signed)
	case resp.StatusCode/100 != 2:
		return ""
	case signed == "":
		return "a 2xx response without a target's signature"
	case !bytes.Equal(got, append([]byte(a.id), sent...)):
		return fmt.Sprintf("a 2xx response with a body of %d bytes that differs from the target's", len(got))
	}
	return ""
}
