package table

import (
	"fmt"
	"path"
	"regexp"
	"slices"
	"strings"
	"time"

	"plantainrelay/internal/failure"
)

// Limits on the tables.
const (
	MaxRoutes           = 2000
	MaxPools            = 500
	MaxPatternsPerPool  = 64
	MaxDeadline         = time.Hour
	MaxUnavailableLimit = 1000
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Problem is one violation found in the tables.
type Problem struct {
	// Table is "routes" or "pools".
	Table string `json:"table"`
	// Row is the row's name.
	Row string `json:"row"`
	// Column is the field's name.
	Column string `json:"column"`
	// Cause describes the violation.
	Cause string `json:"cause"`
	// Remedy describes the allowed values.
	Remedy string `json:"remedy"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s %q %s: %s; %s", p.Table, p.Row, p.Column, p.Cause, p.Remedy)
}

type validator struct {
	problems []Problem
}

func (v *validator) add(table, row, column, cause, remedy string) {
	v.problems = append(v.problems, Problem{Table: table, Row: row, Column: column, Cause: cause, Remedy: remedy})
}

// Validate returns every violation in the tables.
func Validate(tables *Tables) []Problem {
	v := &validator{}
	v.checkSizes(tables)
	pools := map[string]bool{}
	for i := range tables.Pools {
		v.checkPool(&tables.Pools[i], pools)
	}
	routes := map[string]bool{}
	for i := range tables.Routes {
		v.checkRoute(&tables.Routes[i], routes, pools)
	}
	v.checkShadowedRoutes(tables)
	return v.problems
}

func (v *validator) checkSizes(tables *Tables) {
	if len(tables.Routes) > MaxRoutes {
		v.add("routes", "*", "*", fmt.Sprintf("%d rows", len(tables.Routes)), fmt.Sprintf("keep at most %d rows", MaxRoutes))
	}
	if len(tables.Pools) > MaxPools {
		v.add("pools", "*", "*", fmt.Sprintf("%d rows", len(tables.Pools)), fmt.Sprintf("keep at most %d rows", MaxPools))
	}
}

func (v *validator) checkName(table, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		v.add(table, name, "name", "not a valid name", "use 1 to 63 of a-z, 0-9, '.', '_', '-', and start with a letter or digit")
	}
	if seen[name] {
		v.add(table, name, "name", "used by more than one row", "give each row a unique name")
	}
	seen[name] = true
}

func (v *validator) checkPool(pool *Pool, seen map[string]bool) {
	v.checkName("pools", pool.Name, seen)
	if pool.Kind != KindModel && pool.Kind != KindService {
		v.add("pools", pool.Name, "kind", fmt.Sprintf("%q is not allowed", pool.Kind), "use model or service")
	}
	v.checkPatterns(pool)
	if pool.Kind == KindService {
		v.checkServicePool(pool)
		return
	}
	v.checkModelPool(pool)
}

func (v *validator) checkPatterns(pool *Pool) {
	if len(pool.Instances) == 0 || len(pool.Instances) > MaxPatternsPerPool {
		v.add("pools", pool.Name, "instances", fmt.Sprintf("%d patterns", len(pool.Instances)),
			fmt.Sprintf("give 1 to %d patterns for instance names", MaxPatternsPerPool))
	}
	for _, pattern := range pool.Instances {
		if _, err := path.Match(pattern, ""); err != nil || pattern == "" {
			v.add("pools", pool.Name, "instances", fmt.Sprintf("%q is not a valid pattern", pattern), "use names with *, ? and [a-z]")
		}
	}
}

func (v *validator) checkServicePool(pool *Pool) {
	if pool.Version != "" || pool.Manifest != "" {
		v.add("pools", pool.Name, "version", "a service pool has no weights", "leave version and manifest empty, or set kind to model")
	}
}

func (v *validator) checkModelPool(pool *Pool) {
	if !namePattern.MatchString(pool.Version) {
		v.add("pools", pool.Name, "version", fmt.Sprintf("%q is not a valid version name", pool.Version), "name the target version")
	}
	if !digestPattern.MatchString(pool.Manifest) {
		v.add("pools", pool.Name, "manifest", "not a SHA-256 digest", "give the 64 hexadecimal digits of the manifest's digest")
	}
	if pool.MaxUnavailable < 1 || pool.MaxUnavailable > MaxUnavailableLimit {
		v.add("pools", pool.Name, "max_unavailable", fmt.Sprintf("%d is out of range", pool.MaxUnavailable),
			fmt.Sprintf("use 1 to %d instances per availability zone", MaxUnavailableLimit))
	}
	if pool.Prefer != PreferTime && pool.Prefer != PreferOriginBytes {
		v.add("pools", pool.Name, "prefer", fmt.Sprintf("%q is not allowed", pool.Prefer), "use time or origin_bytes")
	}
}

func (v *validator) checkRoute(route *Route, seen, pools map[string]bool) {
	v.checkName("routes", route.Name, seen)
	if route.Customer != AnyCustomer && !namePattern.MatchString(route.Customer) {
		v.add("routes", route.Name, "customer", fmt.Sprintf("%q is not a valid customer name", route.Customer), "use a customer's name or *")
	}
	if !strings.HasPrefix(route.Path, "/") {
		v.add("routes", route.Name, "path", fmt.Sprintf("%q is not a valid path", route.Path), "start it with /")
	}
	if !pools[route.Pool] {
		v.add("routes", route.Name, "pool", fmt.Sprintf("there is no pool named %q", route.Pool), "use the name of a row of the pools table, or change this route before you remove the pool")
	}
	if !slices.Contains([]Priority{PriorityUrgent, PriorityNormal, PriorityBatch}, route.Priority) {
		v.add("routes", route.Name, "priority", fmt.Sprintf("%q is not allowed", route.Priority), "use urgent, normal or batch")
	}
	if route.Deadline <= 0 || route.Deadline > MaxDeadline {
		v.add("routes", route.Name, "deadline", fmt.Sprintf("%s is out of range", route.Deadline), fmt.Sprintf("use a time above 0 and up to %s", MaxDeadline))
	}
}

func (v *validator) checkShadowedRoutes(tables *Tables) {
	for later := range tables.Routes {
		for earlier := range later {
			if shadows(&tables.Routes[earlier], &tables.Routes[later]) {
				v.add("routes", tables.Routes[later].Name, "path",
					fmt.Sprintf("unreachable, because the earlier route %q matches all its requests", tables.Routes[earlier].Name),
					"move it before that route, or remove it")
				break
			}
		}
	}
}

// shadows reports whether every request that matches b also matches a.
func shadows(a, b *Route) bool {
	if a.Customer != AnyCustomer && a.Customer != b.Customer {
		return false
	}
	if !strings.HasPrefix(b.Path, a.Path) {
		return false
	}
	for name, value := range a.Header {
		if b.Header[name] != value {
			return false
		}
	}
	return true
}

// ValidationError returns a failure.Invalid error that lists problems, or nil.
func ValidationError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = problem.String()
	}
	return failure.New(failure.Invalid, "correct the rows above; nothing was changed",
		"%d problem(s) in the tables:\n%s\n", len(problems), strings.Join(lines, "\n"))
}
