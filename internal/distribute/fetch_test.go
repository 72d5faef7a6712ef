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

// model is an engine that keeps staged chunks and counts load orders.
type model struct {
	engine.Model
	staged map[int][]byte
	status engine.Status
	loads  int
}

func (m *model) Stage(_ context.Context, _ weights.Digest, chunk int, data []byte) error {
	m.staged[chunk] = bytes.Clone(data)
	return nil
}

func (m *model) Staged(context.Context, weights.Digest) ([]int, error) { return nil, nil }

func (m *model) ReadStaged(_ context.Context, _ weights.Digest, chunk int) (io.ReadCloser, error) {
	data, found := m.staged[chunk]
	if !found {
		return nil, failure.New(failure.NotFound, "none", "absent")
	}
	return io.NopCloser(bytes.NewReader(data)), nil
}

func (m *model) Status(context.Context) (engine.Status, error) { return m.status, nil }

func (m *model) Load(context.Context, engine.Order) error {
	m.loads++
	return nil
}

func testDriver(m *model) *Driver {
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
func fetchFrom(t *testing.T, data []byte, handler http.HandlerFunc) (swarm.Outcome, *model) {
	manifest, _, digest, err := weights.Build("v1", "", data, weights.MinChunkBytes)
	qt.Assert(t, err, qt.IsNil)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	m := &model{staged: map[int][]byte{}}
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
		{"killed in the middle", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(data[:100])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, swarm.Failed},
		{"stalled in the middle", func(w http.ResponseWriter, r *http.Request) {
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

// TestExpiredPermitPreventsLoad: an agent that was paused between its permit
// and its order does not load.
func TestExpiredPermitPreventsLoad(t *testing.T) {
	m := &model{}
	d := testDriver(m)
	result := d.load(context.Background(), engine.Order{}, time.Now().Add(-time.Second))
	qt.Assert(t, result.PermitExpired, qt.IsTrue)
	qt.Assert(t, m.loads, qt.Equals, 0)
}

// TestWallClockJumpExpiresPermit: the monotonic clock alone does not show
// that the machine was suspended.
func TestWallClockJumpExpiresPermit(t *testing.T) {
	now := time.Now()
	until := now.Add(time.Minute)
	qt.Assert(t, permitExpired(until, now), qt.IsFalse)
	qt.Assert(t, permitExpired(until, now.Round(0).Add(time.Hour)), qt.IsTrue)
}

// TestMismatchedWeightsFailTheLoad: the engine answers well but holds
// partial weights.
func TestMismatchedWeightsFailTheLoad(t *testing.T) {
	digest := weights.DigestOf([]byte("manifest"))
	m := &model{status: engine.Status{Manifest: digest, Whole: weights.DigestOf([]byte("half"))}}
	order := engine.Order{Manifest: digest, Whole: weights.DigestOf([]byte("whole"))}
	result := testDriver(m).load(context.Background(), order, time.Now().Add(time.Minute))
	qt.Assert(t, m.loads, qt.Equals, 1)
	qt.Assert(t, result.Cause, qt.Not(qt.Equals), "")
}

// TestAdapterWithWrongBaseIsRejected checks the binding of adapters.
func TestAdapterWithWrongBaseIsRejected(t *testing.T) {
	base, other := weights.DigestOf([]byte("base")), weights.DigestOf([]byte("other"))
	d := testDriver(&model{})
	adapter := &weights.Manifest{Version: "adapter", Base: base}
	qt.Assert(t, d.checkBase(adapter, engine.Status{Manifest: base}), qt.IsNil)
	qt.Assert(t, failure.Of(d.checkBase(adapter, engine.Status{Manifest: other})), qt.Equals, failure.Refused)
	d.manifests.parsed.Add(other, &weights.Manifest{Base: base})
	qt.Assert(t, d.checkBase(adapter, engine.Status{Manifest: other}), qt.IsNil)
}

// TestSharedChunksAreReused: chunks that another staged version has in
// common are staged under the new one.
func TestSharedChunksAreReused(t *testing.T) {
	first := bytes.Repeat([]byte{1}, 3*weights.MinChunkBytes)
	first[0] = 7
	second := bytes.Clone(first)
	second[2*weights.MinChunkBytes] = 9
	from, _, fromDigest, err := weights.Build("v1", "", first, weights.MinChunkBytes)
	qt.Assert(t, err, qt.IsNil)
	to, _, toDigest, err := weights.Build("v2", "", second, weights.MinChunkBytes)
	qt.Assert(t, err, qt.IsNil)
	m := &stagedModel{from: fromDigest, model: &model{staged: map[int][]byte{}}, data: first}
	d := testDriver(m.model)
	d.model = m
	d.manifests.parsed.Add(fromDigest, from)
	have, err := d.stagedChunks(context.Background(), toDigest, to)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, have.Count(), qt.Equals, 2)
	qt.Assert(t, have.Has(2), qt.IsFalse)
}

// stagedModel holds all chunks of one version.
type stagedModel struct {
	*model
	from weights.Digest
	data []byte
}

func (m *stagedModel) Staged(_ context.Context, manifest weights.Digest) ([]int, error) {
	if manifest == m.from {
		return []int{0, 1, 2}, nil
	}
	return nil, nil
}

func (m *stagedModel) ReadStaged(_ context.Context, _ weights.Digest, chunk int) (io.ReadCloser, error) {
	start := chunk * weights.MinChunkBytes
	return io.NopCloser(bytes.NewReader(m.data[start : start+weights.MinChunkBytes])), nil
}
