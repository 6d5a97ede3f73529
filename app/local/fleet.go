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
	"amaranthturn/app/entry"
	"amaranthturn/app/node"
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

// Pools and names of the local fleet.
const (
	poolRunners = "runners"
	poolOrders  = "orders"
	poolPortal  = "portal"
	modelName   = "assistant"
	stopGrace   = 20 * time.Second
)

var regionNames = []string{"addis", "hawassa", "mekelle", "gondar", "harar", "jimma", "adama", "bahirdar"}

// daemon is one running entry or agent.
type daemon struct {
	in     fleet.Instance
	app    *fx.App
	link   *links.Machine
	entry  *entry.Entry
	agent  *agent.Agent
	engine *engine.Engine
	local  *node.Server // the engine or service beside an agent
	gone   bool
}

func (d *daemon) revision() fleet.Revision {
	if d.entry != nil {
		return d.entry.Revision()
	}
	return d.agent.Revision()
}

// world is the stand-ins and the daemons of one run.
type world struct {
	opt       Options
	rec       *record.Record
	net       *links.Net
	platform  *platform.Platform
	origin    *origin.Origin
	orders    *service.Service
	tls       *tls.Config
	platURL   string
	originURL string
	servers   []*node.Server
	logTo     io.Writer

	mu      sync.Mutex // guards daemons
	daemons []*daemon
}

func newWorld(opt Options) (*world, error) {
	w := &world{opt: opt, rec: record.New(), logTo: io.Discard}
	switch {
	case opt.Verbose:
		w.logTo = os.Stderr
	case opt.Log != nil:
		w.logTo = opt.Log
	}
	rates := links.Rates{Machine: opt.machineRate(), Region: opt.regionRate(), Origin: opt.originRate()}
	if opt.Flat {
		rates = links.Rates{}
	}
	w.net = links.NewNet(rates)
	w.platform = platform.New()
	w.origin = origin.New(w.rec)
	w.orders = service.New(w.rec, 30*time.Millisecond)
	if !opt.NoTLS {
		cfg, err := authority.NewTLS()
		if err != nil {
			return nil, err
		}
		w.tls = cfg
	}
	plat, _, err := w.serve(w.platform.Handler(), nil)
	if err != nil {
		return nil, err
	}
	org, _, err := w.serve(w.origin.Handler(), w.net.Origin(regionNames[0]))
	if err != nil {
		return nil, err
	}
	w.platURL, w.originURL = "http://"+plat, "http://"+org
	return w, nil
}

// serve serves a stand-in on a free loopback port.
func (w *world) serve(h http.Handler, link *links.Machine) (string, *node.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	addr := l.Addr().String()
	if link != nil {
		l = link.Listen(l)
	}
	s := node.NewHTTP(l, h)
	s.Start()
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	return addr, s, nil
}

// build starts every daemon of the fleet and publishes the instance list.
func (w *world) build(ctx context.Context) error {
	var made []*daemon
	for i := range w.opt.Entries {
		d, err := w.newEntry(fmt.Sprintf("entry-%d", i+1), regionNames[i%w.opt.Regions])
		if err != nil {
			return err
		}
		made = append(made, d)
	}
	for i := range w.opt.Instances {
		d, err := w.newRunner(fmt.Sprintf("runner-%d", i+1), regionNames[i%w.opt.Regions])
		if err != nil {
			return err
		}
		made = append(made, d)
	}
	for i := range 3 {
		d, err := w.newServiceAgent(fmt.Sprintf("orders-%d", i+1), poolOrders, regionNames[i%w.opt.Regions])
		if err != nil {
			return err
		}
		made = append(made, d)
	}
	d, err := w.newServiceAgent("portal-1", poolPortal, regionNames[0])
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.daemons = append(made, d)
	w.mu.Unlock()
	w.publishList()
	return w.startAll(ctx)
}

// starting starts one daemon.
type starting struct {
	d   *daemon
	ctx context.Context
	out chan error
}

func (s *starting) run() { s.out <- s.d.app.Start(s.ctx) }

func (w *world) startAll(ctx context.Context) error {
	all := w.all()
	out := make(chan error, len(all))
	for _, d := range all {
		s := &starting{d: d, ctx: ctx, out: out}
		go s.run()
	}
	var first error
	for range all {
		if err := <-out; err != nil && first == nil {
			first = node.Plain(err)
		}
	}
	return first
}

func (w *world) all() []*daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*daemon(nil), w.daemons...)
}

// live returns the daemons that have not been stopped or killed.
func (w *world) live() []*daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*daemon
	for _, d := range w.daemons {
		if !d.gone {
			out = append(out, d)
		}
	}
	return out
}

func (w *world) publishList() {
	var list []fleet.Instance
	for _, d := range w.live() {
		list = append(list, d.in)
	}
	w.platform.SetInstances(list)
}

// reserved holds the listeners of a daemon, opened before its settings are made
// so that its addresses are known.
type reserved struct {
	listeners map[string]net.Listener
}

func (r *reserved) open() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r.listeners[l.Addr().String()] = l
	return l.Addr().String(), nil
}

func (w *world) common(name, region string) settings.Common {
	return settings.Common{
		Instance: name, Region: region, Zone: region + "-a",
		Platform:         settings.Platform{URL: w.platURL},
		Keys:             settings.Keys{Active: "k1", Secrets: map[string]string{"k1": "local-secret-of-one-run"}},
		StopGraceSeconds: int(stopGrace / time.Second),
	}
}

func (w *world) overrides(link *links.Machine, r *reserved, seed uint64) node.Overrides {
	return node.Overrides{
		LogTo: w.logTo, Dial: link.DialTCP, HTTP: link.Dial, TLS: w.tls, Seed: seed,
		Listen: func(addr string) (net.Listener, error) {
			l, ok := r.listeners[addr]
			if !ok {
				return nil, fmt.Errorf("address %s was not reserved", addr)
			}
			return link.Listen(l), nil
		},
	}.WithDefaults()
}

func (w *world) newEntry(name, region string) (*daemon, error) {
	r := &reserved{listeners: map[string]net.Listener{}}
	s := &settings.Entry{Common: w.common(name, region), Concurrency: settings.DefaultConcurrency}
	for _, at := range []*string{&s.Listen.Callers, &s.Listen.Peers, &s.Listen.Operators} {
		addr, err := r.open()
		if err != nil {
			return nil, err
		}
		*at = addr
	}
	link := w.net.Fast(name, region)
	d := &daemon{link: link, in: s.Identity(fleet.RoleEntry, "", s.Listen.Peers)}
	d.in.CallerAddress = s.Listen.Callers
	d.app = fx.New(fx.NopLogger, fx.StopTimeout(stopGrace), fx.Supply(s, w.overrides(link, r, w.seedOf(name))), entry.Module, fx.Populate(&d.entry))
	return d, d.app.Err()
}

func (w *world) seedOf(name string) uint64 {
	h := w.opt.Seed
	for _, c := range name {
		h = h*1099511628211 + uint64(c)
	}
	return h | 1
}

func (w *world) newRunner(name, region string) (*daemon, error) {
	e := engine.New(engine.Settings{
		Instance: fleet.InstanceID(name), Capacity: 16, TwoSlots: !w.opt.OneSlot, RefusesOld: w.seedOf(name)%2 == 0,
		FirstToken: 40 * time.Millisecond, TokenGap: 8 * time.Millisecond, LoadTime: 100 * time.Millisecond,
		Restart: time.Second, EventLag: 500 * time.Millisecond,
	}, w.rec, w.origin.Contents)
	addr, srv, err := w.serve(e.Handler(), nil)
	if err != nil {
		return nil, err
	}
	d, err := w.newAgent(name, region, poolRunners, func(s *settings.Agent) {
		s.Engine.URL = "http://" + addr
		s.Engine.OrderSeconds = 1
		s.Engine.RefusesOldOrders = w.seedOf(name)%2 == 0
		s.Origin.URL = w.originURL
		s.Weights.MemoryBytes = int64(3 * w.opt.ModelBytes)
		s.Weights.LinkBytes = int64(w.opt.machineRate())
	})
	if err != nil {
		return nil, err
	}
	d.engine, d.local = e, srv
	return d, nil
}

func (w *world) newServiceAgent(name, pool, region string) (*daemon, error) {
	addr, srv, err := w.serve(w.orders.Handler(), nil)
	if err != nil {
		return nil, err
	}
	d, err := w.newAgent(name, region, pool, func(s *settings.Agent) { s.Service.URL = "http://" + addr })
	if err != nil {
		return nil, err
	}
	d.local = srv
	return d, nil
}

func (w *world) newAgent(name, region, pool string, fill func(*settings.Agent)) (*daemon, error) {
	r := &reserved{listeners: map[string]net.Listener{}}
	s := &settings.Agent{Common: w.common(name, region), Pool: pool}
	for _, at := range []*string{&s.Listen.Peers, &s.Listen.Operators} {
		addr, err := r.open()
		if err != nil {
			return nil, err
		}
		*at = addr
	}
	fill(s)
	s.FillDefaults()
	link := w.net.Machine(name, region)
	d := &daemon{link: link, in: s.Identity(fleet.RoleTarget, fleet.Pool(pool), s.Listen.Peers)}
	d.app = fx.New(fx.NopLogger, fx.StopTimeout(stopGrace), fx.Supply(s, w.overrides(link, r, w.seedOf(name))), agent.Module, fx.Populate(&d.agent))
	return d, d.app.Err()
}

// halt stops one daemon.
type halt struct {
	d    *daemon
	ctx  context.Context
	done *sync.WaitGroup
}

func (h *halt) run() {
	defer h.done.Done()
	_ = h.d.app.Stop(h.ctx)
}

// stop ends the daemons and then the stand-ins. Agents outlive entries, so that
// what entries still wait for can finish.
func (w *world) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	for _, entries := range []bool{true, false} {
		var wg sync.WaitGroup
		for _, d := range w.all() {
			if (d.entry != nil) == entries {
				wg.Add(1)
				h := &halt{d: d, ctx: ctx, done: &wg}
				go h.run()
			}
		}
		wg.Wait()
	}
	for _, s := range w.servers {
		_ = s.HTTP.Close()
	}
}
