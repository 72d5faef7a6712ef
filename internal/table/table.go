// Package table is the aggregate of the two tables that operators edit: routes
// (which requests go where) and pools (which instances serve which model
// version). It validates them, joins them by name and orders their revisions.
// It does no I/O.
package table

import (
	"path"
	"strings"
	"time"
)

// Priority is the class of a route's requests under load.
type Priority string

// The priorities, highest first.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
	PriorityBatch  Priority = "batch"
)

// PoolKind tells what a pool's backend servers are.
type PoolKind string

// The kinds of pool.
const (
	// KindModel pools run model engines that load weights.
	KindModel PoolKind = "model"
	// KindService pools run plain services without weights.
	KindService PoolKind = "service"
)

// Preference says which cost a pool's distribution of weights keeps low.
type Preference string

// The preferences.
const (
	PreferTime        Preference = "time"
	PreferOriginBytes Preference = "origin_bytes"
)

// AnyCustomer in a route matches every customer.
const AnyCustomer = "*"

// Route is one row of the routes table. The first matching row in table order
// decides.
type Route struct {
	// Name identifies the row.
	Name string `json:"name"`
	// Customer is a customer's name, or AnyCustomer.
	Customer string `json:"customer"`
	// Path is a prefix of the request's path.
	Path string `json:"path"`
	// Header holds "Name: value" pairs that the request must carry.
	Header map[string]string `json:"header,omitempty"`
	// Pool names a row of the pools table.
	Pool string `json:"pool"`
	// Repeatable says that a request may run more than once.
	Repeatable bool `json:"repeatable"`
	// Priority is the class under load.
	Priority Priority `json:"priority"`
	// Deadline bounds the whole request.
	Deadline time.Duration `json:"deadline"`
}

// Pool is one row of the pools table.
type Pool struct {
	// Name identifies the row; routes refer to it.
	Name string `json:"name"`
	// Kind says whether the pool loads weights.
	Kind PoolKind `json:"kind"`
	// Instances holds patterns (path.Match) on instance names.
	Instances []string `json:"instances"`
	// Version is the name of the intended weights; model pools only.
	Version string `json:"version,omitempty"`
	// Manifest is the SHA-256 digest, in hexadecimal, of the manifest that the
	// version is bound to; model pools only.
	Manifest string `json:"manifest,omitempty"`
	// MaxUnavailable bounds the instances of one availability zone that may
	// switch versions at once.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
	// Prefer says which cost of distribution is kept low.
	Prefer Preference `json:"prefer,omitempty"`
}

// Tables holds both tables.
type Tables struct {
	Routes []Route `json:"routes"`
	Pools  []Pool  `json:"pools"`
}

// Snapshot is one accepted state of the tables. It is immutable once shared.
type Snapshot struct {
	// Revision counts the accepted edits. It stands inside the stored object,
	// so that it goes on to grow when the store was restored to an older state.
	Revision int64 `json:"revision"`
	// EditID identifies the edit that made this revision.
	EditID string `json:"edit_id"`
	// Author is the operator who made the edit.
	Author string `json:"author"`
	// Edits are the last accepted edits, newest first, this one included.
	Edits []EditRecord `json:"edits,omitempty"`
	Tables
}

// Pool returns the pool of the given name.
func (t *Tables) Pool(name string) (Pool, bool) {
	for _, pool := range t.Pools {
		if pool.Name == name {
			return pool, true
		}
	}
	return Pool{}, false
}

// PoolOf returns the first pool that selects the named instance.
func (t *Tables) PoolOf(instance string) (Pool, bool) {
	for _, pool := range t.Pools {
		if pool.Selects(instance) {
			return pool, true
		}
	}
	return Pool{}, false
}

// Selects reports whether one of the pool's patterns matches the instance.
func (p *Pool) Selects(instance string) bool {
	for _, pattern := range p.Instances {
		if matched, err := path.Match(pattern, instance); err == nil && matched {
			return true
		}
	}
	return false
}

// Request holds what routing looks at.
type Request struct {
	Customer string
	Path     string
	Header   func(name string) string
}

// Match returns the first route that fits the request.
func (t *Tables) Match(request Request) (Route, bool) {
	for _, route := range t.Routes {
		if route.matches(request) {
			return route, true
		}
	}
	return Route{}, false
}

func (r *Route) matches(request Request) bool {
	if r.Customer != AnyCustomer && r.Customer != request.Customer {
		return false
	}
	if !strings.HasPrefix(request.Path, r.Path) {
		return false
	}
	for name, value := range r.Header {
		if request.Header == nil || request.Header(name) != value {
			return false
		}
	}
	return true
}
