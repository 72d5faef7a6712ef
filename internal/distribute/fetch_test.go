package distribute

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"plantainrelay/internal/engine"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/swarm"
	"plantainrelay/internal/weights"
)

// fakeEngine is a fake engine that stores staged chunks and counts load orders.
type fakeEngine struct {
	engine.Controller
	staged map[int][]byte
	status engine.Status
	loads  int
}

func (m *fakeEngine) Stage(_ context.Context, _ weights.Digest, chunk int, data []byte) error {
	m.staged[chunk] = bytes.Clone(data)
	return nil
}

func (m *fakeEngine) Staged(context.Context, weights.Digest) ([]int, error) { return nil, nil }

func (m *fakeEngine) ReadStaged(_ context.Context, _ weights.Digest, chunk int) (io.ReadCloser, error) {
	data, found := m.staged[chunk]
	if !found {
		return nil, failure.New(failure.NotFound, "none", "absent")
	}
	return io.NopCloser(bytes.NewReader(data)), nil
}

func (m *fakeEngine) Status(context.Context) (engine.Status, error) { return m.status, nil }

func (m *fakeEngine) Load(context.Context, engine.Order) error {
	m.loads++
	return nil
}

func testDriver(m *fakeEngine) *Driver {
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := Config{
		Self:         "a",
		MaxUploads:   1,
		Security:     peer.Security{Key: []byte("key")},
		ChunkTimeout: time.Minute,
		StallTimeout: 100 * time.Millisecond,
		LoadTimeout:  time.Minute,
	}
	return New(config, m, nil, nil, nil, nil, nil, logrus.NewEntry(log))
}

// fetchFrom fetches one chunk of data from a peer that answers with handler.
func fetchFrom(t *testing.T, data []byte, handler http.HandlerFunc) (swarm.Outcome, *fakeEngine) {
	manifest, _, digest, err := weights.Build("v1", "", data, weights.MinChunkBytes)
	qt.Assert(t, err, qt.IsNil)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	m := &fakeEngine{staged: map[int][]byte{}}
	outcome := testDriver(m).fetch(context.Background(), transfer{
		fetch:    swarm.Fetch{Chunk: 0, Source: "b"},
		digest:   digest,
		manifest: manifest,
		address:  strings.TrimPrefix(server.URL, "http://"),
	})
	return outcome, m
}

func TestFetchOutcomes(t *testing.T) {
	data := bytes.Repeat([]byte("weights "), weights.MinChunkBytes/8)
	damaged := bytes.Clone(data)
	damaged[17] ^= 1
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		outcome swarm.Outcome
	}{
		{"whole", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(data) }, swarm.Verified},
		{"corrupt", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(damaged) }, swarm.Corrupt},
		{"connection aborted during the transfer", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(data[:100])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, swarm.Failed},
		{"source stalls during the transfer", func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(data[:100])
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, swarm.Failed},
		{"absent", http.NotFound, swarm.Absent},
		{"busy", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, swarm.Busy},
	} {
		t.Run(test.name, func(t *testing.T) {
			outcome, m := fetchFrom(t, data, test.handler)
			qt.Assert(t, outcome, qt.Equals, test.outcome)
			if test.outcome == swarm.Verified {
				qt.Assert(t, m.staged[0], qt.DeepEquals, data)
			} else {
				qt.Assert(t, m.staged, qt.HasLen, 0)
			}
		})
	}
}

// TestExpiredPermitPreventsLoad covers an agent that was paused between receiving
// its permit and sending its load order. It must not load.
func TestExpiredPermitPreventsLoad(t *testing.T) {
	m := &fakeEngine{}
	d := testDriver(m)
	result := d.load(context.Background(), engine.Order{}, time.Now().Add(-time.Second))
	qt.Assert(t, result.PermitExpired, qt.IsTrue)
	qt.Assert(t, m.loads, qt.Equals, 0)
}

// TestWallClockJumpExpiresPermit covers a suspended machine, which the monotonic
// clock alone does not show.
func TestWallClockJumpExpiresPermit(t *testing.T) {
	now := time.Now()
	until := now.Add(time.Minute)
	qt.Assert(t, permitExpired(until, now), qt.IsFalse)
	qt.Assert(t, permitExpired(until, now.Round(0).Add(time.Hour)), qt.IsTrue)
}

// TestMismatchedWeightsFailTheLoad covers an engine that accepts the load order
// but holds partial weights afterwards.
func TestMismatchedWeightsFailTheLoad(t *testing.T) {
	digest := weights.DigestOf([]byte("manifest"))
	m := &fakeEngine{status: engine.Status{Manifest: digest, Whole: weights.DigestOf([]byte("half"))}}
	order := engine.Order{Manifest: digest, Whole: weights.DigestOf([]byte("whole"))}
	result := testDriver(m).load(context.Background(), order, time.Now().Add(time.Minute))
	qt.Assert(t, m.loads, qt.Equals, 1)
	qt.Assert(t, result.Cause, qt.Not(qt.Equals), "")
}

// TestAdapterWithWrongBaseIsRejected checks that an adapter is accepted only if the
// engine serves its base or another adapter of the same base.
func TestAdapterWithWrongBaseIsRejected(t *testing.T) {
	base, other := weights.DigestOf([]byte("base")), weights.DigestOf([]byte("other"))
	d := testDriver(&fakeEngine{})
	adapter := &weights.Manifest{Version: "adapter", Base: base}
	qt.Assert(t, d.checkBase(adapter, engine.Status{Manifest: base}), qt.IsNil)
	qt.Assert(t, failure.KindOf(d.checkBase(adapter, engine.Status{Manifest: other})), qt.Equals, failure.Refused)
	d.manifests.parsed.Add(other, &weights.Manifest{Base: base})
	qt.Assert(t, d.checkBase(adapter, engine.Status{Manifest: other}), qt.IsNil)
}

// TestSharedChunksAreReused checks that chunks shared with another staged version
// are staged for the new version without being fetched.
func TestSharedChunksAreReused(t *testing.T) {
	first := bytes.Repeat([]byte{1}, 3*weights.MinChunkBytes)
	first[0] = 7
	second := bytes.Clone(first)
	second[2*weights.MinChunkBytes] = 9
	from, _, fromDigest, err := weights.Build("v1", "", first, weights.MinChunkBytes)
	qt.Assert(t, err, qt.IsNil)
	to, _, toDigest, err := weights.Build("v2", "", second, weights.MinChunkBytes)
	qt.Assert(t, err, qt.IsNil)
	m := &stagedEngine{from: fromDigest, fakeEngine: &fakeEngine{staged: map[int][]byte{}}, data: first}
	d := testDriver(m.fakeEngine)
	d.controller = m
	d.manifests.parsed.Add(fromDigest, from)
	have, err := d.stagedChunks(context.Background(), toDigest, to)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, have.Count(), qt.Equals, 2)
	qt.Assert(t, have.Has(2), qt.IsFalse)
}

// stagedEngine is a fake engine that holds all chunks of one version.
type stagedEngine struct {
	*fakeEngine
	from weights.Digest
	data []byte
}

func (m *stagedEngine) Staged(_ context.Context, manifest weights.Digest) ([]int, error) {
	if manifest == m.from {
		return []int{0, 1, 2}, nil
	}
	return nil, nil
}

func (m *stagedEngine) ReadStaged(_ context.Context, _ weights.Digest, chunk int) (io.ReadCloser, error) {
	start := chunk * weights.MinChunkBytes
	return io.NopCloser(bytes.NewReader(m.data[start : start+weights.MinChunkBytes])), nil
}
