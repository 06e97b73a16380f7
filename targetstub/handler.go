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

// Paths and headers of the stand-in. Every other path is work.
const (
	PathBehavior = "/_stub/behavior" // GET, or PATCH with some fields of Behavior
	PathLedger   = "/_stub/ledger"   // GET, with ?id= for one entry; DELETE forgets
	PathHealth   = "/_stub/health"   // 200 when up, 503 when draining, as far as it tells the truth
	PathLoad     = "/_stub/load"     // load per slot as a decimal number

	HeaderRequestID = "X-Request-Id"
	HeaderDeadline  = "Siskingw-Deadline-Ms" // remaining time in ms
)

// Handler returns the HTTP handler of the stand-in.
func (s *Stub) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathBehavior, s.getBehavior)
	mux.HandleFunc("PATCH "+PathBehavior, s.patchBehavior)
	mux.HandleFunc("GET "+PathLedger, s.getLedger)
	mux.HandleFunc("DELETE "+PathLedger, func(http.ResponseWriter, *http.Request) { s.ledger.reset() })
	mux.HandleFunc("GET "+PathHealth, s.getHealth)
	mux.HandleFunc("GET "+PathLoad, s.getLoad)
	mux.HandleFunc("/", s.work)
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
	down := s.at(b.HealthLagMs).draining
	if b.HealthLie != "" {
		down = b.HealthLie == "down"
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Stub) getLoad(w http.ResponseWriter, _ *http.Request) {
	b := s.Behavior()
	load := s.at(b.LoadLagMs).load
	if b.LoadLie != nil {
		load = *b.LoadLie
	}
	io.WriteString(w, strconv.FormatFloat(load, 'f', -1, 64))
}

// historyTime is how far back the lagging endpoints can look.
const historyTime = time.Minute

// sampleGap is the least time between two kept samples.
const sampleGap = 10 * time.Millisecond

// sample keeps the present state. The stand-in is locked.
func (s *Stub) sample() {
	now := time.Now()
	next := sample{at: now, load: float64(s.inFlight+len(s.waiting)) / float64(s.behavior.Slots), draining: s.behavior.Draining}
	if n := len(s.history); n > 0 && now.Sub(s.history[n-1].at) < sampleGap {
		next.at = s.history[n-1].at
		s.history[n-1] = next
		return
	}
	for len(s.history) > 1 && now.Sub(s.history[1].at) > historyTime {
		s.history = s.history[1:]
	}
	s.history = append(s.history, next)
}

// at returns the state as it was lagMs ago.
func (s *Stub) at(lagMs float64) sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sample()
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

// work answers one request as the behavior says.
func (s *Stub) work(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderRequestID)
	s.ledger.record(id, func(e *Entry) { e.Received++ })
	b := s.Behavior()
	if b.Draining {
		s.refuse(w, id, http.StatusServiceUnavailable)
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
		s.refuse(w, id, status)
		return
	}
	defer s.release()
	s.ledger.record(id, func(e *Entry) { e.Started++ })
	if !s.readBody(r, id) || !s.spend(ctx, b) {
		s.ledger.record(id, func(e *Entry) { e.Canceled++ })
		s.refuse(w, id, http.StatusGatewayTimeout)
		return
	}
	s.respond(w, r, id, b)
}

// withDeadline returns the request's context, bounded by the deadline header.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	if ms, err := strconv.Atoi(r.Header.Get(HeaderDeadline)); err == nil {
		return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	}
	return context.WithCancel(r.Context())
}

// readBody reads the request body and reports whether it was complete.
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

// spend takes the work time and reports whether it was not cut short.
func (s *Stub) spend(ctx context.Context, b Behavior) bool {
	if chance(b.HangPercent) {
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

// respond answers with a body that repeats the request id, so that a caller can
// tell its own response from another's.
func (s *Stub) respond(w http.ResponseWriter, r *http.Request, id string, b Behavior) {
	if chance(b.FailPercent) {
		s.refuse(w, id, http.StatusInternalServerError)
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
	if chance(b.CutPercent) {
		io.WriteString(w, body[:len(body)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, body)
}

// Body returns the response body of the given size for a request id.
func Body(id string, size int) string {
	line := "request " + id + "\n"
	return strings.Repeat(line, size/len(line)+1)[:size]
}

func (s *Stub) refuse(w http.ResponseWriter, id string, status int) {
	s.ledger.record(id, func(e *Entry) { e.Failed++ })
	http.Error(w, http.StatusText(status), status)
}

func chance(percent float64) bool { return percent > 0 && rand.Float64()*100 < percent }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
