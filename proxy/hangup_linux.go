package proxy

import (
	"os"
	"sync"
	"syscall"

	"siskingw/faults"
)

// hangups tells when the peer of a connection closes it, without a goroutine
// or a system call for each call: connections are registered once with an
// epoll instance that reports only the end of a connection, and one goroutine
// waits on that instance through the runtime's own poller.
type hangups struct {
	file *os.File
	fd   int // File.Fd would make the instance blocking

	mu    sync.Mutex
	last  int32
	ended map[int32]func()
}

// maxHangupEvents is the number of ends read by one system call.
const maxHangupEvents = 64

// newHangups starts the watch.
func newHangups() (*hangups, error) {
	fd, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, faults.Internal.Wrap(err, "epoll instance")
	}
	if err := syscall.SetNonblock(fd, true); err != nil { // os.NewFile polls non-blocking files only
		syscall.Close(fd)
		return nil, faults.Internal.Wrap(err, "epoll instance")
	}
	h := &hangups{fd: fd, file: os.NewFile(uintptr(fd), "epoll"), ended: make(map[int32]func())}
	raw, err := h.file.SyscallConn()
	if err != nil {
		h.file.Close()
		return nil, faults.Internal.Wrap(err, "epoll instance")
	}
	go h.run(raw)
	return h, nil
}

// run reports ends until the instance is closed.
func (h *hangups) run(raw syscall.RawConn) {
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
			f := h.ended[e.Fd]
			h.mu.Unlock()
			if f != nil {
				f()
			}
		}
	}
}

// add calls f, which must return quickly, once the peer of conn has closed its
// side. The returned function ends the watch and must be called before the
// connection is closed.
func (h *hangups) add(conn syscall.Conn, f func()) (remove func(), err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, faults.Internal.Wrap(err, "connection")
	}
	h.mu.Lock()
	h.last++
	id := h.last
	h.ended[id] = f
	h.mu.Unlock()
	remove = func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.ended, id)
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
		return nil, faults.Internal.Wrap(err, "watch of a connection")
	}
	return remove, nil
}

// close ends the watch of all connections.
func (h *hangups) close() { h.file.Close() }
