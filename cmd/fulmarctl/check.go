package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmarbend/fulmarbend/internal/fulmarconfigreader"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarfinding"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroutecheck"
	"github.com/fulmarbend/fulmarbend/platform/fulmaradapter"
	"github.com/fulmarbend/fulmarbend/platform/fulmarbootstrap"
)

// errFindings is returned for a configuration that daemons accept, but that cannot be meant as it is.
var errFindings = errors.New("the configuration has findings")

// errNoStore is returned if the configuration in force cannot be read.
var errNoStore = errors.New("configuration in force cannot be read")

// checkReport is the result of a check of a configuration.
type checkReport struct {
	Version  uint64                  `json:"version"` // of the configuration that it is compared with, 0 for none
	Findings []fulmarfinding.Finding `json:"findings"`
	Diff     []string                `json:"diff"`
}

// print writes the report, and returns an error for the exit code that belongs to it.
func (r checkReport) print(s *session) error {
	if r.Findings == nil {
		r.Findings = []fulmarfinding.Finding{}
	}
	if r.Diff == nil {
		r.Diff = []string{}
	}
	err := s.print(r, func(w io.Writer) {
		for _, f := range r.Findings {
			fmt.Fprintln(w, f)
		}
		if len(r.Findings) == 0 {
			fmt.Fprintln(w, "no faults")
		}
		if r.Version > 0 {
			fmt.Fprintf(w, "from version %d:\n", r.Version)
			printLines(w, r.Diff)
		}
	})
	switch {
	case err != nil:
		return err
	case fulmarfinding.HasFault(r.Findings):
		return errors.New("the configuration is not valid")
	case len(r.Findings) > 0:
		return errFindings
	}
	return nil
}

// checkConfig checks a file of the product's own format at a daemon, which knows the version in force.
func (s *session) checkConfig(ctx context.Context) error {
	text, err := s.readInput(s.arg(0))
	if err != nil {
		return err
	}
	v, err := s.CheckConfig(ctx, text)
	if err != nil {
		return err
	}
	c, err := fulmarconfig.Parse([]byte(text))
	if err != nil {
		return err
	}
	return checkReport{Version: v.Version, Findings: c.Inspect(), Diff: v.Diff}.print(s)
}

// routesCommand returns the command that checks configurations of the users' platform. It needs no daemon.
func (t *app) routesCommand() *cli.Command {
	return &cli.Command{
		Name: "routes", Usage: "check configurations of the users' platform", Action: requireSubcommand,
		Commands: []*cli.Command{{
			Name: "check", Usage: "report faults, entries that can never match, limits that contradict each other, and differences", ArgsUsage: "FILE",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "against", Usage: "`FILE` with the configuration to compare with"},
				&cli.StringFlag{Name: "boot", Usage: "settings `FILE` of a daemon; compares with the configuration in force in its store", Sources: cli.EnvVars(fulmarbootstrap.EnvVar)},
			},
			OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError("%v", err) },
			Action: func(ctx context.Context, c *cli.Command) error {
				if c.Args().Len() != 1 {
					return usageError("%s needs 1 argument: FILE", c.FullName())
				}
				ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
				defer cancel()
				return (&session{app: t, c: c}).checkRoutes(ctx)
			},
		}},
	}
}

// checkRoutes checks a file in the format of the users' platform.
func (s *session) checkRoutes(ctx context.Context) error {
	config, err := s.readRoutes(s.arg(0))
	if err != nil {
		return err
	}
	report := checkReport{Findings: fulmarroutecheck.Check(config)}
	former, ok, err := s.formerRoutes(ctx)
	if err != nil {
		return err
	}
	if ok {
		report.Version, report.Diff = former.Version, fulmarroutecheck.Diff(former, config)
		if config.Version <= former.Version {
			report.Findings = append(report.Findings, fulmarfinding.Finding{
				Severity: fulmarfinding.Unreachable, Entry: "version",
				Problem: fmt.Sprintf("%d is not later than %d, so that daemons that know the latter ignore it", config.Version, former.Version),
			})
		}
	}
	return report.print(s)
}

// formerRoutes returns the configuration to compare with; ok is false if none is named.
func (s *session) formerRoutes(ctx context.Context) (former fulmarroute.Config, ok bool, err error) {
	if path := s.c.String("against"); path != "" {
		former, err = s.readRoutes(path)
		return former, true, err
	}
	path := s.c.String("boot")
	if path == "" {
		return former, false, nil
	}
	settings, err := fulmarbootstrap.Load(path)
	if err != nil {
		return former, false, err
	}
	platform := fulmaradapter.New()
	store := platform.NewStore(settings.Store, &http.Client{Timeout: attemptTimeout}, nil) // of one read, which tells nothing of a restore
	table, err := fulmarconfigreader.New(store, platform.Registry.ConfigKey, platform.Registry.Config, slog.New(slog.DiscardHandler)).Read(ctx)
	if err != nil {
		return former, false, errors.Wrap(errNoStore, err.Error())
	}
	if table == nil {
		return former, false, errors.Wrap(errNoStore, "the store holds no valid configuration")
	}
	return table.Config(), true, nil
}

// readRoutes reads a file in the format of the users' platform.
func (s *session) readRoutes(path string) (fulmarroute.Config, error) {
	text, err := s.readInput(path)
	if err != nil {
		return fulmarroute.Config{}, err
	}
	return fulmaradapter.New().Registry.Config([]byte(text))
}
