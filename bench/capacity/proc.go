package capacity

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"siskingw/errdefs"
)

const (
	stopTimeout = 10 * time.Second
	// ticksPerSecond is USER_HZ, the unit of CPU time in /proc.
	ticksPerSecond = 100
)

// process is a child process that writes its output to a log file.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// startProcess starts the program name with env added to the environment. Its
// standard output and standard error go to logPath.
func startProcess(logPath string, env []string, name string, args ...string) (*process, error) {
	log, err := os.Create(logPath)
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "log of %s", name)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(name, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), env...)
	// The kernel kills the child when this process dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errdefs.Internal.Wrap(err, "start %s", name)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// stop sends SIGTERM and, after stopTimeout, SIGKILL.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// cpuTime returns the CPU time used by the process, from /proc/PID/stat. It
// fails with Internal when the file cannot be read or parsed.
func (p *process) cpuTime() (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, errdefs.Internal.Wrap(err, "CPU time")
	}
	// Skip the command name, which may contain spaces.
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	const utime, stime = 11, 12
	if len(fields) <= stime {
		return 0, errdefs.Internal.New("/proc stat of process %d has only %d fields", p.cmd.Process.Pid, len(fields))
	}
	var ticks int
	for _, f := range []string{fields[utime], fields[stime]} {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, errdefs.Internal.Wrap(err, "CPU time")
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// memory is the memory usage of the process in MB (2^20 bytes).
type memory struct {
	RSS, Peak, Anonymous, File float64 // resident set: total, peak, anonymous, file-backed
	Heap, HeapSys, Stack       float64 // Go heap in use, Go heap obtained from the OS, Go stacks
	Live                       float64 // estimated live heap after the last GC: half of the next GC goal
}

// readMemory combines /proc/PID/status, /proc/PID/smaps_rollup and the node's
// metrics m.
func (p *process) readMemory(m map[string]float64) (memory, error) {
	status, err := readMB(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return memory{}, err
	}
	smaps, err := readMB(fmt.Sprintf("/proc/%d/smaps_rollup", p.cmd.Process.Pid))
	if err != nil {
		return memory{}, err
	}
	const mb = 1 << 20
	return memory{
		RSS: smaps["Rss"], Peak: status["VmHWM"], Anonymous: smaps["Anonymous"], File: smaps["Rss"] - smaps["Anonymous"],
		Heap: m["go_memstats_heap_inuse_bytes"] / mb, HeapSys: m["go_memstats_heap_sys_bytes"] / mb,
		Stack: m["go_memstats_stack_inuse_bytes"] / mb, Live: m["go_memstats_next_gc_bytes"] / mb / 2,
	}, nil
}

// readMB parses the lines "Name: N kB" of a file in /proc and returns the values
// in MB.
func readMB(path string) (map[string]float64, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "memory")
	}
	defer func() { _ = f.Close() }()
	values := make(map[string]float64)
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		name, rest, ok := strings.Cut(lines.Text(), ":")
		number, isKB := strings.CutSuffix(strings.TrimSpace(rest), " kB")
		if v, err := strconv.ParseFloat(number, 64); ok && isKB && err == nil {
			values[name] = v / 1024
		}
	}
	return values, nil
}

// scrapeMetrics reads the metrics page of the admin listener.
func scrapeMetrics(ctx context.Context, admin string) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics", nil)
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "metrics")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errdefs.PeerUnavailable.Wrap(err, "metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	values := make(map[string]float64)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, number, ok := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(number, 64); ok && err == nil {
			values[name] = v
		}
	}
	return values, nil
}

// isReady reports whether the node has a configuration in force.
func isReady(ctx context.Context, admin string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
