// Package proxy forwards HTTP calls from a caller to a target through the nodes
// of both. It has the outbound handler on the caller's node, the inbound handler
// on the target's node, and the connection pool between them.
//
// Guarantees:
//   - A response reaches only the call that it belongs to, in full or not at all:
//     one that breaks off ends with a connection reset.
//   - A refusal says not-run only if no byte of the call can have reached the
//     target's handler.
//   - A call is retried only if it certainly did not run or is idempotent.
package proxy

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"siskingw/errdefs"
	"siskingw/object"
)

// Header names in canonical form.
const (
	// HeaderOutcome is set on every refusal: OutcomeNotRun or OutcomeUnknown.
	HeaderOutcome = "Siskingw-Outcome"
	// HeaderDeadline is the time left until the call's deadline, in whole
	// milliseconds.
	HeaderDeadline = "Siskingw-Deadline-Ms"
	// HeaderRetry is "done" on a refusal that was already retried.
	HeaderRetry = "Siskingw-Retry"
	// HeaderFirst is "true" on a keyed request that is certainly the first attempt
	// with its key. Without it, the request may be a retry.
	HeaderFirst = "Siskingw-First"
	// HeaderLoad is the load of the target: calls divided by slots.
	HeaderLoad = "Siskingw-Load"
	// HeaderDraining is "true" on responses of a draining node, which accepts no
	// new calls.
	HeaderDraining = "Siskingw-Draining"
	// HeaderKind is the kind of work, set by the caller's node from the route.
	HeaderKind = "Siskingw-Kind"
	// HeaderWork carries the call's attributes to the target's node, see work.
	HeaderWork = "Siskingw-Work"
	// HeaderReached is "true" on a refusal of a call that the target received.
	HeaderReached = "Siskingw-Reached"
	// HeaderCrowded is "true" on a refusal by the target's admission gate.
	HeaderCrowded = "Siskingw-Crowded"
	// HeaderGate is the state of the target's admission gate, see gateState.
	HeaderGate = "Siskingw-Gate"
	// HeaderCause is the cause of a refusal, see cause.
	HeaderCause = "Siskingw-Cause"
	// HeaderAfter is the expected wait at the gate that refused the call, in ms.
	HeaderAfter = "Siskingw-After-Ms"
	// HeaderVoucher is the signed proof that a key's owner handed the key over to
	// the receiver.
	HeaderVoucher = "Siskingw-Voucher"
	// HeaderMovedTo is the node ID of a key's new owner, on a refusal.
	HeaderMovedTo = "Siskingw-Moved-To"
	// HeaderReplay is "true" on a stored response to a retry of a keyed request.
	HeaderReplay = "Siskingw-Replay"
	// HeaderExpect is "true" if the caller itself waits for 100 Continue.
	HeaderExpect = "Siskingw-Expect"
	// HeaderKey identifies all attempts of one request.
	HeaderKey = "Idempotency-Key"
)

// Values of HeaderOutcome.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

const (
	headerPrefix = "Siskingw-"
	valueTrue    = "true"
	valueDone    = "done"
)

// Shared header values; they must not be modified.
var (
	headerTrue      = []string{valueTrue}
	connectionClose = []string{"close"}
	expectContinue  = []string{"100-continue"}
	chunkedEncoding = []string{"chunked"}
	noUserAgent     = []string{""} // keeps Request.Write from adding its own
	kindValues      = map[object.WorkKind][]string{
		object.WorkBid: {"bid"}, object.WorkUpload: {"upload"}, object.WorkPage: {"page"},
		object.WorkDownload: {"download"},
	}
	loadValues = newLoadValues()
)

// newLoadValues formats the loads from 0 to 2 in steps of 0.01, so that a response
// needs no formatting.
func newLoadValues() [201][]string {
	var v [201][]string
	for i := range v {
		v[i] = []string{strconv.FormatFloat(float64(i)/100, 'f', 2, 64)}
	}
	return v
}

// loadValue returns the HeaderLoad value for a load.
func loadValue(load float64) []string {
	if i := int(load * 100); load >= 0 && i < len(loadValues) {
		return loadValues[i]
	}
	return []string{strconv.FormatFloat(load, 'f', 2, 64)}
}

// maxDeadline is the longest timeout that a caller may request; longer ones are
// reduced to it. It also keeps duration arithmetic from overflowing.
const maxDeadline = time.Hour

// ParseDeadline parses a HeaderDeadline value and returns at most maxDeadline, 1 h.
// It returns an Invalid error for anything but 1 to 18 decimal digits.
func ParseDeadline(v string) (time.Duration, error) {
	const maxDigits = 18 // fits an int64
	if v == "" || len(v) > maxDigits {
		return 0, errdefs.Invalid.New("%s %q is not a number of milliseconds", HeaderDeadline, v)
	}
	var ms int64
	for i := range len(v) {
		if v[i] < '0' || v[i] > '9' {
			return 0, errdefs.Invalid.New("%s %q is not a number of milliseconds", HeaderDeadline, v)
		}
		ms = ms*10 + int64(v[i]-'0')
	}
	if ms > maxDeadline.Milliseconds() {
		return maxDeadline, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// formatMs formats a duration in whole milliseconds, at least 0.
func formatMs(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 0), 10)
}

// ParseOutcome parses a HeaderOutcome value. It returns an Invalid error for any
// other value than the two outcomes.
func ParseOutcome(v string) (string, error) {
	switch v {
	case OutcomeNotRun, OutcomeUnknown:
		return v, nil
	}
	return "", errdefs.Invalid.New("%s %q is not an outcome", HeaderOutcome, v)
}

// ParseKind parses a HeaderKind value. Unknown values become a page, the kind
// that is shed first under overload.
func ParseKind(v string) object.WorkKind {
	switch k := object.WorkKind(v); k {
	case object.WorkBid, object.WorkUpload, object.WorkDownload:
		return k
	}
	return object.WorkPage
}

// ParseLoad parses a HeaderLoad value, calls divided by slots; ok is false if it is
// not a number from 0 to 1e6.
func ParseLoad(v string) (load float64, ok bool) {
	const maxLoad = 1e6
	load, err := strconv.ParseFloat(v, 64)
	if err != nil || !(load >= 0 && load <= maxLoad) {
		return 0, false
	}
	return load, true
}

// hopByHop reports whether a header applies to one connection only (RFC 9110,
// section 7.6.1). Request.Write and the server set the framing headers
// themselves.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// protectedHeader reports whether a Connection header must not list this header.
// Otherwise a caller could remove headers that message framing and at-most-once
// execution depend on.
func protectedHeader(name string) bool {
	switch name {
	case HeaderKey, "Content-Length", "Host", "Expect", "Authorization", "Cookie":
		return true
	}
	return strings.HasPrefix(name, headerPrefix)
}

// connectionTokens returns the canonical header names that the Connection headers
// list. Without such a header it returns nil and does not allocate.
func connectionTokens(h http.Header) []string {
	var names []string
	for _, v := range h["Connection"] {
		for t := range strings.SplitSeq(v, ",") {
			if t = textproto.TrimString(t); t != "" {
				names = append(names, textproto.CanonicalMIMEHeaderKey(t))
			}
		}
	}
	return names
}

// copyHeader sets the end-to-end headers of src in dst and deletes from dst those
// that a Connection header of src lists, except protected ones. The value slices
// are shared, not copied.
func copyHeader(dst, src http.Header) {
	listed := connectionTokens(src)
	for k, v := range src {
		if !hopByHop(k) {
			dst[k] = v
		}
	}
	for _, k := range listed {
		if !protectedHeader(k) {
			delete(dst, k)
		}
	}
}

// checkRequest returns the status and reason to refuse a request that the proxy
// does not forward, or status 0 if it is acceptable. With noKeys, the header of
// idempotency keys may have any value.
func checkRequest(r *http.Request, noKeys bool) (status int, reason string) {
	if r.Method == http.MethodConnect {
		return http.StatusNotImplemented, "method CONNECT is not supported"
	}
	if _, ok := r.Header["Upgrade"]; ok {
		return http.StatusNotImplemented, "upgrades are not supported"
	}
	if v, ok := r.Header[HeaderKey]; ok && !noKeys && (len(v) != 1 || v[0] == "") {
		return http.StatusBadRequest, "header " + HeaderKey + " needs exactly one value"
	}
	if len(r.Header["Connection"]) == 0 {
		return 0, ""
	}
	for _, name := range connectionTokens(r.Header) {
		if protectedHeader(name) {
			return http.StatusBadRequest, "header Connection names " + name
		}
	}
	return 0, ""
}
