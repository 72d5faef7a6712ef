package copies

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/duty"
	"plantainrelay/internal/message"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// silentProxy forwards connections to an address until they are silenced: then it keeps them
// open and discards what arrives on them. Later connections are forwarded.
type silentProxy struct {
	upstream string
	// forwarded counts the bytes in both directions.
	forwarded atomic.Int64
	// delay is how long, in nanoseconds, bytes wait in each direction.
	delay atomic.Int64
	mu    sync.Mutex
	open  []*silentStream
}

// silentStream is one direction of a connection.
type silentStream struct {
	to        net.Conn
	forwarded *atomic.Int64
	delay     *atomic.Int64
	mu        sync.Mutex
	silent    bool
}

// Write implements io.Writer.
func (s *silentStream) Write(data []byte) (int, error) {
	time.Sleep(time.Duration(s.delay.Load()))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return len(data), nil
	}
	s.forwarded.Add(int64(len(data)))
	return s.to.Write(data)
}

func startSilentProxy(c *qt.C, address, upstream string) *silentProxy {
	listener, err := net.Listen("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	p := &silentProxy{upstream: upstream}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p
}

func (p *silentProxy) forward(conn net.Conn) {
	upstream, err := net.Dial("tcp", p.upstream)
	if err != nil {
		conn.Close()
		return
	}
	streams := []*silentStream{{to: upstream, forwarded: &p.forwarded, delay: &p.delay}, {to: conn, forwarded: &p.forwarded, delay: &p.delay}}
	p.mu.Lock()
	p.open = append(p.open, streams...)
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { copyAndClose(streams[0], conn) })
	group.Go(func() { copyAndClose(streams[1], upstream) })
	group.Wait()
}

// copyAndClose copies until from ends. The error is that of a connection that ends with the test.
func copyAndClose(stream *silentStream, from net.Conn) {
	_, _ = io.Copy(stream, from)
	stream.to.Close()
}

// silence silences the open connections.
func (p *silentProxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, stream := range p.open {
		stream.mu.Lock()
		stream.silent = true
		stream.mu.Unlock()
	}
}

// startPeers starts processes with copies that are served at hosts, behind proxies at port.
func startPeers(c *qt.C, port int, hosts []string) ([]*Copies, []*silentProxy) {
	var all []*Copies
	var proxies []*silentProxy
	for _, host := range hosts {
		held := New(Config{Log: testLog(), Changed: func(platform.Kind) {}})
		server := peer.NewServer(peer.Security{}, testLog())
		c.Assert(server.Register(ServiceName, NewService(held)), qt.IsNil)
		upstream := beat.Address("127.0.0.1", freePort(c))
		c.Assert(server.Listen(upstream), qt.IsNil)
		all, proxies = append(all, held), append(proxies, startSilentProxy(c, beat.Address(host, port), upstream))
	}
	return all, proxies
}

// newTestPuller returns the puller of an entry that calls peers at port.
func newTestPuller(copies *Copies, port int) *Puller {
	return NewPuller(PullerConfig{Port: port, MaxConcurrent: 4, Log: testLog()}, copies, peer.NewClient(peer.Security{}))
}

// tablesAt returns the change to a revision of the tables.
func tablesAt(number int64, body []byte) replica.Change {
	revision := replica.Revision{Number: number}
	return replica.Change{Whole: true, AsOf: revision, Documents: []replica.Document{{Name: platform.TableName, Revision: revision, Body: body}}}
}

// TestChangeArrivesAlthoughConnectionsAreSilent guards against a change of the tables that comes
// into force late because the connections to the peers have gone silent since the last change.
func TestChangeArrivesAlthoughConnectionsAreSilent(t *testing.T) {
	// The shortest bound on a change is 2 s. Half of it belongs to the process that reads the
	// store.
	const bound = time.Second
	c := qt.New(t)
	port := freePort(c)
	var hosts []string
	for i := range 7 {
		hosts = append(hosts, fmt.Sprintf("127.0.1.%d", i+1))
	}
	others, proxies := startPeers(c, port, hosts)
	own := New(Config{Log: testLog(), Changed: func(platform.Kind) {}})
	puller := newTestPuller(own, port)
	for i, host := range hosts {
		others[i].ApplyFromPeer(platform.Tables, tablesAt(1, []byte("{}")), clock.Now(), "store")
		puller.pull(t.Context(), platform.Tables, duty.Pull{Host: host})
	}
	for i, proxy := range proxies {
		proxy.silence()
		others[i].ApplyFromPeer(platform.Tables, tablesAt(2, []byte("{}")), clock.Now(), "store")
	}
	began := time.Now()
	const beatInterval = 200 * time.Millisecond
	for turn := 0; own.AsOf(platform.Tables).Number < 2 && time.Since(began) < 3*bound; turn++ {
		sender := turn % len(hosts)
		puller.MessageReceived(t.Context(), &beat.Message{Host: hosts[sender], Collections: CollectionStates(others[sender])})
		time.Sleep(beatInterval / time.Duration(len(hosts)))
	}
	c.Assert(own.AsOf(platform.Tables).Number, qt.Equals, int64(2))
	c.Assert(time.Since(began) < bound, qt.IsTrue, qt.Commentf("after %s", time.Since(began)))
}

// TestStoreIsReadOnANewConnectionAfterATimeout guards against copies that are late because one
// kept connection to the store after the other turns out to be silent.
func TestStoreIsReadOnANewConnectionAfterATimeout(t *testing.T) {
	const kept = 4
	c := qt.New(t)
	server := httptest.NewServer(standin.NewStore())
	c.Cleanup(server.Close)
	address := beat.Address("127.0.3.1", freePort(c))
	proxy := startSilentProxy(c, address, strings.TrimPrefix(server.URL, "http://"))
	transport := message.NewTransport(&net.Dialer{})
	transport.MaxIdleConnsPerHost = kept
	store := platform.NewStoreClient(address, transport)
	watch := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := store.Watch(ctx, platform.Tables, replica.Revision{Number: 1}, time.Millisecond)
		return err
	}
	var calls sync.WaitGroup
	for range kept {
		calls.Go(func() { qt.Check(t, watch(10*time.Second), qt.IsNil) })
	}
	calls.Wait()
	proxy.silence()
	c.Assert(watch(200*time.Millisecond), qt.IsNotNil)
	c.Assert(watch(10*time.Second), qt.IsNil)
}

// TestAnswerAfterTheTimeoutIsNotUsed guards against reading an answer while it still arrives.
func TestAnswerAfterTheTimeoutIsNotUsed(t *testing.T) {
	c := qt.New(t)
	port := freePort(c)
	const host = "127.0.4.1"
	others, proxies := startPeers(c, port, []string{host})
	others[0].ApplyFromPeer(platform.Tables, tablesAt(1, []byte("{}")), clock.Now(), "store")
	own := New(Config{Log: testLog(), Changed: func(platform.Kind) {}})
	puller := newTestPuller(own, port)
	puller.pull(t.Context(), platform.Tables, duty.Pull{Host: host})
	others[0].ApplyFromPeer(platform.Tables, tablesAt(2, []byte("{}")), clock.Now(), "store")
	proxies[0].delay.Store(int64(duty.PullTimeout * 11 / 20))
	var other sync.WaitGroup
	other.Go(func() {
		// A later call keeps the connection open until the answer arrives.
		time.Sleep(duty.PullTimeout / 2)
		puller.pull(t.Context(), platform.Releases, duty.Pull{Host: host})
	})
	puller.pull(t.Context(), platform.Tables, duty.Pull{Host: host})
	other.Wait()
	c.Assert(own.AsOf(platform.Tables).Number, qt.Equals, int64(1))
}
