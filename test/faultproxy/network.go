package faultproxy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// Path is what lies between two places.
type Path struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// BytesPerSecond bounds each direction when above 0; all connections
	// between the two places share it.
	BytesPerSecond int64
}

// Network gives each place its own addresses of the listeners elsewhere. It is
// safe for concurrent use.
type Network struct {
	id     int64
	path   func(from, to string) Path
	server *toxiproxy.ApiServer

	mu        sync.Mutex
	proxies   map[string]*toxiproxy.Proxy
	places    map[*toxiproxy.Proxy][2]string
	upstreams map[string]string
	links     map[string]*link
}

var networks atomic.Int64

// NewNetwork returns a network without proxies; path tells what lies between
// two places, and is asked with both orders.
func NewNetwork(path func(from, to string) Path) *Network {
	return &Network{
		id:        networks.Add(1),
		path:      path,
		server:    toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		proxies:   map[string]*toxiproxy.Proxy{},
		places:    map[*toxiproxy.Proxy][2]string{},
		upstreams: map[string]string{},
		links:     map[string]*link{},
	}
}

// Address returns the address at which the place from reaches the listener
// upstream in the place to.
func (n *Network) Address(from, to, upstream string) (string, error) {
	if from == to {
		return upstream, nil
	}
	return n.AddressAt(from, to, "127.0.0.1:0", upstream)
}

// AddressAt is like Address, at an address of the caller's choice.
func (n *Network) AddressAt(from, to, listen, upstream string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	name := from + ">" + to + ">" + upstream
	if proxy, found := n.proxies[name]; found {
		return proxy.Listen, nil
	}
	proxy := toxiproxy.NewProxy(n.server, name, listen, upstream)
	if err := proxy.Start(); err != nil {
		return "", err
	}
	for _, direction := range []struct{ stream, from, to string }{{"upstream", from, to}, {"downstream", to, from}} {
		if err := n.addToxics(proxy, direction.stream, direction.from, direction.to); err != nil {
			proxy.Stop()
			return "", err
		}
	}
	n.proxies[name] = proxy
	n.places[proxy] = [2]string{from, to}
	n.upstreams[proxy.Listen] = upstream
	return proxy.Listen, nil
}

// Upstream returns the listener behind a proxy's address, or address itself.
func (n *Network) Upstream(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if upstream, found := n.upstreams[address]; found {
		return upstream
	}
	return address
}

func (n *Network) addToxics(proxy *toxiproxy.Proxy, stream, from, to string) error {
	n.link(from, to)
	shared := map[string]any{"type": toxicType, "name": stream + "_link", "stream": stream,
		"attributes": map[string]any{"link": n.linkName(from, to)}}
	if err := addToxic(proxy, shared); err != nil {
		return err
	}
	delay := n.path(from, to).Delay
	if delay <= 0 {
		return nil
	}
	return addToxic(proxy, map[string]any{"type": "latency", "name": stream + "_delay", "stream": stream,
		"attributes": map[string]any{"latency": delay.Milliseconds()}})
}

func addToxic(proxy *toxiproxy.Proxy, toxic map[string]any) error {
	raw, err := json.Marshal(toxic)
	if err != nil {
		return err
	}
	_, err = proxy.Toxics.AddToxicJson(bytes.NewReader(raw))
	return err
}

func (n *Network) linkName(from, to string) string {
	return fmt.Sprintf("%d:%s>%s", n.id, from, to)
}

// link returns the link of one direction; n.mu is held.
func (n *Network) link(from, to string) *link {
	name := n.linkName(from, to)
	if found, ok := n.links[name]; ok {
		return found
	}
	made := newLink(n.path(from, to).BytesPerSecond)
	n.links[name] = made
	links.Store(name, made)
	return made
}

// Stall holds all data between two places until the function returned is
// called.
func (n *Network) Stall(a, b string) func() {
	first, second := n.StallOneWay(a, b), n.StallOneWay(b, a)
	return func() {
		first()
		second()
	}
}

// StallOneWay holds all data from one place to another until the function
// returned is called.
func (n *Network) StallOneWay(from, to string) func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	one := n.link(from, to)
	one.stall()
	return one.resume
}

// Reset closes all connections that one place has opened to another.
func (n *Network) Reset(from, to string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for proxy, places := range n.places {
		if places != [2]string{from, to} {
			continue
		}
		proxy.Stop()
		if err := proxy.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Bytes returns the bytes that passed from one place to another.
func (n *Network) Bytes(from, to string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.link(from, to).bytes.Load()
}

// Close ends all proxies.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, one := range n.links {
		one.resume()
	}
	for _, proxy := range n.proxies {
		proxy.Stop()
	}
	for name := range n.links {
		links.Delete(name)
	}
}
