// Package proxy carries calls from a caller to a target through the nodes of
// both: the outbound handler at the caller's node, the inbound handler at the
// target's node, and the pooled connections between them.
//
// Guarantees: an answer reaches only the call that it belongs to, and in full
// or not at all; a refusal states not-run only when no byte of the call can
// have reached the target's handler; no call is sent a second time without
// either that certainty or an idempotent method.
package proxy

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"siskingw/faults"
	"siskingw/object"
)

// Headers between callers, nodes and targets, in canonical form.
const (
	// HeaderOutcome is set on every refusal: OutcomeNotRun or OutcomeUnknown.
	HeaderOutcome = "Siskingw-Outcome"
	// HeaderDeadline is the time that remains for a call, in whole milliseconds.
	HeaderDeadline = "Siskingw-Deadline-Ms"
	// HeaderRetry is "done" on a refusal that was already retried.
	HeaderRetry = "Siskingw-Retry"
	// HeaderFirst is "true" on a keyed request that is certainly no repeat.
	HeaderFirst = "Siskingw-First"
	// HeaderLoad is the load of the target's node: calls divided by slots.
	HeaderLoad = "Siskingw-Load"
	// HeaderDraining is "true" on answers of a node that takes no new work.
	HeaderDraining = "Siskingw-Draining"
	// HeaderKind is the kind of work, set by the caller's node from the route.
	HeaderKind = "Siskingw-Kind"
	// HeaderWork tells the target's node what the route asks for, see work.
	HeaderWork = "Siskingw-Work"
	// HeaderReached is "true" on a refusal of a call that the target saw.
	HeaderReached = "Siskingw-Reached"
	// HeaderCrowded is "true" on a refusal of the target's gate.
	HeaderCrowded = "Siskingw-Crowded"
	// HeaderGate is the state of the target's gate, see gateState.
	HeaderGate = "Siskingw-Gate"
	// HeaderCause is the cause of a refusal, see cause.
	HeaderCause = "Siskingw-Cause"
	// HeaderAfter is when a refused call has a better chance, in ms.
	HeaderAfter = "Siskingw-After-Ms"
	// HeaderVoucher carries the voucher of a key that moved.
	HeaderVoucher = "Siskingw-Voucher"
	// HeaderMovedTo names the new owner of a key in a refusal.
	HeaderMovedTo = "Siskingw-Moved-To"
	// HeaderReplay is "true" on a stored answer to a repeat of keyed work.
	HeaderReplay = "Siskingw-Replay"
	// HeaderExpect is "true" when the caller itself waits for 100 Continue.
	HeaderExpect = "Siskingw-Expect"
	// HeaderKey identifies repeats of one request.
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

// Shared values of headers; nothing may change them.
var (
	headerTrue      = []string{valueTrue}
	connectionClose = []string{"close"}
	expectContinue  = []string{"100-continue"}
	chunked         = []string{"chunked"}
	noUserAgent     = []string{""} // keeps Request.Write from adding its own
	kindValues      = map[object.WorkKind][]string{
		object.WorkBid: {"bid"}, object.WorkUpload: {"upload"}, object.WorkPage: {"page"},
	}
	loadValues = newLoadValues()
)

// newLoadValues formats the usual loads in steps of 0.01.
func newLoadValues() [201][]string {
	var v [201][]string
	for i := range v {
		v[i] = []string{strconv.FormatFloat(float64(i)/100, 'f', 2, 64)}
	}
	return v
}

// loadValue returns the header value for a load.
func loadValue(load float64) []string {
	if i := int(load * 100); load >= 0 && i < len(loadValues) {
		return loadValues[i]
	}
	return []string{strconv.FormatFloat(load, 'f', 2, 64)}
}

// maxDeadline bounds the time that a caller may ask for; longer values are
// cut to it. It also keeps the arithmetic on durations from overflowing.
const maxDeadline = time.Hour

// ParseDeadline reads a HeaderDeadline value. Only decimal digits are
// allowed; it returns an Invalid error otherwise.
func ParseDeadline(v string) (time.Duration, error) {
	const maxDigits = 18 // fits an int64
	if v == "" || len(v) > maxDigits {
		return 0, faults.Invalid.New("%s %q is not a number of milliseconds", HeaderDeadline, v)
	}
	var ms int64
	for i := range len(v) {
		if v[i] < '0' || v[i] > '9' {
			return 0, faults.Invalid.New("%s %q is not a number of milliseconds", HeaderDeadline, v)
		}
		ms = ms*10 + int64(v[i]-'0')
	}
	if ms > maxDeadline.Milliseconds() {
		return maxDeadline, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// formatMs writes a time as whole milliseconds, at least 0.
func formatMs(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 0), 10)
}

// ParseOutcome reads a HeaderOutcome value. It returns an Invalid error for
// any value that a node never sends.
func ParseOutcome(v string) (string, error) {
	switch v {
	case OutcomeNotRun, OutcomeUnknown:
		return v, nil
	}
	return "", faults.Invalid.New("%s %q is not an outcome", HeaderOutcome, v)
}

// ParseKind reads a HeaderKind value; anything unknown counts as a page, the
// kind that is shed first.
func ParseKind(v string) object.WorkKind {
	switch k := object.WorkKind(v); k {
	case object.WorkBid, object.WorkUpload:
		return k
	}
	return object.WorkPage
}

// ParseLoad reads a HeaderLoad value; ok is false for one that is no load.
func ParseLoad(v string) (load float64, ok bool) {
	const maxLoad = 1e6
	load, err := strconv.ParseFloat(v, 64)
	if err != nil || !(load >= 0 && load <= maxLoad) {
		return 0, false
	}
	return load, true
}

// hopByHop reports whether a header concerns one connection only (RFC 9110,
// section 7.6.1). Request.Write and the server frame messages themselves.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// protected reports whether a Connection header may not name the header: a
// caller could otherwise strip what at-most-once and framing depend on.
func protected(name string) bool {
	switch name {
	case HeaderKey, "Content-Length", "Host", "Expect", "Authorization", "Cookie":
		return true
	}
	return strings.HasPrefix(name, headerPrefix)
}

// connectionTokens returns the canonical names that Connection headers list.
// It returns nil without allocating for a message without the header.
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

// copyHeader puts the end-to-end headers of src into dst. The values are
// shared, not copied.
func copyHeader(dst, src http.Header) {
	listed := connectionTokens(src)
	for k, v := range src {
		if !hopByHop(k) {
			dst[k] = v
		}
	}
	for _, k := range listed {
		if !protected(k) {
			delete(dst, k)
		}
	}
}

// checkRequest refuses requests that this proxy never forwards. It returns a
// status and a reason, or status 0.
func checkRequest(r *http.Request) (status int, reason string) {
	if r.Method == http.MethodConnect {
		return http.StatusNotImplemented, "method CONNECT is not supported"
	}
	if _, ok := r.Header["Upgrade"]; ok {
		return http.StatusNotImplemented, "upgrades are not supported"
	}
	if v, ok := r.Header[HeaderKey]; ok && (len(v) != 1 || v[0] == "") {
		return http.StatusBadRequest, "header " + HeaderKey + " needs exactly one value"
	}
	if len(r.Header["Connection"]) == 0 {
		return 0, ""
	}
	for _, name := range connectionTokens(r.Header) {
		if protected(name) {
			return http.StatusBadRequest, "header Connection names " + name
		}
	}
	return 0, ""
}
