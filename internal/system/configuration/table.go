package configuration

import (
	"sort"
	"strings"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	Document     *Document
	routesByHost map[string][]*Route // by host in lower case, longest path prefix first
	routesByName map[string]*Route
}

// NewTable returns the table of a document, which must not be modified afterwards.
func NewTable(document *Document) *Table {
	table := &Table{Document: document, routesByHost: map[string][]*Route{}, routesByName: map[string]*Route{}}
	for i := range document.Routes {
		route := &document.Routes[i]
		table.routesByHost[route.Host] = append(table.routesByHost[route.Host], route)
		table.routesByName[route.Name] = route
	}
	for _, routes := range table.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return table
}

// Match returns the route with the longest path prefix that matches a Host header and a path, or nil if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Service returns the service of a route.
func (t *Table) Service(route *Route) *Service { return t.Document.Services[route.Service] }

// hostName returns a Host header without the port, in lower case.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
