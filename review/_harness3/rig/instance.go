package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"plantainrelay/platform/standin"
)

// Arrival is a request as an instance has received it.
type Arrival struct {
	Instance             string
	Method, Target, Host string
	Header               http.Header
	Body                 string
	At                   time.Time
}

// Attempt returns the ID of the caller's attempt.
func (a Arrival) Attempt() string { return a.Header.Get("Attempt-Id") }

// Instance is a sound instance of a service without a model engine: it runs each request for
// Work and answers it with its seal.
type Instance struct {
	ID, Address string
	Work        time.Duration

	rig      *Rig
	pool     string
	slots    int
	born     int64
	listener net.Listener
	mu       sync.Mutex
	arrivals []Arrival
}

// StartInstance starts an instance and registers it in the store.
func (r *Rig) StartInstance(number int, pool string, slots int, work time.Duration) (*Instance, error) {
	listener, err := net.Listen("tcp", r.IP(number)+":0")
	if err != nil {
		return nil, err
	}
	i := &Instance{
		ID: fmt.Sprintf("i-%s-%d", pool, number), Address: listener.Addr().String(), Work: work,
		rig: r, pool: pool, slots: slots, born: time.Now().UnixMilli(), listener: listener,
	}
	go i.accept()
	return i, i.register()
}

func (i *Instance) register() error {
	return i.rig.Store.Put(standin.KindBackends, i.ID, map[string]any{
		"Service": i.pool, "Address": i.Address, "Zone": Zone, "State": "ready", "Slots": i.slots, "born": i.born,
	})
}

func (i *Instance) accept() {
	for {
		conn, err := i.listener.Accept()
		if err != nil {
			return
		}
		go i.serve(conn)
	}
}

// serve answers the requests on a connection. It reads the request line itself, since a server
// library would interpret it.
func (i *Instance) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		method, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		target, _, _ := strings.Cut(rest, " ")
		// The rest of the request is parsed with a request line that says nothing.
		request, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader("POST / HTTP/1.1\r\n"), reader)))
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		arrival := Arrival{Instance: i.ID, Method: method, Target: target, Host: request.Host, Header: request.Header, Body: string(body), At: time.Now()}
		if !i.answer(conn, arrival) || request.Close {
			return
		}
	}
}

func (i *Instance) answer(conn net.Conn, a Arrival) bool {
	if expected := a.Header.Get("Expect-Instance"); expected != "" && expected != i.ID {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", i.ID)
		return err == nil
	}
	i.rig.Record("run: %s runs %s: %s %s, host %s, %d bytes", a.Instance, a.Attempt(), a.Method, a.Target, a.Host, len(a.Body))
	i.mu.Lock()
	i.arrivals = append(i.arrivals, a)
	i.mu.Unlock()
	time.Sleep(i.Work)
	text := "done " + a.Attempt()
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s.%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", a.Attempt(), i.ID, a.Attempt(), len(text), text)
	return err == nil
}

// Arrivals returns the requests that the instance has run.
func (i *Instance) Arrivals() []Arrival {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]Arrival(nil), i.arrivals...)
}
