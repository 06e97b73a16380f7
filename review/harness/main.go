//go:build review

// Command harness runs one case of the review: it starts real nodes against
// stand-ins of the store, the endpoints, the clients and the platform, and
// checks one rule from what the stand-ins see.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// runTimeout ends a case that hangs; the scripts may take 120 seconds.
const runTimeout = 100 * time.Second

// cases maps the name of a case to its function. trouble is false for the run
// without the disruption. The function reports whether the rule was broken.
var cases = map[string]func(r *rig, trouble bool) (broken bool, err error){
	"route":   routeCase,
	"path":    pathCase,
	"memory":  memoryCase,
	"drain":   drainCase,
	"cutlong": cutLongCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	trouble := os.Getenv("TROUBLE") != "0"
	r := newRig(record, dir)
	r.note("case %s, disruption: %v", name, trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](r, trouble)
		done <- result{broken, err}
	}()
	var res result
	select {
	case res = <-done:
	case <-time.After(runTimeout):
		res.err = fmt.Errorf("the case did not end within %v", runTimeout)
	}
	if res.err != nil && os.Getenv("KEEP_LOGS") != "" {
		r.dumpLogs(os.Stderr)
	}
	r.stop()
	switch {
	case res.err != nil:
		r.note("could not run: %v", res.err)
		return 2
	case res.broken:
		r.note("result: the rule was broken")
		return 1
	}
	r.note("result: the rule held")
	return 0
}
