// Package weights describes one version of a model's weights: its manifest, its
// chunks, and the bitmap of held chunks. It does no I/O.
package weights

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"plantainrelay/internal/failure"
)

// Limits on a manifest.
const (
	MaxManifestBytes = 8 << 20
	MaxChunks        = 1 << 17
	MinChunkBytes    = 1 << 10
	MaxChunkBytes    = 64 << 20
	// Format is the manifest format that this package reads and writes.
	Format = 1
)

// Digest is a SHA-256 digest in lower-case hexadecimal.
type Digest string

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// Valid reports whether d has the form of a digest.
func (d Digest) Valid() bool {
	if len(d) != hex.EncodedLen(sha256.Size) {
		return false
	}
	raw, err := hex.DecodeString(string(d))
	return err == nil && hex.EncodeToString(raw) == string(d)
}

// Manifest lists the chunks of one version of the weights.
type Manifest struct {
	Format int `json:"format"`
	// Version is the name that operators give to these weights.
	Version string `json:"version"`
	// Base is the manifest digest of the base version, for adapters only.
	Base Digest `json:"base,omitempty"`
	// Size is the total size in bytes.
	Size int64 `json:"size"`
	// Whole is the digest of all bytes in order.
	Whole Digest `json:"whole"`
	// ChunkSize is the size in bytes of every chunk but the last.
	ChunkSize int64 `json:"chunk_size"`
	// Chunks holds the digests of the chunks in order.
	Chunks []Digest `json:"chunks"`
}

// ParseManifest parses raw after checking that its digest is expected. It returns
// a failure.Invalid error if raw is not a valid manifest.
func ParseManifest(raw []byte, expected Digest) (*Manifest, error) {
	const remedy = "publish the manifest again and bind the pool to its digest"
	if len(raw) > MaxManifestBytes {
		return nil, failure.New(failure.Invalid, "use larger chunks", "the manifest is larger than %d bytes", MaxManifestBytes)
	}
	if DigestOf(raw) != expected {
		return nil, failure.New(failure.Invalid, remedy, "the manifest does not have the digest %s", expected)
	}
	manifest := &Manifest{}
	if err := json.Unmarshal(raw, manifest); err != nil {
		return nil, failure.Wrap(err, failure.Invalid, remedy, "the manifest is not valid JSON")
	}
	return manifest, manifest.check()
}

func (m *Manifest) check() error {
	const remedy = "publish the manifest again"
	if m.Format != Format {
		return failure.New(failure.Invalid, remedy, "manifest format %d is not supported", m.Format)
	}
	if m.ChunkSize < MinChunkBytes || m.ChunkSize > MaxChunkBytes {
		return failure.New(failure.Invalid, remedy, "chunk size %d is outside %d to %d bytes", m.ChunkSize, MinChunkBytes, MaxChunkBytes)
	}
	if m.Size <= 0 || len(m.Chunks) == 0 || len(m.Chunks) > MaxChunks {
		return failure.New(failure.Invalid, remedy, "the manifest has %d chunks for %d bytes", len(m.Chunks), m.Size)
	}
	if needed := (m.Size-1)/m.ChunkSize + 1; needed != int64(len(m.Chunks)) {
		return failure.New(failure.Invalid, remedy, "%d bytes need %d chunks, the manifest lists %d", m.Size, needed, len(m.Chunks))
	}
	if !m.Whole.Valid() || (m.Base != "" && !m.Base.Valid()) {
		return failure.New(failure.Invalid, remedy, "a digest in the manifest is malformed")
	}
	for i, digest := range m.Chunks {
		if !digest.Valid() {
			return failure.New(failure.Invalid, remedy, "the digest of chunk %d is malformed", i)
		}
	}
	return nil
}

// ChunkBytes returns the size in bytes of chunk i.
func (m *Manifest) ChunkBytes(i int) int64 {
	if i == len(m.Chunks)-1 {
		return m.Size - m.ChunkSize*int64(i)
	}
	return m.ChunkSize
}

// Build returns the manifest of data, its JSON form and its digest.
func Build(version string, base Digest, data []byte, chunkSize int64) (*Manifest, []byte, Digest, error) {
	manifest := &Manifest{
		Format:    Format,
		Version:   version,
		Base:      base,
		Size:      int64(len(data)),
		Whole:     DigestOf(data),
		ChunkSize: chunkSize,
	}
	for start := int64(0); start < manifest.Size; start += chunkSize {
		end := min(start+chunkSize, manifest.Size)
		manifest.Chunks = append(manifest.Chunks, DigestOf(data[start:end]))
	}
	if err := manifest.check(); err != nil {
		return nil, nil, "", err
	}
	raw, err := json.Marshal(manifest)
	if err != nil {
		return nil, nil, "", failure.Wrap(err, failure.Internal, "report this", "the manifest cannot be encoded")
	}
	return manifest, raw, DigestOf(raw), nil
}
