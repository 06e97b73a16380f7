package proxy

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a buffered body that is changed, counted as whole although it was
// cut or is over the limit, or held in more memory than has arrived.
func TestBodyBuffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		const blockBytes = len(bodyBlock{})
		content := bytes.Repeat([]byte("0123456789abc"), rapid.IntRange(0, 4*blockBytes/13).Draw(t, "repeats"))
		limit := rapid.IntRange(1, 5*blockBytes).Draw(t, "limit")
		var r io.Reader = bytes.NewReader(content)
		r = rapid.SampledFrom([]func(io.Reader) io.Reader{
			func(r io.Reader) io.Reader { return r }, iotest.HalfReader, iotest.DataErrReader,
		}).Draw(t, "reader")(r)
		var b bodyBuffer
		complete, err := b.readFrom(r, limit)
		is.NoErr(err)
		is.Equal(complete, len(content) <= limit)
		is.Equal(b.size, min(len(content), limit+1))
		is.True(len(b.blocks) <= b.size/blockBytes+1)
		var got bytes.Buffer
		is.NoErr(b.writeTo(&got))
		is.Equal(len(b.blocks), 0)
		rest, err := io.ReadAll(r)
		is.NoErr(err)
		is.True(bytes.Equal(append(got.Bytes(), rest...), content))
	})
}

// Guards against a body that broke off and counts as whole.
func TestBodyBufferReportsABrokenBody(t *testing.T) {
	is := is.New(t)
	var b bodyBuffer
	complete, err := b.readFrom(io.MultiReader(bytes.NewReader(make([]byte, 10)), iotest.ErrReader(io.ErrUnexpectedEOF)), 100)
	is.True(!complete)
	is.Equal(err, io.ErrUnexpectedEOF)
	b.release()
}
