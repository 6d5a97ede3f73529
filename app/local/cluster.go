package local

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"go.uber.org/fx"

	"amaranthturn/app/agent"
	"amaranthturn/app/daemon"
	"amaranthturn/app/entry"
	"amaranthturn/app/settings"
	"amaranthturn/core/fleet"
	"amaranthturn/standin/authority"
	"amaranthturn/standin/engine"
	"amaranthturn/standin/links"
	"amaranthturn/standin/origin"
	"amaranthturn/standin/platform"
	"amaranthturn/standin/record"
	"amaranthturn/standin/service"
)

// Names and settings of the local fleet.
const (
	poolRunners = "runners"
	poolOrders  = "orders"
	poolPortal  = "portal"
	modelName   = "assistant"
	stopGrace   = 20 * time.Second // time a daemon gets to stop
)

var regionNames = []string{"addis", "hawassa", "mekelle", "gondar", "harar", "jimma", "adama", "bahirdar"}

// runningDaemon is one entry or agent of the fleet.
type runningDaemon struct {
	instance fleet.Instance
	app      *fx.App
	link     *links.Link
	entry    *entry.Entry
	agent    *agent.Agent
	engine   *engine.Engine
	backend  *daemon.Server // engine or service behind an agent
	stopped  bool           // stopped or killed
}

func (d *runningDaemon) position() fleet.Position {
	if d.entry != nil {
		return d.entry.Position()
	}
	return d.agent.Position()
}

// configured returns the version of a model that the daemon's configuration assigns.
func (d *runningDaemon) configured(m fleet.Model) fleet.Version {
	if d.entry != nil {
		return d.entry.Configured(m)
	}
	return d.agent.Configured(m)
}

// cluster holds the stand-ins and the daemons of one run.
type cluster struct {
	opt         Options
	rec         *record.Record
	net         *links.Net
	platform    *platform.Platform
	origin      *origin.Origin
	orders      *service.Service
	tls         *tls.Config
	platformURL string
	originURL   string
	servers     []*daemon.Server
	logOutput   io.Writer

	mu      sync.Mutex // guards daemons
	daemons []*runningDaemon
}

func newCluster(opt Options) (*cluster, error) {
	c := &cluster{opt: opt, rec: record.New(), logOutput: io.Discard}
	switch {
	case opt.Verbose:
		c.logOutput = os.Stderr
	case opt.Log != nil:
		c.logOutput = opt.Log
	}
	rates := links.Rates{Instance: opt.machineRate(), Region: opt.regionRate(), Origin: opt.originRate()}
	if opt.Flat {
		rates = links.Rates{}
	}
	c.net = links.NewNet(rates)
	c.platform = platform.New()
	c.origin = origin.New(c.rec)
	c.orders = service.New(c.rec, 30*time.Millisecond)
	if !opt.NoTLS {
		cfg, err := authority.NewTLS()
		if err != nil {
			return nil, err
		}
		c.tls = cfg
	}
	platformAddr, _, err := c.serve(c.platform.Handler(), nil)
	if err != nil {
		return nil, err
	}
	originAddr, _, err := c.serve(c.origin.Handler(), c.net.OriginLink(regionNames[0]))
	if err != nil {
		return nil, err
	}
	c.platformURL, c.originURL = "http://"+platformAddr, "http://"+originAddr
	return c, nil
}

// serve serves a stand-in on a free loopback port, through link unless it is nil.
func (c *cluster) serve(h http.Handler, link *links.Link) (string, *daemon.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	addr := l.Addr().String()
	if link != nil {
		l = link.Listen(l)
	}
	s := daemon.NewHTTPServer(l, h)
	s.Start()
	c.mu.Lock()
	c.servers = append(c.servers, s)
	c.mu.Unlock()
	return addr, s, nil
}

// start creates the daemons of the fleet, publishes the instance list and starts the daemons.
func (c *cluster) start(ctx context.Context) error {
	var created []*runningDaemon
	for i := range c.opt.Entries {
		d, err := c.newEntry(fmt.Sprintf("entry-%d", i+1), regionNames[i%c.opt.Regions])
		if err != nil {
			return err
		}
		created = append(created, d)
	}
	for i := range c.opt.Instances {
		d, err := c.newRunner(fmt.Sprintf("runner-%d", i+1), regionNames[i%c.opt.Regions])
		if err != nil {
			return err
		}
		created = append(created, d)
	}
	for i := range 3 {
		d, err := c.newServiceAgent(fmt.Sprintf("orders-%d", i+1), poolOrders, regionNames[i%c.opt.Regions])
		if err != nil {
			return err
		}
		created = append(created, d)
	}
	d, err := c.newServiceAgent("portal-1", poolPortal, regionNames[0])
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.daemons = append(created, d)
	c.mu.Unlock()
	c.publishInstances()
	return c.startDaemons(ctx)
}

// daemonStart starts one daemon.
type daemonStart struct {
	d      *runningDaemon
	ctx    context.Context
	result chan error
}

func (s *daemonStart) run() { s.result <- s.d.app.Start(s.ctx) }

// startDaemons starts all daemons in parallel and returns the first error.
func (c *cluster) startDaemons(ctx context.Context) error {
	all := c.allDaemons()
	results := make(chan error, len(all))
	for _, d := range all {
		s := &daemonStart{d: d, ctx: ctx, result: results}
		go s.run()
	}
	var first error
	for range all {
		if err := <-results; err != nil && first == nil {
			first = daemon.RootCause(err)
		}
	}
	return first
}

func (c *cluster) allDaemons() []*runningDaemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*runningDaemon(nil), c.daemons...)
}

// liveDaemons returns the daemons that have not been stopped or killed.
func (c *cluster) liveDaemons() []*runningDaemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []*runningDaemon
	for _, d := range c.daemons {
		if !d.stopped {
			live = append(live, d)
		}
	}
	return live
}

// publishInstances sets the platform's instance list to the live daemons.
func (c *cluster) publishInstances() {
	var list []fleet.Instance
	for _, d := range c.liveDaemons() {
		list = append(list, d.instance)
	}
	c.platform.SetInstances(list)
}

// reservedListeners holds the listeners of a daemon by address. They are opened before the
// settings are built, because the settings contain the addresses.
type reservedListeners struct {
	listeners map[string]net.Listener
}

// reserve opens a listener on a free loopback port and returns its address.
func (r *reservedListeners) reserve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r.listeners[l.Addr().String()] = l
	return l.Addr().String(), nil
}

func (c *cluster) commonSettings(name, region string) settings.Common {
	return settings.Common{
		Instance: name, Region: region, Zone: region + "-a",
		Platform:         settings.Platform{URL: c.platformURL},
		Keys:             settings.Keys{Active: "k1", Secrets: map[string]string{"k1": "local-secret-of-one-run"}},
		StopGraceSeconds: int(stopGrace / time.Second),
	}
}

func (c *cluster) overrides(link *links.Link, r *reservedListeners, seed uint64) daemon.Overrides {
	return daemon.Overrides{
		LogOutput: c.logOutput, Dial: link.DialTCP, DialHTTP: link.Dial, TLS: c.tls, Seed: seed,
		Listen: func(addr string) (net.Listener, error) {
			l, ok := r.listeners[addr]
			if !ok {
				return nil, fmt.Errorf("address %s was not reserved", addr)
			}
			return link.Listen(l), nil
		},
	}.WithDefaults()
}

func (c *cluster) newEntry(name, region string) (*runningDaemon, error) {
	r := &reservedListeners{listeners: map[string]net.Listener{}}
	s := &settings.Entry{Common: c.commonSettings(name, region), Concurrency: settings.DefaultConcurrency}
	for _, field := range []*string{&s.Listen.Callers, &s.Listen.Peers, &s.Listen.Operators} {
		addr, err := r.reserve()
		if err != nil {
			return nil, err
		}
		*field = addr
	}
	link := c.net.UnlimitedLink(name, region)
	d := &runningDaemon{link: link, instance: s.Identity(fleet.RoleEntry, "", s.Listen.Peers)}
	d.instance.CallerAddress = s.Listen.Callers
	d.app = fx.New(fx.NopLogger, fx.StopTimeout(stopGrace), fx.Supply(s, c.overrides(link, r, c.seedOf(name))), entry.Module, fx.Populate(&d.entry))
	return d, d.app.Err()
}

// seedOf derives the seed of a daemon from the seed of the run and the daemon's name.
func (c *cluster) seedOf(name string) uint64 {
	hash := c.opt.Seed
	for _, r := range name {
		hash = hash*1099511628211 + uint64(r)
	}
	return hash | 1
}

// newRunner creates a model runner, which is an engine stand-in with its agent.
func (c *cluster) newRunner(name, region string) (*runningDaemon, error) {
	e := engine.New(engine.Settings{
		Instance: fleet.InstanceID(name), Capacity: 16, TwoSlots: !c.opt.OneSlot, RefusesStaleCommands: c.seedOf(name)%2 == 0,
		TimeToFirstToken: 40 * time.Millisecond, TokenGap: 8 * time.Millisecond, LoadTime: 100 * time.Millisecond,
		RestartTime: time.Second, EventDelay: 500 * time.Millisecond,
	}, c.rec, c.origin.ContentHashes)
	addr, srv, err := c.serve(e.Handler(), nil)
	if err != nil {
		return nil, err
	}
	d, err := c.newAgent(name, region, poolRunners, func(s *settings.Agent) {
		s.Engine.URL = "http://" + addr
		s.Engine.OrderSeconds = 1
		s.Engine.RefusesStaleCommands = c.seedOf(name)%2 == 0
		s.Origin.URL = c.originURL
		s.Weights.MemoryBytes = int64(3 * c.opt.ModelBytes)
		s.Weights.LinkBytesPerSecond = int64(c.opt.machineRate())
	})
	if err != nil {
		return nil, err
	}
	d.engine, d.backend = e, srv
	return d, nil
}

// newServiceAgent creates an agent for the order service stand-in.
func (c *cluster) newServiceAgent(name, pool, region string) (*runningDaemon, error) {
	addr, srv, err := c.serve(c.orders.Handler(), nil)
	if err != nil {
		return nil, err
	}
	d, err := c.newAgent(name, region, pool, func(s *settings.Agent) { s.Service.URL = "http://" + addr })
	if err != nil {
		return nil, err
	}
	d.backend = srv
	return d, nil
}

// newAgent creates an agent with settings that configure completes.
func (c *cluster) newAgent(name, region, pool string, configure func(*settings.Agent)) (*runningDaemon, error) {
	r := &reservedListeners{listeners: map[string]net.Listener{}}
	s := &settings.Agent{Common: c.commonSettings(name, region), Pool: pool}
	for _, field := range []*string{&s.Listen.Peers, &s.Listen.Operators} {
		addr, err := r.reserve()
		if err != nil {
			return nil, err
		}
		*field = addr
	}
	configure(s)
	s.FillDefaults()
	link := c.net.InstanceLink(name, region)
	d := &runningDaemon{link: link, instance: s.Identity(fleet.RoleTarget, fleet.Pool(pool), s.Listen.Peers)}
	d.app = fx.New(fx.NopLogger, fx.StopTimeout(stopGrace), fx.Supply(s, c.overrides(link, r, c.seedOf(name))), agent.Module, fx.Populate(&d.agent))
	return d, d.app.Err()
}

// daemonStop stops one daemon.
type daemonStop struct {
	d    *runningDaemon
	ctx  context.Context
	done *sync.WaitGroup
}

func (s *daemonStop) run() {
	defer s.done.Done()
	_ = s.d.app.Stop(s.ctx)
}

// stop stops the entries, then the agents, then the stand-ins. Agents stop after entries so
// that requests in progress at the entries can finish.
func (c *cluster) stop() {
	c.stopDaemons(true)
	c.stopDaemons(false)
	for _, s := range c.servers {
		_ = s.HTTP.Close()
	}
}

// stopDaemons stops the entries or the agents. Each has a grace period of its own: a daemon whose
// grace period has ended before its stop begins is not stopped at all.
func (c *cluster) stopDaemons(entries bool) {
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	var wg sync.WaitGroup
	for _, d := range c.allDaemons() {
		if (d.entry != nil) == entries {
			wg.Add(1)
			s := &daemonStop{d: d, ctx: ctx, done: &wg}
			go s.run()
		}
	}
	wg.Wait()
}
