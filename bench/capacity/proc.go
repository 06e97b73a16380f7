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
	// ticksPerSecond is USER_HZ, in which /proc counts processor time.
	ticksPerSecond = 100
)

// process is a child process with its log file.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// startProcess starts a program; env is added to the environment.
func startProcess(logPath string, env []string, name string, args ...string) (*process, error) {
	log, err := os.Create(logPath)
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "log of %s", name)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(name, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), env...)
	// The kernel ends the process when this one dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errdefs.Internal.Wrap(err, "%s does not start", name)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// stop ends the process gracefully, then by force.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// cpu returns the processor time that the process has used, from /proc/PID/stat.
func (p *process) cpu() (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, errdefs.Internal.Wrap(err, "processor time")
	}
	// The fields after the command name, which may contain spaces.
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	const utime, stime = 11, 12
	if len(fields) <= stime {
		return 0, errdefs.Internal.New("stat of process %d has %d fields", p.cmd.Process.Pid, len(fields))
	}
	var ticks int
	for _, f := range []string{fields[utime], fields[stime]} {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, errdefs.Internal.Wrap(err, "processor time")
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// memory is the process's memory in MB (2^20 bytes).
type memory struct {
	RSS, Peak, Anonymous, File float64 // resident: all, highest, anonymous, of files
	Heap, HeapSys, Stack       float64 // of Go: in use, obtained from the system, stacks
	Live                       float64 // reachable at the last collection, as far as known: half of the next goal
}

// readMemory reads /proc/PID/status, /proc/PID/smaps_rollup and the metrics.
func (p *process) readMemory(m map[string]float64) (memory, error) {
	status, err := readKB(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return memory{}, err
	}
	smaps, err := readKB(fmt.Sprintf("/proc/%d/smaps_rollup", p.cmd.Process.Pid))
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

// readKB reads the lines "Name: N kB" of a file in /proc, in MB.
func readKB(path string) (map[string]float64, error) {
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

// scrape reads the metrics page of the admin listener.
func scrape(ctx context.Context, admin string) (map[string]float64, error) {
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

// ready reports whether the node has a configuration in force.
func ready(ctx context.Context, admin string) bool {
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
