//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex // guards f
	f     *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// process is a process of the project.
type process struct {
	name, ip, settings string
	args               []string
	cmd                *exec.Cmd
	done               chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	rec      *record
	st       *store
	weights  *origin
	dir      string
	net      string // the first three bytes of all addresses
	entries  []*process
	agents   []*process
	models   []*modelRunner
	orders   []*orderRunner
	ids      atomic.Uint64
	cleanups []func()
}

var running *fleet

// cannotRun ends the program with the status of a case that could not run.
func cannotRun(why string) {
	fmt.Fprintln(os.Stderr, "cannot run:", why)
	if running != nil {
		running.end()
	}
	os.Exit(2)
}

func newFleet(rec *record) *fleet {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun(err.Error())
	}
	pid := os.Getpid()
	f := &fleet{rec: rec, st: newStore(), dir: dir, net: fmt.Sprintf("127.%d.%d", 100+pid>>8&0x3f, pid&0xff)}
	f.weights = &origin{rec: rec}
	f.weights.newest.Store(1)
	running = f
	serve(f.storeAddress(), f.st)
	serve(f.originAddress(), f.weights)
	return f
}

func (f *fleet) ip(n int) string        { return f.net + "." + strconv.Itoa(n) }
func (f *fleet) storeAddress() string   { return f.ip(1) + ":8007" }
func (f *fleet) originAddress() string  { return f.ip(2) + ":8006" }
func (f *fleet) entryIP(i int) string   { return f.ip(10 + i) }
func (f *fleet) agentIP(i int) string   { return f.ip(50 + i) }
func (f *fleet) orderAddr(i int) string { return f.ip(150+i) + ":8001" }

// configure writes a configuration with some of the routes.
func (f *fleet) configure(version int, routes ...string) {
	var doc map[string]any
	if err := json.Unmarshal([]byte(template("config.json", "@ORIGIN@", f.originAddress())), &doc); err != nil {
		cannotRun(err.Error())
	}
	doc["Version"] = version
	doc["Routes"] = slices.DeleteFunc(doc["Routes"].([]any), func(r any) bool {
		return !slices.Contains(routes, r.(map[string]any)["Name"].(string))
	})
	f.st.putJSON(names["configKey"], doc)
	f.rec.add("configuration %d with the routes %v", version, routes)
}

func (f *fleet) addOrderRunners(n int, work time.Duration) {
	for i := range n {
		o := &orderRunner{id: fmt.Sprintf("i-order%d", i), address: f.orderAddr(i), born: time.Now().UnixMilli(), work: work, st: f.st, rec: f.rec, slots: 6}
		f.orders = append(f.orders, o)
		serve(o.address, o)
		go o.heartbeats()
	}
}

// addModelRunners adds model runners. Their callers reach them through the proxies that proxied
// returns, if it is set.
func (f *fleet) addModelRunners(n int, proxied func(address, target string)) {
	for i := range n {
		address := f.agentIP(i) + ":8001"
		m := newModelRunner(fmt.Sprintf("i-model%d", i), address, f.st, f.rec)
		f.models = append(f.models, m)
		if proxied == nil {
			serve(address, m)
		} else {
			inner := f.agentIP(i) + ":8101"
			serve(inner, m)
			proxied(address, inner)
		}
		go m.heartbeats()
	}
}

func (f *fleet) startEntries(n int) {
	for i := range n {
		ip := f.entryIP(i)
		p := &process{name: fmt.Sprintf("entry-%d", i), ip: ip, args: []string{"serve", "entry"}}
		p.settings = f.writeSettings(p.name, template("settings.toml", f.common(p.name, ip, n,
			"@ROLE@", "entry", "@CLASS@", "edge", "@SERVES@", `"edge","control_plane","registry"`, "@APP@", "",
			"@LISTEN@", fmt.Sprintf("Front = \"%s:8005\"\nReadiness = \"%s:8002\"\nControl = \"%s:8000\"\nDirectory = \"%s:8009\"\n", ip, ip, ip, ip),
			"@LIMITS@", "CpuShare = 0.4\nCores = 1\nMemoryMb = 284\nMaxFds = 4100\nLinkMbps = 1000.0")...))
		f.entries = append(f.entries, p)
		f.start(p)
	}
}

func (f *fleet) startAgents() {
	for i, m := range f.models {
		ip := f.agentIP(i)
		p := &process{name: fmt.Sprintf("agent-%d", i), ip: ip, args: []string{"serve", "agent"}}
		p.settings = f.writeSettings(p.name, template("settings.toml", f.common(p.name, ip, len(f.entries),
			"@ROLE@", "agent", "@CLASS@", "side", "@SERVES@", `"side"`, "@APP@", fmt.Sprintf("app = %q\nService = \"pool\"", m.address),
			"@LISTEN@", "", "@LIMITS@", "CpuShare = 0.48\nCores = 1\nMemoryMb = 152\nMaxFds = 2048\nLinkMbps = 7.6")...))
		f.agents = append(f.agents, p)
		f.start(p)
	}
}

func (f *fleet) common(name, ip string, entries int, more ...string) []string {
	var seeds []string
	for i := range min(3, entries) {
		seeds = append(seeds, fmt.Sprintf("%q", f.entryIP(i)+":8000"))
	}
	return append([]string{"@NODE@", name, "@IP@", ip, "@SEEDS@", strings.Join(seeds, ","), "@STORE@", f.storeAddress()}, more...)
}

func (f *fleet) writeSettings(name, text string) string {
	path := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		cannotRun(err.Error())
	}
	return path
}

// start starts a process as the deploy file does.
func (f *fleet) start(p *process) {
	log, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun(err.Error())
	}
	p.cmd = exec.Command("target/amaranthturn", p.args...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["env"] + "=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		cannotRun(err.Error())
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(p.cmd, p.done)
	f.rec.add("started %s", p.name)
}

// kill ends a process at once.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// awaitReady waits until all entries are ready.
func (f *fleet) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(20 * time.Second)
	for _, p := range f.entries {
		for {
			resp, err := client.Get("http://" + p.ip + ":8002" + names["ready"])
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				cannotRun(p.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.rec.add("all entries are ready")
}

// end ends all processes.
func (f *fleet) end() {
	for _, p := range append(append([]*process(nil), f.entries...), f.agents...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(f.dir))
	}
	_ = os.RemoveAll(f.dir)
}

// nextID returns the id of a client attempt.
func (f *fleet) nextID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+f.ids.Add(1)) }

// silencer is a proxy whose open connections can fall silent for good while new ones work.
type silencer struct {
	mu    sync.Mutex // guards conns
	conns map[*silentConn]struct{}
}

type silentConn struct{ silent atomic.Bool }

func newSilencer() *silencer { return &silencer{conns: map[*silentConn]struct{}{}} }

// proxy forwards connections at an address to a target.
func (s *silencer) proxy(address, target string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun(err.Error())
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.forward(c, target)
		}
	}()
}

func (s *silencer) forward(c net.Conn, target string) {
	t, err := net.Dial("tcp", target)
	if err != nil {
		_ = c.Close()
		return
	}
	sc := &silentConn{}
	s.mu.Lock()
	s.conns[sc] = struct{}{}
	s.mu.Unlock()
	var wg sync.WaitGroup
	pass := func(to, from net.Conn) {
		defer wg.Done()
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			if sc.silent.Load() {
				return // neither passes bytes on nor closes
			}
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	wg.Add(2)
	go pass(t, c)
	go pass(c, t)
	wg.Wait()
	s.mu.Lock()
	delete(s.conns, sc)
	s.mu.Unlock()
}

// silence lets all open connections fall silent and returns their number.
func (s *silencer) silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if !c.silent.Swap(true) {
			n++
		}
	}
	return n
}
