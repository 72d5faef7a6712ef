package copies

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/duty"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
)

func freePort(c *qt.C) int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

func testLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// TestChangesArePulledOverRPC checks that a process that does not read the store gets
// the tables and their proof from a peer, over net/rpc.
func TestChangesArePulledOverRPC(t *testing.T) {
	c := qt.New(t)
	from := New(Config{Log: testLog(), Changed: func(platform.Kind) {}})
	document := replica.Document{Name: "main", Revision: replica.Revision{Number: 7}, Body: []byte("{}")}
	from.ApplyFromPeer(platform.Tables, replica.Change{Whole: true, AsOf: replica.Revision{Number: 9}, Documents: []replica.Document{document}}, clock.Now().Add(-time.Second), "peer")
	server := peer.NewServer(peer.Security{}, testLog())
	c.Assert(server.Register(ServiceName, NewService(from)), qt.IsNil)
	port := freePort(c)
	c.Assert(server.Listen(beat.Address("127.0.0.1", port)), qt.IsNil)
	changed := make(chan platform.Kind, 1)
	to := New(Config{Log: testLog(), Changed: func(kind platform.Kind) { changed <- kind }})
	newTestPuller(to, port).pull(t.Context(), platform.Tables, duty.Pull{Host: "127.0.0.1"})
	c.Assert(<-changed, qt.Equals, platform.Tables)
	c.Assert(to.Documents(platform.Tables)["main"].Revision, qt.Equals, replica.Revision{Number: 7})
	age := to.CollectionState(platform.Tables).Age
	c.Assert(age >= time.Second && age < time.Minute, qt.IsTrue, qt.Commentf("%s", age))
	c.Assert(to.PeerStateReceived(platform.Tables, CollectionState{Known: true, Content: replica.Revision{Number: 7}}, clock.Now(), "peer"), qt.IsFalse)
	c.Assert(to.PeerStateReceived(platform.Tables, CollectionState{Known: true, Content: replica.Revision{Number: 8}}, clock.Now(), "peer"), qt.IsTrue)
	c.Assert(to.CollectionState(platform.Tables).Age < age, qt.IsTrue, qt.Commentf("a peer with the same content renews the proof"))
}

// TestMessageOfUnknownTimeRenewsNoProof guards against a proof that is dated too late
// because the message that reports it was delayed on a link or in the socket of a paused
// process. Keys that were revoked meanwhile would then be accepted.
func TestMessageOfUnknownTimeRenewsNoProof(t *testing.T) {
	c := qt.New(t)
	copies := New(Config{Log: testLog(), Changed: func(platform.Kind) {}})
	old := clock.Now().Add(-7 * time.Second)
	document := replica.Document{Name: "main", Revision: replica.Revision{Number: 7}, Body: []byte("{}")}
	copies.ApplyFromPeer(platform.Tables, replica.Change{Whole: true, AsOf: replica.Revision{Number: 7}, Documents: []replica.Document{document}}, old, "peer")
	reported := CollectionState{Known: true, Content: replica.Revision{Number: 7}, Age: time.Second}
	copies.PeerStateReceived(platform.Tables, reported, time.Time{}, "peer")
	c.Assert(copies.CollectionState(platform.Tables).Age >= 7*time.Second, qt.IsTrue)
	sentAfter := clock.Now().Add(-5 * time.Second)
	copies.PeerStateReceived(platform.Tables, reported, sentAfter, "peer")
	c.Assert(copies.CollectionState(platform.Tables).Age >= 6*time.Second, qt.IsTrue, qt.Commentf("the message may be 5 s old"))
	c.Assert(copies.CollectionState(platform.Tables).Age < 7*time.Second, qt.IsTrue)
}

// TestChangesAreAppliedOneAtATime guards against an older state that is decoded late and
// put into effect after a newer one, because reads of the store and pulls deliver
// changes concurrently.
func TestChangesAreAppliedOneAtATime(t *testing.T) {
	c := qt.New(t)
	var concurrent, maxConcurrent atomic.Int32
	copies := New(Config{Log: testLog(), Changed: func(platform.Kind) {
		maxConcurrent.Store(max(maxConcurrent.Load(), concurrent.Add(1)))
		time.Sleep(time.Millisecond)
		concurrent.Add(-1)
	}})
	var sources sync.WaitGroup
	for revision := range int64(20) {
		document := replica.Document{Name: "main", Revision: replica.Revision{Number: revision + 1}}
		sources.Go(func() {
			copies.ApplyFromPeer(platform.Tables, replica.Change{Whole: true, AsOf: replica.Revision{Number: revision + 1}, Documents: []replica.Document{document}}, clock.Now(), "peer")
		})
	}
	sources.Wait()
	c.Assert(maxConcurrent.Load(), qt.Equals, int32(1))
}
