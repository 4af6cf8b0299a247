package dhpeer

import (
	"compress/gzip"
	"io"
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

// compressor is a connect.Compressor that takes its writer from gzipWriters.
type compressor struct{ writer *gzip.Writer }

func newCompressor() connect.Compressor { return &compressor{} }

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }

// Reset implements connect.Compressor.
func (c *compressor) Reset(to io.Writer) {
	if to == io.Discard {
		return // it won't be used before the next Reset
	}
	if c.writer == nil {
		c.writer = gzipWriters.Get().(*gzip.Writer)
	}
	c.writer.Reset(to)
}

// Write implements connect.Compressor.
func (c *compressor) Write(b []byte) (int, error) { return c.writer.Write(b) }

// Close implements connect.Compressor.
func (c *compressor) Close() error {
	if c.writer == nil {
		return nil
	}
	err := c.writer.Close()
	gzipWriters.Put(c.writer)
	c.writer = nil
	return err
}
