// Package platform defines the interfaces to the platform's services (object
// API, origin of weights, list of instances) and implements them over HTTP.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"plantainrelay/internal/member"
	"plantainrelay/internal/weights"
)

// Object is one value in the object API.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version grows with every change of any object; 0 means absent.
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// ObjectStore is the interface to the object API.
type ObjectStore interface {
	// Get returns an object, or failure.NotFound when it does not exist.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes value if the object's version equals expected (0: absent)
	// and returns the object with its new version. It returns
	// failure.Conflict when another write came first and failure.Unknown when
	// the write may have taken effect.
	Put(ctx context.Context, kind, name string, value json.RawMessage, expected int64) (Object, error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) ([]Object, error)
	// Watch waits at most wait for objects of kind with a version above after
	// and returns those found, possibly none.
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]Object, error)
}

// Origin is the interface to the origin of weights.
type Origin interface {
	// Manifest returns the bytes of the manifest with the given digest.
	Manifest(ctx context.Context, digest weights.Digest) ([]byte, error)
	// Chunk returns the content of a chunk. The caller closes it and must
	// verify what it reads.
	Chunk(ctx context.Context, digest weights.Digest) (io.ReadCloser, error)
}

// InstanceList is the interface to the platform's list of instances, which lags
// behind the real state.
type InstanceList interface {
	// Instances returns the platform's current list.
	Instances(ctx context.Context) (member.List, error)
}
