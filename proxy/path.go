package proxy

import (
	"net/http"
	"net/url"
	"strings"

	"siskingw/object"
)

// sentPath returns the path of the request as the caller sent it, with its escapes.
func sentPath(r *http.Request) string {
	if r.URL.RawPath != "" {
		return r.URL.RawPath
	}
	return r.URL.EscapedPath()
}

// routePath returns the path on which the route of the request is selected. It
// returns a refusal for a path that cannot be passed on as it was sent.
func routePath(r *http.Request) (string, *refusal) {
	sent := sentPath(r)
	path, ok := object.NormalizePath(sent)
	if !ok {
		return "", badRequest("the path holds an invalid escape")
	}
	if strings.HasPrefix(sent, "//") && r.URL.EscapedPath() != sent {
		return "", badRequest("the path begins with // and holds characters that must be escaped")
	}
	return path, nil
}

// nextHopURL returns the URL of the request to the next hop. Its path is the one
// that the caller sent, byte for byte: url.URL escapes characters such as "|",
// which a target would take for another path.
func nextHopURL(r *http.Request) *url.URL {
	sent := sentPath(r)
	if r.URL.EscapedPath() == sent || strings.HasPrefix(sent, "//") {
		return r.URL
	}
	u := *r.URL
	u.Scheme, u.Host, u.Opaque = "", "", sent
	return &u
}
