package hostile_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/depot"
	"plantainrelay/internal/peer"
	"plantainrelay/platform/standin"
)

const (
	faultyPool    = "faulty"
	faultyServers = 4
	faultySlots   = 250
	// responseCallers is the number of callers at once, each with one request.
	responseCallers = 800
	// responseDescriptors leaves room for these callers and their attempts.
	responseDescriptors = 4100
	// heldHead and heldEvent are the sizes of what a faulty server sends before it goes on
	// slowly: below the limits of a head and of an event.
	heldHead, heldEvent = 60 << 10, 200 << 10
	// heldLines and heldLine are the sizes of short lines and of a long one that stay below the
	// limit of a head together.
	heldLines, heldLine = 200, 8 << 10
	trickleInterval     = 50 * time.Millisecond
)

// shortLines returns header lines of the given size together that are as short as possible, each
// with another name.
func shortLines(size int) string {
	var text strings.Builder
	for i := 0; text.Len() < size; i++ {
		text.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return text.String()
}

// faultyResponse writes a response that is no answer. header holds the lines of a valid header.
type faultyResponse func(conn io.Writer, header string) error

// trickle writes text again and again, byte by byte, until the connection is closed.
func trickle(conn io.Writer, text string) error {
	for i := 0; ; i++ {
		time.Sleep(trickleInterval)
		if _, err := io.WriteString(conn, text[i%len(text):i%len(text)+1]); err != nil {
			return err
		}
	}
}

const okLine = "HTTP/1.1 200 OK\r\n"

var faultyResponses = map[string]faultyResponse{
	"a head of short lines without end": func(conn io.Writer, _ string) error {
		_, err := io.WriteString(conn, okLine)
		for i := 0; err == nil; i++ {
			_, err = io.WriteString(conn, shortLines(4<<10))
		}
		return err
	},
	"a head of short lines that stops before its end": func(conn io.Writer, _ string) error {
		if _, err := io.WriteString(conn, okLine+shortLines(heldHead)); err != nil {
			return err
		}
		return trickle(conn, "x")
	},
	"a whole head of short lines and a slow body": func(conn io.Writer, header string) error {
		if _, err := io.WriteString(conn, okLine+header+shortLines(heldHead)+"\r\n"); err != nil {
			return err
		}
		return trickle(conn, "x")
	},
	"a whole head within the limits and a slow body": func(conn io.Writer, header string) error {
		if _, err := io.WriteString(conn, okLine+header+shortLines(heldLines)+"X-Padding: "+strings.Repeat("x", heldLine)+"\r\n\r\n"); err != nil {
			return err
		}
		return trickle(conn, "x")
	},
	"interim heads and a head of short lines": func(conn io.Writer, header string) error {
		interim := strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n", 3)
		if _, err := io.WriteString(conn, interim+okLine+header+shortLines(heldHead)+"\r\n"); err != nil {
			return err
		}
		return trickle(conn, "x")
	},
	"an event that stops before its end": func(conn io.Writer, header string) error {
		if _, err := io.WriteString(conn, okLine+header+"Content-Type: text/event-stream\r\n\r\ndata: "+strings.Repeat("x", heldEvent)); err != nil {
			return err
		}
		return trickle(conn, "x")
	},
	"a trailer of short lines": func(conn io.Writer, header string) error {
		_, err := io.WriteString(conn, okLine+header+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n8\r\ndata: x\n\r\n0\r\n")
		for err == nil {
			_, err = io.WriteString(conn, shortLines(4<<10))
		}
		return err
	},
}

// serveFaulty writes a faulty response to each request.
func serveFaulty(respond faultyResponse) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get(standin.HeaderAttempt)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		// The caller closes the connection.
		_ = respond(conn, standin.HeaderAttempt+": "+attempt+"\r\n"+standin.HeaderSeal+": "+standin.Seal(attempt)+"\r\n")
	})
}

// startFaultyServers starts instances of faultyPool at addresses of the network.
func startFaultyServers(t *testing.T, base int, store *standin.Store, respond faultyResponse) {
	for i := range faultyServers {
		address := fmt.Sprintf("127.%d.1.%d:%d", base, 110+i, backendPort)
		listener, err := net.Listen("tcp", address)
		qt.Assert(t, err, qt.IsNil)
		server := &http.Server{Handler: serveFaulty(respond), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { server.Close() })
		backend := standin.NewBackend(standin.BackendConfig{ID: fmt.Sprint("i-", faultyPool, i), Pool: faultyPool, Zone: "a", Address: address, Slots: faultySlots}, 0, nil)
		qt.Assert(t, store.Put(standin.KindBackends, fmt.Sprint("i-", faultyPool, i), backend.Document()), qt.IsNil)
	}
}

// faultyTable returns tables with a route to faultyPool.
func faultyTable(kind standin.RouteKind) standin.Table {
	table := newTable(maxBodyBytes)
	table.Routes = append(table.Routes, standin.Route{Name: "faulty", Host: host, PathPrefix: "/faulty/", Pool: faultyPool, Kind: kind, Timeout: timeLimit, Objective: time.Second})
	table.Pools = append(table.Pools, standin.Pool{Name: faultyPool, Slots: faultySlots})
	return table
}

// TestResponsesWithoutEndOfManyServers guards against an entry that runs out of memory, with the
// requests of all callers, because several instances send bytes that are no answer to many
// requests at once: what the parser holds of a response is many times what it has read.
func TestResponsesWithoutEndOfManyServers(t *testing.T) {
	for name, respond := range faultyResponses {
		for _, kind := range []standin.RouteKind{standin.Streaming, standin.NonIdempotent} {
			t.Run(fmt.Sprintf("%s, %v", name, kind), func(t *testing.T) {
				base, store := freeNetwork(t), standin.NewStore()
				startFaultyServers(t, base, store, respond)
				startEntryAt(t, base, store, store, faultyTable(kind), responseDescriptors).callFaulty()
			})
		}
	}
}

// callFaulty sends many requests at once that get faulty responses, and checks that the entry
// stays within the memory of its machine and serves an ordinary request afterwards.
func (e *entry) callFaulty() {
	e.t.Helper()
	var callers sync.WaitGroup
	for range responseCallers {
		callers.Go(func() {
			conn, err := net.DialTimeout("tcp", e.address, time.Second)
			if err != nil {
				return
			}
			defer conn.Close()
			// An error means that the entry has closed the connection, which it may.
			_ = conn.SetDeadline(time.Now().Add(2 * timeLimit))
			if _, err := io.WriteString(conn, head("/faulty/1", "Content-Length: 0")); err != nil {
				return
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
			if err != nil {
				return
			}
			defer response.Body.Close()
			_, _ = io.Copy(io.Discard, response.Body)
		})
	}
	callers.Wait()
	e.awaitServed(startTimeout)
	e.checkMemory()
}

const (
	// heldList is the size of what a faulty store sends before it goes on slowly: below the
	// limit of a response.
	heldList = 7 << 20
	// storeFaultTime is how long the store is faulty.
	storeFaultTime = 6 * time.Second
)

// faultyStoreResponses are what a store in trouble sends instead of an answer.
var faultyStoreResponses = map[string]faultyResponse{
	"a head of short lines that stops before its end": faultyResponses["a head of short lines that stops before its end"],
	"a list without end": func(conn io.Writer, _ string) error {
		_, err := io.WriteString(conn, okLine+"Content-Type: application/json\r\n\r\n{\"Items\":[")
		for err == nil {
			_, err = io.WriteString(conn, strings.Repeat("{},", 1<<10))
		}
		return err
	},
	"a list that stops before its end": func(conn io.Writer, _ string) error {
		if _, err := io.WriteString(conn, okLine+"Content-Type: application/json\r\n\r\n{\"Items\":["+strings.Repeat("{},", heldList/3)); err != nil {
			return err
		}
		return trickle(conn, " ")
	},
	"a list of as many objects as fit": func(conn io.Writer, _ string) error {
		text := "{\"Items\":[{}" + strings.Repeat(",{}", heldList/3) + "],\"events\":[{}" + strings.Repeat(",{}", 1<<10) + "],\"AsOf\":1}"
		_, err := fmt.Fprintf(conn, okLine+"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return err
	},
	"chunks without end": func(conn io.Writer, _ string) error {
		_, err := io.WriteString(conn, okLine+"Transfer-Encoding: chunked\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(conn, strings.Repeat("1;x=y\r\n[\r\n", 1<<10))
		}
		return err
	},
}

// TestStoreResponsesWithoutEnd guards against an entry that runs out of memory because the
// store answers all of its calls with bytes that are no answer.
func TestStoreResponsesWithoutEnd(t *testing.T) {
	for name, respond := range faultyStoreResponses {
		t.Run(name, func(t *testing.T) {
			store := standin.NewStore()
			var isFaulty atomic.Bool
			faulty := serveFaulty(respond)
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if isFaulty.Load() {
					faulty.ServeHTTP(w, r)
					return
				}
				store.ServeHTTP(w, r)
			})
			e := startEntryAt(t, freeNetwork(t), store, handler, newTable(maxBodyBytes), responseDescriptors)
			isFaulty.Store(true)
			time.Sleep(storeFaultTime)
			isFaulty.Store(false)
			e.awaitServed(startTimeout)
			e.checkMemory()
		})
	}
}

const (
	modelPool = "engines"
	// peerCalls is the number of calls of other agents at once.
	peerCalls = 400
	// agentFaultTime is how long an engine or an origin is faulty.
	agentFaultTime = 4 * time.Second
)

var weights = standin.Weights{Model: "model", Chunks: 8, ChunkBytes: 32 << 10, Layers: 4}

// faultyBytes are what an engine or an origin in trouble sends instead of an answer: bytes
// without an end, and as many as are still read before the limit, which then go on slowly.
var faultyBytes = map[string]faultyResponse{
	"a head that stops before its end": faultyResponses["a head of short lines that stops before its end"],
	"a body without end": func(conn io.Writer, _ string) error {
		_, err := io.WriteString(conn, okLine+"\r\n")
		for err == nil {
			_, err = io.WriteString(conn, strings.Repeat("[", 4<<10))
		}
		return err
	},
	"a body that stops before its end": func(conn io.Writer, _ string) error {
		if _, err := io.WriteString(conn, okLine+"\r\n"+strings.Repeat("[", 3<<20)); err != nil {
			return err
		}
		return trickle(conn, "[")
	},
}

// faultyAgent is an agent whose engine and origin can become faulty.
type faultyAgent struct {
	*process
	engine                     *standin.Backend
	faultyEngine, faultyOrigin atomic.Bool
	store                      *standin.Store
	// chunksAddress is where other agents ask for chunks.
	chunksAddress string
}

// startFaultyAgent starts an agent whose engine serves version 1.
func startFaultyAgent(t *testing.T, respond faultyResponse) *faultyAgent {
	t.Helper()
	c := qt.New(t)
	a := &faultyAgent{store: standin.NewStore()}
	base := freeNetwork(t)
	ip := fmt.Sprintf("127.%d.1.101", base)
	faulty := serveFaulty(respond)
	origin := standin.NewOrigin(weights)
	originAddress := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.faultyOrigin.Load() && r.URL.Query().Has("ItemCount") {
			faulty.ServeHTTP(w, r)
			return
		}
		origin.ServeHTTP(w, r)
	}))
	address := net.JoinHostPort(ip, strconv.Itoa(backendPort))
	listener, err := net.Listen("tcp", address)
	c.Assert(err, qt.IsNil)
	a.engine = standin.NewBackend(standin.BackendConfig{ID: "i-1", Pool: modelPool, Zone: "a", Address: address, Slots: slots, Weights: &weights, OnStart: func(standin.Execution) {}}, 1, nil)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.faultyEngine.Load() {
			faulty.ServeHTTP(w, r)
			return
		}
		a.engine.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	table := standin.Table{
		Version: 3, Routes: []standin.Route{{Name: "write", Host: host, PathPrefix: "/write/", Pool: modelPool, Kind: standin.Streaming, Timeout: timeLimit, Objective: time.Second}},
		Pools: []standin.Pool{{Name: modelPool, Slots: slots, Weights: &weights}, {Name: "origin", Origin: originAddress, Zone: "a"}},
	}
	c.Assert(a.store.Put(standin.KindTables, standin.TableName, table.Encode()), qt.IsNil)
	c.Assert(a.store.Put(standin.KindBackends, "i-1", a.engine.Document()), qt.IsNil)
	c.Assert(a.store.Put(standin.KindReleases, weights.Model, standin.EncodeRelease(weights.Model, 1)), qt.IsNil)
	a.process = startProgram(t, "plantain-agent", standin.Settings{
		Instance: "agent-a1", IP: ip, Zone: "a", Zones: map[string]string{"a": "north"}, Seeds: []string{fmt.Sprintf("127.%d.1.1", base)}, Store: serve(t, a.store),
		Backend: address, Pool: modelPool, RevokeMs: 5000, VersionMs: 8000, GraceS: 8, MemoryMb: memoryMb, MaxDescriptors: responseDescriptors,
	})
	a.chunksAddress = net.JoinHostPort(ip, strconv.Itoa(standin.PortPeers))
	return a
}

// askForChunk asks the agent for a staged chunk of version 1, as another agent does.
func (a *faultyAgent) askForChunk(client *peer.Client, chunk int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	var reply depot.ChunkReply
	err := client.Call(ctx, a.chunksAddress, depot.MethodChunk, depot.ChunkArgs{VersionArgs: depot.VersionArgs{Model: weights.Model, Version: 1}, Chunk: chunk}, &reply)
	return reply.Data, err
}

// awaitChunk asks for a chunk until the agent has it.
func (a *faultyAgent) awaitChunk() {
	a.t.Helper()
	client := peer.NewClient(peer.Security{})
	for until := time.Now().Add(startTimeout); ; time.Sleep(100 * time.Millisecond) {
		a.checkRuns()
		data, err := a.askForChunk(client, 1)
		if bytes.Equal(data, weights.Chunk(1, 1)) {
			return
		}
		if time.Now().After(until) {
			a.t.Fatalf("the agent does not serve a chunk: %v\n%s", err, a.logEnd())
		}
	}
}

// TestEngineResponsesWithoutEnd guards against an agent that runs out of memory because its
// engine answers with bytes that are no answer, while many other agents ask for chunks.
func TestEngineResponsesWithoutEnd(t *testing.T) {
	for name, respond := range faultyBytes {
		t.Run(name, func(t *testing.T) {
			a := startFaultyAgent(t, respond)
			a.awaitChunk()
			a.faultyEngine.Store(true)
			var calls sync.WaitGroup
			for i := range peerCalls {
				calls.Go(func() {
					// A connection of its own, as other agents have.
					_, _ = a.askForChunk(peer.NewClient(peer.Security{}), i%weights.Chunks)
				})
			}
			calls.Wait()
			a.faultyEngine.Store(false)
			a.awaitChunk()
			a.checkMemory()
		})
	}
}

// TestOriginResponsesWithoutEnd guards against the same of the origin, in place of all chunks of
// a release, which is completed when the origin is sound again.
func TestOriginResponsesWithoutEnd(t *testing.T) {
	for name, respond := range faultyBytes {
		t.Run(name, func(t *testing.T) {
			a := startFaultyAgent(t, respond)
			a.awaitChunk()
			a.faultyOrigin.Store(true)
			qt.Assert(t, a.store.Put(standin.KindReleases, weights.Model, standin.EncodeRelease(weights.Model, 2)), qt.IsNil)
			time.Sleep(agentFaultTime)
			a.faultyOrigin.Store(false)
			for until := time.Now().Add(startTimeout); a.engine.LoadedVersion() < 2; time.Sleep(50 * time.Millisecond) {
				a.checkRuns()
				if time.Now().After(until) {
					t.Fatalf("the release is not loaded\n%s", a.logEnd())
				}
			}
			a.checkMemory()
		})
	}
}
