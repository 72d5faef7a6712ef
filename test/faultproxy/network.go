package faultproxy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// LinkConfig describes the network between two locations.
type LinkConfig struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// BytesPerSecond, if above 0, limits the bandwidth of each direction. All
	// connections between the two locations share it.
	BytesPerSecond int64
}

// Network runs a proxy for each pair of a location and a listener in another one.
// It is safe for concurrent use.
type Network struct {
	id         int64
	linkConfig func(from, to string) LinkConfig
	server     *toxiproxy.ApiServer

	mu        sync.Mutex
	proxies   map[string]*toxiproxy.Proxy
	locations map[*toxiproxy.Proxy][2]string
	upstreams map[string]string
	links     map[string]*link
}

var networks atomic.Int64

// NewNetwork returns a network without proxies. linkConfig describes one
// direction between two locations and is called for both directions.
func NewNetwork(linkConfig func(from, to string) LinkConfig) *Network {
	return &Network{
		id:         networks.Add(1),
		linkConfig: linkConfig,
		server:     toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		proxies:    map[string]*toxiproxy.Proxy{},
		locations:  map[*toxiproxy.Proxy][2]string{},
		upstreams:  map[string]string{},
		links:      map[string]*link{},
	}
}

// Address returns the address at which processes in the location from reach the
// listener upstream in the location to.
func (n *Network) Address(from, to, upstream string) (string, error) {
	if from == to {
		return upstream, nil
	}
	return n.AddressAt(from, to, "127.0.0.1:0", upstream)
}

// AddressAt is like Address, with a proxy that listens on the given address.
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
	n.locations[proxy] = [2]string{from, to}
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
	delay := n.linkConfig(from, to).Delay
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

// link returns or creates the link of one direction; the caller holds n.mu.
func (n *Network) link(from, to string) *link {
	name := n.linkName(from, to)
	if found, ok := n.links[name]; ok {
		return found
	}
	created := newLink(n.linkConfig(from, to).BytesPerSecond)
	n.links[name] = created
	links.Store(name, created)
	return created
}

// Stall blocks all data between two locations until the returned function is called.
func (n *Network) Stall(a, b string) func() {
	resumeForward, resumeBackward := n.StallOneWay(a, b), n.StallOneWay(b, a)
	return func() {
		resumeForward()
		resumeBackward()
	}
}

// StallOneWay blocks data from one location to another until the returned function is called.
func (n *Network) StallOneWay(from, to string) func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	stalled := n.link(from, to)
	stalled.stall()
	return stalled.resume
}

// Reset closes all connections from one location to another that pass through a proxy.
func (n *Network) Reset(from, to string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for proxy, locations := range n.locations {
		if locations != [2]string{from, to} {
			continue
		}
		proxy.Stop()
		if err := proxy.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Refuse closes all connections from one location to another that pass through a proxy, and
// refuses new ones until the returned function is called.
func (n *Network) Refuse(from, to string) (accept func() error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var stopped []*toxiproxy.Proxy
	for proxy, locations := range n.locations {
		if locations == [2]string{from, to} {
			proxy.Stop()
			stopped = append(stopped, proxy)
		}
	}
	return func() error {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, proxy := range stopped {
			if err := proxy.Start(); err != nil && !errors.Is(err, toxiproxy.ErrProxyAlreadyStarted) {
				return err
			}
		}
		return nil
	}
}

// Bytes returns the number of bytes forwarded from one location to another.
func (n *Network) Bytes(from, to string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.link(from, to).bytes.Load()
}

// Close resumes all links and stops all proxies.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, link := range n.links {
		link.resume()
	}
	for _, proxy := range n.proxies {
		proxy.Stop()
	}
	for name := range n.links {
		links.Delete(name)
	}
}
