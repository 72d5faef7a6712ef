// Package table defines the two tables that operators edit: routes (which pool serves
// which requests) and pools (which instances serve which model version). It validates
// them, resolves the references between them and orders their revisions. It does no
// I/O.
package table

import (
	"path"
	"strings"
	"time"
)

// Priority is the priority class of a route's requests under load.
type Priority string

// The priorities, highest first.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
	PriorityBatch  Priority = "batch"
)

// PoolKind is the type of a pool's backend servers.
type PoolKind string

// The kinds of pool.
const (
	// KindModel pools run model engines that load weights.
	KindModel PoolKind = "model"
	// KindService pools run plain services without weights.
	KindService PoolKind = "service"
)

// Preference says which cost a pool minimizes when its weights are distributed.
type Preference string

// The preferences.
const (
	PreferTime        Preference = "time"
	PreferOriginBytes Preference = "origin_bytes"
)

// AnyCustomer in a route matches every customer.
const AnyCustomer = "*"

// Route is one row of the routes table. A request takes the first matching row in
// table order.
type Route struct {
	// Name identifies the row.
	Name string `json:"name"`
	// Customer is a customer's name, or AnyCustomer.
	Customer string `json:"customer"`
	// Path is a prefix of the request's path.
	Path string `json:"path"`
	// Header maps the names of header fields to the values that the request must have.
	Header map[string]string `json:"header,omitempty"`
	// Pool names a row of the pools table.
	Pool string `json:"pool"`
	// Repeatable reports whether a request may run more than once.
	Repeatable bool `json:"repeatable"`
	// Priority is the priority class under load.
	Priority Priority `json:"priority"`
	// Deadline bounds the whole request.
	Deadline time.Duration `json:"deadline"`
}

// Pool is one row of the pools table.
type Pool struct {
	// Name identifies the row; routes refer to it.
	Name string `json:"name"`
	// Kind says whether the backend servers load weights.
	Kind PoolKind `json:"kind"`
	// Instances holds patterns for instance names, in the syntax of path.Match.
	Instances []string `json:"instances"`
	// Version is the target version, the name of the weights to serve; model pools only.
	Version string `json:"version,omitempty"`
	// Manifest is the SHA-256 digest, in hexadecimal, of the manifest that the
	// version is bound to; model pools only.
	Manifest string `json:"manifest,omitempty"`
	// MaxUnavailable bounds the instances of one availability zone that may
	// switch versions at once.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
	// Prefer says which cost of distributing weights is minimized.
	Prefer Preference `json:"prefer,omitempty"`
}

// Tables holds both tables.
type Tables struct {
	Routes []Route `json:"routes"`
	Pools  []Pool  `json:"pools"`
}

// Snapshot is one accepted state of the tables. It is immutable once shared.
type Snapshot struct {
	// Revision counts the accepted edits. It is part of the stored object, so that it
	// keeps increasing after the store was restored to an older state.
	Revision int64 `json:"revision"`
	// EditID identifies the edit that made this revision.
	EditID string `json:"edit_id"`
	// Author is the operator who made the edit.
	Author string `json:"author"`
	// Edits holds the last accepted edits including this one, newest first.
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

// PoolOf returns the first pool whose patterns match the instance name.
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

// RequestAttributes holds the attributes of a request that routing compares.
type RequestAttributes struct {
	Customer string
	Path     string
	Header   func(name string) string
}

// Match returns the first route that matches the request.
func (t *Tables) Match(request RequestAttributes) (Route, bool) {
	for _, route := range t.Routes {
		if route.matches(request) {
			return route, true
		}
	}
	return Route{}, false
}

func (r *Route) matches(request RequestAttributes) bool {
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
