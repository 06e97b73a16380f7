package fleet

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"siskingw/errdefs"
)

// stopTimeout is how long a process may take to end before it is killed.
const stopTimeout = 5 * time.Second

// Process is a child process that can be stopped, paused and started again.
type Process struct {
	Name    string
	path    string
	args    []string
	logPath string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error
}

// NewProcess returns a process that is not started. Its output goes to the log
// file.
func NewProcess(name, path, logPath string, args ...string) *Process {
	return &Process{Name: name, path: path, args: args, logPath: logPath}
}

// Start starts the process. Its output is appended to its log file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errdefs.Internal.Wrap(err, "log of %s", p.Name)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel ends the process when its parent dies, so that an interrupted
	// run leaves none behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errdefs.Internal.Wrap(err, "%s does not start", p.Name)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// Running reports whether the process has been started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
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

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.wait(stopTimeout)
}

// Terminate asks the process to stop gracefully.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Hangup tells the process that its settings file has changed.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// Pause stops the process without ending it.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// WaitOrKill waits for the end of the process, and kills it after the timeout.
// It reports whether the process ended by itself without an error.
func (p *Process) WaitOrKill(timeout time.Duration) bool {
	if p.wait(timeout) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err == nil
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

// wait reports whether the process ended within the timeout.
func (p *Process) wait(timeout time.Duration) bool {
	p.mu.Lock()
	done := p.done
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
