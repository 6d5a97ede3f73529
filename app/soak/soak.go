// Package soak runs the real programs as separate processes beside the project's
// stand-ins, causes faults from outside of them, drawn from a seed, and tells from what
// callers were told and stand-ins ran whether a promise was broken.
//
// # Usage
//
//	rep, err := soak.Run(ctx, soak.Options{Binary: path, Dir: dir, Seed: 7, Duration: 20 * time.Second}, os.Stdout)
//	if len(rep.Broken) > 0 { … }
//
// # Faults
//
// Processes are paused, stopped, killed and started again; connections to the platform,
// the origin and between daemons go through proxies that delay, reset, refuse, silence
// or cut one way; another version is published. Faults come in series and overlap.
// Callers keep their connections until a process is gone. When the time is over the faults
// are healed, and the fleet has to converge.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"amaranthturn/app/local"
	"amaranthturn/app/node"
	"amaranthturn/core/fleet"
	"amaranthturn/standin/load"
	"amaranthturn/standin/record"
)

// Options describe one run.
type Options struct {
	Binary    string // the program
	Dir       string // for settings and logs
	Seed      uint64
	Duration  time.Duration // of the faults
	Instances int
	Entries   int
	BasePort  int
}

// Waits of a run.
const (
	startLimit    = 40 * time.Second
	convergeLimit = 40 * time.Second
	stopGrace     = 12 * time.Second // after which a stopped process counts as stuck
	// gapMax is the longest time between two faults, faultMax the longest fault.
	gapMax   = 1200 * time.Millisecond
	faultMax = 4 * time.Second
)

// Report is the result of one run.
type Report struct {
	record.Verdict
	Broken []string
	Faults []string // in the order in which they were caused
}

// soak is one run under way.
type soak struct {
	opt      Options
	out      io.Writer
	random   *rand.Rand
	standins *local.Standins
	load     *load.Load
	proxies  []*proxy
	procs    []*process
	faults   []string
	begun    time.Time
	wanted   fleet.Version
	versions int

	mu    sync.Mutex // guards stuck
	stuck []string
}

// Run starts the daemons, causes faults, heals them and reports. The error says why there
// is no report.
func Run(ctx context.Context, o Options, out io.Writer) (*Report, error) {
	s := &soak{opt: o, out: out, random: rand.New(rand.NewPCG(o.Seed, 1)), begun: time.Now()}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	s.load = s.standins.Load(o.Seed)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	s.load.Start(loadCtx)
	s.cause(ctx)
	s.heal()
	_, err := local.Await(ctx, "the wanted version on every engine after the faults", convergeLimit, s.converged)
	for _, p := range s.procs {
		p.check()
	}
	stop()
	s.load.Wait()
	rep := &Report{Verdict: s.standins.Record().Verdict(), Faults: s.faults}
	s.mu.Lock()
	rep.Broken = append(rep.Verdict.Broken(), s.stuck...)
	s.mu.Unlock()
	if err != nil {
		rep.Broken = append(rep.Broken, err.Error())
	}
	if rep.AnswersWhole == 0 || rep.OrdersRun == 0 {
		rep.Broken = append(rep.Broken, "nothing was served")
	}
	return rep, ctx.Err()
}

// through makes a proxy for an address.
func (s *soak) through(addr string) (string, error) {
	p, err := newProxy(addr)
	if err != nil {
		return "", err
	}
	s.proxies = append(s.proxies, p)
	return p.listener.Addr().String(), nil
}

func (s *soak) start(ctx context.Context) error {
	var err error
	s.standins, err = local.NewStandins(local.StandinOptions{
		Dir: s.opt.Dir, Instances: s.opt.Instances, Entries: s.opt.Entries, BasePort: s.opt.BasePort, Through: s.through,
	})
	if err != nil {
		return err
	}
	s.wanted = s.standins.Publish(0)
	for _, d := range s.standins.Daemons() {
		p := &process{s: s, d: d}
		s.procs = append(s.procs, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	_, err = local.Await(ctx, "the first version on every engine", startLimit, s.converged)
	return err
}

// converged tells whether every engine serves the wanted version.
func (s *soak) converged() bool {
	return s.standins.Record().NowServing(s.wanted) == s.opt.Instances
}

func (s *soak) say(format string, args ...any) {
	line := fmt.Sprintf("%7.3f s  ", time.Since(s.begun).Seconds()) + fmt.Sprintf(format, args...)
	s.faults = append(s.faults, line)
	_, _ = fmt.Fprintln(s.out, line)
}

// cause draws faults until the time is over, and waits for the processes that it ended.
func (s *soak) cause(ctx context.Context) {
	var wg sync.WaitGroup
	for end := time.Now().Add(s.opt.Duration); time.Now().Before(end); {
		lasts := time.Duration(s.random.Int64N(int64(faultMax)))
		switch s.random.IntN(8) {
		case 0:
			s.versions++
			s.wanted = s.standins.Publish(s.versions)
			s.say("version %s is published", s.wanted.Short())
		case 1, 2, 3:
			p, m := s.proxies[s.random.IntN(len(s.proxies))], mode(1+s.random.IntN(int(modes)-1))
			s.say("connections to %s: %v for %v", p.to, m, lasts.Round(time.Millisecond))
			p.set(m)
			wg.Add(1)
			time.AfterFunc(lasts, func() { defer wg.Done(); p.set(modePass) })
		default:
			p, sig := s.procs[s.random.IntN(len(s.procs))], signals[s.random.IntN(len(signals))]
			s.say("%s: %v for %v", p.d.Name, sig, lasts.Round(time.Millisecond))
			wg.Add(1)
			x := &strike{p: p, sig: sig, lasts: lasts, wg: &wg}
			go x.run(ctx)
		}
		if !node.Sleep(ctx, time.Duration(s.random.Int64N(int64(gapMax)))) {
			break
		}
	}
	wg.Wait()
}

// heal ends what faults are left.
func (s *soak) heal() {
	for _, p := range s.proxies {
		p.set(modePass)
	}
	s.say("healed")
}

func (s *soak) close() {
	for _, p := range s.procs {
		p.kill()
	}
	for _, p := range s.proxies {
		p.close()
	}
	if s.standins != nil {
		s.standins.Close()
	}
}

// signals are how a process is struck. A pause ends with SIGCONT; after the others the
// process is started again.
var signals = []syscall.Signal{syscall.SIGSTOP, syscall.SIGTERM, syscall.SIGKILL}

// strike is one fault of a process.
type strike struct {
	p     *process
	sig   syscall.Signal
	lasts time.Duration
	wg    *sync.WaitGroup
}

func (x *strike) run(ctx context.Context) {
	defer x.wg.Done()
	p := x.p
	p.mu.Lock() // faults of one process come one after the other
	defer p.mu.Unlock()
	p.check()
	if x.sig == syscall.SIGSTOP {
		p.signal(syscall.SIGSTOP)
		node.Sleep(ctx, x.lasts)
		p.signal(syscall.SIGCONT)
		return
	}
	planned := x.sig == syscall.SIGTERM
	if planned && p.d.Callers != "" {
		p.s.standins.Record().Stopping(p.d.Callers)
	}
	p.signal(x.sig)
	if !p.ended(stopGrace) {
		p.s.note("process_stuck_after_stop: " + p.d.Name)
		p.signal(syscall.SIGKILL)
		p.ended(stopGrace)
	}
	if planned && p.d.Callers != "" {
		p.s.standins.Record().Started(p.d.Callers)
	}
	node.Sleep(ctx, x.lasts)
	if err := p.start(); err != nil {
		p.s.note(err.Error())
	}
}

func (s *soak) note(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stuck = append(s.stuck, what)
}

// process is one daemon, started any number of times.
type process struct {
	s    *soak
	d    local.Daemon
	mu   sync.Mutex // guards a strike
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) start() error {
	role := "agent"
	if p.d.Role == fleet.RoleEntry {
		role = "entry"
	}
	log, err := os.OpenFile(filepath.Join(p.s.opt.Dir, p.d.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own
	p.cmd = exec.Command(p.s.opt.Binary, role, "--settings", p.d.Settings)
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go (&waiter{p.cmd, p.done}).run()
	return nil
}

// waiter tells when a process has ended.
type waiter struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (w *waiter) run() {
	_ = w.cmd.Wait() // a killed process ends with an error
	close(w.done)
}

// check notes a process that ended without being told to.
func (p *process) check() {
	if p.ended(0) {
		p.s.note("process_ended_by_itself: " + p.d.Name)
	}
}

func (p *process) signal(sig syscall.Signal) {
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.s.note(fmt.Sprintf("%s: %v", p.d.Name, err))
	}
}

// ended tells whether the process has ended, or does so within a time.
func (p *process) ended(limit time.Duration) bool {
	select {
	case <-p.done:
		return true
	default:
	}
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process at the end of a run.
func (p *process) kill() {
	if p.cmd == nil || p.done == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	p.ended(stopGrace)
}
