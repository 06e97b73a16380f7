package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/emptypb"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// putMethod takes one message, streamMethod any number, which it reads until the stream ends.
const (
	putMethod    = "/test.Guard/Put"
	streamMethod = "/test.Guard/Stream"
)

var guardService = grpc.ServiceDesc{
	ServiceName: "test.Guard", HandlerType: (*any)(nil),
	Methods: []grpc.MethodDesc{{MethodName: "Put",
		Handler: func(_ any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			return &emptypb.Empty{}, decode(new(wrapperspb.BytesValue))
		}}},
	Streams: []grpc.StreamDesc{{StreamName: "Stream", ClientStreams: true, ServerStreams: true,
		Handler: func(_ any, s grpc.ServerStream) error {
			for {
				if err := s.RecvMsg(new(wrapperspb.BytesValue)); err != nil {
					return err
				}
				if err := s.SendMsg(&emptypb.Empty{}); err != nil {
					return err
				}
			}
		}}},
}

// guardRig is a server with limits and a connection of a node to it.
type guardRig struct {
	t     *testing.T
	guard *Guard
	addr  string
	node  grpc.ClientConnInterface
}

func newGuardRig(t *testing.T, limits Limits) *guardRig {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &guardRig{t: t, guard: NewGuard(limits), addr: l.Addr().String()}
	server := NewServer(r.guard.Options()...)
	server.RegisterService(&guardService, nil)
	go server.Serve(r.guard.Listen(l))
	t.Cleanup(server.Stop)
	pool := NewPool(Place{}, &Traffic{}, Options{})
	t.Cleanup(pool.Close)
	if r.node, err = pool.Conn(r.addr, Place{}); err != nil {
		t.Fatal(err)
	}
	return r
}

// put sends a message of the node.
func (r *guardRig) put(size int) error {
	ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
	defer cancel()
	return r.node.Invoke(ctx, putMethod, wrapperspb.Bytes(make([]byte, size)), new(emptypb.Empty), grpc.WaitForReady(true))
}

// dial opens a connection that speaks no gRPC.
func (r *guardRig) dial() net.Conn {
	r.t.Helper()
	nc, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { nc.Close() })
	return nc
}

// eventually waits until f holds.
func (r *guardRig) eventually(what string, f func() bool) {
	r.t.Helper()
	for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("%s: %d connections, %d bytes", what, r.guard.Connections(), r.guard.Held())
		}
	}
}

// Guards against connections that send nothing and use up the descriptors, and against a
// limit that costs a node its connection instead.
func TestSilentConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	const limit = 4
	r := newGuardRig(t, Limits{Connections: limit})
	is.NoErr(r.put(1))
	for range 3 * limit {
		r.dial()
	}
	r.eventually("refused", func() bool { return r.guard.Refused() > 0 })
	is.Equal(r.guard.Connections(), int64(limit))
	time.Sleep(minSilence)
	r.dial()
	r.eventually("closed", func() bool { return r.guard.Closed() == 1 })
	is.Equal(r.guard.Connections(), int64(limit))
	is.NoErr(r.put(1))
	is.Equal(r.guard.Closed(), int64(1)) // the node's connection was not closed
}

// Guards against bytes of whole messages that stay counted, so that the connections of
// nodes are closed for nothing.
func TestFinishedMessagesAreNotHeld(t *testing.T) {
	is := is.New(t)
	r := newGuardRig(t, Limits{Bytes: 8 << 20})
	for _, size := range []int{1, 100 << 10, maxMessageBytes - 16} {
		is.NoErr(r.put(size))
	}
	stream, err := r.node.NewStream(t.Context(), &guardService.Streams[0], streamMethod)
	is.NoErr(err)
	for range 200 {
		is.NoErr(stream.SendMsg(wrapperspb.Bytes(make([]byte, 100<<10))))
		is.NoErr(stream.RecvMsg(new(emptypb.Empty)))
	}
	r.eventually("with the stream", func() bool { return r.guard.Held() <= streamBytes+frameSlack })
	is.NoErr(stream.CloseSend())
	is.True(stream.RecvMsg(new(emptypb.Empty)) != nil) // the end
	is.NoErr(r.put(1))
	r.eventually("without it", func() bool { return r.guard.Held() <= frameSlack })
	is.Equal(r.guard.Closed(), int64(0))
}

// Guards against unfinished requests that fill the memory, and against a limit that costs a
// node its connection instead.
func TestUnfinishedRequestsAreLimited(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	r := newGuardRig(t, Limits{Bytes: limit})
	is.NoErr(r.put(1))
	for range 2 * limit / unfinishedBytes {
		nc := r.dial()
		go func() { _ = writeUnfinished(nc) }() // fails when the server closes the connection
	}
	r.eventually("unfinished messages", func() bool { return r.guard.Closed() > 0 })
	is.True(r.guard.Held() <= limit)
	is.NoErr(r.put(100 << 10))
}

// Guards against streams without a message that fill the memory.
func TestIdleStreamsAreLimited(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	r := newGuardRig(t, Limits{Bytes: limit})
	is.NoErr(r.put(1))
	idle := NewPool(Place{}, &Traffic{}, Options{})
	defer idle.Close()
	conn, err := idle.Conn(r.addr, Place{})
	is.NoErr(err)
	for range 2 * limit / streamBytes {
		// Streams fail when the server closes their connection.
		_, _ = conn.NewStream(t.Context(), &guardService.Streams[0], streamMethod)
	}
	r.eventually("idle streams", func() bool { return r.guard.Closed() > 0 })
	is.True(r.guard.Held() <= limit)
	is.NoErr(r.put(100 << 10))
}

// unfinishedBytes is the part of a message that writeUnfinished sends, less than the window
// that the server allows at first.
const unfinishedBytes = 60 << 10

// writeUnfinished sends the beginning of a request with a large message.
func writeUnfinished(nc net.Conn) error {
	if _, err := io.WriteString(nc, http2.ClientPreface); err != nil {
		return err
	}
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", putMethod}, {":authority", "x"},
		{"content-type", "application/grpc"}, {"te", "trailers"}} {
		_ = encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]}) // a Buffer returns no errors
	}
	data := make([]byte, unfinishedBytes/4)
	data[2] = 0x20 // the message has 2 MiB
	framer := http2.NewFramer(nc, nc)
	err := errors.Join(framer.WriteSettings(),
		framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block.Bytes(), EndHeaders: true}))
	for range 4 {
		err = errors.Join(err, framer.WriteData(1, false, data))
		clear(data)
	}
	return err
}
