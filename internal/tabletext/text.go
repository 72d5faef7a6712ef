// Package tabletext reads and writes the INI text form of the tables, which
// operators keep in files.
package tabletext

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/table"
)

// MaxTextBytes is the maximum size of the text form of the tables.
const MaxTextBytes = 1 << 20

// Parse reads the tables from their INI text form: one section [pool NAME] or
// [route NAME] for each row, with the routes in matching order. All problems
// found are reported in a single failure.Invalid error.
func Parse(raw []byte) (*table.Tables, error) {
	if len(raw) > MaxTextBytes {
		return nil, failure.New(failure.Invalid, "remove or shorten rows", "the tables are larger than %d bytes", MaxTextBytes)
	}
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true, SpaceBeforeInlineComment: true}, raw)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "write [pool NAME] and [route NAME] sections", "the tables are not valid INI")
	}
	p := &textParser{}
	tables := &table.Tables{}
	for _, section := range file.Sections() {
		p.parseSection(section, tables)
	}
	return tables, table.ValidationError(append(p.problems, table.Validate(tables)...))
}

type textParser struct {
	problems []table.Problem
}

func (p *textParser) addProblem(tableName, row, column, cause, remedy string) {
	p.problems = append(p.problems, table.Problem{Table: tableName, Row: row, Column: column, Cause: cause, Remedy: remedy})
}

func (p *textParser) parseSection(section *ini.Section, tables *table.Tables) {
	name := section.Name()
	if name == ini.DefaultSection && len(section.Keys()) == 0 {
		return
	}
	if row, found := strings.CutPrefix(name, "pool "); found {
		tables.Pools = append(tables.Pools, p.parsePool(row, section))
		return
	}
	if row, found := strings.CutPrefix(name, "route "); found {
		tables.Routes = append(tables.Routes, p.parseRoute(row, section))
		return
	}
	p.addProblem("tables", name, "*", "unknown section", "use [pool NAME] or [route NAME]")
}

func (p *textParser) parsePool(name string, section *ini.Section) table.Pool {
	pool := table.Pool{Name: name, Kind: table.KindModel, MaxUnavailable: 1, Prefer: table.PreferTime}
	for _, key := range section.Keys() {
		value := key.String()
		switch key.Name() {
		case "kind":
			pool.Kind = table.PoolKind(value)
		case "instances":
			pool.Instances = strings.Fields(strings.ReplaceAll(value, ",", " "))
		case "version":
			pool.Version = value
		case "manifest":
			pool.Manifest = value
		case "max_unavailable":
			pool.MaxUnavailable = p.parseInt("pools", name, key)
		case "prefer":
			pool.Prefer = table.Preference(value)
		default:
			p.addProblem("pools", name, key.Name(), "unknown column", "use kind, instances, version, manifest, max_unavailable or prefer")
		}
	}
	if pool.Kind == table.KindService {
		pool.MaxUnavailable, pool.Prefer = 0, ""
	}
	return pool
}

func (p *textParser) parseRoute(name string, section *ini.Section) table.Route {
	route := table.Route{Name: name, Customer: table.AnyCustomer, Path: "/", Priority: table.PriorityNormal, Deadline: time.Minute}
	for _, key := range section.Keys() {
		value := key.String()
		switch key.Name() {
		case "customer":
			route.Customer = value
		case "path":
			route.Path = value
		case "pool":
			route.Pool = value
		case "repeatable":
			route.Repeatable = p.parseYesNo(name, key)
		case "priority":
			route.Priority = table.Priority(value)
		case "deadline":
			route.Deadline = p.parseDuration(name, key)
		default:
			p.parseHeader(&route, key)
		}
	}
	return route
}

func (p *textParser) parseHeader(route *table.Route, key *ini.Key) {
	name, found := strings.CutPrefix(key.Name(), "header.")
	if !found {
		p.addProblem("routes", route.Name, key.Name(), "unknown column", "use customer, path, pool, repeatable, priority, deadline or header.NAME")
		return
	}
	if route.Header == nil {
		route.Header = map[string]string{}
	}
	route.Header[name] = key.String()
}

func (p *textParser) parseInt(tableName, row string, key *ini.Key) int {
	value, err := strconv.Atoi(key.String())
	if err != nil {
		p.addProblem(tableName, row, key.Name(), fmt.Sprintf("%q is not a whole number", key.String()), "give a whole number")
	}
	return value
}

func (p *textParser) parseYesNo(row string, key *ini.Key) bool {
	switch key.String() {
	case "yes":
		return true
	case "no":
		return false
	}
	p.addProblem("routes", row, key.Name(), fmt.Sprintf("%q is not allowed", key.String()), "use yes or no")
	return false
}

func (p *textParser) parseDuration(row string, key *ini.Key) time.Duration {
	value, err := time.ParseDuration(key.String())
	if err != nil {
		p.addProblem("routes", row, key.Name(), fmt.Sprintf("%q is not a time with a unit", key.String()), "write it as 500ms, 30s or 2m")
	}
	return value
}

// Format returns the tables in their INI text form, with one column per line,
// so that a line-based diff shows only the columns that an edit changed.
func Format(tables *table.Tables) []byte {
	var out strings.Builder
	for _, pool := range tables.Pools {
		formatPool(&out, &pool)
	}
	for _, route := range tables.Routes {
		formatRoute(&out, &route)
	}
	return []byte(out.String())
}

func formatPool(out *strings.Builder, pool *table.Pool) {
	fmt.Fprintf(out, "[pool %s]\nkind = %s\ninstances = %s\n", pool.Name, pool.Kind, strings.Join(pool.Instances, ", "))
	if pool.Kind == table.KindModel {
		fmt.Fprintf(out, "version = %s\nmanifest = %s\nmax_unavailable = %d\nprefer = %s\n",
			pool.Version, pool.Manifest, pool.MaxUnavailable, pool.Prefer)
	}
	out.WriteString("\n")
}

func formatRoute(out *strings.Builder, route *table.Route) {
	repeatable := "no"
	if route.Repeatable {
		repeatable = "yes"
	}
	fmt.Fprintf(out, "[route %s]\ncustomer = %s\npath = %s\npool = %s\nrepeatable = %s\npriority = %s\ndeadline = %s\n",
		route.Name, route.Customer, route.Path, route.Pool, repeatable, route.Priority, route.Deadline)
	names := make([]string, 0, len(route.Header))
	for name := range route.Header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(out, "header.%s = %s\n", name, route.Header[name])
	}
	out.WriteString("\n")
}
