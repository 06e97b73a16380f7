package calls

import (
	"io"
	"net/http"
	"net/url"

	"siskingw/errdefs"
)

// baseline passes calls on with one http.Transport for each hop and nothing
// else: no route, gate, outcome or deadline. It is the cost that the proxy's
// own connections are compared with.
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

// ServeHTTP passes one call on.
func (b *baseline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = b.next.Scheme, b.next.Host
	resp, err := b.transport.RoundTrip(out)
	if err != nil {
		http.Error(w, errdefs.PeerUnavailable.Wrap(err, "next hop").Error(), http.StatusBadGateway)
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
