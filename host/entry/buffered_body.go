package entry

import (
	"bytes"
	"io"
	"sync"
)

// bodyChunks holds chunks of bodies that have ended, so that the garbage of large bodies does not add to the memory of the
// next ones.
var bodyChunks = sync.Pool{New: func() any { return new([bodyChunkBytes]byte) }}

// bufferedBody is the body of a request.
type bufferedBody struct {
	// chunks are the parts of the body, all but the last one of bodyChunkBytes. Those of that capacity are from bodyChunks.
	chunks [][]byte
	length int64
}

// readChunk reads up to n bytes, at most bodyChunkBytes, into a new chunk. It returns io.EOF if the body has ended.
func (b *bufferedBody) readChunk(body io.Reader, n int64) (read int64, err error) {
	var chunk []byte
	if n == bodyChunkBytes {
		chunk = bodyChunks.Get().(*[bodyChunkBytes]byte)[:]
	} else {
		chunk = make([]byte, n)
	}
	filled := 0
	for filled < len(chunk) && err == nil {
		var got int
		got, err = body.Read(chunk[filled:])
		filled += got
	}
	b.length += int64(filled)
	if filled < len(chunk) && len(chunk) == bodyChunkBytes {
		// The end of a body without a stated length keeps only the bytes that it counts.
		end := bytes.Clone(chunk[:filled])
		bodyChunks.Put((*[bodyChunkBytes]byte)(chunk))
		chunk = end
	}
	b.chunks = append(b.chunks, chunk[:filled])
	return int64(filled), err
}

// reader returns a reader of the whole body.
func (b *bufferedBody) reader() io.Reader {
	if len(b.chunks) == 1 {
		return bytes.NewReader(b.chunks[0])
	}
	readers := make([]io.Reader, len(b.chunks))
	for i, chunk := range b.chunks {
		readers[i] = bytes.NewReader(chunk)
	}
	return io.MultiReader(readers...)
}

// recycle makes the chunks available to other bodies. The body must not be used any more.
func (b *bufferedBody) recycle() {
	for _, chunk := range b.chunks {
		if cap(chunk) == bodyChunkBytes {
			bodyChunks.Put((*[bodyChunkBytes]byte)(chunk[:bodyChunkBytes]))
		}
	}
}
