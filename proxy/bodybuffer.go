package proxy

import (
	"io"
	"sync"
)

// bodyBlock is a block of memory in which response bodies are buffered or copied.
type bodyBlock [32 << 10]byte

var bodyBlocks = sync.Pool{New: func() any { return new(bodyBlock) }}

// bodyBuffer holds the beginning of a response body in pooled blocks: it takes no
// more memory than has arrived, whatever length the response states, and growing
// copies nothing. The zero value is empty.
type bodyBuffer struct {
	blocks []*bodyBlock // all full but the last one
	size   int          // bytes held
}

// readFrom reads from r until its end, or until more than limit bytes are held. It
// reports whether all of r is held and is not longer than limit, or returns the
// error of r.
func (b *bodyBuffer) readFrom(r io.Reader, limit int) (complete bool, err error) {
	for b.size <= limit {
		used := b.size % len(bodyBlock{})
		if b.size == len(b.blocks)*len(bodyBlock{}) {
			b.blocks = append(b.blocks, bodyBlocks.Get().(*bodyBlock))
		}
		free := b.blocks[len(b.blocks)-1][used:]
		n, err := r.Read(free[:min(len(free), limit+1-b.size)])
		b.size += n
		if err == io.EOF {
			return b.size <= limit, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// writeTo writes what is held to w and returns the blocks to the pool, also when
// the write fails.
func (b *bodyBuffer) writeTo(w io.Writer) error {
	defer b.release()
	left := b.size
	for _, block := range b.blocks {
		n := min(left, len(block))
		if n == 0 {
			break
		}
		if _, err := w.Write(block[:n]); err != nil {
			return err
		}
		left -= n
	}
	return nil
}

// release returns the blocks to the pool.
func (b *bodyBuffer) release() {
	for _, block := range b.blocks {
		bodyBlocks.Put(block)
	}
	b.blocks = nil
}
