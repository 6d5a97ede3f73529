// Package settings reads the settings of a daemon, which apply to one process on one
// instance. Values that apply to the whole fleet are in the configuration.
//
// # Usage
//
//	s, err := settings.LoadEntry("entry.toml")
//	if err != nil {
//		// err is *settings.Error and lists every problem with file, line and key.
//	}
package settings

import (
	"cmp"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/keys"
	"amaranthturn/core/tomlcheck"
)

// Common holds the settings that every daemon has.
type Common struct {
	Instance string   `toml:"instance"`
	Region   string   `toml:"region"`
	Zone     string   `toml:"availability_zone"`
	Platform Platform `toml:"platform"`
	Keys     Keys     `toml:"keys"`
	TLS      TLS      `toml:"tls"`
	Log      Log      `toml:"log"`
	// StopGraceSeconds is the maximum time that a stop waits for requests in progress.
	StopGraceSeconds int `toml:"stop_grace_seconds"`
}

// Platform is the service that provides the configuration and the instance list.
type Platform struct {
	URL string `toml:"url"`
}

// Keys are the shared secrets that sign tickets and configuration.
type Keys struct {
	Active  string            `toml:"active"`
	Secrets map[string]string `toml:"secrets"`
}

// TLS holds the files for mutual TLS between the daemons. If they are empty, TLS is off.
type TLS struct {
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
	CAFile   string `toml:"ca_file"`
}

// Enabled reports whether mutual TLS is used.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Log sets the log level, globally and by subsystem.
type Log struct {
	Level      string            `toml:"level"`
	Subsystems map[string]string `toml:"subsystems"`
}

// Entry holds the settings of an entry daemon.
type Entry struct {
	Common
	Listen EntryListen `toml:"listen"`
	// Concurrency is the initial value of the adaptive limit of requests in flight.
	Concurrency int `toml:"concurrency"`
}

// EntryListen holds the listen addresses of an entry, each host:port.
type EntryListen struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
}

// Agent holds the settings of an agent daemon.
type Agent struct {
	Common
	Pool    string      `toml:"pool"`
	Listen  AgentListen `toml:"listen"`
	Origin  Origin      `toml:"origin"`
	Engine  Engine      `toml:"engine"`
	Service Service     `toml:"service"`
	Weights Weights     `toml:"weights"`
}

// AgentListen holds the listen addresses of an agent, each host:port.
type AgentListen struct {
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
}

// Origin is the server from which weights are downloaded.
type Origin struct {
	URL string `toml:"url"`
}

// Engine is the model engine of the instance; an empty URL means none.
type Engine struct {
	URL string `toml:"url"`
	// RefusesStaleCommands states that the engine checks fencing numbers.
	RefusesStaleCommands bool `toml:"refuses_old_orders"`
	// ChecksSender states that the engine checks the sender of commands.
	ChecksSender bool `toml:"checks_sender"`
	// Token authenticates the agent to an engine that checks the sender of commands.
	Token string `toml:"token"`
	// OrderSeconds is the lifetime of an engine command.
	OrderSeconds int `toml:"order_seconds"`
}

// Service is the plain service of the instance; an empty URL means none.
type Service struct {
	URL string `toml:"url"`
}

// Weights limits the memory and link bandwidth that weight distribution uses.
type Weights struct {
	MemoryBytes            int64 `toml:"memory_bytes"`
	LinkBytesPerSecond     int64 `toml:"link_bytes_per_second"`
	UploadSlots            int   `toml:"upload_slots"`
	RegionalBytesPerSecond int64 `toml:"regional_bytes_per_second"`
}

// Defaults of settings that a file omits.
const (
	DefaultStopGraceSeconds   = 120
	DefaultConcurrency        = 64
	DefaultMemoryBytes        = 4 << 30
	DefaultLinkBytesPerSecond = 1 << 30
	DefaultUploadSlots        = 6
	DefaultCommandSeconds     = 5
)

// Error lists every problem of a settings file.
type Error struct {
	File     string
	Problems []tomlcheck.Problem
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = fmt.Sprintf("%s:%d: %s: %s", e.File, p.Line, p.Key, p.Text)
	}
	return strings.Join(lines, "\n")
}

// LoadEntry reads the settings of an entry.
func LoadEntry(file string) (*Entry, error) {
	s := &Entry{}
	c, err := load(file, s)
	if err != nil {
		return nil, err
	}
	s.Concurrency = cmp.Or(s.Concurrency, DefaultConcurrency)
	c.common(&s.Common)
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.operators", s.Listen.Operators)
	c.atLeast("concurrency", int64(s.Concurrency), 1)
	return s, c.err()
}

// LoadAgent reads the settings of an agent.
func LoadAgent(file string) (*Agent, error) {
	s := &Agent{}
	c, err := load(file, s)
	if err != nil {
		return nil, err
	}
	s.FillDefaults()
	c.common(&s.Common)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.operators", s.Listen.Operators)
	c.required("pool", s.Pool)
	c.agent(s)
	return s, c.err()
}

// FillDefaults sets the settings that a file omits.
func (s *Agent) FillDefaults() {
	s.Engine.OrderSeconds = cmp.Or(s.Engine.OrderSeconds, DefaultCommandSeconds)
	w := &s.Weights
	w.MemoryBytes = cmp.Or(w.MemoryBytes, DefaultMemoryBytes)
	w.LinkBytesPerSecond = cmp.Or(w.LinkBytesPerSecond, DefaultLinkBytesPerSecond)
	w.RegionalBytesPerSecond = cmp.Or(w.RegionalBytesPerSecond, w.LinkBytesPerSecond)
	w.UploadSlots = cmp.Or(w.UploadSlots, DefaultUploadSlots)
	s.StopGraceSeconds = cmp.Or(s.StopGraceSeconds, DefaultStopGraceSeconds)
}

// StopGrace returns the maximum time that a stop waits for requests in progress.
func (c *Common) StopGrace() time.Duration {
	return time.Duration(cmp.Or(c.StopGraceSeconds, DefaultStopGraceSeconds)) * time.Second
}

// CommandTTL returns the lifetime of an engine command.
func (e Engine) CommandTTL() time.Duration { return time.Duration(e.OrderSeconds) * time.Second }

// Ring returns the key ring built from the secrets.
func (k Keys) Ring() (*keys.Ring, error) {
	secrets := make(map[keys.ID][]byte, len(k.Secrets))
	for id, s := range k.Secrets {
		secrets[keys.ID(id)] = []byte(s)
	}
	return keys.NewRing(keys.ID(k.Active), secrets)
}

type checker struct {
	file     string
	lines    tomlcheck.Lines
	problems []tomlcheck.Problem
}

func load(file string, v any) (*checker, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Problems: []tomlcheck.Problem{{Key: "file", Text: err.Error()}}}
	}
	c := &checker{file: file, lines: tomlcheck.Index(body)}
	if c.problems = tomlcheck.Decode(body, v); len(c.problems) > 0 {
		return nil, c.err()
	}
	return c, nil
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	tomlcheck.Sort(c.problems)
	return &Error{File: c.file, Problems: c.problems}
}

func (c *checker) add(key, format string, args ...any) {
	c.problems = append(c.problems, c.lines.Problem(key, format, args...))
}

func (c *checker) common(s *Common) {
	s.StopGraceSeconds = cmp.Or(s.StopGraceSeconds, DefaultStopGraceSeconds)
	c.required("instance", s.Instance)
	c.required("region", s.Region)
	c.required("availability_zone", s.Zone)
	c.url("platform.url", s.Platform.URL)
	c.atLeast("stop_grace_seconds", int64(s.StopGraceSeconds), 1)
	if _, err := s.Keys.Ring(); err != nil {
		c.add("keys", "%v", err)
	}
	c.level("log.level", s.Log.Level)
	for name, level := range s.Log.Subsystems {
		c.level("log.subsystems."+name, level)
	}
	if t := s.TLS; t.Enabled() != (t.KeyFile != "") || t.Enabled() != (t.CAFile != "") {
		c.add("tls", "cert_file, key_file and ca_file go together")
	}
}

func (c *checker) agent(s *Agent) {
	if s.Engine.URL == "" && s.Service.URL == "" {
		c.add("engine.url", "neither engine.url nor service.url is set")
	}
	if s.Engine.URL != "" {
		c.url("engine.url", s.Engine.URL)
		c.url("origin.url", s.Origin.URL)
	}
	if s.Service.URL != "" {
		c.url("service.url", s.Service.URL)
	}
	if s.Engine.ChecksSender && s.Engine.Token == "" {
		c.add("engine.token", "is required if engine.checks_sender is set")
	}
	c.atLeast("engine.order_seconds", int64(s.Engine.OrderSeconds), 1)
	c.atLeast("weights.memory_bytes", s.Weights.MemoryBytes, 1<<20)
	c.atLeast("weights.link_bytes_per_second", s.Weights.LinkBytesPerSecond, 1<<10)
	c.atLeast("weights.regional_bytes_per_second", s.Weights.RegionalBytesPerSecond, 1<<10)
	c.atLeast("weights.upload_slots", int64(s.Weights.UploadSlots), 1)
}

func (c *checker) required(key, v string) {
	if strings.TrimSpace(v) == "" {
		c.add(key, "is missing")
	}
}

func (c *checker) address(key, v string) {
	host, _, err := net.SplitHostPort(v)
	if err != nil {
		c.add(key, "%q is not host:port", v)
		return
	}
	if net.ParseIP(host) == nil {
		c.add(key, "%q does not name an IP number", v)
	}
}

func (c *checker) url(key, v string) {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add(key, "%q is not an http URL", v)
	}
}

func (c *checker) atLeast(key string, v, minimum int64) {
	if v < minimum {
		c.add(key, "%d is less than %d", v, minimum)
	}
}

func (c *checker) level(key, v string) {
	switch v {
	case "", "debug", "info", "warn", "error":
	default:
		c.add(key, "%q is not a level (debug, info, warn, error)", v)
	}
}

// Identity returns the instance that the common settings describe.
func (c *Common) Identity(role fleet.Role, pool fleet.Pool, peers string) fleet.Instance {
	return fleet.Instance{
		ID: fleet.InstanceID(c.Instance), Role: role, Region: fleet.Region(c.Region),
		Zone: fleet.Zone(c.Zone), Pool: pool, Address: peers,
	}
}
