package loader

import (
	"sync"

	"plantainrelay/internal/weights"
	"plantainrelay/platform"
)

// held holds the manifest and the verified chunks of one version.
type held struct {
	manifest platform.Manifest
	chunks   map[int][]byte
}

// holding keeps the verified chunks of the newest versions in memory. It is
// safe for concurrent use.
type holding struct {
	mu       sync.Mutex
	versions map[int64]*held
}

// maxVersions limits the versions held: the one that is served and the one that is
// being fetched.
const maxVersions = 2

func newHolding() *holding {
	return &holding{versions: map[int64]*held{}}
}

// add starts to hold a version. Chunks that it shares with another held version are
// reused; the oldest version is dropped.
func (h *holding) add(manifest platform.Manifest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := &held{manifest: manifest, chunks: map[int][]byte{}}
	for _, other := range h.versions {
		for chunk, data := range other.chunks {
			if chunk < len(manifest.Digests) && manifest.Digests[chunk] == other.manifest.Digests[chunk] {
				next.chunks[chunk] = data
			}
		}
	}
	h.versions[manifest.Version] = next
	for len(h.versions) > maxVersions {
		oldest := manifest.Version
		for version := range h.versions {
			oldest = min(oldest, version)
		}
		delete(h.versions, oldest)
	}
}

// release drops all chunks, which are still in the engine's staging area, and the
// versions before the given one.
func (h *holding) release(version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for held, one := range h.versions {
		if held < version {
			delete(h.versions, held)
			continue
		}
		clear(one.chunks)
	}
}

// forget removes a version whose manifest turned out to be wrong.
func (h *holding) forget(version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.versions, version)
}

// put stores a chunk if it matches its digest, and reports whether it does.
func (h *holding) put(version int64, chunk int, data []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	one := h.versions[version]
	if one == nil || chunk < 0 || chunk >= len(one.manifest.Digests) || weights.DigestOf(data) != one.manifest.Digests[chunk] {
		return false
	}
	one.chunks[chunk] = data
	return true
}

func (h *holding) manifest(version int64) (platform.Manifest, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if one := h.versions[version]; one != nil {
		return one.manifest, true
	}
	return platform.Manifest{}, false
}

func (h *holding) chunk(version int64, chunk int) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	one := h.versions[version]
	if one == nil {
		return nil, false
	}
	data, found := one.chunks[chunk]
	return data, found
}

func (h *holding) have(version int64) (weights.Bitmap, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	one := h.versions[version]
	if one == nil {
		return nil, false
	}
	have := weights.NewBitmap(len(one.manifest.Digests))
	for chunk := range one.chunks {
		have.Set(chunk)
	}
	return have, true
}
