package crowd

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// Sizes of what a client sends to the listener between nodes.
const (
	peerMessage        = 4 << 20 // the largest that a node accepts
	peerMessageStreams = 2       // of one client, with a message each
	peerIdleStreams    = 250     // of one client, without a message
	peerHeader         = 8 << 20
	frameBytes         = 16 << 10 // the largest frame that a server accepts by default
)

func peerListener(c *cluster) string { return c.targets.addr(portPeer) }

// Guards against connections between nodes that send nothing and use up the descriptors.
func TestSilentPeerConnections(t *testing.T) {
	related(t, peerListener, 4*crowdSize, func(int) io.Reader { return strings.NewReader("") })
}

// Guards against connections between nodes that send no request after the beginning of
// HTTP/2, and use up the descriptors.
func TestPeerConnectionsWithoutRequests(t *testing.T) {
	peers(t, 4*crowdSize, func(*peerClient) error { return nil })
}

// Guards against messages between nodes that stop one byte short of their end and fill the
// memory.
func TestUnfinishedPeerMessages(t *testing.T) {
	peers(t, crowdSize, func(c *peerClient) error {
		for n := range peerMessageStreams {
			if err := c.startStream(n); err != nil {
				return err
			}
		}
		for n := range peerMessageStreams {
			if err := c.sendMessage(n, peerMessage-1); err != nil {
				return err
			}
		}
		return nil
	})
}

// Guards against streams without a message that fill the memory.
func TestIdlePeerStreams(t *testing.T) {
	peers(t, crowdSize, func(c *peerClient) error {
		for n := range peerIdleStreams {
			if err := c.startStream(n); err != nil {
				return err
			}
		}
		return nil
	})
}

// Guards against headers between nodes that do not end and fill the memory.
func TestUnfinishedPeerHeaders(t *testing.T) {
	peers(t, crowdSize, func(c *peerClient) error {
		err := c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: c.requestHeader()})
		if err != nil {
			return err
		}
		c.block.Reset()
		if err := c.encoder.WriteField(hpack.HeaderField{Name: "x-field", Value: strings.Repeat("~", 4<<10), Sensitive: true}); err != nil {
			return err
		}
		field := bytes.Clone(c.block.Bytes())
		for range peerHeader / len(field) {
			if err := c.framer.WriteContinuation(1, false, field); err != nil {
				return err
			}
		}
		return nil
	})
}

// peers checks a crowd of n clients that speak the protocol between nodes and do not finish.
func peers(t *testing.T, n int, send func(*peerClient) error) {
	relatedSend(t, peerListener, n, func(w io.Writer, _ int) error {
		c, err := newPeerClient(w)
		if err != nil {
			return err
		}
		return send(c)
	})
}

// peerClient is the client's side of an HTTP/2 connection. It keeps to the flow control.
type peerClient struct {
	framer  *http2.Framer
	block   bytes.Buffer
	encoder *hpack.Encoder
	windows chan windowUpdate
	conn    int64                     // bytes that may be sent on the connection
	streams [peerMessageStreams]int64 // the same of each stream
}

// windowUpdate allows a client to send more bytes on a stream, or on the connection if the
// stream is 0.
type windowUpdate struct {
	stream uint32
	bytes  int64
}

func newPeerClient(w io.Writer) (*peerClient, error) {
	const initialWindow = 64<<10 - 1
	c := &peerClient{framer: http2.NewFramer(w, w.(net.Conn)), windows: make(chan windowUpdate, 64), conn: initialWindow}
	c.encoder = hpack.NewEncoder(&c.block)
	for n := range c.streams {
		c.streams[n] = initialWindow
	}
	if _, err := io.WriteString(w, http2.ClientPreface); err != nil {
		return nil, err
	}
	if err := c.framer.WriteSettings(); err != nil {
		return nil, err
	}
	go c.readWindows()
	return c, nil
}

// readWindows reads frames until the connection is closed.
func (c *peerClient) readWindows() {
	defer close(c.windows)
	for {
		f, err := c.framer.ReadFrame()
		if err != nil {
			return
		}
		if u, ok := f.(*http2.WindowUpdateFrame); ok {
			c.windows <- windowUpdate{u.StreamID, int64(u.Increment)}
		}
	}
}

// requestHeader returns the encoded header of a request.
func (c *peerClient) requestHeader() []byte {
	c.block.Reset()
	for _, f := range [][2]string{
		{":method", "POST"}, {":scheme", "http"}, {":path", "/siskingw.peer.Membership/PushMembers"},
		{":authority", "peer"}, {"content-type", "application/grpc"}, {"te", "trailers"},
	} {
		_ = c.encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]}) // a Buffer returns no errors
	}
	return c.block.Bytes()
}

// streamID returns the ID of a client's n-th stream.
func streamID(n int) uint32 { return uint32(2*n + 1) }

func (c *peerClient) startStream(n int) error {
	return c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: streamID(n), BlockFragment: c.requestHeader(), EndHeaders: true})
}

// sendMessage sends the beginning of a message of peerMessage bytes, as far as the server
// allows.
func (c *peerClient) sendMessage(n, size int) error {
	const prefixBytes = 5
	data := make([]byte, frameBytes)
	binary.BigEndian.PutUint32(data[1:prefixBytes], peerMessage)
	for left := int64(size + prefixBytes); left > 0; {
		next := min(left, c.conn, c.streams[n], frameBytes)
		if next == 0 {
			u, open := <-c.windows
			if !open {
				return io.ErrClosedPipe
			}
			if u.stream == 0 {
				c.conn += u.bytes
			} else if i := int(u.stream / 2); i < len(c.streams) {
				c.streams[i] += u.bytes
			}
			continue
		}
		if err := c.framer.WriteData(streamID(n), false, data[:next]); err != nil {
			return err
		}
		left, c.conn, c.streams[n] = left-next, c.conn-next, c.streams[n]-next
		clear(data[:prefixBytes])
	}
	return nil
}
