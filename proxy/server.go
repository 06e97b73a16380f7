package proxy

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
)

// ServerOptions configures the server of a listener. Zero values select the
// defaults.
type ServerOptions struct {
	HeaderTimeout  time.Duration // for reading a request header; default 5 s
	IdleTimeout    time.Duration // of a connection between requests; default 75 s
	MaxHeaderBytes int           // of a request header; default 64 KB
	Log            logr.Logger   // used by ConnServer; the zero value discards the log

	// MaxPipelined is the number of pipelined requests of one connection that a
	// ConnServer serves concurrently; by default they are served one by one.
	MaxPipelined int
	// Bodies selects the request bodies that a ConnServer buffers when
	// MaxPipelined is above 1, and bounds the memory of all requests.
	Bodies BodyOptions
	Conns  *ConnLimit // bounds the open connections of a ConnServer; nil for no limit
	// Limits returns the current limits, which may change while the server runs.
	// Zero values select the fixed ones above. It may be nil.
	Limits func() ServerLimits
}

// ServerLimits are the limits on requests that can change at run time; see the
// fields of the same name in ServerOptions.
type ServerLimits struct {
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxHeaderBytes int
}

// withDefaults returns l with zero values replaced by those of opts.
func (l ServerLimits) withDefaults(opts ServerOptions) ServerLimits {
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
	// defaultServerIdle is above defaultPoolIdle, so that the client side closes
	// an idle connection first and never sends a request on one that the server
	// is closing.
	defaultServerIdle = 75 * time.Second
	// DefaultMaxHeaderBytes is the default of ServerOptions.MaxHeaderBytes.
	DefaultMaxHeaderBytes = 64 << 10
)

// NewServer returns a net/http server for an Outbound or Inbound. It speaks
// HTTP/1.1 only.
func NewServer(handler http.Handler, opts ServerOptions) *http.Server {
	opts = opts.withDefaults()
	return &http.Server{
		Handler:                      handler,
		DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout:            opts.HeaderTimeout,
		WriteTimeout:                 stallTimeout, // extended while a response makes progress
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
		opts.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if opts.Bodies.MaxBuffered == 0 {
		opts.Bodies.MaxBuffered = defaultMaxBufferedBytes
	}
	return opts
}
