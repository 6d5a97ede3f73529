// Package soak runs the real daemons as separate processes together with the project's
// stand-ins, injects random faults from outside, selected by a seed, and checks the promises
// against what callers received and the stand-ins ran.
//
// # Usage
//
//	rep, err := soak.Run(ctx, soak.Options{Binary: path, Dir: dir, Seed: 7, Duration: 20 * time.Second}, os.Stdout)
//	if len(rep.Violations) > 0 { … }
//
// # Faults
//
// Processes are paused, stopped, killed and restarted. Connections to the platform, to the
// origin and between daemons pass through proxies that delay, reset, refuse or withhold data,
// in both directions or in one. Further versions are published. Faults follow one another and
// overlap. Callers keep their connections until the process exits. At the end all faults are
// removed, and the fleet has to converge.
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

	"amaranthturn/app/daemon"
	"amaranthturn/app/local"
	"amaranthturn/core/fleet"
	"amaranthturn/standin/load"
	"amaranthturn/standin/record"
)

// Options configure a run.
type Options struct {
	Binary    string // path of the amaranthturn program
	Dir       string // directory for settings and logs
	Seed      uint64
	Duration  time.Duration // time during which faults are injected
	Instances int
	Entries   int
	BasePort  int // first of the loopback ports used
}

// Time limits of a run.
const (
	startTimeout    = 40 * time.Second
	convergeTimeout = 40 * time.Second
	stopGrace       = 12 * time.Second // a process that takes longer to stop counts as stuck
	// maxGap is the maximum time between two faults, maxFaultDuration that of a fault.
	maxGap           = 1200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
)

// Report is the result of one run.
type Report struct {
	record.Verdict
	Violations []string // broken promises
	Faults     []string // in the order of injection
}

// soak is a run in progress.
type soak struct {
	opt            Options
	out            io.Writer
	random         *rand.Rand
	standins       *local.Standins
	load           *load.Load
	proxies        []*proxy
	procs          []*process
	faults         []string
	startedAt      time.Time
	wantedVersion  fleet.Version
	versionChanges int

	mu       sync.Mutex // guards problems
	problems []string
}

// Run starts the daemons, injects faults, removes them, waits for convergence and returns the
// report. It returns an error only if there is no complete report.
func Run(ctx context.Context, o Options, out io.Writer) (*Report, error) {
	s := &soak{opt: o, out: out, random: rand.New(rand.NewPCG(o.Seed, 1)), startedAt: time.Now()}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	s.load = s.standins.Load(o.Seed)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	s.load.Start(loadCtx)
	s.injectFaults(ctx)
	s.heal()
	_, err := local.Await(ctx, "the wanted version on every engine after the faults", convergeTimeout, s.converged)
	for _, p := range s.procs {
		p.checkRunning()
	}
	stop()
	s.load.Wait()
	rep := &Report{Verdict: s.standins.Record().Verdict(), Faults: s.faults}
	s.mu.Lock()
	rep.Violations = append(rep.Verdict.Violations(), s.problems...)
	s.mu.Unlock()
	if err != nil {
		rep.Violations = append(rep.Violations, err.Error())
	}
	if rep.ResponsesComplete == 0 || rep.OrdersRun == 0 {
		rep.Violations = append(rep.Violations, "nothing was served")
	}
	return rep, ctx.Err()
}

// addProxy starts a proxy for an address and returns the proxy's address.
func (s *soak) addProxy(addr string) (string, error) {
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
		Dir: s.opt.Dir, Instances: s.opt.Instances, Entries: s.opt.Entries, BasePort: s.opt.BasePort, Advertise: s.addProxy,
	})
	if err != nil {
		return err
	}
	s.wantedVersion = s.standins.Publish(0)
	for _, d := range s.standins.Daemons() {
		p := &process{soak: s, daemon: d}
		s.procs = append(s.procs, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	_, err = local.Await(ctx, "the first version on every engine", startTimeout, s.converged)
	return err
}

// converged reports whether every engine serves the wanted version.
func (s *soak) converged() bool {
	return s.standins.Record().ServingCount(s.wantedVersion) == s.opt.Instances
}

// logEvent prints a fault and adds it to the report.
func (s *soak) logEvent(format string, args ...any) {
	line := fmt.Sprintf("%7.3f s  ", time.Since(s.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	s.faults = append(s.faults, line)
	_, _ = fmt.Fprintln(s.out, line)
}

// injectFaults injects random faults for the duration of the run and waits until they end.
func (s *soak) injectFaults(ctx context.Context) {
	var wg sync.WaitGroup
	for end := time.Now().Add(s.opt.Duration); time.Now().Before(end); {
		duration := time.Duration(s.random.Int64N(int64(maxFaultDuration)))
		switch s.random.IntN(8) {
		case 0:
			s.versionChanges++
			s.wantedVersion = s.standins.Publish(s.versionChanges)
			s.logEvent("published version %s", s.wantedVersion.Short())
		case 1, 2, 3:
			p, m := s.proxies[s.random.IntN(len(s.proxies))], mode(1+s.random.IntN(int(modeCount)-1))
			s.logEvent("connections to %s: %v for %v", p.upstream, m, duration.Round(time.Millisecond))
			p.setMode(m)
			wg.Add(1)
			time.AfterFunc(duration, func() { defer wg.Done(); p.setMode(modePass) })
		default:
			p, sig := s.procs[s.random.IntN(len(s.procs))], faultSignals[s.random.IntN(len(faultSignals))]
			s.logEvent("%s: %v for %v", p.daemon.Name, sig, duration.Round(time.Millisecond))
			wg.Add(1)
			f := &processFault{process: p, signal: sig, duration: duration, wg: &wg}
			go f.run(ctx)
		}
		if !daemon.Sleep(ctx, time.Duration(s.random.Int64N(int64(maxGap)))) {
			break
		}
	}
	wg.Wait()
}

// heal ends the faults of connections that are still active.
func (s *soak) heal() {
	for _, p := range s.proxies {
		p.setMode(modePass)
	}
	s.logEvent("all faults removed")
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

// faultSignals are the signals that a process fault sends. A process paused by SIGSTOP is
// resumed by SIGCONT; after the other signals the process is restarted.
var faultSignals = []syscall.Signal{syscall.SIGSTOP, syscall.SIGTERM, syscall.SIGKILL}

// processFault is one fault injected into a process.
type processFault struct {
	process  *process
	signal   syscall.Signal
	duration time.Duration
	wg       *sync.WaitGroup
}

func (f *processFault) run(ctx context.Context) {
	defer f.wg.Done()
	p := f.process
	p.mu.Lock() // serializes the faults of a process
	defer p.mu.Unlock()
	p.checkRunning()
	if f.signal == syscall.SIGSTOP {
		p.signal(syscall.SIGSTOP)
		daemon.Sleep(ctx, f.duration)
		p.signal(syscall.SIGCONT)
		return
	}
	planned := f.signal == syscall.SIGTERM
	if planned && p.daemon.CallerAddr != "" {
		p.soak.standins.Record().StopStarted(p.daemon.CallerAddr)
	}
	p.signal(f.signal)
	if !p.waitExit(stopGrace) {
		p.soak.addProblem("process_stuck_after_stop: " + p.daemon.Name)
		p.signal(syscall.SIGKILL)
		p.waitExit(stopGrace)
	}
	if planned && p.daemon.CallerAddr != "" {
		p.soak.standins.Record().Restarted(p.daemon.CallerAddr)
	}
	daemon.Sleep(ctx, f.duration)
	if err := p.start(); err != nil {
		p.soak.addProblem(err.Error())
	}
}

// addProblem adds a problem to the report.
func (s *soak) addProblem(problem string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, problem)
}

// process runs one daemon, which may be restarted.
type process struct {
	soak   *soak
	daemon local.Daemon
	mu     sync.Mutex // held during a fault
	cmd    *exec.Cmd
	done   chan struct{}
}

func (p *process) start() error {
	role := "agent"
	if p.daemon.Role == fleet.RoleEntry {
		role = "entry"
	}
	logFile, err := os.OpenFile(filepath.Join(p.soak.opt.Dir, p.daemon.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }() // the process has its own descriptor
	p.cmd = exec.Command(p.soak.opt.Binary, role, "--settings", p.daemon.SettingsFile)
	p.cmd.Stderr = logFile
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go (&processWaiter{p.cmd, p.done}).run()
	return nil
}

// processWaiter closes done when a process has exited.
type processWaiter struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (w *processWaiter) run() {
	_ = w.cmd.Wait() // Wait returns an error for a killed process
	close(w.done)
}

// checkRunning reports a problem if the process exited without having been stopped.
func (p *process) checkRunning() {
	if p.waitExit(0) {
		p.soak.addProblem("process_ended_by_itself: " + p.daemon.Name)
	}
}

func (p *process) signal(sig syscall.Signal) {
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.soak.addProblem(fmt.Sprintf("%s: %v", p.daemon.Name, err))
	}
}

// waitExit waits up to timeout and reports whether the process has exited.
func (p *process) waitExit(timeout time.Duration) bool {
	select {
	case <-p.done:
		return true
	default:
	}
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// kill kills the process, if it was started, and waits for its exit.
func (p *process) kill() {
	if p.cmd == nil || p.done == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	p.waitExit(stopGrace)
}
