package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"plantainrelay/internal/failure"
)

// Client calls other processes of the fleet. It keeps one connection for each
// address. It is safe for concurrent use.
type Client struct {
	security Security
	mu       sync.Mutex
	conns    map[string]*rpc.Client
}

// NewClient returns a client without connections.
func NewClient(security Security) *Client {
	return &Client{security: security, conns: map[string]*rpc.Client{}}
}

// Call runs method at address and decodes its answer into reply. A
// failure.NotReachable error means that the call was not delivered; a
// failure.Unknown error means that it may have been. An error that the method
// itself returned comes back as failure.Refused. The caller must not read
// reply after an error.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := c.connection(ctx, address)
	if err != nil {
		return failure.Wrap(err, failure.NotReachable, "check that the instance runs and the link is up", "%s cannot be reached", address)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.finished(address, client, call)
	case <-ctx.Done():
		c.drop(address, client)
		return failure.Wrap(ctx.Err(), failure.Unknown, "ask again", "%s did not answer %s in time", address, method)
	}
}

func (c *Client) finished(address string, client *rpc.Client, call *rpc.Call) error {
	if call.Error == nil {
		return nil
	}
	var refused rpc.ServerError
	if errors.As(call.Error, &refused) {
		return failure.New(failure.Refused, "see the cause", "%s refused %s: %s", address, call.ServiceMethod, string(refused))
	}
	c.drop(address, client)
	return failure.Wrap(call.Error, failure.Unknown, "ask again", "the connection to %s broke", address)
}

func (c *Client) connection(ctx context.Context, address string) (*rpc.Client, error) {
	c.mu.Lock()
	client := c.conns[address]
	c.mu.Unlock()
	if client != nil {
		return client, nil
	}
	client, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
		client.Close()
		return other, nil
	}
	c.conns[address] = client
	return client, nil
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
	if err := introduce(conn, c.security.Key, deadline); err != nil {
		conn.Close()
		return nil, err
	}
	return rpc.NewClient(conn), nil
}

func (c *Client) drop(address string, client *rpc.Client) {
	c.mu.Lock()
	if c.conns[address] == client {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	client.Close()
}
