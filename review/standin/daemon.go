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
	"strconv"
	"syscall"
	"time"
)

// daemon is one process of the project, started with the command of the deploy file.
type daemon struct {
	name, ip, front, ready string
	boot                   string // path of the settings file
	cmd                    *exec.Cmd
	log                    *os.File
	ended                  chan struct{} // closed when the process has ended
}

// freePorts returns the first of count ports in a row that are free at ip now, below those that the system hands out.
func freePorts(ip string, count int) (int, error) {
	for range 100 {
		first := 10_000 + rand.IntN(20_000)
		free := true
		var held []net.Listener
		for port := first; port < first+count && free; port++ {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				free = false
				break
			}
			held = append(held, l)
		}
		for _, l := range held {
			l.Close()
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports at %s", count, ip)
}

// startDaemon writes the settings file and starts the process. Each daemon has a loopback address of its own, as it serves
// its metrics on a fixed port.
func startDaemon(dir string, number int, ip, storeAddress string) (*daemon, error) {
	d := &daemon{name: fmt.Sprintf("front-a-%d", number), ip: ip}
	first, err := freePorts(ip, 20)
	if err != nil {
		return nil, err
	}
	address := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	d.front, d.ready = address(first+16), address(first+17)
	control := address(first + 18)
	settings := map[string]any{
		"Grants": "invoke",
		"Self": map[string]any{
			"NodeName": d.name, "Role": "front", "MachineClass": "front", "Serves": []string{"front"}, "Ip": ip, "Zone": "a",
			"Region": "r", "LossCounts": false, "Bootstrap": true, "DataDir": nil,
			"Limits": map[string]any{"CpuShare": 0.224, "CpuCores": 1, "MemoryMb": 206, "MaxFds": 2870, "LinkMbps": 700.0, "DiskMb": 0},
		},
		"Network": map[string]any{
			"Listen":    map[string]any{"Front": d.front, "Ready": d.ready, "Control": control},
			"PortRange": []int{first, first + 15}, "Seeds": []string{}, "Zones": map[string]any{"a": "r"},
		},
		"Platform": map[string]any{
			"Discovery": "platform", "Entry": "vip", "HeartbeatMs": 870,
			"Platform": map[string]any{
				"Address": storeAddress, "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20,
				"ValueBytes": 1048576, "TtlMinMs": 1000,
			},
		},
		"Terms": map[string]any{
			"Contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "own", "platform"},
			"FaultTolerance": map[string]any{"Nodes": 1, "Zones": 0, "Regions": 0},
			"Bounds": map[string]any{
				"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 6,
				"LossSlackMs": 200, "ConfigDeadlineMs": 2000, "RollbackSlackMs": 250, "MaxStretchMs": 5000, "BudgetRatio": 0.2,
				"BudgetWindowS": 10, "BudgetExtra": 144, "RecoverS": 15, "HoldMaxMs": 10000, "ThawSlackMs": 300,
			},
		},
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, d.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(dir, d.name+".log")); err != nil {
		return nil, err
	}
	d.boot = path
	return d, d.start()
}

// start starts a process of the daemon.
func (d *daemon) start() error {
	d.ended = make(chan struct{})
	d.cmd = exec.Command("target/fulmarbend", "front")
	d.cmd.Env = []string{"FULMARBEND_BOOT=" + d.boot, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := d.cmd, d.ended
	go func() { _ = cmd.Wait(); close(ended) }()
	return nil
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// stop ends the process, which may be stopped by a signal.
func (d *daemon) stop() {
	d.signal(syscall.SIGCONT)
	_ = d.cmd.Process.Kill()
	<-d.ended
	d.log.Close()
}

// isReady asks the daemon as the platform does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.ready + "/fulmarbend/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// describe returns whether the process has ended, and the last lines of its log.
func (d *daemon) describe() string {
	state := "runs"
	select {
	case <-d.ended:
		state = "has ended"
	default:
	}
	text, _ := os.ReadFile(d.log.Name())
	return fmt.Sprintf("%s %s; its log ends with: %s", d.name, state, text[max(0, len(text)-800):])
}
