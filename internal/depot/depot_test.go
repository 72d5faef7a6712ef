package depot

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/rollout"
	"plantainrelay/internal/weights"
	"plantainrelay/platform"
)

const chunks = 4

func chunkOf(chunk int) []byte { return fmt.Appendf(nil, "chunk %d", chunk) }

// newDepot returns a depot with a fake origin. corrupt may alter the chunks that
// the origin sends.
func newDepot(t *testing.T, fetches *atomic.Int32, corrupt func(chunk int, data []byte) []byte) *Depot {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/manifest/") {
			var digests []string
			for chunk := range chunks {
				digests = append(digests, strconv.Quote(string(weights.DigestOf(chunkOf(chunk)))))
			}
			fmt.Fprintf(w, `{"Model":"m","Version":2,"Digests":[%s]}`, strings.Join(digests, ","))
			return
		}
		fetches.Add(1)
		chunk, _ := strconv.Atoi(r.URL.Query().Get("ItemCount"))
		_, _ = w.Write(corrupt(chunk, chunkOf(chunk)))
	}))
	t.Cleanup(server.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	address := strings.TrimPrefix(server.URL, "http://")
	d, err := New(Config{Host: "10.0.0.1", Uploads: NewUploadLimiter(0, EntryShare), Upstream: func() Upstream { return Upstream{Origin: address} }},
		platform.NewOriginClient(http.DefaultTransport), peer.NewClient(peer.Security{}), logrus.NewEntry(log))
	qt.Assert(t, err, qt.IsNil)
	return d
}

func args(chunk int) ChunkArgs {
	return ChunkArgs{VersionArgs: VersionArgs{Model: "m", Version: 2}, Chunk: chunk}
}

// TestConcurrentRequestsFetchOnceFromTheOrigin covers the load pattern of a
// release: all agents of a zone request the same chunks at the same time.
func TestConcurrentRequestsFetchOnceFromTheOrigin(t *testing.T) {
	c := qt.New(t)
	var fetches atomic.Int32
	d := newDepot(t, &fetches, func(_ int, data []byte) []byte { return data })
	var group sync.WaitGroup
	for range 20 {
		for chunk := range chunks {
			group.Go(func() {
				var reply ChunkReply
				c.Check(d.Chunk(args(chunk), &reply), qt.IsNil)
				c.Check(string(reply.Data), qt.Equals, string(chunkOf(chunk)))
			})
		}
	}
	group.Wait()
	c.Assert(fetches.Load(), qt.Equals, int32(chunks))
}

func TestCorruptChunkIsNotServed(t *testing.T) {
	c := qt.New(t)
	var fetches atomic.Int32
	d := newDepot(t, &fetches, func(chunk int, data []byte) []byte {
		if fetches.Load() == 1 {
			return []byte("corrupt")
		}
		return data
	})
	// A newer version is recorded, so that the request does not start a prefetch.
	d.newest["m"] = args(0).Version + 1
	var reply ChunkReply
	c.Assert(d.Chunk(args(0), &reply), qt.IsNotNil)
	c.Assert(reply.Data, qt.HasLen, 0)
	c.Assert(d.Chunk(args(0), &reply), qt.IsNil)
	c.Assert(d.Chunk(args(chunks), &reply), qt.IsNotNil, qt.Commentf("not in the manifest"))
}

// TestOriginFetchersAreLimited checks that the depots of a large zone do not open
// more connections than the origin accepts.
func TestOriginFetchersAreLimited(t *testing.T) {
	c := qt.New(t)
	var fetches atomic.Int32
	d := newDepot(t, &fetches, func(_ int, data []byte) []byte { return data })
	var hosts []string
	for i := range 40 {
		hosts = append(hosts, fmt.Sprintf("10.0.1.%d", i))
	}
	fetchers := map[string]bool{}
	for chunk := range 500 {
		fetchers[d.originFetcher(strconv.Itoa(chunk), Upstream{OriginFetchers: hosts})] = true
	}
	c.Assert(fetchers, qt.HasLen, maxOriginFetchers)
}

// waitUntil waits until a condition is met by work in the background.
func waitUntil(t *testing.T, met func() bool) {
	t.Helper()
	for range 500 {
		if met() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition was not met in time")
}

// TestReleaseIsPrefetched covers a release shortly before the origin becomes
// unavailable: no agent has requested a chunk yet, and fetches over the origin's
// link must not wait for the agents' narrow links.
func TestReleaseIsPrefetched(t *testing.T) {
	var fetches atomic.Int32
	d := newDepot(t, &fetches, func(_ int, data []byte) []byte { return data })
	d.Prefetch(args(0).VersionArgs)
	waitUntil(t, func() bool { return d.chunks.Len() == chunks })
	d.Prefetch(args(0).VersionArgs)
	qt.Assert(t, fetches.Load(), qt.Equals, int32(chunks))
}

// TestPrefetchRetriesUntilTheOriginRecovers covers an origin that fails for some
// time.
func TestPrefetchRetriesUntilTheOriginRecovers(t *testing.T) {
	var fetches atomic.Int32
	var recovered atomic.Bool
	d := newDepot(t, &fetches, func(_ int, data []byte) []byte {
		if !recovered.Load() {
			return []byte("corrupt")
		}
		return data
	})
	d.Prefetch(args(0).VersionArgs)
	waitUntil(t, func() bool { return fetches.Load() > 2*chunks })
	qt.Assert(t, d.chunks.Len(), qt.Equals, 0)
	recovered.Store(true)
	waitUntil(t, func() bool { return d.chunks.Len() == chunks })
}

// TestNewerVersionReplacesPrefetch checks that a prefetch that has only just
// started is abandoned for a newer version.
func TestNewerVersionReplacesPrefetch(t *testing.T) {
	c := qt.New(t)
	d := newDepot(t, &atomic.Int32{}, func(_ int, data []byte) []byte { return data })
	state := &prefetchState{args: VersionArgs{Model: "m", Version: 2}, deadline: clock.Now().Add(time.Minute)}
	state.progress = rollout.Progress{Held: 1, Chunks: 10, LastChunkAt: clock.Now(), ServeBy: clock.Now().Add(time.Minute)}
	c.Assert(d.shouldContinue(state), qt.IsTrue)
	d.newest["m"] = 3
	c.Assert(d.shouldContinue(state), qt.IsFalse)
	state.progress.Held = 9
	c.Assert(d.shouldContinue(state), qt.IsTrue, qt.Commentf("nearly done"))
}

// TestChunkEntersAZoneOnce checks that, in a zone without the origin, one depot
// requests a chunk from the depot that fetches it from the origin, and the others
// request it from that one.
func TestChunkEntersAZoneOnce(t *testing.T) {
	c := qt.New(t)
	upstream := Upstream{OriginFetchers: []string{"10.0.1.1", "10.0.1.2"}}
	for i := range 14 {
		upstream.Neighbors = append(upstream.Neighbors, fmt.Sprintf("10.0.2.%d", i))
	}
	for chunk := range 64 {
		direct := 0
		for _, host := range upstream.Neighbors {
			d := &Depot{config: Config{Host: host}}
			path := d.upstreamOf(chunk, upstream)
			c.Assert(slices.Contains(upstream.OriginFetchers, path[len(path)-1]), qt.IsTrue)
			if len(path) == 1 {
				direct++
			}
		}
		c.Assert(direct, qt.Equals, 1)
	}
}

// TestUnknownBandwidthIsNoLimit covers a reload of settings that no longer name the
// bandwidth of the link.
func TestUnknownBandwidthIsNoLimit(t *testing.T) {
	c := qt.New(t)
	uploads := NewUploadLimiter(8, AgentShare)
	c.Assert(uploads.Acquire(uploadBurst), qt.IsTrue)
	c.Assert(uploads.Acquire(uploadBurst), qt.IsFalse)
	uploads.SetBandwidth(0)
	c.Assert(uploads.Acquire(uploadBurst), qt.IsTrue)
}

// TestSlowFetcherIsNotBypassed guards against chunks that leave the origin several times: a depot
// that waits for the one that fetches from the origin turned to the origin itself when that took
// longer than its timeout, and made the origin's narrow link slower for all.
func TestSlowFetcherIsNotBypassed(t *testing.T) {
	c := qt.New(t)
	const port, fetcherHost, waitingHost = 17431, "127.0.0.2", "127.0.0.3"
	var fetches, otherFetches atomic.Int32
	// Longer than the timeout of a call between depots.
	slow := newDepot(t, &fetches, func(_ int, data []byte) []byte {
		time.Sleep(fetchTimeout + 200*time.Millisecond)
		return data
	})
	slow.config.Host = fetcherHost
	server := peer.NewServer(peer.Security{}, slow.log)
	c.Assert(server.Register(ServiceName, slow), qt.IsNil)
	c.Assert(server.Listen(fmt.Sprintf("%s:%d", fetcherHost, port)), qt.IsNil)
	waiting := newDepot(t, &otherFetches, func(_ int, data []byte) []byte { return data })
	waiting.config.Host, waiting.config.Port = waitingHost, port
	upstream := waiting.config.Upstream()
	upstream.OriginFetchers = []string{fetcherHost}
	waiting.config.Upstream = func() Upstream { return upstream }
	_, err := waiting.fetchChunkOnce(args(0))
	c.Assert(err, qt.IsNotNil)
	c.Assert(otherFetches.Load(), qt.Equals, int32(0))
}
