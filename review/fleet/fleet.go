//go:build review

// Command fleet plays one review case: it starts entries and agents as processes, with stand-ins of the
// platform's store, of targets and of callers, and checks one rule on what these have seen.
//
// # Usage
//
//	target/review-fleet CASE RECORD TROUBLE
//
// The exit status is 0 if the rule held, 1 if it was broken and 2 if the case could not run. With
// 0 for TROUBLE the disruption is left out; the scripts pass on the variable of that name.
package main

import (
	"bytes"
	"context"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"text/template"
	"time"
)

//go:embed names.json *.tmpl
var data embed.FS

// names holds the names of the platform's protocol.
var names = readNames()

func readNames() map[string]string {
	out := map[string]string{}
	body, err := data.ReadFile("names.json")
	if err == nil {
		err = json.Unmarshal(body, &out)
	}
	if err != nil {
		panic(err)
	}
	return out
}

func render(name string, values any) []byte {
	var out bytes.Buffer
	t, err := template.ParseFS(data, name)
	if err == nil {
		err = t.Execute(&out, values)
	}
	if err != nil {
		panic(err)
	}
	return out.Bytes()
}

// Bounds of the deployment, as in settings.tmpl.
const (
	stablePeriod  = 3 * time.Second
	renewInterval = 1200 * time.Millisecond
)

// fleet is one play of a case.
type fleet struct {
	base    time.Time
	dir     string
	network string // the first three octets of all addresses
	store   *store
	procs   []*process
	entries []*process
	trouble bool
	failed  error
	// isDeadly reports that the part of prompts crashes targets now; wasSound that prompts with it come before.
	isDeadly atomic.Bool
	wasSound bool
	// withOrigin reports that weights can be fetched, from origin. entriesWanted is the number of entries if it is
	// above three.
	withOrigin    bool
	origin        string
	entriesWanted int
	seedsFrom     int // the first of the entries that are seeds
	agents        []*process

	mu     sync.Mutex // guards all fields below
	record *os.File
}

// logf writes a line of the record.
func (f *fleet) logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.base).Seconds(), fmt.Sprintf(format, args...))
}

func (f *fleet) ip(n int) string { return fmt.Sprintf("%s.%d", f.network, n) }

// process is a program of the project.
type process struct {
	name, ip string
	cmd      *exec.Cmd
	settings string
	role     string
	log      *os.File
}

// start starts the process with the command of the deploy file.
func (f *fleet) start(p *process) {
	p.cmd = exec.Command("target/amaranthturn", "serve", p.role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), names["env"] + "=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives this one
	if err := p.cmd.Start(); err != nil {
		f.failed = err
		return
	}
	f.logf("process %s started, id %d", p.name, p.cmd.Process.Pid)
}

// signal sends a signal to the process.
func (f *fleet) signal(p *process, s syscall.Signal) {
	f.logf("signal %d to process %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, p := range f.procs {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	}
}

// newFleet prepares a play. Addresses are taken from a part of the loopback network that is free.
func newFleet(recordPath string, trouble bool) (*fleet, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-fleet")
	if err != nil {
		return nil, err
	}
	f := &fleet{base: time.Now(), dir: dir, record: record, trouble: trouble}
	for range 100 {
		f.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", f.ip(1)+":8007")
		if err != nil {
			continue
		}
		_ = l.Close()
		return f, nil
	}
	return nil, errors.New("no free addresses")
}

// addEntries adds entries, in turn in each of the zones.
func (f *fleet) addEntries(n int, zones ...string) error {
	var seeds []string
	for i := f.seedsFrom; i < min(f.seedsFrom+3, n); i++ {
		seeds = append(seeds, f.ip(11+i)+":8000")
	}
	for i := range n {
		p, err := f.addProcess(fmt.Sprintf("entry-%d", i), "entry", f.ip(11+i), zones[i%len(zones)], seeds, nil)
		if err != nil {
			return err
		}
		f.entries = append(f.entries, p)
	}
	for _, p := range f.entries {
		f.start(p)
	}
	return f.failed
}

// addProcess prepares a process with its settings. An agent has the target on its machine.
func (f *fleet) addProcess(name, role, ip, zone string, seeds []string, t *target) (*process, error) {
	p := &process{name: name, ip: ip, role: role, settings: filepath.Join(f.dir, name+".toml")}
	values := map[string]any{
		"Node": name, "Role": role, "IP": ip, "Zone": "zone-" + zone, "Region": "region-" + zone, "Seeds": seeds, "Store": f.store.addr, "App": "", "Service": "",
	}
	if t != nil {
		values["App"], values["Service"] = t.addr, t.service
	}
	if err := os.WriteFile(p.settings, render("settings.tmpl", values), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p.log = log
	f.procs = append(f.procs, p)
	return p, nil
}

// addAgents adds an agent beside each target.
func (f *fleet) addAgents(targets []*target) error {
	var seeds []string
	for _, p := range f.entries[:min(3, len(f.entries))] {
		seeds = append(seeds, p.ip+":8000")
	}
	for i, t := range targets {
		ip, _, _ := net.SplitHostPort(t.addr)
		p, err := f.addProcess(fmt.Sprintf("agent-%d", i), "agent", ip, strings.TrimPrefix(t.zone, "zone-"), seeds, t)
		if err != nil {
			return err
		}
		f.agents = append(f.agents, p)
		f.start(p)
	}
	return f.failed
}

// awaitReady waits until all entries are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	until := time.Now().Add(limit)
	for _, p := range f.entries {
		for {
			resp, err := client.Get("http://" + p.ip + ":8002" + names["ready"])
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// store is the stand-in of the platform's store.
type store struct {
	f    *fleet
	addr string

	mu       sync.Mutex // guards all fields below
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
}

type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  uint64
	Created   uint64
	Lease     int
	isDeleted bool
}

func (f *fleet) startStore() error {
	s := &store{f: f, addr: f.ip(1) + ":8007", items: map[string]item{}, revision: 100, changed: make(chan struct{})}
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(names["range"], s.serveRange)
	mux.HandleFunc(names["watch"], s.serveWatch)
	srv := &http.Server{Handler: mux}
	go func() { _ = srv.Serve(l) }()
	f.store = s
	return nil
}

// put writes an item, or deletes it if value is nil, and returns its revision.
func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, isDeleted: value == nil}
	if old, ok := s.items[key]; ok {
		e.Created = old.Created
	}
	s.items[key] = e
	if e.isDeleted {
		delete(s.items, key)
	}
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	s.mu.Lock()
	out := map[string]any{"HasMore": false, "At": s.revision}
	items := []item{}
	for k, e := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, e)
		}
	}
	s.mu.Unlock()
	out["Items"] = items
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	var after uint64
	var wait int
	_, _ = fmt.Sscan(r.URL.Query().Get("After"), &after)
	_, _ = fmt.Sscan(r.URL.Query().Get("WaitMs"), &wait)
	prefix := r.URL.Query().Get("Prefix")
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		events, changed, at := []any{}, s.changed, s.revision
		for _, e := range s.events {
			if e.Revision <= after || !strings.HasPrefix(e.Key, prefix) {
				continue
			}
			if e.isDeleted {
				events = append(events, map[string]any{"Key": e.Key, "Revision": e.Revision, names["tombstone"]: true})
				continue
			}
			events = append(events, e)
		}
		s.mu.Unlock()
		ended := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline.C:
				ended = true
			}
		}
		if len(events) > 0 || ended {
			time.Sleep(4 * time.Millisecond)
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "At": at})
			return
		}
	}
}

// putConfig writes a version of the configuration and returns when the store acknowledged it.
func (f *fleet) putConfig(values map[string]any) time.Time {
	f.store.put(names["config"], render("config.tmpl", values))
	f.logf("configuration %v acknowledged", values)
	return time.Now()
}

// target is the stand-in of a target.
type target struct {
	f                       *fleet
	id, service, zone, addr string
	slots                   int
	model                   bool
	work                    time.Duration
	limit                   string                                            // named in all answers, if set
	answer                  func(t *target, c net.Conn, r *http.Request) bool // replaces the usual answer

	mu       sync.Mutex // guards all fields below
	born     time.Time
	sequence int
	state    string
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	down     bool
	weights  uint64 // version in service
	busy     bool   // an order is in progress
	orders   int
	staged   map[int][]byte
	arrivals []arrival
	crashes  []time.Time
}

// arrival is a request that reached a target.
type arrival struct {
	at      time.Time
	attempt string
	ran     bool
}

func (f *fleet) newTarget(n int, id, service, zone string) *target {
	return &target{f: f, id: id, service: service, zone: zone, addr: f.ip(n) + ":8080", slots: 6, work: 30 * time.Millisecond, state: "ready", conns: map[net.Conn]bool{}, weights: 1, staged: map[int][]byte{}}
}

// up starts the target, or starts it again under its id.
func (t *target) up() error {
	l, err := net.Listen("tcp", t.addr)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.listener, t.born, t.sequence, t.down, t.running = l, time.Now(), 0, false, 0
	t.mu.Unlock()
	t.renew()
	t.f.logf("target %s is up at %s", t.id, t.addr)
	go t.accept(l)
	return nil
}

// renew writes the target's record.
func (t *target) renew() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return
	}
	t.sequence++
	t.f.store.put(names["targets"]+t.id, render("record.tmpl", map[string]any{
		"Service": t.service, "Address": t.addr, "Zone": t.zone, "Slots": t.slots, "State": t.state, "Sequence": t.sequence,
		"Born": t.born.UnixMilli(), "Model": t.model, "Weights": t.weights,
	}))
}

func (t *target) renewLoop() {
	time.Sleep(time.Duration(rand.Float64() * float64(renewInterval))) // targets don't start together
	for {
		time.Sleep(renewInterval)
		t.renew()
	}
}

// crash ends the target: all connections are reset. It starts again after a time.
func (t *target) crash(downFor time.Duration) {
	t.mu.Lock()
	if t.down {
		t.mu.Unlock()
		return
	}
	t.down = true
	t.crashes = append(t.crashes, time.Now())
	_ = t.listener.Close()
	for c := range t.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	t.conns = map[net.Conn]bool{}
	t.mu.Unlock()
	t.f.logf("target %s crashes", t.id)
	go func() {
		time.Sleep(downFor)
		if err := t.up(); err != nil {
			t.f.logf("target %s cannot start again: %v", t.id, err)
		}
	}()
}

func (t *target) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[c] = true
		t.mu.Unlock()
		go t.serve(c)
	}
}

func (t *target) serve(c net.Conn) {
	defer func() {
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
		_ = c.Close()
	}()
	rd := newReader(c)
	for {
		r, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if strings.HasPrefix(r.URL.Path, names["report"]) || strings.HasPrefix(r.URL.Path, names["order"]) ||
			strings.HasPrefix(r.URL.Path, names["stage_put"]) || strings.HasPrefix(r.URL.Path, names["stage_get"]) {
			if !t.control(c, r, body) {
				return
			}
			continue
		}
		if !t.handle(c, r) {
			return
		}
	}
}

// handle answers a request and reports whether the connection is kept.
func (t *target) handle(c net.Conn, r *http.Request) bool {
	attempt := r.Header.Get(names["attempt"])
	if expected := r.Header.Get(names["expect"]); expected != t.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names["runner"], t.id)
		return err == nil
	}
	t.mu.Lock()
	a := arrival{at: time.Now(), attempt: attempt, ran: t.running < t.slots && !t.busy}
	if a.ran {
		t.running++
	}
	t.arrivals = append(t.arrivals, a)
	limit := ""
	if t.limit != "" {
		limit = names["limit"] + ": " + t.limit + "\r\n"
	}
	t.mu.Unlock()
	if !a.ran {
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", names["not_run"], names["attempt"], attempt, limit)
		return err == nil
	}
	defer func() {
		t.mu.Lock()
		t.running--
		t.mu.Unlock()
	}()
	if t.answer != nil {
		return t.answer(t, c, r)
	}
	time.Sleep(t.work)
	body := "done by " + t.id + "\n"
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		names["attempt"], attempt, names["seal"], attempt, names["runner"], t.id, limit, len(body), body)
	return err == nil
}

// result is the answer to a caller's request.
type result struct {
	entry   int
	attempt string
	sentAt  time.Time
	endedAt time.Time
	status  int
	header  http.Header
	body    string
	err     error
}

// caller sends requests to the entries.
type caller struct {
	f       *fleet
	clients []*http.Client
	mu      sync.Mutex // guards results and next
	results []result
	next    int
}

func (f *fleet) newCaller() *caller {
	c := &caller{f: f}
	for range f.entries {
		c.clients = append(c.clients, &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second}})
	}
	return c
}

// send sends one request to an entry and waits for the answer.
func (c *caller) send(entry int, method, host, path, body string, timeout time.Duration, header map[string]string) result {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("e%d-%06d", entry, c.next)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	res := result{entry: entry, attempt: id, sentAt: time.Now()}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.f.entries[entry].ip+":8005"+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set(names["attempt"], id)
	req.Header.Set(names["deadline"], fmt.Sprint(timeout.Milliseconds()))
	req.Header.Set(names["key"], "key-one")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.clients[entry].Do(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		res.status, res.header, res.body = resp.StatusCode, resp.Header, string(b)
	}
	res.err, res.endedAt = err, time.Now()
	c.mu.Lock()
	c.results = append(c.results, res)
	c.mu.Unlock()
	return res
}

// flow sends requests to one entry at a steady rate until ctx ends.
func (c *caller) flow(ctx context.Context, entry int, interval time.Duration, send func(entry int)) {
	time.Sleep(time.Duration(rand.Float64() * float64(interval)))
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			go send(entry)
		}
	}
}

// writeResults writes what was sent and answered, and what reached the targets.
func (f *fleet) writeResults(c *caller, targets []*target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.results {
		f.mu.Lock()
		_, _ = fmt.Fprintf(f.record, "request %s at %.3f to entry-%d: status %d from %q at %.3f, error %v\n", r.attempt, r.sentAt.Sub(f.base).Seconds(), r.entry,
			r.status, r.header.Get(names["runner"]), r.endedAt.Sub(f.base).Seconds(), r.err)
		f.mu.Unlock()
	}
	for _, t := range targets {
		t.mu.Lock()
		for _, a := range t.arrivals {
			f.mu.Lock()
			_, _ = fmt.Fprintf(f.record, "arrival %s at %.3f at %s, run %t\n", a.attempt, a.at.Sub(f.base).Seconds(), t.id, a.ran)
			f.mu.Unlock()
		}
		t.mu.Unlock()
	}
}

// maxTime is how long a play may take.
const maxTime = 115 * time.Second

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the plays by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet) (bool, error){
	"turned":  playTurned,
	"limit":   playLimit,
	"session": playSession,
	"reader":  playReader,
	"seeds":   playSeeds,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-fleet CASE RECORD TROUBLE")
		os.Exit(exitNotRun)
	}
	f, err := newFleet(os.Args[2], os.Args[3] != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	runtime.LockOSThread() // processes end with the thread that started them
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxTime):
		}
		fmt.Println("the case was ended before its time")
		os.Exit(exitNotRun) // the processes end, too
	}()
	broken, err := cases[os.Args[1]](f)
	f.stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
	switch {
	case err != nil:
		f.logf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		f.logf("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	f.logf("the rule held")
	fmt.Println("the rule held")
}
