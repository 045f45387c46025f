package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The terms are those of the sheet hkv-rota.
const (
	zone    = "odda"
	drain   = 2000 * time.Millisecond
	contact = 3000 * time.Millisecond
)

const (
	portFront   = 8548
	portReady   = 8542
	portControl = 8544
	firstPort   = 7540
	portMetrics = 9464
)

// daemon is a process of the deploy file.
type daemon struct {
	name, ip string
	command  *exec.Cmd
	done     chan struct{}
}

func (d *daemon) front() string { return fmt.Sprintf("%s:%d", d.ip, portFront) }

// fleet holds the processes of the system.
type fleet struct {
	daemons []*daemon
	folder  string
}

// freeSubnet returns the first three bytes of loopback addresses whose ports are free.
func freeSubnet(n int) (string, error) {
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
		free := true
		for i := 1; i <= n && free; i++ {
			for _, port := range []int{portFront, portReady, portControl, firstPort, portMetrics} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, i, port))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return subnet, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// startFleet starts n daemons with the command of the deploy file and waits until all are ready.
func startFleet(program string, n int, s *store, r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "rig3-")
	f := &fleet{folder: folder}
	if err != nil {
		return f, err
	}
	subnet, err := freeSubnet(n)
	if err != nil {
		return f, err
	}
	for i := 1; i <= n; i++ {
		d := &daemon{name: fmt.Sprintf("front-odda-%d", i), ip: fmt.Sprintf("%s.%d", subnet, i), done: make(chan struct{})}
		if err := f.start(d, program, s); err != nil {
			return f, err
		}
		f.daemons = append(f.daemons, d)
		r.note("daemon %s starts at %s", d.name, d.front())
	}
	return f, f.awaitReady()
}

func (f *fleet) start(d *daemon, program string, s *store) error {
	port := func(p int) string { return fmt.Sprintf("%s:%d", d.ip, p) }
	text, err := json.Marshal(map[string]any{
		"Self": map[string]any{
			"NodeName": d.name, "Role": "front", "MachineClass": "front", "Serves": []string{"front"}, "Ip": d.ip, "Zone": zone,
			"Region": "vestland", "Bootstrap": true, "Limits": map[string]any{"CpuShare": 0.224, "CpuCores": 1, "MemoryMb": 206, "MaxFds": 2870},
		},
		"Network": map[string]any{
			"Listen":    map[string]any{"Front": port(portFront), "Ready": port(portReady), "Control": port(portControl)},
			"PortRange": []int{firstPort, firstPort + 15}, "Seeds": []string{}, "Zones": map[string]string{zone: "vestland"},
		},
		"Platform": map[string]any{
			"Discovery": "platform", "Entry": "vip", "HeartbeatMs": heartbeat.Milliseconds(),
			"Platform": map[string]any{"Address": s.address(), "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1 << 20, "TtlMinMs": 1000},
		},
		"Terms": map[string]any{"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": contact.Milliseconds(), "AckMs": 4000, "CatchUpS": 4, "DrainMs": drain.Milliseconds(),
			"GraceS": 6, "LossSlackMs": 200, "ConfigDeadlineMs": 2000, "RollbackSlackMs": 250, "MaxStretchMs": 5000, "BudgetRatio": 0.2,
			"BudgetWindowS": 10, "BudgetExtra": 144, "RecoverS": 15, "HoldMaxMs": 10000, "ThawSlackMs": 300,
		}},
	})
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, d.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(f.folder, d.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	d.command = exec.Command(program, "front")
	d.command.Env = []string{"FULMARBEND_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	d.command.Stdout, d.command.Stderr = log, log
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlasts this one
	if err := d.command.Start(); err != nil {
		return err
	}
	go func() {
		_ = d.command.Wait()
		close(d.done)
	}()
	return nil
}

// awaitReady waits until all daemons say that they are ready.
func (f *fleet) awaitReady() error {
	end := time.Now().Add(15 * time.Second)
	for _, d := range f.daemons {
		for !d.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (d *daemon) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/fulmarbend/ready", d.ip, portReady))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ended reports whether a daemon has ended by itself.
func (f *fleet) ended() bool {
	for _, d := range f.daemons {
		select {
		case <-d.done:
			return true
		default:
		}
	}
	return false
}

// stop kills all daemons and removes their files, unless keep is set.
func (f *fleet) stop(keep bool) {
	var group sync.WaitGroup
	for _, d := range f.daemons {
		group.Go(func() {
			_ = d.command.Process.Kill()
			<-d.done
		})
	}
	group.Wait()
	if keep {
		fmt.Fprintln(os.Stderr, "logs are in", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}
