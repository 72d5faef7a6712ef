package copies

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/duty"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// largeRoutes is the number of routes of a large table.
const largeRoutes = 1400

// largeTable returns tables with many routes.
func largeTable(version int64, routes int) standin.Table {
	random := rand.New(rand.NewPCG(1, 2))
	name := func(length int) string {
		text := make([]byte, length)
		for i := range text {
			text[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[random.IntN(36)]
		}
		return string(text)
	}
	table := standin.Table{Version: version, Pools: []standin.Pool{{Name: "chat", Slots: 8}, {Name: "orders", Slots: 8}}, MaxBodyBytes: 1 << 20}
	for range routes {
		table.Routes = append(table.Routes, standin.Route{
			Name: "r-" + name(7), Host: name(6) + ".example", PathPrefix: "/" + name(7) + "/" + name(4) + "/", Pool: "chat",
			Kind: standin.Streaming, Timeout: 6 * time.Second, Objective: 400 * time.Millisecond,
		})
	}
	return table
}

// pulledBytes returns how many bytes it takes to bring a process from one state of the tables to
// the next one, from a peer that holds both in turn; from is nil for a process without tables.
func pulledBytes(t *testing.T, from, to []byte) int64 {
	c := qt.New(t)
	port := freePort(c)
	const host = "127.0.2.1"
	others, proxies := startPeers(c, port, []string{host})
	own := New(Config{Log: testLog(), Changed: func(platform.Kind) {}})
	puller := newTestPuller(own, port)
	if from != nil {
		others[0].ApplyFromPeer(platform.Tables, tablesAt(1, from), clock.Now(), "store")
		puller.pull(t.Context(), platform.Tables, duty.Pull{Host: host})
		c.Assert(own.AsOf(platform.Tables).Number, qt.Equals, int64(1))
	}
	before := proxies[0].forwarded.Load()
	others[0].ApplyFromPeer(platform.Tables, tablesAt(2, to), clock.Now(), "store")
	puller.pull(t.Context(), platform.Tables, duty.Pull{Host: host})
	c.Assert(string(own.Documents(platform.Tables)[platform.TableName].Body), qt.Equals, string(to))
	return proxies[0].forwarded.Load() - before
}

// TestChangeOfLargeTablesIsSmall guards against changes that come into force late because each of
// them sends all routes over the links: one changed route of many has to fit into what a process
// may send and receive for control in a second.
func TestChangeOfLargeTablesIsSmall(t *testing.T) {
	const controlBytes = 3 << 10
	before, after := largeTable(10, largeRoutes), largeTable(11, largeRoutes)
	after.Routes[700].Timeout = 3 * time.Second
	after.Routes = append(after.Routes[:300:300], after.Routes[301:]...)
	bytes := pulledBytes(t, standin.EncodeDocument(before.Encode()), standin.EncodeDocument(after.Encode()))
	qt.Assert(t, bytes <= controlBytes, qt.IsTrue, qt.Commentf("%d bytes", bytes))
}

// TestLargeTablesFitTheLinkOfAnInstance guards against large tables that come into force late
// because those who ask for them first exceed the link of the instance that has them: the 25 others
// of its availability zone have to get them within a second over 28 Mbit/s.
func TestLargeTablesFitTheLinkOfAnInstance(t *testing.T) {
	const linkBytes = 28_000_000 / 8 / 25
	table := largeTable(10, largeRoutes)
	bytes := pulledBytes(t, nil, standin.EncodeDocument(table.Encode()))
	qt.Assert(t, bytes <= linkBytes, qt.IsTrue, qt.Commentf("%d bytes instead of %d", bytes, linkBytes))
}

// TestEveryChangeOfTheTablesArrivesUnchanged checks that tables are the same at the process that
// pulls them, whatever differs from those that it has.
func TestEveryChangeOfTheTablesArrivesUnchanged(t *testing.T) {
	table := largeTable(10, 100)
	same := standin.EncodeDocument(table.Encode())
	emptied := standin.EncodeDocument(standin.Table{Version: 11, Keys: map[string][]string{}}.Encode())
	for i, pair := range [][2][]byte{{nil, same}, {same, emptied}, {emptied, same}, {same, []byte("{}")}, {[]byte("{}"), same}, {same, same}} {
		t.Run(fmt.Sprint(i), func(t *testing.T) { pulledBytes(t, pair[0], pair[1]) })
	}
}

// TestDifferenceFromAnotherVersionIsNotUsed guards against tables that are put together from the
// wrong version: the process then asks for the whole document.
func TestDifferenceFromAnotherVersionIsNotUsed(t *testing.T) {
	c := qt.New(t)
	one, two, three := largeTable(1, 100), largeTable(2, 120), largeTable(3, 140)
	held := newEncodings()
	var versions []replica.Document
	for i, table := range []standin.Table{one, two, three} {
		document := replica.Document{Name: "main", Revision: replica.Revision{Number: int64(i + 1)}, Body: standin.EncodeDocument(table.Encode())}
		versions = append(versions, document)
		held.update([]replica.Document{document})
	}
	latest := encodeDocuments(versions[2:])[0]
	sent, err := held.encode(latest, map[string]replica.Revision{"main": {Number: 1}})
	c.Assert(err, qt.IsNil)
	c.Assert(sent.BaseRevision, qt.Equals, int64(1))
	received, err := decode(sent, map[string]replica.Document{"main": versions[0]})
	c.Assert(err, qt.IsNil)
	c.Assert(received, qt.DeepEquals, latest)
	_, err = decode(sent, map[string]replica.Document{"main": versions[1]})
	c.Assert(err, qt.ErrorMatches, ".*which this process did not have.*")
	forged := versions[1]
	forged.Revision.Number = 1
	_, err = decode(sent, map[string]replica.Document{"main": forged})
	c.Assert(err, qt.IsNotNil)
	unknown, err := held.encode(latest, map[string]replica.Revision{"main": {Number: 9, Era: 1}})
	c.Assert(err, qt.IsNil)
	c.Assert(unknown.base(), qt.Equals, replica.Revision{})
}

// TestBasesAreBounded guards against a memory that grows with the number of changes.
func TestBasesAreBounded(t *testing.T) {
	c := qt.New(t)
	held := newEncodings()
	for i := range 20 {
		held.update([]replica.Document{{Name: "main", Revision: replica.Revision{Number: int64(i + 1)}, Body: make([]byte, maxBaseBytes/2-1)}})
		held.update([]replica.Document{{Name: "huge", Revision: replica.Revision{Number: int64(i + 1)}, Body: make([]byte, 2*maxBaseBytes)}})
	}
	c.Assert(held.documents["main"].earlier, qt.HasLen, 2)
	c.Assert(held.documents["huge"].earlier, qt.HasLen, 1)
	held.update([]replica.Document{{Name: "main", Revision: replica.Revision{Number: 30}, Removed: true}})
	c.Assert(held.documents["main"], qt.IsNil)
}
