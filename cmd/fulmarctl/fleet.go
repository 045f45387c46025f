package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmarbend/fulmarbend/internal/fulmaradmin"
)

// statusPollInterval is the time between reads of the status while waiting for a version.
const statusPollInterval = 200 * time.Millisecond

var errNotInForce = errors.New("version is not in force everywhere")

func (t *app) statusCommand() *cli.Command {
	wait := &cli.Uint64Flag{Name: "wait", Usage: "wait until configuration `VERSION` or a later one is in force on all instances that are not down"}
	return t.clientCommand("status", "show the state of a daemon and its view of the fleet", "", []cli.Flag{wait}, func(ctx context.Context, s *session) error {
		v, err := s.Status(ctx)
		if want := s.c.Uint64("wait"); want > 0 {
			v, err = s.waitForVersion(ctx, want)
		}
		if err != nil {
			return err
		}
		return s.print(v, func(w io.Writer) { printStatus(w, v) })
	})
}

// waitForVersion polls the status until the version is in force on all instances. It also retries while no
// daemon is reachable.
func (s *session) waitForVersion(ctx context.Context, version uint64) (fulmaradmin.Status, error) {
	ticker := time.NewTicker(statusPollInterval)
	defer ticker.Stop()
	for {
		v, err := s.Status(ctx)
		missing := outdatedInstances(v, version)
		if err == nil && len(missing) == 0 {
			return v, nil
		}
		if err != nil && !errors.Is(err, fulmaradmin.ErrUnreachable) {
			return v, err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if err != nil {
				return v, err
			}
			return v, errors.WithMessagef(errNotInForce, "waiting for %s", strings.Join(missing, ", "))
		}
	}
}

// outdatedInstances returns the instances with an older version: the polled daemon and the members that
// are not down.
func outdatedInstances(v fulmaradmin.Status, version uint64) []string {
	var ids []string
	if v.ConfigVersion < version {
		ids = append(ids, v.Instance)
	}
	for _, m := range v.Members {
		if m.State != "down" && m.ConfigVersion < version && m.ID != v.Instance {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func printStatus(w io.Writer, v fulmaradmin.Status) {
	fmt.Fprintf(w, "instance %s in %s: epoch %d, configuration %d, store=%s\n", v.Instance, v.DataCentre, v.Epoch, v.ConfigVersion, v.StoreState)
	fmt.Fprintf(w, "current: %t; planner: %s; holds %d targets\n", v.CanGrant, orNone(v.Planner), len(v.HeldTargets))
	if v.RefusalReason != "" {
		fmt.Fprintln(w, "refuses callers:", v.RefusalReason)
	}
	if v.StallReason != "" {
		fmt.Fprintln(w, "moves wait:", v.StallReason)
	}
	if len(v.AwaitingConfirmation) > 0 {
		fmt.Fprintln(w, "waiting for roster confirm of:", strings.Join(v.AwaitingConfirmation, ", "))
	}
	columns(w, func(w io.Writer) {
		fmt.Fprintln(w, "MEMBER\tDC\tSTATE\tROSTER\tEPOCH\tCONFIG")
		for _, m := range v.Members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\t%d\n", m.ID, m.DataCentre, m.State, m.InRoster, m.Epoch, m.ConfigVersion)
		}
	})
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func columns(w io.Writer, write func(io.Writer)) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	write(t)
	_ = t.Flush() // a closed pipe terminates the program anyway
}

func (t *app) targetCommand() *cli.Command {
	return &cli.Command{
		Name: "target", Usage: "show targets", Action: requireSubcommand,
		Commands: []*cli.Command{
			t.clientCommand("list", "list the targets with their dispatchers", "", nil, func(ctx context.Context, s *session) error {
				list, err := s.Targets(ctx)
				if err != nil {
					return err
				}
				return s.print(list, func(w io.Writer) {
					columns(w, func(w io.Writer) {
						fmt.Fprintln(w, "TARGET\tSERVICE\tADDRESS\tDC\tSLOTS\tDISPATCHER\tFENCED\tSTATE")
						for _, g := range list {
							fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%t\t%s\n", g.ID, g.Service, g.Address, g.DataCentre, g.OwnedSlots, orNone(g.Dispatcher), g.Fenced, targetState(g))
						}
					})
				})
			}),
		},
	}
}

func targetState(g fulmaradmin.Target) string {
	switch {
	case g.DrainReason != "":
		return "drained: " + g.DrainReason
	case g.Leaving:
		return "leaving"
	}
	return "live"
}

func (t *app) explainCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "group", Usage: "also show the limits of the group `NAME`"},
	}
	return t.clientCommand("explain", "show how a request with a key is routed", "SERVICE KEY", flags, func(ctx context.Context, s *session) error {
		e, err := s.Explain(ctx, s.arg(0), s.arg(1), s.c.String("group"))
		if err != nil {
			return err
		}
		return s.print(e, func(w io.Writer) { printExplanation(w, e) })
	})
}

func printExplanation(w io.Writer, e fulmaradmin.Explanation) {
	fmt.Fprintf(w, "slot %d of %s at epoch %d (hot key: %t)\n", e.Slot, e.Service, e.Epoch, e.HasOwnSlot)
	fmt.Fprintf(w, "owner %s, dispatcher %s\n", orNone(e.Owner), orNone(e.Dispatcher))
	if e.Next != "" {
		fmt.Fprintln(w, "moving to", e.Next)
	}
	if e.Limits == nil {
		return
	}
	fmt.Fprintf(w, "limits of %s by configuration %d:\n", e.Group, e.ConfigVersion)
	columns(w, func(w io.Writer) {
		for _, l := range []struct {
			name  string
			value any
		}{
			{"weight", e.Limits.Weight},
			{"queue", e.Limits.MaxQueue},
			{"timeout", e.Limits.Timeout},
			{"maxtimeout", e.Limits.MaxTimeout},
			{"body", e.Limits.MaxBody},
		} {
			fmt.Fprintf(w, "  %s\t%v\t%s\n", l.name, l.value, e.Limits.Source[l.name])
		}
	})
}

func (t *app) quarantineCommand() *cli.Command {
	return &cli.Command{
		Name: "quarantine", Usage: "list and lift quarantines of requests that crash targets", Action: requireSubcommand,
		Commands: []*cli.Command{
			t.clientCommand("list", "list suspect and condemned fingerprints", "", nil, func(ctx context.Context, s *session) error {
				list, err := s.Quarantine(ctx)
				if err != nil {
					return err
				}
				return s.print(list, func(w io.Writer) {
					for _, q := range list {
						state := "suspect"
						if q.Condemned {
							state = "condemned"
						}
						fmt.Fprintf(w, "%s %s until %s\n", q.Fingerprint, state, q.Until.Format(time.RFC3339))
					}
				})
			}),
			t.clientCommand("lift", "end the quarantine of a fingerprint", "FINGERPRINT", nil, func(ctx context.Context, s *session) error {
				if _, err := fulmaradmin.ParseFingerprint(s.arg(0)); err != nil {
					return usageError("fingerprint must have 16 hexadecimal digits")
				}
				return s.printResult(s.LiftQuarantine(ctx, s.arg(0)), "lifted")
			}),
		},
	}
}

func (t *app) rosterCommand() *cli.Command {
	return &cli.Command{
		Name: "roster", Usage: "manage the roster, the daemons of which a majority must be live", Action: requireSubcommand,
		Commands: []*cli.Command{
			t.clientCommand("confirm", "confirm that a member is permanently lost", "MEMBER", nil, func(ctx context.Context, s *session) error {
				return s.printResult(s.ConfirmLost(ctx, s.arg(0)), "confirmed")
			}),
		},
	}
}

// printResult prints the result of a command without other output, unless err is set.
func (s *session) printResult(err error, message string) error {
	if err != nil {
		return err
	}
	return s.print(map[string]string{"result": message}, func(w io.Writer) { fmt.Fprintln(w, message) })
}
