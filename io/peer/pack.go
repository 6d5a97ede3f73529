package peer

import (
	"sync"

	"github.com/klauspost/compress/zstd"

	"amaranthturn/core/mirror"
)

const (
	// packFrom is the size in bytes from which a value is compressed: a configuration of
	// many routes, which each entry and agent gets, fills links between regions otherwise.
	packFrom = 4 << 10
	// packedKept is how many compressed values are kept. Followers ask for the same newest
	// ones within moments.
	packedKept = 8
	// maxUnpacked bounds a value in bytes after decompression.
	maxUnpacked = 64 << 20
)

// The coders are shared: both may be used by several goroutines at once.
var (
	encoder = sync.OnceValues(func() (*zstd.Encoder, error) { return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1)) })
	decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpacked))
	})
)

// packer compresses large values once for all followers.
type packer struct {
	mu    sync.Mutex // guards all below
	kept  map[mirror.Revision][]byte
	order []mirror.Revision
}

// value returns the value of an event as it is sent, and whether it is compressed.
func (p *packer) value(e mirror.Event) ([]byte, bool) {
	if len(e.Value) < packFrom {
		return e.Value, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if b, ok := p.kept[e.Revision]; ok {
		return b, true
	}
	enc, err := encoder()
	if err != nil {
		return e.Value, false // only wrong options give an error
	}
	b := enc.EncodeAll(e.Value, nil)
	if p.kept == nil {
		p.kept = map[mirror.Revision][]byte{}
	}
	if len(p.order) >= packedKept {
		delete(p.kept, p.order[0])
		p.order = p.order[1:]
	}
	p.kept[e.Revision] = b
	p.order = append(p.order, e.Revision)
	return b, true
}

// unpack returns a value that packer compressed.
func unpack(b []byte) ([]byte, error) {
	dec, err := decoder()
	if err != nil {
		return nil, err
	}
	return dec.DecodeAll(b, nil)
}
