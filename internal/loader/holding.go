package loader

import (
	"sync"

	"plantainrelay/internal/weights"
	"plantainrelay/platform"
)

// heldVersion holds the manifest and the verified chunks of one version.
type heldVersion struct {
	manifest platform.Manifest
	chunks   map[int][]byte
}

// chunkStore keeps the verified chunks of the newest versions in memory. It is
// safe for concurrent use.
type chunkStore struct {
	mu       sync.Mutex
	versions map[int64]*heldVersion
}

// maxVersions limits the versions held: the one that is served and the one that is
// being fetched.
const maxVersions = 2

func newChunkStore() *chunkStore {
	return &chunkStore{versions: map[int64]*heldVersion{}}
}

// addVersion starts to hold a version. Chunks that it shares with another held
// version are reused; the oldest version is dropped.
func (s *chunkStore) addVersion(manifest platform.Manifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := &heldVersion{manifest: manifest, chunks: map[int][]byte{}}
	for _, other := range s.versions {
		for chunk, data := range other.chunks {
			if chunk < len(manifest.Digests) && manifest.Digests[chunk] == other.manifest.Digests[chunk] {
				next.chunks[chunk] = data
			}
		}
	}
	s.versions[manifest.Version] = next
	for len(s.versions) > maxVersions {
		oldest := manifest.Version
		for version := range s.versions {
			oldest = min(oldest, version)
		}
		delete(s.versions, oldest)
	}
}

// dropChunks drops all chunks, which are still in the engine's staging area, and
// the versions before the given one.
func (s *chunkStore) dropChunks(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for number, stored := range s.versions {
		if number < version {
			delete(s.versions, number)
			continue
		}
		clear(stored.chunks)
	}
}

// removeVersion removes a version whose manifest turned out to be wrong.
func (s *chunkStore) removeVersion(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.versions, version)
}

// putResult is the result of storing a chunk.
type putResult int

const (
	// stored means that the chunk matches its digest and is held.
	stored putResult = iota
	// corrupt means that the chunk does not match its digest or is not in the manifest.
	corrupt
	// versionNotHeld means that the version is not, or no longer, held.
	versionNotHeld
)

// put stores a chunk if it matches its digest.
func (s *chunkStore) put(version int64, chunk int, data []byte) putResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.versions[version]
	if held == nil {
		return versionNotHeld
	}
	if chunk < 0 || chunk >= len(held.manifest.Digests) || weights.DigestOf(data) != held.manifest.Digests[chunk] {
		return corrupt
	}
	held.chunks[chunk] = data
	return stored
}

func (s *chunkStore) manifest(version int64) (platform.Manifest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.versions[version]; held != nil {
		return held.manifest, true
	}
	return platform.Manifest{}, false
}

func (s *chunkStore) chunk(version int64, chunk int) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.versions[version]
	if held == nil {
		return nil, false
	}
	data, found := held.chunks[chunk]
	return data, found
}

func (s *chunkStore) bitmap(version int64) (weights.Bitmap, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.versions[version]
	if held == nil {
		return nil, false
	}
	have := weights.NewBitmap(len(held.manifest.Digests))
	for chunk := range held.chunks {
		have.Set(chunk)
	}
	return have, true
}
