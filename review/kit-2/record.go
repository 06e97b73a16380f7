//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// execution is one run of a request by an endpoint.
type execution struct {
	endpoint, service string
	at                time.Time
}

// record collects what was sent, run and answered, and writes it to record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	runs  map[string][]execution // by Attempt-Id
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, runs: make(map[string][]execution)}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(format, args...)
}

func (r *record) addLocked(format string, args ...any) {
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) run(id, endpoint, service, request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], execution{endpoint, service, time.Now()})
	r.addLocked("endpoint %s (%s) runs %s: %s", endpoint, service, id, request)
}

func (r *record) runsOf(id string) []execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.add(format, args...)
}
