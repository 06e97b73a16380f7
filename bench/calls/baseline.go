package calls

import (
	"io"
	"net/http"
	"net/url"

	"siskingw/errdefs"
)

// baseline is one hop of a minimal reverse proxy, which the proxy's own
// connection handling is compared with: it forwards calls through an
// http.Transport and has no routes, gate, outcomes or deadlines.
type baseline struct {
	next      *url.URL
	transport *http.Transport
}

func newBaseline(next string) *baseline {
	return &baseline{
		next: &url.URL{Scheme: "http", Host: next},
		transport: &http.Transport{
			MaxIdleConnsPerHost: benchSlots,
			DisableCompression:  true,
		},
	}
}

// ServeHTTP forwards one call to the next hop.
func (b *baseline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = b.next.Scheme, b.next.Host
	resp, err := b.transport.RoundTrip(out)
	if err != nil {
		http.Error(w, errdefs.PeerUnavailable.Wrap(err, "call the next hop").Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
