// Command standin plays a case of the review: it starts the project's daemons as processes of their own, stand-ins of the
// store and of the upstreams, and clients, and writes what was sent, answered and run. It exits with 0 if the rule held,
// with 1 if it was broken, and with 2 if the case could not run.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// caseRun is a case that is being played.
type caseRun struct {
	trouble bool
	dir     string
	began   time.Time
	store   *store
	daemons []*daemon
	stop    chan struct{}

	mu  sync.Mutex
	out *bufio.Writer
}

// logf writes a line to the record.
func (c *caseRun) logf(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.out, "%8.3f s  ", time.Since(c.began).Seconds())
	fmt.Fprintf(c.out, format+"\n", values...)
}

// ip returns a loopback address of this run, so that runs do not meet.
func (c *caseRun) ip(host int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 20+pid%200, 1+pid/200%250, host)
}

// startDaemons starts the daemons and waits until all are ready.
func (c *caseRun) startDaemons(count int) error {
	for i := range count {
		d, err := startDaemon(c.dir, i+1, c.ip(i+1), c.store.address)
		if err != nil {
			return err
		}
		c.daemons = append(c.daemons, d)
	}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range c.daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == count {
			c.logf("%d daemons are ready", count)
			return nil
		}
		if time.Now().After(deadline) {
			for _, d := range c.daemons {
				c.logf("%s", d.describe())
			}
			return fmt.Errorf("%d of %d daemons are ready", ready, count)
		}
	}
}

func (c *caseRun) close() {
	close(c.stop)
	for _, d := range c.daemons {
		d.stop()
	}
	c.out.Flush()
}

var cases = map[string]func(c *caseRun) (broken bool, err error){
	"chunked-body":    chunkedBody,
	"pipelined-lists": pipelinedLists,
	"roll-term":       rollTerm,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.String("dir", "", "folder for settings and logs; a temporary one if empty")
	flag.Parse()
	fn, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return 2
	}
	file, err := os.Create(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	dir := *keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer os.RemoveAll(dir)
	}
	c := &caseRun{trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), stop: make(chan struct{}), out: bufio.NewWriter(file)}
	defer c.close()
	result := make(chan int, 1)
	go func() {
		broken, err := fn(c)
		switch {
		case err != nil:
			c.logf("the case could not run: %v", err)
			fmt.Fprintln(os.Stderr, err)
			result <- 2
		case broken:
			result <- 1
		default:
			result <- 0
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-result:
		return code
	case <-signals:
	case <-time.After(110 * time.Second):
		c.logf("the case did not end in time")
	}
	return 2
}
