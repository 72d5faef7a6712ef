// Package delta encodes documents compressed, or as the difference from an earlier version of
// them. It does no I/O.
package delta

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"

	"plantainrelay/internal/failure"
)

// baseID is the identifier of the base in the encoded form. There is only one.
const baseID = 1

// Encode returns body compressed or, with a base, as its difference from the base.
func Encode(body, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		// The base has to be within the window, also at the end of the body.
		zstd.WithWindowSize(windowSize(len(body) + len(base))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this", "a document cannot be compressed")
	}
	return encoder.EncodeAll(body, nil), nil
}

// windowSize returns the smallest valid window of at least size bytes.
func windowSize(size int) int {
	return min(max(1<<bits.Len(uint(size)), zstd.MinWindowSize), zstd.MaxWindowSize)
}

// Decode returns the document that Encode was given, which may have up to maxBytes. base has to be
// the same as there; with another one the result is an error or, rarely, another document.
func Decode(encoded, base []byte, maxBytes int) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(maxBytes)),
		zstd.WithDecoderMaxWindow(uint64(windowSize(maxBytes + len(base)))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this", "a document cannot be decompressed")
	}
	defer decoder.Close()
	body, err := decoder.DecodeAll(encoded, nil)
	return body, failure.Wrap(err, failure.Invalid, "ask for the whole document", "an encoded document of %d bytes is not valid", len(encoded))
}
