package targetstub

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"siskingw/errdefs"
)

// Paths and headers of the stub. Requests to all other paths take a slot and the
// work time.
const (
	PathBehavior = "/_stub/behavior" // GET, or PATCH with some fields of Behavior
	PathLedger   = "/_stub/ledger"   // GET, with ?id= for one entry; DELETE clears it
	PathHealth   = "/_stub/health"   // 200 when up, 503 when draining, subject to FalseHealth and HealthLagMs
	PathLoad     = "/_stub/load"     // running and waiting requests per slot, as a decimal number

	HeaderRequestID = "X-Request-Id"
	HeaderDeadline  = "Siskingw-Deadline-Ms" // time left until the deadline in ms
)

// Handler returns the HTTP handler of the stub.
func (s *Stub) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathBehavior, s.getBehavior)
	mux.HandleFunc("PATCH "+PathBehavior, s.patchBehavior)
	mux.HandleFunc("GET "+PathLedger, s.getLedger)
	mux.HandleFunc("DELETE "+PathLedger, func(http.ResponseWriter, *http.Request) { s.ledger.reset() })
	mux.HandleFunc("GET "+PathHealth, s.getHealth)
	mux.HandleFunc("GET "+PathLoad, s.getLoad)
	mux.HandleFunc("/", s.serveRequest)
	return mux
}

func (s *Stub) getBehavior(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Behavior()) }

func (s *Stub) patchBehavior(w http.ResponseWriter, r *http.Request) {
	var err error
	s.Set(func(b *Behavior) { err = b.patch(r.Body) })
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.getBehavior(w, r)
}

func (s *Stub) getLedger(w http.ResponseWriter, r *http.Request) {
	if id := r.URL.Query().Get("id"); id != "" {
		e, _ := s.Entry(id)
		writeJSON(w, e)
		return
	}
	total, entries := s.Entries()
	writeJSON(w, map[string]any{"total": total, "entries": entries})
}

func (s *Stub) getHealth(w http.ResponseWriter, _ *http.Request) {
	b := s.Behavior()
	down := s.stateAt(b.HealthLagMs).draining
	if b.FalseHealth != "" {
		down = b.FalseHealth == "down"
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Stub) getLoad(w http.ResponseWriter, _ *http.Request) {
	b := s.Behavior()
	load := s.stateAt(b.LoadLagMs).load
	if b.FalseLoad != nil {
		load = *b.FalseLoad
	}
	io.WriteString(w, strconv.FormatFloat(load, 'f', -1, 64))
}

// historyWindow is the maximum age of the state that the health and load endpoints
// can report.
const historyWindow = time.Minute

// minSampleInterval is the minimum interval between two stored samples.
const minSampleInterval = 10 * time.Millisecond

// recordSample adds the current state to the history. The caller must hold s.mu.
func (s *Stub) recordSample() {
	now := time.Now()
	next := sample{at: now, load: float64(s.inFlight+len(s.waiting)) / float64(s.behavior.Slots), draining: s.behavior.Draining}
	if n := len(s.history); n > 0 && now.Sub(s.history[n-1].at) < minSampleInterval {
		next.at = s.history[n-1].at
		s.history[n-1] = next
		return
	}
	for len(s.history) > 1 && now.Sub(s.history[1].at) > historyWindow {
		s.history = s.history[1:]
	}
	s.history = append(s.history, next)
}

// stateAt returns the state as it was lagMs ago.
func (s *Stub) stateAt(lagMs float64) sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordSample()
	when := time.Now().Add(-time.Duration(lagMs * float64(time.Millisecond)))
	var found sample
	for _, h := range s.history {
		if h.at.After(when) {
			break
		}
		found = h
	}
	return found
}

// serveRequest handles one request according to the behavior.
func (s *Stub) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderRequestID)
	s.ledger.record(id, func(e *Entry) { e.Received++ })
	b := s.Behavior()
	if b.Draining {
		s.respondError(w, id, http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if err := s.acquire(ctx); err != nil {
		status := http.StatusServiceUnavailable
		if errorx.IsOfType(err, errdefs.Timeout) {
			status = http.StatusGatewayTimeout
			s.ledger.record(id, func(e *Entry) { e.Canceled++ })
		}
		s.respondError(w, id, status)
		return
	}
	defer s.release()
	s.ledger.record(id, func(e *Entry) { e.Started++ })
	if !s.readBody(r, id) || !s.simulateWork(ctx, b) {
		s.ledger.record(id, func(e *Entry) { e.Canceled++ })
		s.respondError(w, id, http.StatusGatewayTimeout)
		return
	}
	s.respond(w, r, id, b)
}

// withDeadline returns the request's context, with the timeout of the deadline
// header if there is one.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	if ms, err := strconv.Atoi(r.Header.Get(HeaderDeadline)); err == nil {
		return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	}
	return context.WithCancel(r.Context())
}

// readBody discards the request body and reports whether it arrived in full.
func (s *Stub) readBody(r *http.Request, id string) bool {
	n, err := io.Copy(io.Discard, r.Body)
	s.ledger.record(id, func(e *Entry) {
		if err != nil {
			e.CutBodies++
			return
		}
		e.BodyBytes += n
	})
	return err == nil
}

// simulateWork waits for the work time and reports whether it elapsed before ctx
// ended. With IgnoreCancel it waits for it in full.
func (s *Stub) simulateWork(ctx context.Context, b Behavior) bool {
	if randomChance(b.HangPercent) {
		<-ctx.Done()
		return false
	}
	done := time.NewTimer(s.workTime())
	defer done.Stop()
	if b.IgnoreCancel {
		<-done.C
		return true
	}
	select {
	case <-done.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// respond writes a response whose body repeats the request id, so that a caller
// can detect a response to another request.
func (s *Stub) respond(w http.ResponseWriter, r *http.Request, id string, b Behavior) {
	if randomChance(b.FailPercent) {
		s.respondError(w, id, http.StatusInternalServerError)
		return
	}
	size := b.BodyBytes
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil {
		size = min(max(n, 0), maxBodyBytes)
	}
	body := Body(id, size)
	s.ledger.record(id, func(e *Entry) { e.Finished++ })
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if randomChance(b.CutPercent) {
		io.WriteString(w, body[:len(body)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, body)
}

// Body returns the response body for a request id; size is in bytes.
func Body(id string, size int) string {
	line := "request " + id + "\n"
	return strings.Repeat(line, size/len(line)+1)[:size]
}

// respondError responds with an error status.
func (s *Stub) respondError(w http.ResponseWriter, id string, status int) {
	s.ledger.record(id, func(e *Entry) { e.Failed++ })
	http.Error(w, http.StatusText(status), status)
}

// randomChance returns true with a probability given in percent.
func randomChance(percent float64) bool { return percent > 0 && rand.Float64()*100 < percent }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
