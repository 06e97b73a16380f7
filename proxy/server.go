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
	return opts
}
