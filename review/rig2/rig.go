package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is one machine of the system with its process.
type daemon struct {
	name, ip, zone string
	cpu            float64
	memory         int
	settings       string
	log            string
	cmd            *exec.Cmd
	signalled      bool // this rig ended the process on purpose
	done           chan struct{}
	starts         int
	startedAt      time.Time
}

// rig is a small deployment of loopback addresses.
type rig struct {
	mu       sync.Mutex
	dir      string
	net      string // first three bytes of the addresses
	store    *store
	daemons  []*daemon
	servers  []*upstream
	runs     map[string][]string // by request id: the upstreams that ran it
	record   *os.File
	began    time.Time
	crashes  []string
	grants   []string
	stop     chan struct{}
	tasks    sync.WaitGroup
	config   []byte
	beats    map[string]bool // ids of upstreams that write their entries
	holdMs   int64
	entryTTL time.Duration
	lastBeat map[string]time.Time
	onGrant  func(u *upstream, o order, at time.Time)
	version  int
	bounds   map[string]any
	reserved net.Listener // keeps other rigs off the addresses
}

// live are the processes of all daemons that have not been waited for.
var live struct {
	sync.Mutex
	processes map[int]*os.Process
}

// killAll ends all processes that this one has started.
func killAll() {
	live.Lock()
	defer live.Unlock()
	for _, p := range live.processes {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Kill()
	}
}

// newRig returns a deployment without machines, whose record is written to the given file.
func newRig(record string) (*rig, error) {
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &rig{
		dir: dir, store: newStore(), runs: map[string][]string{}, record: f, began: time.Now(), stop: make(chan struct{}),
		beats: map[string]bool{}, lastBeat: map[string]time.Time{}, entryTTL: 2610 * time.Millisecond, bounds: map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 5000, "CatchUpS": 6, "DrainMs": 2500, "GraceS": 6, "LossSlackMs": 200,
			"ConfigDeadlineMs": 2500, "RollbackSlackMs": 250, "MaxStretchMs": 5000, "BudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetExtra": 198,
			"RecoverS": 15, "HoldMaxMs": 10000, "ThawSlackMs": 300,
		},
	}
	for i := range 200 {
		r.net = fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+i)
		if r.reserved, err = net.Listen("tcp", r.net+".250:8541"); err == nil {
			break // nobody else uses these addresses while it is open
		}
	}
	return r, nil
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *rig) ran(u *upstream, id string, _ *http.Request, _ int, _ []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], u.id)
}

func (r *rig) granted(u *upstream, o order, at time.Time) {
	if r.onGrant != nil {
		r.onGrant(u, o, at)
	}
}

func (r *rig) released(*upstream, order, time.Time) {}

// addDaemon adds a machine; its process is started by startDaemon.
func (r *rig) addDaemon(zone string, cpu float64, memory int) (*daemon, error) {
	n := len(r.daemons) + 1
	d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, n), ip: fmt.Sprintf("%s.%d", r.net, n), zone: zone, cpu: cpu, memory: memory}
	d.settings = filepath.Join(r.dir, d.name+".json")
	d.log = filepath.Join(r.dir, d.name+".log")
	if err := r.store.serve(d.ip+":8541", d.name); err != nil {
		return nil, err
	}
	r.daemons = append(r.daemons, d)
	return d, nil
}

func (r *rig) startDaemon(d *daemon) error {
	text, _ := json.Marshal(map[string]any{
		"Grants": "invoke",
		"Self": map[string]any{
			"NodeName": d.name, "Role": "front", "MachineClass": "front", "Serves": []string{"front"}, "Ip": d.ip, "Zone": d.zone, "Region": "r",
			"LossCounts": false, "Bootstrap": d.starts == 0, "DataDir": nil,
			"Limits": map[string]any{"CpuShare": d.cpu, "CpuCores": 1, "MemoryMb": d.memory, "MaxFds": 2870, "LinkMbps": 200, "DiskMb": 0},
		},
		"Network": map[string]any{"Listen": map[string]any{"Front": d.ip + ":8548", "Ready": d.ip + ":8542", "Control": d.ip + ":8544"}, "PortRange": []int{7540, 7555}, "Seeds": []string{}, "Zones": map[string]any{"za": "r", "zb": "r"}},
		"Platform": map[string]any{
			"Discovery": "platform", "Entry": "vip", "HeartbeatMs": 870,
			"Platform": map[string]any{"Address": d.ip + ":8541", "form": "kv", "WritesPerS": 1200, "ReadsPerS": 6000, "HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000},
		},
		"Terms": map[string]any{"Contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "own", "platform"}, "FaultTolerance": map[string]any{"Nodes": 1, "Zones": 0, "Regions": 0}, "Bounds": r.bounds},
	})
	if err := os.WriteFile(d.settings, text, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/fulmarbend", "front")
	cmd.Env = []string{"FULMARBEND_BOOT=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	live.Lock()
	if live.processes == nil {
		live.processes = map[int]*os.Process{}
	}
	live.processes[cmd.Process.Pid] = cmd.Process
	live.Unlock()
	r.mu.Lock()
	d.cmd, d.signalled, d.done = cmd, false, make(chan struct{})
	d.starts++
	d.startedAt = time.Now()
	done := d.done
	r.mu.Unlock()
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		err := cmd.Wait()
		live.Lock()
		delete(live.processes, cmd.Process.Pid)
		live.Unlock()
		r.mu.Lock()
		byRig := d.signalled
		age := time.Since(d.startedAt)
		if !byRig && age > excused {
			r.crashes = append(r.crashes, fmt.Sprintf("%s pid %d, %v after its start: %v", d.name, cmd.Process.Pid, age.Round(time.Millisecond), err))
		}
		r.mu.Unlock()
		if !byRig {
			r.note("CRASH %s pid %d ended by itself %v after its start: %v", d.name, cmd.Process.Pid, age.Round(time.Millisecond), err)
		}
		close(done)
	}()
	return nil
}

// signal sends a signal to the process of a daemon.
func (r *rig) signal(d *daemon, s syscall.Signal) {
	r.mu.Lock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		d.signalled = true
	}
	p := d.cmd.Process
	r.mu.Unlock()
	_ = p.Signal(s)
}

// kill ends the process of a daemon and waits for its end.
func (r *rig) kill(d *daemon) {
	r.signal(d, syscall.SIGKILL)
	<-d.done
}

func (r *rig) crashed() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.crashes...)
}

// notePanic copies the begin of a panic in the log of a daemon to the record.
func (r *rig) notePanic(d *daemon) {
	text, err := os.ReadFile(d.log)
	if err != nil {
		return
	}
	if i := strings.Index(string(text), "\npanic: "); i >= 0 {
		lines := strings.Split(string(text)[i+1:], "\n")
		r.note("log of %s:\n    %s", d.name, strings.Join(lines[:min(len(lines), 18)], "\n    "))
	}
}

// restartCrashed starts the processes again that ended by themselves, after a short delay, as the platform does.
func (r *rig) restartCrashed() {
	for _, d := range r.daemons {
		if d.cmd == nil {
			continue
		}
		r.mu.Lock()
		by := d.signalled
		r.mu.Unlock()
		select {
		case <-d.done:
			if !by {
				_ = r.startDaemon(d)
			}
		default:
		}
	}
}

func (r *rig) addUpstream(service, zone string, keyed bool, work time.Duration) (*upstream, error) {
	n := len(r.servers) + 1
	u := &upstream{rig: r, id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: zone, keyed: keyed, slots: 3, work: work, address: fmt.Sprintf("%s.%d:%d", r.net, 240+n%8, 9000+n)}
	if err := u.start(); err != nil {
		return nil, err
	}
	r.servers = append(r.servers, u)
	r.mu.Lock()
	r.beats[u.id] = true
	r.mu.Unlock()
	return u, nil
}

// beat writes the entries of upstreams every 870 ms and removes those that are silent for three intervals.
func (r *rig) beat() {
	t := time.NewTicker(870 * time.Millisecond)
	defer t.Stop()
	for {
		for _, u := range r.servers {
			r.mu.Lock()
			writes := r.beats[u.id]
			if writes {
				r.lastBeat[u.id] = time.Now()
			}
			silent := !writes && time.Since(r.lastBeat[u.id]) > r.entryTTL
			r.mu.Unlock()
			r.store.mu.Lock()
			away := r.store.away
			r.store.mu.Unlock()
			if away {
				continue
			}
			if writes {
				r.store.set("servers/"+u.id, u.entry())
			} else if silent {
				r.store.remove("servers/" + u.id)
			}
		}
		select {
		case <-t.C:
		case <-r.stop:
			return
		}
	}
}

// configure writes a configuration with a safe and an unsafe route for each service.
func (r *rig) configure(keyed, plain string) {
	r.version += 3
	cols := []string{"Name", "Host", "Prefix", "Kind", "TimeoutMs", "LatencyGoalMs", "Priority", "Attempts", "Service"}
	rows := [][]any{
		{"kr", "a.example", "/kr/", "safe", 1500, 500, 1, 3, keyed},
		{"kw", "a.example", "/kw/", "unsafe", 1500, 500, 0, 3, keyed},
		{"pr", "a.example", "/pr/", "safe", 1500, 500, 1, 3, plain},
		{"pw", "a.example", "/pw/", "unsafe", 1500, 500, 0, 3, plain},
	}
	r.config, _ = json.Marshal(map[string]any{
		"Version": fmt.Sprintf("r%d", r.version),
		"Routes":  map[string]any{"Columns": cols, "Rows": rows},
		"Services": map[string]any{"Columns": []string{"Name", "HealthPath", "MaxConns", "Sharded", "WarmS"}, "Rows": [][]any{
			{keyed, "/health", 800, true, 5}, {plain, "/health", 800, false, nil},
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 8192, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	r.store.set("op/config", r.config)
}

// ready reports whether a daemon says that it is ready.
func (r *rig) ready(d *daemon) bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + d.ip + ":8542/fulmarbend/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == 200
}

func (r *rig) awaitReady(timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		n := 0
		for _, d := range r.daemons {
			if r.ready(d) {
				n++
			}
		}
		if n == len(r.daemons) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// byName returns the daemon with a name.
func (r *rig) byName(name string) *daemon {
	for _, d := range r.daemons {
		if d.name == name {
			return d
		}
	}
	return nil
}

// close ends all processes and keeps the last lines of the daemons that crashed in the record.
func (r *rig) close(keep bool) {
	close(r.stop)
	for _, d := range r.daemons {
		if d.cmd != nil {
			r.signal(d, syscall.SIGCONT)
			r.signal(d, syscall.SIGKILL)
		}
	}
	r.tasks.Wait()
	if !keep {
		os.RemoveAll(r.dir)
	}
	r.record.Close()
	if r.reserved != nil {
		r.reserved.Close()
	}
}
