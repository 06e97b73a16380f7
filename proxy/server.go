package proxy

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
)

// ServerOptions bounds the connections of a listener. Zero values mean the defaults.
type ServerOptions struct {
	HeaderTimeout  time.Duration // for reading a request's header; default 5 s
	IdleTimeout    time.Duration // between requests; default 75 s
	MaxHeaderBytes int           // default 64 KB
	Log            logr.Logger   // of a ConnServer; the zero value logs nothing

	// Pipeline is the number of requests of one connection that a ConnServer
	// serves at the same time; by default one after the other.
	Pipeline int
	// Bodies says which bodies a ConnServer with a Pipeline reads ahead.
	Bodies BodyOptions
	// Limits returns limits that may change while the server runs; zero values
	// mean those above. It may be nil.
	Limits func() ServerLimits
}

// ServerLimits bounds what callers may send and how long they may take.
type ServerLimits struct {
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxHeaderBytes int
}

// or returns the limits with those of opts in place of zero values.
func (l ServerLimits) or(opts ServerOptions) ServerLimits {
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = opts.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = opts.IdleTimeout
	}
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = opts.MaxHeaderBytes
	}
	return l
}

const (
	defaultHeaderTimeout = 5 * time.Second
	// defaultServerIdle is above defaultPoolIdle, so that the sending side
	// closes an idle connection first and never writes to one that the server
	// is closing.
	defaultServerIdle     = 75 * time.Second
	defaultMaxHeaderBytes = 64 << 10
)

// NewServer returns a server for one of the handlers. It speaks HTTP/1.1 only.
func NewServer(handler http.Handler, opts ServerOptions) *http.Server {
	opts = opts.withDefaults()
	return &http.Server{
		Handler:                      handler,
		DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout:            opts.HeaderTimeout,
		WriteTimeout:                 stallTimeout, // extended while an answer moves
		IdleTimeout:                  opts.IdleTimeout,
		MaxHeaderBytes:               opts.MaxHeaderBytes,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, nc)
		},
	}
}

func (opts ServerOptions) withDefaults() ServerOptions {
	if opts.HeaderTimeout <= 0 {
		opts.HeaderTimeout = defaultHeaderTimeout
	}
	if opts.IdleTimeout <= 0 {
		opts.IdleTimeout = defaultServerIdle
	}
	if opts.MaxHeaderBytes <= 0 {
		opts.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if opts.Bodies.MaxBuffered == 0 {
		opts.Bodies.MaxBuffered = defaultBufferedBody
	}
	return opts
}
