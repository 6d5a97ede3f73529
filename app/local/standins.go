package local

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"amaranthturn/app/daemon"
	"amaranthturn/app/settings"
	"amaranthturn/core/fleet"
	"amaranthturn/standin/engine"
	"amaranthturn/standin/load"
	"amaranthturn/standin/origin"
	"amaranthturn/standin/platform"
	"amaranthturn/standin/record"
	"amaranthturn/standin/service"
	"amaranthturn/standin/weights"
)

// StandinOptions configure stand-ins for daemons that run as separate processes.
type StandinOptions struct {
	Dir       string
	Instances int
	Entries   int
	BasePort  int
	// Advertise maps a listen address to the address that others use to reach it; nil keeps the
	// listen address. It is called for the platform, the origin and the entries' peer addresses.
	Advertise func(addr string) (string, error)
}

// Daemon describes a daemon to be run as a separate process.
type Daemon struct {
	Name         string
	Role         fleet.Role
	SettingsFile string // path of the settings file
	CallerAddr   string // address for callers, entries only
}

// Standins holds running stand-ins and describes the daemons to run with them.
type Standins struct {
	opt         StandinOptions
	nextPort    int
	rec         *record.Record
	platform    *platform.Platform
	origin      *origin.Origin
	servers     []*daemon.Server
	instances   []fleet.Instance
	daemons     []Daemon
	versions    []weights.Version
	platformURL string
	originURL   string
}

// standinModelBytes is the size of each model version.
const standinModelBytes = 2 << 20

// NewStandins starts the stand-ins, publishes a configuration, and writes it and a settings
// file for every daemon to the directory.
func NewStandins(o StandinOptions) (*Standins, error) {
	s := &Standins{opt: o, nextPort: o.BasePort, rec: record.New()}
	s.platform = platform.New()
	s.origin = origin.New(s.rec)
	for i := range 3 {
		v := weights.New(modelName, uint64(i+1), standinModelBytes, standinModelBytes/64)
		s.origin.Add(v)
		s.versions = append(s.versions, v)
	}
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Standins) start() error {
	var err error
	if s.platformURL, err = s.serve(s.platformHandler()); err != nil {
		return err
	}
	if s.originURL, err = s.serve(s.origin.Handler()); err != nil {
		return err
	}
	for _, url := range []*string{&s.platformURL, &s.originURL} {
		addr, err := s.advertise(strings.TrimPrefix(*url, "http://"))
		if err != nil {
			return err
		}
		*url = "http://" + addr
	}
	for i := range s.opt.Entries {
		if err := s.addEntry(fmt.Sprintf("entry-%d", i+1)); err != nil {
			return err
		}
	}
	for i := range s.opt.Instances {
		if err := s.addRunner(fmt.Sprintf("runner-%d", i+1)); err != nil {
			return err
		}
	}
	if err := s.addOrderRunner("orders-1"); err != nil {
		return err
	}
	s.platform.SetInstances(s.instances)
	s.platform.Publish(configDocument(Options{Objective: "time"}, s.versions[0].ID))
	return os.WriteFile(filepath.Join(s.opt.Dir, "config.toml"), configDocument(Options{Objective: "time"}, s.versions[0].ID), 0o644)
}

// platformHandler extends the platform's handler by PUT /v1/config, with which operators
// publish a configuration document.
func (s *Standins) platformHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /", s.platform.Handler())
	mux.HandleFunc("PUT /v1/config", func(w http.ResponseWriter, r *http.Request) {
		body := make([]byte, 0, 1<<16)
		buf := make([]byte, 1<<12)
		for {
			n, err := r.Body.Read(buf)
			body = append(body, buf[:n]...)
			if err != nil {
				break
			}
		}
		_, _ = fmt.Fprintf(w, "revision %d\n", s.platform.Publish(body).Revision)
	})
	return mux
}

// advertise returns the address that others use to reach addr.
func (s *Standins) advertise(addr string) (string, error) {
	if s.opt.Advertise == nil {
		return addr, nil
	}
	return s.opt.Advertise(addr)
}

// nextAddr returns the next unused loopback address.
func (s *Standins) nextAddr() string {
	s.nextPort++
	return fmt.Sprintf("127.0.0.1:%d", s.nextPort-1)
}

func (s *Standins) serve(h http.Handler) (string, error) {
	addr := s.nextAddr()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", &daemon.ListenError{Key: "base-port", Address: addr, Cause: err}
	}
	srv := daemon.NewHTTPServer(l, h)
	srv.Start()
	s.servers = append(s.servers, srv)
	return "http://" + addr, nil
}

func (s *Standins) commonSettings(name string) settings.Common {
	return settings.Common{
		Instance: name, Region: regionNames[0], Zone: regionNames[0] + "-a",
		Platform: settings.Platform{URL: s.platformURL},
		Keys:     settings.Keys{Active: "k1", Secrets: map[string]string{"k1": "change-this-secret"}},
	}
}

// addDaemon writes the settings file of a daemon.
func (s *Standins) addDaemon(d Daemon, content any) error {
	body, err := toml.Marshal(content)
	if err != nil {
		return err
	}
	d.SettingsFile = filepath.Join(s.opt.Dir, d.Name+".toml")
	s.daemons = append(s.daemons, d)
	return os.WriteFile(d.SettingsFile, body, 0o600)
}

func (s *Standins) addEntry(name string) error {
	e := settings.Entry{Common: s.commonSettings(name), Concurrency: settings.DefaultConcurrency}
	e.Listen = settings.EntryListen{Callers: s.nextAddr(), Peers: s.nextAddr(), Operators: s.nextAddr()}
	in := e.Identity(fleet.RoleEntry, "", e.Listen.Peers)
	in.CallerAddress = e.Listen.Callers
	var err error
	if in.Address, err = s.advertise(in.Address); err != nil {
		return err
	}
	s.instances = append(s.instances, in)
	return s.addDaemon(Daemon{Name: name, Role: fleet.RoleEntry, CallerAddr: e.Listen.Callers}, e)
}

// addRunner starts an engine stand-in and adds its agent.
func (s *Standins) addRunner(name string) error {
	e := engine.New(engine.Settings{
		Instance: fleet.InstanceID(name), Capacity: 8, TwoSlots: true, RefusesStaleCommands: true,
		TimeToFirstToken: 40 * time.Millisecond, TokenGap: 10 * time.Millisecond, LoadTime: 200 * time.Millisecond, RestartTime: time.Second,
	}, s.rec, s.origin.ContentHashes)
	url, err := s.serve(e.Handler())
	if err != nil {
		return err
	}
	a := settings.Agent{Common: s.commonSettings(name), Pool: poolRunners}
	a.Engine = settings.Engine{URL: url, RefusesStaleCommands: true}
	a.Origin.URL = s.originURL
	return s.addAgent(name, a)
}

// addOrderRunner starts an order service stand-in and adds its agent.
func (s *Standins) addOrderRunner(name string) error {
	url, err := s.serve(service.New(s.rec, 20*time.Millisecond).Handler())
	if err != nil {
		return err
	}
	a := settings.Agent{Common: s.commonSettings(name), Pool: poolOrders}
	a.Service.URL = url
	return s.addAgent(name, a)
}

func (s *Standins) addAgent(name string, a settings.Agent) error {
	a.Listen = settings.AgentListen{Peers: s.nextAddr(), Operators: s.nextAddr()}
	a.FillDefaults()
	s.instances = append(s.instances, a.Identity(fleet.RoleTarget, fleet.Pool(a.Pool), a.Listen.Peers))
	return s.addDaemon(Daemon{Name: name, Role: fleet.RoleTarget}, a)
}

// Daemons returns the daemons for which settings files were written.
func (s *Standins) Daemons() []Daemon { return s.daemons }

// Record returns the record of what callers sent and received and what the stand-ins ran.
func (s *Standins) Record() *record.Record { return s.rec }

// ContentHashes returns the content hash of each version.
func (s *Standins) ContentHashes() map[fleet.Version]string { return s.origin.ContentHashes() }

// Publish publishes a configuration with the i-th version, modulo their number, and returns
// that version.
func (s *Standins) Publish(i int) fleet.Version {
	v := s.versions[i%len(s.versions)].ID
	s.platform.Publish(configDocument(Options{Objective: "time"}, v))
	return v
}

// Load returns a load generator for the entries. It is not started.
func (s *Standins) Load(seed uint64) *load.Load {
	var seeds, names []string
	for _, d := range s.daemons {
		if d.Role == fleet.RoleEntry {
			seeds = append(seeds, d.CallerAddr)
		}
	}
	for i := range 3 {
		names = append(names, workspaceName(i))
	}
	return load.New(load.Settings{
		Seeds: seeds, ContentHashes: s.origin.ContentHashes, Model: modelName, Workspaces: names, Workers: 2,
		ThinkTime: 100 * time.Millisecond, OrderWorkers: 3, OrderThinkTime: 150 * time.Millisecond, Tokens: 16,
		Timeout: 8 * time.Second, Seed: seed,
	}, s.rec)
}

// Describe returns the URLs, versions and settings files as human-readable text.
func (s *Standins) Describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "platform %s (publish: PUT %s/v1/config)\norigin %s\n", s.platformURL, s.platformURL, s.originURL)
	for i, v := range s.versions {
		fmt.Fprintf(&b, "version %d %s\n", i+1, v.ID)
	}
	for _, d := range s.daemons {
		fmt.Fprintf(&b, "settings %s\n", d.SettingsFile)
	}
	return b.String()
}

// Close stops the stand-ins.
func (s *Standins) Close() {
	for _, srv := range s.servers {
		_ = srv.HTTP.Close()
	}
}
