//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment on loopback addresses: machines with the project's programs, and stand-ins
// of the store, the servers and the clients.
type fleet struct {
	dir     string
	program string
	net     int // second byte of the loopback addresses
	store   *store
	storeAt string // the address that the programs know
	toStore *proxy
	seeds   []string
	rec     *record

	mu    sync.Mutex
	procs []*process
}

// process is one program of the project on one machine.
type process struct {
	f        *fleet
	node, ip string
	role     string
	settings string
	front    string // address for clients
	ready    string
	control  string
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	starts   int
}

func newFleet(program string, rec *record) *fleet {
	dir, err := os.MkdirTemp("", "review-fleet-")
	if err != nil {
		fail(err)
	}
	f := &fleet{dir: dir, program: program, store: newStore(), rec: rec, net: 16 + os.Getpid()%200}
	at, _ := listen(f.address(250), f.store)
	f.toStore, f.storeAt = newProxy(f.address(251), at)
	return f
}

// address returns the loopback address of a machine.
func (f *fleet) address(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.net, os.Getpid()/200%250, n)
}

func port(ip string) string {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		fail(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

const bounds = `
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
StrictRevoke = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetExtra = 102
RecoverS = 12
PassMs = 120
RetryAfterS = 0
version_ms = 8000
version_all_ms = 0
ttl_max_s = 5
`

// addEntry adds an entry, which start starts. All entries must be added before the first one starts.
func (f *fleet) addEntry(n, memoryMB int) *process {
	ip := f.address(n)
	p := &process{f: f, node: "edge-addis-a-" + strconv.Itoa(n), ip: ip, role: "entry", front: port(ip), ready: port(ip), control: port(ip)}
	if len(f.seeds) < 3 {
		f.seeds = append(f.seeds, p.control)
	}
	p.settings = fmt.Sprintf(`Node = %q
Role = "entry"
MachineClass = "edge"
Serves = ["edge","control_plane","registry"]
Ip = %q
Zone = "addis-a"
Region = "addis"
PORTS
SEEDS
Bootstrap = true
InFailureBudget = false
Discovery = "platform"
Entry = "registry"
HeartbeatMs = 1200
[Zones]
addis-a = "addis"
[Listen]
Front = %q
Readiness = %q
Control = %q
Directory = %q
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = %d
MaxFds = 4200
LinkMbps = 1000.0
DiskMb = 0
%s
[Platform]
Address = %q
form = "read"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
`, p.node, ip, p.front, p.ready, p.control, port(ip), memoryMB, bounds, f.storeAt)
	f.procs = append(f.procs, p)
	return p
}

// addAgent adds the agent beside a model's server at app.
func (f *fleet) addAgent(n int, app, service string) *process {
	ip, _, _ := net.SplitHostPort(app)
	p := &process{f: f, node: "side-addis-a-" + strconv.Itoa(n), ip: ip, role: "agent"}
	p.settings = fmt.Sprintf(`Node = %q
Role = "agent"
MachineClass = "side"
Serves = ["side"]
Ip = %q
Zone = "addis-a"
Region = "addis"
PORTS
SEEDS
Bootstrap = true
HeartbeatMs = 1200
app = %q
Service = %q
[Zones]
addis-a = "addis"
[Limits]
CpuShare = 0.48
Cores = 1
MemoryMb = 152
MaxFds = 2048
LinkMbps = 7.6
DiskMb = 0
%s
[Platform]
Address = %q
form = "read"
`, p.node, ip, app, service, bounds, f.storeAt)
	f.procs = append(f.procs, p)
	return p
}

// start starts the program as the deploy file says.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := filepath.Join(p.f.dir, p.node+".toml")
	quoted := make([]string, len(p.f.seeds))
	for i, s := range p.f.seeds {
		quoted[i] = strconv.Quote(s)
	}
	text := strings.Replace(p.settings, "SEEDS", "Seeds = ["+strings.Join(quoted, ",")+"]", 1)
	text = strings.Replace(text, "PORTS", name("ports")+" = [7700,7715]", 1)
	if p.starts > 0 {
		text = strings.Replace(text, "Bootstrap = true", "Bootstrap = false", 1)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		fail(err)
	}
	out, err := os.OpenFile(filepath.Join(p.f.dir, p.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail(err)
	}
	cmd := exec.Command(p.f.program, "serve", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.f.dir, name("settings_variable") + "=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail(err)
	}
	p.starts++
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
}

// signal sends a signal to the program.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// ended returns a channel that is closed when the program that was started last has ended.
func (p *process) ended() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// restart kills the program and starts it again after a pause.
func (p *process) restart(pause time.Duration) {
	p.signal(syscall.SIGKILL)
	<-p.ended()
	time.Sleep(pause)
	p.start()
}

// awaitReady waits until an entry says that it is ready.
func (p *process) awaitReady(timeout time.Duration) {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + p.ready + name("path_ready"))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	fail(fmt.Errorf("%s is not ready", p.node))
}

// memory returns the resident memory and its highest value, in bytes.
func (p *process) memory() (now, peak int64) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	body, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(body), "\n") {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.ParseInt(f[1], 10, 64)
		switch f[0] {
		case "RssAnon:":
			now = kb << 10
		case "VmHWM:":
			peak = kb << 10
		}
	}
	return now, peak
}

// stop ends all programs.
func (f *fleet) stop() {
	for _, p := range f.procs {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range f.procs {
		if d := p.ended(); d != nil {
			<-d
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}
