package proxy

import (
	"io"
	"sync"

	"siskingw/budget"
)

// bodyBlock is a block of memory in which bodies are buffered or copied.
type bodyBlock [32 << 10]byte

// firstBlock is the block in which a body begins: most bodies are small.
type firstBlock [4 << 10]byte

var (
	bodyBlocks  = sync.Pool{New: func() any { return new(bodyBlock) }}
	firstBlocks = sync.Pool{New: func() any { return new(firstBlock) }}
)

// bodyBuffer holds a body or its beginning in pooled blocks: it takes no more memory
// than has arrived, whatever length the sender states, and growing copies no more
// than the first block. The zero value is empty and has no budget.
type bodyBuffer struct {
	blocks [][]byte     // all full but the last one
	size   int          // bytes held
	hold   *budget.Hold // counts the blocks
}

// readFrom reads from r until its end, until more than limit bytes are held, or until
// the budget has no more memory. It reports whether all of r is held and is not longer
// than limit, or returns the error of r.
func (b *bodyBuffer) readFrom(r io.Reader, limit int) (complete bool, err error) {
	for b.size <= limit {
		free := b.free()
		if len(free) == 0 {
			return false, nil
		}
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

// free returns the unused part of the last block, after adding a block if all are
// full. It returns nothing when the budget has no memory for one.
func (b *bodyBuffer) free() []byte {
	const firstBytes, blockBytes = len(firstBlock{}), len(bodyBlock{})
	switch last := len(b.blocks) - 1; {
	case last < 0:
		if !b.hold.Grow(firstBytes) {
			return nil
		}
		b.blocks = append(b.blocks, firstBlocks.Get().(*firstBlock)[:])
	case last == 0 && len(b.blocks[0]) == firstBytes && b.size == firstBytes:
		if !b.hold.Grow(blockBytes - firstBytes) {
			return nil
		}
		block := bodyBlocks.Get().(*bodyBlock)
		copy(block[:], b.blocks[0])
		putBlock(b.blocks[0])
		b.blocks[0] = block[:]
	case b.size == len(b.blocks)*blockBytes:
		if !b.hold.Grow(blockBytes) {
			return nil
		}
		b.blocks = append(b.blocks, bodyBlocks.Get().(*bodyBlock)[:])
	}
	last := b.blocks[len(b.blocks)-1]
	return last[b.size-(len(b.blocks)-1)*blockBytes:]
}

// putBlock returns a block to its pool.
func putBlock(block []byte) {
	if len(block) == len(firstBlock{}) {
		firstBlocks.Put((*firstBlock)(block))
		return
	}
	bodyBlocks.Put((*bodyBlock)(block))
}

// part returns the bytes held from offset at to the end of their block; none at the
// end.
func (b *bodyBuffer) part(at int) []byte {
	if at >= b.size {
		return nil
	}
	index := at / len(bodyBlock{})
	begin := index * len(bodyBlock{})
	return b.blocks[index][at-begin : min(b.size-begin, len(b.blocks[index]))]
}

// writeTo writes what is held to w and returns the blocks to the pool, also when
// the write fails.
func (b *bodyBuffer) writeTo(w io.Writer) error {
	defer b.release()
	for at := 0; at < b.size; {
		n, err := w.Write(b.part(at))
		if err != nil {
			return err
		}
		at += n
	}
	return nil
}

// release returns the blocks to the pool. What was held can no longer be read.
func (b *bodyBuffer) release() {
	for i := range b.blocks {
		b.releaseBlock(i)
	}
	b.blocks = b.blocks[:0]
}

// releaseBlock returns one block to the pool, if that was not done before.
func (b *bodyBuffer) releaseBlock(i int) {
	if block := b.blocks[i]; block != nil {
		b.blocks[i] = nil
		b.hold.Shrink(len(block))
		putBlock(block)
	}
}

// bufferReader reads what a bodyBuffer holds.
type bufferReader struct {
	buffer   *bodyBuffer
	at       int  // offset of the next byte
	consumes bool // blocks that were read are released
}

// Read implements io.Reader.
func (r *bufferReader) Read(p []byte) (int, error) {
	part := r.buffer.part(r.at)
	if len(part) == 0 {
		return 0, io.EOF
	}
	n := copy(p, part)
	if r.at += n; r.consumes && n == len(part) {
		r.buffer.releaseBlock((r.at - 1) / len(bodyBlock{}))
	}
	return n, nil
}

// Close implements io.Closer.
func (r *bufferReader) Close() error { return nil }
