package weights_test

import (
	"testing"

	"plantainrelay/internal/weights"
)

// FuzzManifest checks that an accepted manifest is consistent: the sizes of its
// chunks are within the limits and add up to its total size.
func FuzzManifest(f *testing.F) {
	_, raw, _, err := weights.Build("v1", "", make([]byte, 300<<10), 128<<10)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"format":1,"size":9223372036854775807,"chunk_size":1,"chunks":[""]}`))
	f.Add([]byte(`{"format":1,"size":-1,"chunk_size":-1}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		manifest, err := weights.ParseManifest(raw, weights.DigestOf(raw))
		if err != nil {
			return
		}
		var total int64
		for i := range manifest.Chunks {
			size := manifest.ChunkBytes(i)
			if size < 1 || size > weights.MaxChunkBytes {
				t.Fatalf("chunk %d has %d bytes", i, size)
			}
			total += size
		}
		if total != manifest.Size {
			t.Fatalf("the chunks have %d bytes, the manifest says %d", total, manifest.Size)
		}
	})
}
