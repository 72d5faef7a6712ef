package weights

import (
	"math/bits"
)

// Bitmap records which chunks of a manifest are held, with one bit per chunk.
type Bitmap []byte

// NewBitmap returns an empty bitmap for the given number of chunks.
func NewBitmap(chunks int) Bitmap {
	return make(Bitmap, (chunks+7)/8)
}

// Has reports whether chunk i is set. A chunk outside the bitmap is not set.
func (b Bitmap) Has(i int) bool {
	return i >= 0 && i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0
}

// Set marks chunk i. A chunk outside the bitmap is ignored.
func (b Bitmap) Set(i int) {
	if i >= 0 && i/8 < len(b) {
		b[i/8] |= 1 << (i % 8)
	}
}

// Clear unmarks chunk i. A chunk outside the bitmap is ignored.
func (b Bitmap) Clear(i int) {
	if i >= 0 && i/8 < len(b) {
		b[i/8] &^= 1 << (i % 8)
	}
}

// Count returns the number of chunks set.
func (b Bitmap) Count() int {
	total := 0
	for _, octet := range b {
		total += bits.OnesCount8(octet)
	}
	return total
}

// Clone returns a copy.
func (b Bitmap) Clone() Bitmap {
	return append(Bitmap(nil), b...)
}
