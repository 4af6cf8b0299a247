package dhpeer

import (
	"bytes"
	"compress/gzip"
	"io"
	"slices"
	"sync"

	"connectrpc.com/connect"
)

// minCompressedBytes is the size from which on calls and responses are compressed. Smaller
// ones cost more processor time than they save on a link.
const minCompressedBytes = 4096

// compressionName is the name of the encoding, as in the field Content-Encoding.
const compressionName = "gzip"

// gzipWriters are the writers that no call uses. They are shared by the clients and the
// handler, because each needs several hundred kilobytes.
var gzipWriters = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}}

// compressor is a connect.Compressor that compresses the whole body at its end, unless
// recentBodies holds it.
type compressor struct {
	to   io.Writer // nil while no body is written
	body bytes.Buffer
}

func newCompressor() connect.Compressor { return &compressor{} }

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }

// Reset implements connect.Compressor.
func (c *compressor) Reset(to io.Writer) {
	c.to = to
	if to == io.Discard {
		c.to = nil // it won't be used before the next Reset
	}
	c.body.Reset()
}

// Write implements connect.Compressor.
func (c *compressor) Write(b []byte) (int, error) { return c.body.Write(b) }

// Close implements connect.Compressor.
func (c *compressor) Close() error {
	if c.to == nil {
		return nil
	}
	_, err := c.to.Write(recentBodies.compressed(c.body.Bytes()))
	c.to = nil
	if c.body.Cap() > maxBufferBytes {
		c.body = bytes.Buffer{} // compressors are pooled
	}
	return err
}

// compress returns a body in compressed form.
func compress(body []byte) []byte {
	var b bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&b)
	// Writing to a buffer doesn't fail.
	_, _ = w.Write(body)
	_ = w.Close()
	return b.Bytes()
}

// Bounds of recentBodies.
const (
	// maxRecentBodies is the number of bodies that are kept.
	maxRecentBodies = 4
	// maxRecentBytes bounds their size together. A larger body isn't kept.
	maxRecentBytes = 8 << 20
	// maxBufferBytes is the size up to which the buffer of a pooled compressor is kept.
	maxBufferBytes = 512 << 10
)

// recentBodies holds the bodies that were compressed last. A leader sends each change to all
// members of its group, mostly with equal bodies.
var recentBodies bodyCache

type bodyCache struct {
	mutex  sync.Mutex
	bodies []*compressedBody // the newest last
	bytes  int               // size of the bodies
}

type compressedBody struct {
	body       []byte
	compressed func() []byte // compresses the body at the first call
}

// compressed returns a body in compressed form.
func (c *bodyCache) compressed(body []byte) []byte {
	if len(body) > maxRecentBytes {
		return compress(body)
	}
	return c.entry(body).compressed()
}

func (c *bodyCache) entry(body []byte) *compressedBody {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, e := range c.bodies {
		if bytes.Equal(e.body, body) {
			return e
		}
	}
	e := &compressedBody{body: bytes.Clone(body)}
	e.compressed = sync.OnceValue(func() []byte { return compress(e.body) })
	c.bodies = append(c.bodies, e)
	c.bytes += len(body)
	for len(c.bodies) > maxRecentBodies || c.bytes > maxRecentBytes {
		c.bytes -= len(c.bodies[0].body)
		c.bodies = slices.Delete(c.bodies, 0, 1)
	}
	return e
}
