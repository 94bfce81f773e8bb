package configuration

import (
	"sort"
	"strings"
)

// Table finds the route of a request. It is never changed after it was made.
type Table struct {
	Document *Document
	hosts    map[string][]*Route // longest prefix first
	names    map[string]*Route
}

// NewTable indexes a document.
func NewTable(document *Document) *Table {
	table := &Table{Document: document, hosts: map[string][]*Route{}, names: map[string]*Route{}}
	for i := range document.Routes {
		route := &document.Routes[i]
		table.hosts[route.Host] = append(table.hosts[route.Host], route)
		table.names[route.Name] = route
	}
	for _, routes := range table.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return table
}

// Match is the route of a Host header and a path, nil where there is none.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Service is the service of a route.
func (t *Table) Service(route *Route) *Service { return t.Document.Services[route.Service] }

// hostName is a Host header without port, in lower case.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
