package peer

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/core/mirror"
)

// Replays a change of a configuration of 1,300 routes that some twenty followers fetch: it
// is compressed once, to less than a tenth, and arrives as it was.
func TestLargeValuesArePackedOnce(t *testing.T) {
	var doc bytes.Buffer
	for i := range 1300 {
		_, _ = fmt.Fprintf(&doc, `{"host":"host%d.example","path":"/p%x/","service":"s%d","timeoutMs":%d,"attempts":2},`, i, i*7919, i%3, 800+i%5)
	}
	p := &packer{}
	e := mirror.Event{Key: "config", Value: doc.Bytes(), Revision: 7}
	first, packed := p.value(e)
	assert.Assert(t, packed && len(first)*6 < doc.Len(), "%d of %d bytes", len(first), doc.Len())
	for range 20 {
		again, _ := p.value(e)
		assert.Assert(t, &again[0] == &first[0], "compressed again")
	}
	got, err := unpack(first)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, doc.Bytes()))
	small, packed := p.value(mirror.Event{Value: []byte("x"), Revision: 8})
	assert.Assert(t, !packed && string(small) == "x")
	for i := range 3 * packedKept {
		p.value(mirror.Event{Value: doc.Bytes(), Revision: mirror.Revision(100 + i)})
	}
	assert.Equal(t, len(p.kept), packedKept)
	_, err = unpack([]byte("not zstd"))
	assert.Assert(t, err != nil)
}
