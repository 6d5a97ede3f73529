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

	"amaranthturn/app/node"
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

// StandinOptions describe stand-ins for daemons that run as separate processes.
type StandinOptions struct {
	Dir       string
	Instances int
	Entries   int
	BasePort  int
	// Through gives the address under which others reach an address, nil for the address
	// itself. It is asked for the platform, the origin and the entries' peer addresses.
	Through func(addr string) (string, error)
}

// Daemon is a daemon that is to run as a process of its own.
type Daemon struct {
	Name     string
	Role     fleet.Role
	Settings string // file
	Callers  string // address for callers, entries only
}

// Standins are running stand-ins.
type Standins struct {
	opt      StandinOptions
	port     int
	rec      *record.Record
	platform *platform.Platform
	origin   *origin.Origin
	servers  []*node.Server
	list     []fleet.Instance
	daemons  []Daemon
	versions []weights.Version
	platURL  string
	origURL  string
}

// standinModelBytes is the size of the versions of separate processes.
const standinModelBytes = 2 << 20

// NewStandins starts stand-ins and writes a settings file for every daemon. A
// configuration file in the folder is published whenever it changes.
func NewStandins(o StandinOptions) (*Standins, error) {
	s := &Standins{opt: o, port: o.BasePort, rec: record.New()}
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
	if s.platURL, err = s.serve(s.handlePublish()); err != nil {
		return err
	}
	if s.origURL, err = s.serve(s.origin.Handler()); err != nil {
		return err
	}
	for _, url := range []*string{&s.platURL, &s.origURL} {
		addr, err := s.through(strings.TrimPrefix(*url, "http://"))
		if err != nil {
			return err
		}
		*url = "http://" + addr
	}
	for i := range s.opt.Entries {
		if err := s.writeEntry(fmt.Sprintf("entry-%d", i+1)); err != nil {
			return err
		}
	}
	for i := range s.opt.Instances {
		if err := s.writeRunner(fmt.Sprintf("runner-%d", i+1)); err != nil {
			return err
		}
	}
	if err := s.writeOrders("orders-1"); err != nil {
		return err
	}
	s.platform.SetInstances(s.list)
	s.platform.Publish(documentFor(Options{Objective: "time"}, s.versions[0].ID))
	return os.WriteFile(filepath.Join(s.opt.Dir, "config.toml"), documentFor(Options{Objective: "time"}, s.versions[0].ID), 0o644)
}

// handlePublish adds to the platform what the platform's own operators do: a
// document is published with PUT.
func (s *Standins) handlePublish() http.Handler {
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
		_, _ = fmt.Fprintf(w, "revision %d\n", s.platform.Publish(body))
	})
	return mux
}

func (s *Standins) through(addr string) (string, error) {
	if s.opt.Through == nil {
		return addr, nil
	}
	return s.opt.Through(addr)
}

func (s *Standins) next() string {
	s.port++
	return fmt.Sprintf("127.0.0.1:%d", s.port-1)
}

func (s *Standins) serve(h http.Handler) (string, error) {
	addr := s.next()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", &node.ListenError{Key: "base-port", Address: addr, Cause: err}
	}
	srv := node.NewHTTP(l, h)
	srv.Start()
	s.servers = append(s.servers, srv)
	return "http://" + addr, nil
}

func (s *Standins) common(name string) settings.Common {
	return settings.Common{
		Instance: name, Region: regionNames[0], Zone: regionNames[0] + "-a",
		Platform: settings.Platform{URL: s.platURL},
		Keys:     settings.Keys{Active: "k1", Secrets: map[string]string{"k1": "change-this-secret"}},
	}
}

func (s *Standins) write(d Daemon, v any) error {
	body, err := toml.Marshal(v)
	if err != nil {
		return err
	}
	d.Settings = filepath.Join(s.opt.Dir, d.Name+".toml")
	s.daemons = append(s.daemons, d)
	return os.WriteFile(d.Settings, body, 0o600)
}

func (s *Standins) writeEntry(name string) error {
	e := settings.Entry{Common: s.common(name), Concurrency: settings.DefaultConcurrency}
	e.Listen = settings.EntryListen{Callers: s.next(), Peers: s.next(), Operators: s.next()}
	in := e.Identity(fleet.RoleEntry, "", e.Listen.Peers)
	in.CallerAddress = e.Listen.Callers
	var err error
	if in.Address, err = s.through(in.Address); err != nil {
		return err
	}
	s.list = append(s.list, in)
	return s.write(Daemon{Name: name, Role: fleet.RoleEntry, Callers: e.Listen.Callers}, e)
}

func (s *Standins) writeRunner(name string) error {
	e := engine.New(engine.Settings{
		Instance: fleet.InstanceID(name), Capacity: 8, TwoSlots: true, RefusesOld: true,
		FirstToken: 40 * time.Millisecond, TokenGap: 10 * time.Millisecond, LoadTime: 200 * time.Millisecond, Restart: time.Second,
	}, s.rec, s.origin.Contents)
	url, err := s.serve(e.Handler())
	if err != nil {
		return err
	}
	a := settings.Agent{Common: s.common(name), Pool: poolRunners}
	a.Engine = settings.Engine{URL: url, RefusesOldOrders: true}
	a.Origin.URL = s.origURL
	return s.writeAgent(name, a)
}

func (s *Standins) writeOrders(name string) error {
	url, err := s.serve(service.New(s.rec, 20*time.Millisecond).Handler())
	if err != nil {
		return err
	}
	a := settings.Agent{Common: s.common(name), Pool: poolOrders}
	a.Service.URL = url
	return s.writeAgent(name, a)
}

func (s *Standins) writeAgent(name string, a settings.Agent) error {
	a.Listen = settings.AgentListen{Peers: s.next(), Operators: s.next()}
	a.FillDefaults()
	s.list = append(s.list, a.Identity(fleet.RoleTarget, fleet.Pool(a.Pool), a.Listen.Peers))
	return s.write(Daemon{Name: name, Role: fleet.RoleTarget}, a)
}

// Daemons returns the daemons that the settings files are for.
func (s *Standins) Daemons() []Daemon { return s.daemons }

// Record returns the account of what truly happened.
func (s *Standins) Record() *record.Record { return s.rec }

// Contents returns what the versions hold.
func (s *Standins) Contents() map[fleet.Version]string { return s.origin.Contents() }

// Publish makes one of the versions the wanted one and returns it.
func (s *Standins) Publish(i int) fleet.Version {
	v := s.versions[i%len(s.versions)].ID
	s.platform.Publish(documentFor(Options{Objective: "time"}, v))
	return v
}

// Load returns callers of the daemons' entries that are not started.
func (s *Standins) Load(seed uint64) *load.Load {
	var seeds, names []string
	for _, d := range s.daemons {
		if d.Role == fleet.RoleEntry {
			seeds = append(seeds, d.Callers)
		}
	}
	for i := range 3 {
		names = append(names, workspaceName(i))
	}
	return load.New(load.Settings{
		Seeds: seeds, Contents: s.origin.Contents, Model: modelName, Workspaces: names, Workers: 2,
		Think: 100 * time.Millisecond, OrderWorkers: 3, OrderThink: 150 * time.Millisecond, Tokens: 16,
		Timeout: 8 * time.Second, Seed: seed,
	}, s.rec)
}

// Describe lists the settings files and versions for people.
func (s *Standins) Describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "platform %s (publish: PUT %s/v1/config)\norigin %s\n", s.platURL, s.platURL, s.origURL)
	for i, v := range s.versions {
		fmt.Fprintf(&b, "version %d %s\n", i+1, v.ID)
	}
	for _, d := range s.daemons {
		fmt.Fprintf(&b, "settings %s\n", d.Settings)
	}
	return b.String()
}

// Close stops the stand-ins.
func (s *Standins) Close() {
	for _, srv := range s.servers {
		_ = srv.HTTP.Close()
	}
}
