package fleet

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"siskingw/errdefs"
)

// stopTimeout is how long Fleet.Stop waits for the exit of a process before it
// kills it, and how long Kill waits at most.
const stopTimeout = 5 * time.Second

// Process is a child process that can be stopped, paused and restarted. It is
// safe for concurrent use.
type Process struct {
	Name    string
	path    string
	args    []string
	logPath string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{} // closed when the process has exited
	exitErr error         // result of Wait, nil for exit code 0
}

// NewProcess returns a process that has not been started. path is that of the
// binary; standard output and standard error are appended to the file logPath.
func NewProcess(name, path, logPath string, args ...string) *Process {
	return &Process{Name: name, path: path, args: args, logPath: logPath}
}

// Start starts the process. The error is Internal.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errdefs.Internal.Wrap(err, "open log of %s", p.Name)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the process when its parent dies, so that an interrupted
	// run leaves no process behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errdefs.Internal.Wrap(err, "start %s", p.Name)
	}
	done := make(chan struct{})
	p.cmd, p.exited = cmd, done
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.exitErr = err
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// Running reports whether the process has been started and has not exited.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// PID returns the process id, or 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Kill sends SIGKILL and waits for the exit for at most stopTimeout.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.wait(stopTimeout)
}

// Terminate sends SIGTERM, which asks the process to stop gracefully.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Hangup sends SIGHUP, which makes a node reload its settings file.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// Pause suspends the process with SIGSTOP.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a suspended process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// WaitOrKill waits for the exit of the process, and kills it after the timeout.
// It reports whether the process exited within the timeout and with code 0, and
// true if it was never started.
func (p *Process) WaitOrKill(timeout time.Duration) bool {
	if p.wait(timeout) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.exitErr == nil
	}
	p.Kill()
	return false
}

func (p *Process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// wait waits for the exit of the process and reports whether it came within the
// timeout.
func (p *Process) wait(timeout time.Duration) bool {
	p.mu.Lock()
	done := p.exited
	p.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}
