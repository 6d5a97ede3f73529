// Package routeconfig holds the routes, services and workspaces that the operator configures
// in the platform's store: which service handles a request, which requests may be repeated,
// and which workspace a key belongs to. app/gateway and app/sidecar use it; app/entry and
// app/agent use package config.
//
// # Usage
//
//	doc := routeconfig.New(version, routes, services, limits, workspaces)
//	r, ok := doc.Match(host, path)
//	w, ok := doc.Workspace(key)
//
// A Document is immutable after New and is safe for concurrent use.
package routeconfig

import (
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"amaranthturn/core/fleet"
)

//go:generate stringer -type=Kind -output=routeconfig_string.go -linecomment

// Kind classifies the requests of a route by whether they may be repeated.
type Kind int

// The kinds of requests.
const (
	KindNonIdempotent Kind = iota // non_idempotent
	KindIdempotent                // idempotent
	KindStreaming                 // streaming
)

// WeightedService is the weight of one service in the traffic of a route.
type WeightedService struct {
	Service fleet.Service
	Weight  int
}

// Route describes how the requests under a path prefix are handled.
type Route struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Kind     Kind
	Services []WeightedService // more than one splits the traffic by weight
	// Timeout is the maximum time from a request to its response.
	Timeout time.Duration
	// LatencyObjective is the time to the response, or to a stream's first event, up to which a
	// request earns full credit.
	LatencyObjective time.Duration
	// GapObjective is the maximum time between two events that counts as on time.
	GapObjective time.Duration
	Priority     int // 0 is the highest
	MaxAttempts  int // maximum number of targets that one attempt of a caller is sent to
	Public       bool
	// IsGeneration marks routes whose requests have a prompt and a model name.
	IsGeneration bool
	// Resumable allows another target to continue a stream after its last event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStreaming && r.Resumable
}

// Engine describes the batching of a model service's targets.
type Engine struct {
	Slots                int
	KVCacheTokens        int           // capacity of the KV cache, in tokens of running requests
	Stride               int           // decoding steps per pass
	StepTime             time.Duration // duration of one decoding step without any request
	StepTimePerSequence  time.Duration // added per request that is decoding
	StepTimePerKiloToken time.Duration // added per 1,000 tokens of context
	PrefillTokensPerSec  float64       // prompt tokens processed per second
	TimePerMillionPairs  time.Duration // added per million pairs of tokens in a prompt
	PrefillChunk         int           // maximum prompt tokens per step
	TypicalPromptTokens  int           // typical number of prompt tokens
	TypicalOutputTokens  int           // typical number of generated tokens
	Layers               int
	Chunks               int
	ChunkBytes           fleet.Bytes
	Models               []EngineModel
}

// EngineModel is a model that the engines of a service may serve.
type EngineModel struct {
	Name fleet.Model
	// LoadTime is the time in which an engine loads all staged layers.
	LoadTime time.Duration
}

// Service is a group of targets, or the origin of the weights.
type Service struct {
	Name     fleet.Service
	MaxConns int     // maximum connections that one target accepts from all callers in total
	Engine   *Engine // nil for a plain service
	// Origin is the address of the origin of weights, empty for services with targets.
	Origin string
	Zone   fleet.Zone
}

// Limits restrict the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name     fleet.Workspace
	Priority int // overrides the priority of the route
	Keys     []string
}

// Document is one version of the configuration.
type Document struct {
	Version    uint64
	Limits     Limits
	services   map[fleet.Service]*Service
	byHost     map[string][]*Route // sorted by descending prefix length
	byKey      map[string]*Workspace
	workspaces int
	routes     int
}

// New returns a document with the given configuration.
func New(version uint64, routes []Route, services []Service, limits Limits, workspaces []Workspace) *Document {
	d := &Document{
		Version: version, Limits: limits,
		services: make(map[fleet.Service]*Service, len(services)),
		byHost:   map[string][]*Route{}, byKey: map[string]*Workspace{},
		workspaces: len(workspaces), routes: len(routes),
	}
	for _, r := range routes { // each on its own: a request in progress holds its route and not the others
		host := normalizeHost(r.Host)
		d.byHost[host] = append(d.byHost[host], &r)
	}
	for _, list := range d.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range services {
		d.services[s.Name] = &s
	}
	for i := range workspaces {
		for _, k := range workspaces[i].Keys {
			d.byKey[k] = &workspaces[i]
		}
	}
	return d
}

// Match returns the route of host with the longest prefix that matches path.
func (d *Document) Match(host, path string) (*Route, bool) {
	for _, r := range d.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Successor returns the route that has the host and the prefix of a route of another document.
func (d *Document) Successor(of *Route) (*Route, bool) {
	list := d.byHost[normalizeHost(of.Host)]
	first, _ := slices.BinarySearchFunc(list, len(of.Prefix), func(r *Route, length int) int { return length - len(r.Prefix) })
	for _, r := range list[first:] {
		if len(r.Prefix) != len(of.Prefix) {
			break
		}
		if r.Prefix == of.Prefix {
			return r, true
		}
	}
	return nil, false
}

// NeedsKey reports whether requests of the route must carry a key.
func (d *Document) NeedsKey(r *Route) bool { return d.workspaces > 0 && !r.Public }

// Workspace returns the workspace that holds key.
func (d *Document) Workspace(key string) (*Workspace, bool) {
	w, ok := d.byKey[key]
	return w, ok
}

// Service returns the service with the given name.
func (d *Document) Service(name fleet.Service) (*Service, bool) {
	s, ok := d.services[name]
	return s, ok
}

// Services returns all services in no particular order.
func (d *Document) Services() []*Service {
	out := make([]*Service, 0, len(d.services))
	for _, s := range d.services {
		out = append(out, s)
	}
	return out
}

// ServiceNames returns the names of all services in no particular order.
func (d *Document) ServiceNames() []fleet.Service { return slices.Collect(maps.Keys(d.services)) }

// Origin returns the service that distributes weights.
func (d *Document) Origin() (*Service, bool) {
	for _, s := range d.services {
		if s.Origin != "" {
			return s, true
		}
	}
	return nil, false
}

// Routes returns the number of routes.
func (d *Document) Routes() int { return d.routes }

// Pick returns the service of a request. The random value sample, in [0, 1), selects
// among the weighted services of a route.
func (r *Route) Pick(sample float64) (fleet.Service, bool) {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	if total <= 0 {
		if len(r.Services) == 0 {
			return "", false
		}
		return r.Services[0].Service, true
	}
	offset := int(sample * float64(total))
	for _, s := range r.Services {
		if offset < s.Weight {
			return s.Service, true
		}
		offset -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service, true
}

// normalizeHost removes the port of a host and converts it to lower case.
func normalizeHost(h string) string {
	if host, _, err := net.SplitHostPort(h); err == nil {
		h = host
	}
	return strings.ToLower(h)
}
