package crowd

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// usage watches the open descriptors and the peak memory of a process.
type usage struct {
	node     *node
	pid      int
	mu       sync.Mutex
	maxFiles int
	peakKB   int
}

// watchUsage samples the usage of a node until the end of the test.
func watchUsage(t *testing.T, n *node) *usage {
	t.Helper()
	u := &usage{node: n, pid: n.PID()}
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(20 * time.Millisecond)
		defer tick.Stop()
		for {
			u.sample()
			select {
			case <-done:
				return
			case <-tick.C:
			}
		}
	}()
	t.Cleanup(func() { close(done); <-ended })
	return u
}

// sample reads the current usage. The kernel keeps the peak of the memory, so only
// the descriptors depend on the moment.
func (u *usage) sample() {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.pid)) // gone when the process has ended
	peak := statusKB(u.pid, "VmHWM")
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxFiles, u.peakKB = max(u.maxFiles, len(files)), max(u.peakKB, peak)
}

// check fails the test if the process has ended or was beyond a limit.
func (u *usage) check(t *testing.T, when string) {
	t.Helper()
	u.sample()
	u.mu.Lock()
	defer u.mu.Unlock()
	t.Logf("%s: %s: peak memory %d MiB, now %d MiB, at most %d descriptors",
		when, u.node.Name, u.peakKB>>10, statusKB(u.pid, "VmRSS")>>10, u.maxFiles)
	if !u.node.Running() {
		t.Errorf("%s: %s has ended", when, u.node.Name)
	}
	if u.peakKB > memoryMB<<10 {
		t.Errorf("%s: %s used %d MiB of memory, its machine has %d MiB", when, u.node.Name, u.peakKB>>10, memoryMB)
	}
	if u.maxFiles > maxFiles {
		t.Errorf("%s: %s had %d descriptors open, its limit is %d", when, u.node.Name, u.maxFiles, maxFiles)
	}
}

// statusKB returns a field of /proc/PID/status in KiB, or 0 if the process has ended.
func statusKB(pid int, field string) int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		if value, ok := strings.CutPrefix(s.Text(), field+":"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}
