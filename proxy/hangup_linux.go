package proxy

import (
	"os"
	"sync"
	"syscall"

	"siskingw/errdefs"
)

// hangupWatcher detects that the peer of a connection has closed it, without a
// goroutine or a system call for each request: a connection is registered once
// with an epoll instance that reports only EPOLLRDHUP, and one goroutine waits
// on that instance through the runtime's network poller.
type hangupWatcher struct {
	file *os.File
	fd   int // of file; File.Fd would set it to blocking mode

	mu        sync.Mutex
	lastID    int32
	callbacks map[int32]func()
}

// maxHangupEvents is the number of events read by one system call.
const maxHangupEvents = 64

// newHangupWatcher creates the epoll instance and starts the goroutine that
// waits on it. It returns an Internal error when the system refuses the
// instance.
func newHangupWatcher() (*hangupWatcher, error) {
	fd, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "create epoll instance")
	}
	if err := syscall.SetNonblock(fd, true); err != nil { // os.NewFile adds only non-blocking files to the network poller
		syscall.Close(fd)
		return nil, errdefs.Internal.Wrap(err, "create epoll instance")
	}
	h := &hangupWatcher{fd: fd, file: os.NewFile(uintptr(fd), "epoll"), callbacks: make(map[int32]func())}
	raw, err := h.file.SyscallConn()
	if err != nil {
		h.file.Close()
		return nil, errdefs.Internal.Wrap(err, "create epoll instance")
	}
	go h.run(raw)
	return h, nil
}

// run calls the registered functions until the epoll instance is closed.
func (h *hangupWatcher) run(raw syscall.RawConn) {
	var events [maxHangupEvents]syscall.EpollEvent
	for {
		n := 0
		err := raw.Read(func(fd uintptr) bool {
			n, _ = syscall.EpollWait(int(fd), events[:], 0)
			return n > 0
		})
		if err != nil {
			return
		}
		for _, e := range events[:n] {
			h.mu.Lock()
			f := h.callbacks[e.Fd]
			h.mu.Unlock()
			if f != nil {
				f()
			}
		}
	}
}

// watch arranges for onHangup to be called once when the peer of conn has
// closed its side. onHangup must not block. The returned function unregisters
// it and must be called before conn is closed. watch returns an Internal error
// when the system refuses the registration.
func (h *hangupWatcher) watch(conn syscall.Conn, onHangup func()) (remove func(), err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "connection")
	}
	h.mu.Lock()
	h.lastID++
	id := h.lastID
	h.callbacks[id] = onHangup
	h.mu.Unlock()
	remove = func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.callbacks, id)
	}
	var ctlErr error
	err = raw.Control(func(fd uintptr) {
		ctlErr = syscall.EpollCtl(h.fd, syscall.EPOLL_CTL_ADD, int(fd),
			&syscall.EpollEvent{Events: syscall.EPOLLRDHUP | syscall.EPOLLONESHOT, Fd: id})
	})
	if err == nil {
		err = ctlErr
	}
	if err != nil {
		remove()
		return nil, errdefs.Internal.Wrap(err, "add a connection to the epoll instance")
	}
	return remove, nil
}

// close stops watching all connections.
func (h *hangupWatcher) close() { h.file.Close() }
