package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"plantainrelay/internal/failure"
)

// idleTimeout is how long an unused connection is kept open.
const idleTimeout = time.Minute

// Client calls other processes of the fleet. It keeps one connection per
// address and closes idle ones when it opens another. It is safe for concurrent
// use.
type Client struct {
	security    Security
	idleTimeout time.Duration
	mu          sync.Mutex
	conns       map[string]*pooledConn
	// large bounds the large messages that are received at one time.
	large *semaphore.Weighted
}

// pooledConn is an open connection and the number of its calls in progress.
type pooledConn struct {
	*rpc.Client
	activeCalls int
	lastUsed    time.Time
	// retired is set when a call on the connection has timed out or the connection has
	// broken: it takes no new calls, and is closed when those in progress have ended.
	retired bool
}

// NewClient returns a Client without connections.
func NewClient(security Security) *Client {
	return &Client{security: security, idleTimeout: idleTimeout, conns: map[string]*pooledConn{}, large: semaphore.NewWeighted(maxLargeBytes)}
}

// Call calls method at address and decodes the result into reply. It returns
// failure.NotReachable if the call was not delivered, failure.Unknown if it may
// have been delivered, and failure.Refused if the method itself returned an
// error. The caller must not read reply after an error.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	client, reused, err := c.acquireOrDial(ctx, address)
	if err != nil {
		return failure.Wrap(err, failure.NotReachable, "check that the instance runs and the link is up", "%s cannot be reached", address)
	}
	defer c.release(client)
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.callResult(address, client, call)
	case <-ctx.Done():
		c.retire(address, client)
		if reused && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// The others that are kept may have gone silent together with this one.
			c.closeIdle()
		}
		return failure.Wrap(ctx.Err(), failure.Unknown, "ask again", "%s did not answer %s in time", address, method)
	}
}

func (c *Client) callResult(address string, client *pooledConn, call *rpc.Call) error {
	if call.Error == nil {
		return nil
	}
	var refused rpc.ServerError
	if errors.As(call.Error, &refused) {
		return failure.New(failure.Refused, "see the cause", "%s refused %s: %s", address, call.ServiceMethod, string(refused))
	}
	c.discard(address, client)
	return failure.Wrap(call.Error, failure.Unknown, "ask again", "the connection to %s broke", address)
}

// acquireOrDial returns the open connection to address, or a new one, and counts
// a call in progress on it. reused reports whether it was open before.
func (c *Client) acquireOrDial(ctx context.Context, address string) (client *pooledConn, reused bool, err error) {
	if client := c.acquire(address); client != nil {
		return client, true, nil
	}
	dialed, err := c.dial(ctx, address)
	if err != nil {
		return nil, false, err
	}
	client, unused := c.addConn(address, dialed)
	closeAll(unused)
	return client, false, nil
}

func closeAll(conns []*pooledConn) {
	for _, conn := range conns {
		conn.Close()
	}
}

// addConn adds a new connection to the pool, unless another call has added one
// in the meantime. It returns the connection to use and those to close.
func (c *Client) addConn(address string, dialed *rpc.Client) (*pooledConn, []*pooledConn) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
		other.activeCalls++
		return other, []*pooledConn{{Client: dialed}}
	}
	client := &pooledConn{Client: dialed, activeCalls: 1, lastUsed: now}
	c.conns[address] = client
	return client, c.removeIdle(now.Add(-c.idleTimeout))
}

// closeIdle closes the connections without calls in progress.
func (c *Client) closeIdle() {
	c.mu.Lock()
	unused := c.removeIdle(time.Now())
	c.mu.Unlock()
	closeAll(unused)
}

// acquire returns the open connection to address, or nil, and counts a call in
// progress on it.
func (c *Client) acquire(address string) *pooledConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.conns[address]
	if client != nil {
		client.activeCalls++
	}
	return client
}

func (c *Client) release(client *pooledConn) {
	c.mu.Lock()
	client.activeCalls--
	client.lastUsed = time.Now()
	unused := client.retired && client.activeCalls == 0
	c.mu.Unlock()
	if unused {
		client.Close()
	}
}

// retire removes a connection from the pool. Other calls on it may still be answered.
func (c *Client) retire(address string, client *pooledConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	client.retired = true
	if c.conns[address] == client {
		delete(c.conns, address)
	}
}

// removeIdle removes the connections that have not been used since the given time from
// the pool and returns them. The caller holds mu.
func (c *Client) removeIdle(since time.Time) []*pooledConn {
	var unused []*pooledConn
	for address, client := range c.conns {
		if client.activeCalls == 0 && !client.lastUsed.After(since) {
			delete(c.conns, address)
			unused = append(unused, client)
		}
	}
	return unused
}

func (c *Client) dial(ctx context.Context, address string) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.security.ClientTLS != nil {
		conn = tls.Client(conn, c.security.ClientTLS)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(handshakeTimeout)
	}
	if err := clientHandshake(conn, c.security.Key, deadline); err != nil {
		conn.Close()
		return nil, err
	}
	return rpc.NewClient(&limitedConn{Conn: conn, large: c.large}), nil
}

// Disconnect makes the next call to address use a new connection. Calls in progress on the
// existing one may still be answered.
func (c *Client) Disconnect(address string) {
	c.mu.Lock()
	client := c.conns[address]
	if client == nil {
		c.mu.Unlock()
		return
	}
	client.retired = true
	delete(c.conns, address)
	unused := client.activeCalls == 0
	c.mu.Unlock()
	if unused {
		client.Close()
	}
}

// discard removes a broken connection from the pool and closes it.
func (c *Client) discard(address string, client *pooledConn) {
	c.retire(address, client)
	client.Close()
}
