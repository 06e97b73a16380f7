package capacity

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"siskingw/errdefs"
)

const (
	// callsPerSecond is each node's share of the fleet's call rate at the target
	// size.
	callsPerSecond = 190
	// The node calls calledServices services, beginning with index
	// firstCalledService. Configuration changes of a run touch only services with
	// a lower index.
	firstCalledService = 1000
	calledServices     = 20
)

// hasCalledServices reports whether the run has the services that the node calls.
func (b *bench) hasCalledServices() bool {
	return b.opts.Services >= firstCalledService+calledServices && !b.opts.Accept && b.opts.Endpoints >= b.opts.Services
}

// serveTargets serves calls as the node's own target and as the inbound listeners
// of the members that announce a called service.
func (b *bench) serveTargets() error {
	if !b.hasCalledServices() {
		return nil
	}
	addrs := []string{b.settings.Target.Address}
	for i := range calledServices {
		for _, r := range b.stub.dir.Endpoints(serviceName(firstCalledService + i)) {
			addrs = append(addrs, r.InboundAddr)
		}
	}
	b.targetServer = &http.Server{ReadHeaderTimeout: callTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})}
	for _, a := range addrs {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return errdefs.Internal.Wrap(err, "target listener")
		}
		go func() { _ = b.targetServer.Serve(l) }()
	}
	return nil
}

// callOut calls a random service through the node's outbound listener.
func (b *bench) callOut(ctx context.Context) error {
	return get(ctx, b.settings.Listen.Outbound, serviceName(firstCalledService+rand.IntN(calledServices))+".mesh")
}

// callIn calls the node's target as the caller's node does.
func (b *bench) callIn(ctx context.Context) error { return get(ctx, b.settings.Listen.Inbound, "") }

// get makes one call and reads the response. It fails on transport errors and on
// a status other than 200.
func get(ctx context.Context, addr, host string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/item", nil)
	if err != nil {
		return errdefs.Internal.Wrap(err, "call")
	}
	req.Host = host
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errdefs.PeerUnavailable.Wrap(err, "call to %s", addr)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return errdefs.Internal.New("call of %q through %s returned status %s", host, addr, resp.Status)
	}
	return nil
}

// callPeriod is the interval between calls.
const callPeriod = time.Second / callsPerSecond
