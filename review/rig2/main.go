// Command rig2 plays the scripts of the second review: stand-ins of the platform's store, of upstreams and of consumers, and daemons as
// processes of their own. It ends with status 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(record string, trouble bool) int{"first-report": firstReport, "huge-limit": hugeLimitCase, "kept-hold": keptHold}

// timeLimit is the longest time that a case may run.
const timeLimit = 118 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-stop:
		case <-time.After(timeLimit):
		}
		fmt.Println("could not run: stopped, or too slow")
		killAll()
		os.Exit(2)
	}()
	os.Exit(cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// fail reports that a case could not run.
func fail(r *rig, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	fmt.Println("could not run: " + text)
	if r != nil {
		r.note("could not run: %s", text)
		r.close(os.Getenv("KEEP") != "")
	}
	return 2
}
