package peer

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/core/mirror"
)

// TestLargeValuesAreCompressedOnce sends a configuration of 1,300 routes to about twenty
// followers. It must be compressed once, to less than a sixth of its size, and be
// restored unchanged.
func TestLargeValuesAreCompressedOnce(t *testing.T) {
	var doc bytes.Buffer
	for i := range 1300 {
		_, _ = fmt.Fprintf(&doc, `{"host":"host%d.example","path":"/p%x/","service":"s%d","timeoutMs":%d,"attempts":2},`, i, i*7919, i%3, 800+i%5)
	}
	c := &valueCompressor{}
	e := mirror.Event{Key: "config", Value: doc.Bytes(), Revision: 7}
	first, packed := c.compress(e)
	assert.Assert(t, packed && len(first)*6 < doc.Len(), "%d of %d bytes", len(first), doc.Len())
	for range 20 {
		again, _ := c.compress(e)
		assert.Assert(t, &again[0] == &first[0], "value was compressed again")
	}
	got, err := (&valueDecompressor{}).decompress(first)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, doc.Bytes()))
	small, packed := c.compress(mirror.Event{Value: []byte("x"), Revision: 8})
	assert.Assert(t, !packed && string(small) == "x")
	for i := range 3 * maxCachedValues {
		c.compress(mirror.Event{Value: doc.Bytes(), Revision: mirror.Revision(100 + i)})
	}
	assert.Equal(t, len(c.cache), maxCachedValues)
	_, err = (&valueDecompressor{}).decompress([]byte("not zstd"))
	assert.Assert(t, err != nil)
}

// Guards against cached values that hold memory of their uncompressed size, which is that of the encoder's buffer.
func TestCachedValuesHoldTheirOwnSize(t *testing.T) {
	c := &valueCompressor{}
	for i := range maxCachedValues {
		b, packed := c.compress(mirror.Event{Value: bytes.Repeat([]byte("x"), 960_000), Revision: mirror.Revision(1 + i)})
		assert.Assert(t, packed)
		assert.Check(t, cap(b) <= len(b)+len(b)/4+64, "%d bytes for a value of %d", cap(b), len(b))
	}
}

// After a restoration of the store a revision is given to another value.
func TestCompressedValueOfAnotherEra(t *testing.T) {
	c := &valueCompressor{}
	old := bytes.Repeat([]byte("a"), minCompressBytes)
	_, _ = c.compress(mirror.Event{Value: old, Era: 1, Revision: 7})
	packed, _ := c.compress(mirror.Event{Value: bytes.Repeat([]byte("b"), minCompressBytes), Era: 2, Revision: 7})
	got, err := (&valueDecompressor{}).decompress(packed)
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Equal(got, old))
}
