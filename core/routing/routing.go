// Package routing holds the operator's configuration as the daemons use it: which
// service answers a request, what may be repeated, and which workspace a key belongs to.
//
// # Usage
//
//	doc := routing.New(version, routes, services, limits, workspaces)
//	r, ok := doc.Match(host, path)
//	w, ok := doc.Workspace(key)
//
// A Document does not change after New and may be shared by goroutines.
package routing

import (
	"net"
	"slices"
	"strings"
	"time"

	"amaranthturn/core/fleet"
)

//go:generate stringer -type=Kind -output=routing_string.go -linecomment

// Kind says what may be repeated.
type Kind int

// The kinds of requests.
const (
	KindNonIdempotent Kind = iota // non_idempotent
	KindIdempotent                // idempotent
	KindStreaming                 // streaming
)

// Share is a service's part of a route's traffic.
type Share struct {
	Service fleet.Service
	Weight  int
}

// Route tells how the requests under a prefix are handled.
type Route struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Kind     Kind
	Services []Share // one, or several with their weights
	// Timeout is the longest time that a request may be kept waiting for its answer.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event, that earns full credit.
	Objective time.Duration
	// GapObjective is the longest pause between two events that is on time.
	GapObjective time.Duration
	Priority     int // 0 is the most urgent
	MaxAttempts  int // targets that one attempt of a caller may be sent to
	Public       bool
	// Generates marks requests of a model, with a prompt and a model name.
	Generates bool
	// Resumable allows another target to go on after the last event.
	Resumable bool
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStreaming && r.Resumable
}

// Engine describes the batching of a model service's targets.
type Engine struct {
	Slots         int
	CacheTokens   int           // memory for the tokens of running requests
	Stride        int           // decoding steps of one pass
	StepTime      time.Duration // one decoding step without any request
	StepPerSeq    time.Duration // added by each request that is decoding
	StepPerKilo   time.Duration // added by each 1,000 tokens of context
	PrefillPerSec float64       // prompt tokens read in a second
	PairsPerMega  time.Duration // added by each million pairs of tokens in a prompt
	PrefillChunk  int           // prompt tokens of one step at most
	UsualPrompt   int
	UsualAnswer   int
	Layers        int
	Chunks        int
	ChunkBytes    fleet.Bytes
	Models        []EngineModel
}

// EngineModel is a model that a service may serve.
type EngineModel struct {
	Name fleet.Model
	// LoadTime is how long an engine takes to load all staged layers.
	LoadTime time.Duration
}

// Service is a group of targets.
type Service struct {
	Name     fleet.Service
	MaxConns int     // connections that one target accepts from all callers together
	Engine   *Engine // nil for a plain service
	// Origin is the address of the weight store; empty for services of targets.
	Origin string
	Zone   fleet.Zone
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name     fleet.Workspace
	Priority int // takes precedence over the route's
	Keys     []string
}

// Document is one version of the configuration.
type Document struct {
	Version    uint64
	Limits     Limits
	services   map[fleet.Service]*Service
	byHost     map[string][]*Route // the longest prefix first
	byKey      map[string]*Workspace
	workspaces int
	routes     int
}

// New returns a document.
func New(version uint64, routes []Route, services []Service, limits Limits, workspaces []Workspace) *Document {
	d := &Document{
		Version: version, Limits: limits,
		services: make(map[fleet.Service]*Service, len(services)),
		byHost:   map[string][]*Route{}, byKey: map[string]*Workspace{},
		workspaces: len(workspaces), routes: len(routes),
	}
	for i := range routes {
		r := &routes[i]
		host := normalHost(r.Host)
		d.byHost[host] = append(d.byHost[host], r)
	}
	for _, list := range d.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range services {
		d.services[services[i].Name] = &services[i]
	}
	for i := range workspaces {
		for _, k := range workspaces[i].Keys {
			d.byKey[k] = &workspaces[i]
		}
	}
	return d
}

// Match returns the route with the longest prefix of path among those of host.
func (d *Document) Match(host, path string) (*Route, bool) {
	for _, r := range d.byHost[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// NeedsKey tells whether requests of the route carry a key.
func (d *Document) NeedsKey(r *Route) bool { return d.workspaces > 0 && !r.Public }

// Workspace returns the workspace that holds key.
func (d *Document) Workspace(key string) (*Workspace, bool) {
	w, ok := d.byKey[key]
	return w, ok
}

// Service returns the service called name.
func (d *Document) Service(name fleet.Service) (*Service, bool) {
	s, ok := d.services[name]
	return s, ok
}

// Services returns every service, in no order.
func (d *Document) Services() []*Service {
	out := make([]*Service, 0, len(d.services))
	for _, s := range d.services {
		out = append(out, s)
	}
	return out
}

// Origin returns the service that hands out weights.
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

// Pick returns the service of a request. The draw, in [0, 1), decides between the
// shares of a split route.
func (r *Route) Pick(draw float64) (fleet.Service, bool) {
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
	at := int(draw * float64(total))
	for _, s := range r.Services {
		if at < s.Weight {
			return s.Service, true
		}
		at -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service, true
}

// normalHost drops the port and the letter case of a host.
func normalHost(h string) string {
	if host, _, err := net.SplitHostPort(h); err == nil {
		h = host
	}
	return strings.ToLower(h)
}
