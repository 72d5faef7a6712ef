package cluster

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"plantainrelay/internal/member"
)

// Network connects locations, which are the availability zones and
// LocationClients. Address returns the address at which processes in the location
// from reach the listener at upstream in the location to.
type Network interface {
	Address(from, to, upstream string) (string, error)
}

// LocationClients is the location of the callers.
const LocationClients = "clients"

// listReadHeaderTimeout is the timeout for reading the header of a request to the
// list server.
const listReadHeaderTimeout = 10 * time.Second

// platformURLs holds the base URLs of the platform in the settings of one
// process.
type platformURLs struct {
	store, origin, list string
}

// platformURLsFor returns the URLs at which the platform is reachable from the
// instance's availability zone.
func (c *Cluster) platformURLsFor(instance Instance) (platformURLs, error) {
	if c.config.Network == nil {
		return platformURLs{store: c.PlatformURL, origin: c.PlatformURL, list: c.PlatformURL}, nil
	}
	upstream := strings.TrimPrefix(c.PlatformURL, "http://")
	address, err := c.config.Network.Address(instance.AvailabilityZone, c.config.StoreZone, upstream)
	if err != nil {
		return platformURLs{}, err
	}
	return platformURLs{store: "http://" + address, origin: "http://" + address, list: c.listURL + "/" + instance.AvailabilityZone}, nil
}

// startListServer serves the list of instances to each location, with the
// addresses that are reachable from there.
func (c *Cluster) startListServer() error {
	if c.config.Network == nil {
		return nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.listURL = "http://" + listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{location}/instances", c.serveList)
	c.listServer = &http.Server{Handler: mux, ReadHeaderTimeout: listReadHeaderTimeout}
	go func() { _ = c.listServer.Serve(listener) }()
	return nil
}

func (c *Cluster) serveList(w http.ResponseWriter, r *http.Request) {
	var list member.List
	if err := GetJSON(c.PlatformURL+"/instances", &list); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	for i, instance := range list.Instances {
		seen, err := c.instanceSeenFrom(r.PathValue("location"), instance)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		list.Instances[i] = seen
	}
	raw, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	c.mu.Lock()
	c.listBytes[r.PathValue("location")] += int64(len(raw))
	c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

// ListBytes returns how many bytes of list bodies were served to a location.
func (c *Cluster) ListBytes(location string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listBytes[location]
}

func (c *Cluster) instanceSeenFrom(location string, instance member.Instance) (member.Instance, error) {
	public, err := c.config.Network.Address(location, instance.AvailabilityZone, instance.HTTPAddress)
	if err != nil {
		return instance, err
	}
	control, err := c.config.Network.Address(location, instance.AvailabilityZone, instance.ControlAddress)
	instance.HTTPAddress, instance.ControlAddress = public, control
	return instance, err
}

// ClientAddress returns the address at which callers reach the public listener of
// an entry.
func (c *Cluster) ClientAddress(entry string) (string, error) {
	instance := c.Listed(entry)
	if c.config.Network == nil {
		return instance.HTTPAddress, nil
	}
	return c.config.Network.Address(LocationClients, instance.AvailabilityZone, instance.HTTPAddress)
}

// FleetKey returns the key that all processes of the cluster share.
func (c *Cluster) FleetKey() string { return fleetKey }

// RecordsPath returns the path of the file in which an agent's backend server
// records its executions, if recording is enabled in the cluster's Config.
func (c *Cluster) RecordsPath(agent string) string { return c.path(agent + "-backend.records") }

// TotalRSS returns the total resident memory of all running processes, in bytes,
// and their number.
func (c *Cluster) TotalRSS() (int64, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var total int64
	count := 0
	for _, process := range c.processes {
		if bytes, err := ResidentBytes(process.Command.Process.Pid); err == nil {
			total += bytes
			count++
		}
	}
	return total, count
}

// ResidentBytes returns the resident memory of a process.
func ResidentBytes(pid int) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(raw), &size, &resident); err != nil {
		return 0, err
	}
	return resident * int64(os.Getpagesize()), nil
}
