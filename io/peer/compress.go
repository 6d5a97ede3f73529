package peer

import (
	"bytes"
	"errors"
	"sync"

	"github.com/klauspost/compress/zstd"

	"amaranthturn/core/mirror"
	"amaranthturn/io/bounded"
	"amaranthturn/io/peer/peerpb"
)

const (
	// minCompressBytes is the minimum size in bytes of a value that is compressed. Every
	// entry and agent receives the configuration; with many routes it would saturate the
	// links between regions if it were sent uncompressed.
	minCompressBytes = 4 << 10
	// maxCachedValues is the number of compressed values that are cached. Followers
	// request the same latest values at nearly the same time.
	maxCachedValues = 8
	// maxDecompressedBytes is the maximum size of all values of one message after
	// decompression.
	maxDecompressedBytes = 32 << 20
)

// The encoder and the decoder are shared; both are safe for concurrent use.
var (
	encoder = sync.OnceValues(func() (*zstd.Encoder, error) { return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1)) })
	decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecompressedBytes))
	})
)

// valueCompressor compresses each large value once for all followers.
type valueCompressor struct {
	mu     sync.Mutex // guards all fields below
	cache  map[mirror.Position][]byte
	cached []mirror.Position // keys of cache, oldest first
}

// compress returns the value of an event as it is sent and whether it is compressed.
func (c *valueCompressor) compress(e mirror.Event) ([]byte, bool) {
	if len(e.Value) < minCompressBytes {
		return e.Value, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if b, ok := c.cache[e.Position()]; ok {
		return b, true
	}
	enc, err := encoder()
	if err != nil {
		return e.Value, false // NewWriter fails only for invalid options
	}
	b := bytes.Clone(enc.EncodeAll(e.Value, nil)) // the encoder's buffer is as large as the value
	if c.cache == nil {
		c.cache = map[mirror.Position][]byte{}
	}
	if len(c.cached) >= maxCachedValues {
		delete(c.cache, c.cached[0])
		c.cached = c.cached[1:]
	}
	c.cache[e.Position()] = b
	c.cached = append(c.cached, e.Position())
	return b, true
}

func (c *valueCompressor) eventsToWire(events []mirror.Event) []*peerpb.StoreEvent {
	out := make([]*peerpb.StoreEvent, 0, len(events))
	for _, e := range events {
		w := &peerpb.StoreEvent{Key: e.Key, Era: uint64(e.Era), Revision: uint64(e.Revision), Deleted: e.Deleted, Missing: e.Missing}
		if !e.Deleted {
			w.Value, w.Packed = c.compress(e)
		}
		out = append(out, w)
	}
	return out
}

// valueDecompressor reverses valueCompressor.compress for the values of one message.
type valueDecompressor struct{ total int }

// decompress returns a *bounded.TooLargeError if the message's values are too large.
func (d *valueDecompressor) decompress(b []byte) ([]byte, error) {
	dec, err := decoder()
	if err != nil {
		return nil, err
	}
	out, err := dec.DecodeAll(b, nil)
	d.total += len(out)
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) || errors.Is(err, zstd.ErrWindowSizeExceeded) || d.total > maxDecompressedBytes {
		return nil, &bounded.TooLargeError{Part: bounded.PartMessage, Limit: maxDecompressedBytes}
	}
	return out, err
}

func (d *valueDecompressor) eventsFromWire(events []*peerpb.StoreEvent) ([]mirror.Event, error) {
	out := make([]mirror.Event, 0, len(events))
	for _, w := range events {
		e := mirror.Event{Key: w.GetKey(), Value: w.GetValue(), Era: mirror.Era(w.GetEra()), Revision: mirror.Revision(w.GetRevision()), Deleted: w.GetDeleted(), Missing: w.GetMissing()}
		if w.GetPacked() {
			var err error
			if e.Value, err = d.decompress(e.Value); err != nil {
				return nil, err
			}
		}
		out = append(out, e)
	}
	return out, nil
}
