package swarm

import "math/bits"

// Bitmap is a set of chunk indexes. The wire form is the same bytes.
type Bitmap []byte

// NewBitmap returns an empty set for n chunks.
func NewBitmap(n int) Bitmap { return make(Bitmap, (n+7)/8) }

// Has reports whether chunk i is in the set. It returns false for an index out of range.
func (b Bitmap) Has(i int) bool { return i >= 0 && i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// Set adds chunk i. An index out of range is ignored.
func (b Bitmap) Set(i int) {
	if i >= 0 && i/8 < len(b) {
		b[i/8] |= 1 << (i % 8)
	}
}

// Clear removes chunk i. An index out of range is ignored.
func (b Bitmap) Clear(i int) {
	if i >= 0 && i/8 < len(b) {
		b[i/8] &^= 1 << (i % 8)
	}
}

// AddedSince returns the chunks that are in b but not in before.
func (b Bitmap) AddedSince(before Bitmap) []int {
	var out []int
	for c := range 8 * len(b) {
		if b.Has(c) && !before.Has(c) {
			out = append(out, c)
		}
	}
	return out
}

// Count returns the size of the set.
func (b Bitmap) Count() int {
	n := 0
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}
