// Package catalog holds the two tables that operators edit, routes and pools,
// indexed for matching requests. It does no I/O.
package catalog

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind says whether and how requests of a route may be retried.
type Kind int

// The kinds of route.
const (
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with a stream of events with increasing IDs.
	Streaming
)

// String returns the name that logs use for the kind.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	}
	return "non_idempotent"
}

// Target is one pool of a route and its weight in the distribution of requests.
type Target struct {
	Pool   string
	Weight int
}

// Route says which requests go to which pools.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Objective is the latency objective for a response; for streams, the objective
	// for the first event.
	Objective time.Duration
	// MaxPause is the objective for the longest pause between two events.
	MaxPause time.Duration
	// Priority is the priority class; 0 goes first.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the number of instances to which one request is sent.
	MaxAttempts int
	// Anonymous says that requests need no key.
	Anonymous bool
	// Resumable says that another instance may continue an interrupted stream.
	Resumable bool
	// HomeRegions holds the only regions in which requests may be served, sorted; nil if
	// the route does not restrict them.
	HomeRegions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// ChoosePool returns a random pool for one request, weighted by the targets.
func (r *Route) ChoosePool(random *rand.Rand) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if len(r.Targets) == 1 || total <= 0 {
		return r.Targets[0].Pool
	}
	position := random.IntN(total)
	for _, target := range r.Targets {
		if position < target.Weight {
			return target.Pool
		}
		position -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Pool
}

// Engine describes the model engines of a pool.
type Engine struct {
	Model string
	// Slots is the number of requests that an engine processes at once.
	Slots int
	// Layers and Chunks are the numbers of layers and of weight chunks.
	Layers     int
	Chunks     int
	ChunkBytes int
	// Stride is the number of token steps in one pass of the engine.
	Stride int
	// StepTime is the duration of one token step.
	StepTime time.Duration
	// PromptTokensPerSecond is the number of prompt tokens processed per second.
	PromptTokensPerSecond float64
}

// PromptPart is a part of a prompt that other requests may have in theirs.
type PromptPart struct {
	ID     string
	Tokens int
}

// PassTime returns the duration of one pass of an engine that generates output.
func (e *Engine) PassTime() time.Duration {
	return time.Duration(max(e.Stride, 1)) * e.StepTime
}

// Pool is a set of backend server instances that serve the same requests.
type Pool struct {
	Name string
	// MaxConnections bounds the connections to one instance from all callers.
	MaxConnections int
	// Origin is the address of the server from which weights are downloaded; empty
	// for pools of other services.
	Origin string
	// OriginZone is the availability zone of that server.
	OriginZone string
	// Engine is set for pools of model engines.
	Engine *Engine
	// ColdTime is how long an instance is cold after its start, and ColdRequestsPerSecond the
	// rate of requests that it accepts then; 0 if instances of the pool are never cold.
	ColdTime              time.Duration
	ColdRequestsPerSecond float64
}

// Limits bounds what a caller may send. Time limits are not part of it: the
// listeners have their own, which are longer than those that operators set.
type Limits struct {
	// BodyBytes bounds the size of a request body; 0 means the entry's own limit.
	BodyBytes int64
}

// Customer is the tenant that is charged for requests with its keys.
type Customer struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// HomeRegions holds the only regions in which the customer's requests may be served,
	// sorted; nil if the customer does not restrict them.
	HomeRegions []string
}

// Table is one version of the routes and pools. It is immutable after New
// returns it.
type Table struct {
	Version        int64
	Limits         Limits
	Pools          map[string]Pool
	routesByHost   map[string][]Route
	customersByKey map[string]Customer
	// listsCustomers is set if the tables have a list of customers, also an empty one; requests
	// then need keys.
	listsCustomers bool
	// customers is the number of customers.
	customers int
	// classesByPool holds the priority classes of the requests of each pool, sorted.
	classesByPool map[string][]int
}

// New builds a table and its indexes. Without a list of customers (nil) requests need no keys;
// with an empty one they do, and no key is valid.
func New(version int64, limits Limits, routes []Route, pools []Pool, customers []Customer) *Table {
	t := &Table{
		Version: version, Limits: limits, Pools: map[string]Pool{},
		routesByHost: map[string][]Route{}, customersByKey: map[string]Customer{}, listsCustomers: customers != nil, customers: len(customers),
	}
	for _, pool := range pools {
		t.Pools[pool.Name] = pool
	}
	for _, route := range routes {
		t.routesByHost[route.Host] = append(t.routesByHost[route.Host], route)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, customer := range customers {
		for _, key := range customer.Keys {
			// A request without a key carries the empty one.
			if key != "" {
				t.customersByKey[key] = customer
			}
		}
	}
	t.classesByPool = classesByPool(routes, customers)
	return t
}

// Match returns the route of host whose path prefix is the longest one of path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for i, route := range t.routesByHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return &t.routesByHost[host][i], true
		}
	}
	return nil, false
}

// ListsCustomers reports whether the tables have a list of customers, and how many are on it.
func (t *Table) ListsCustomers() (listed bool, count int) { return t.listsCustomers, t.customers }

// NeedsKey reports whether requests of the route have to carry a key.
func (t *Table) NeedsKey(route *Route) bool {
	return t.listsCustomers && !route.Anonymous
}

// Resumable reports whether all streams that the pool serves may be continued by
// another instance.
func (t *Table) Resumable(pool string) bool {
	for _, routes := range t.routesByHost {
		for _, route := range routes {
			if route.Kind != Streaming || route.Resumable {
				continue
			}
			if slices.ContainsFunc(route.Targets, func(target Target) bool { return target.Pool == pool }) {
				return false
			}
		}
	}
	return true
}

// Customer returns the customer to which key belongs.
func (t *Table) Customer(key string) (Customer, bool) {
	customer, found := t.customersByKey[key]
	return customer, found
}

// EnginePool returns the pool whose engines run model.
func (t *Table) EnginePool(model string) (Pool, bool) {
	for _, pool := range t.Pools {
		if pool.Engine != nil && pool.Engine.Model == model {
			return pool, true
		}
	}
	return Pool{}, false
}

// Origin returns the address of the server from which weights are downloaded, or
// an empty string.
func (t *Table) Origin() string { return t.originPool().Origin }

// OriginZone returns the availability zone of the server from which weights are
// downloaded.
func (t *Table) OriginZone() string { return t.originPool().OriginZone }

func (t *Table) originPool() Pool {
	for _, pool := range t.Pools {
		if pool.Origin != "" {
			return pool
		}
	}
	return Pool{}
}
