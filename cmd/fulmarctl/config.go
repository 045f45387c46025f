package main

import (
	"context"
	"fmt"
	"io"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmarbend/fulmarbend/internal/fulmaradmin"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
)

func (t *app) configCommand() *cli.Command {
	base := &cli.Uint64Flag{Name: "base", Usage: "`VERSION` of the configuration that FILE was edited from, as config show prints it", Required: true}
	return &cli.Command{
		Name: "config", Usage: "show and change the configuration", Action: requireSubcommand,
		Commands: []*cli.Command{
			t.clientCommand("show", "print the configuration in force", "", nil, func(ctx context.Context, s *session) error {
				v, err := s.Config(ctx)
				if err != nil {
					return err
				}
				return s.print(v, func(w io.Writer) {
					fmt.Fprintf(w, "# version %d by %s, operation %s\n%s", v.Version, v.Author, v.OperationID, v.Text)
				})
			}),
			t.clientCommand("check", "report faults of FILE (- for standard input), entries that never apply, and differences from the version in force", "FILE", nil,
				func(ctx context.Context, s *session) error { return s.checkConfig(ctx) }),
			t.clientCommand("diff", "show how FILE differs from the configuration in force", "FILE", nil, func(ctx context.Context, s *session) error {
				v, err := s.checkFile(ctx)
				if err != nil {
					return err
				}
				return s.print(v, func(w io.Writer) {
					fmt.Fprintf(w, "from version %d:\n", v.Version)
					printLines(w, v.Diff)
				})
			}),
			t.clientCommand("put", "replace the configuration by FILE", "FILE", []cli.Flag{base}, func(ctx context.Context, s *session) error {
				text, err := s.readInput(s.arg(0))
				if err != nil {
					return err
				}
				return s.putConfig(ctx, s.c.Uint64("base"), text)
			}),
			t.clientCommand("set", "change a setting of [defaults]", "NAME VALUE", nil, func(ctx context.Context, s *session) error {
				return s.editConfig(ctx, func(c fulmarconfig.Config) ([]byte, error) { return c.SetDefault(s.arg(0), s.arg(1)) })
			}),
		},
	}
}

func (s *session) checkFile(ctx context.Context) (fulmaradmin.CheckResult, error) {
	text, err := s.readInput(s.arg(0))
	if err != nil {
		return fulmaradmin.CheckResult{}, err
	}
	return s.CheckConfig(ctx, text)
}

// putConfig stores the text under a new operation id, which an error contains.
func (s *session) putConfig(ctx context.Context, base uint64, text string) error {
	id, err := uuid.NewV7()
	if err != nil {
		return err
	}
	done, err := s.PutConfig(ctx, fulmaradmin.PutRequest{BaseVersion: base, OperationID: id.String(), Author: s.author(), Text: text})
	if err != nil {
		return errors.WithMessage(err, "operation "+id.String())
	}
	return s.print(done, func(w io.Writer) { fmt.Fprintf(w, "stored as version %d\n", done.Version) })
}

// editConfig applies change to the configuration in force and stores the result with the version in force as base.
func (s *session) editConfig(ctx context.Context, change func(fulmarconfig.Config) ([]byte, error)) error {
	v, err := s.Config(ctx)
	if err != nil {
		return err
	}
	c, err := fulmarconfig.Parse([]byte(v.Text))
	if err != nil {
		return err
	}
	text, err := change(c)
	if err != nil {
		return err
	}
	return s.putConfig(ctx, v.Version, string(text))
}

func (t *app) exceptionCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "service", Usage: "`NAME`; all services if absent"},
		&cli.StringFlag{Name: "group", Usage: "`NAME`; all groups if absent"},
		&cli.Float64Flag{Name: "weight"},
		&cli.IntFlag{Name: "queue"},
		&cli.DurationFlag{Name: "default-timeout", Usage: "value of the setting timeout"},
		&cli.DurationFlag{Name: "maxtimeout"},
		&cli.Int64Flag{Name: "body", Usage: "bytes"},
		&cli.StringFlag{Name: "reason", Required: true},
	}
	return &cli.Command{
		Name: "exception", Usage: "list and change exceptions", Action: requireSubcommand,
		Commands: []*cli.Command{
			t.clientCommand("list", "list the exceptions", "", nil, func(ctx context.Context, s *session) error {
				v, err := s.Config(ctx)
				if err != nil {
					return err
				}
				c, err := fulmarconfig.Parse([]byte(v.Text))
				if err != nil {
					return err
				}
				return s.print(exceptionsJSON(c.Exceptions()), func(w io.Writer) {
					for _, e := range c.Exceptions() {
						fmt.Fprintf(w, "%s: %s\n", e.Name, e)
					}
				})
			}),
			t.clientCommand("add", "add an exception, or replace the one of this name", "NAME", flags, func(ctx context.Context, s *session) error {
				e := exceptionFromFlags(s)
				return s.editConfig(ctx, func(c fulmarconfig.Config) ([]byte, error) { return c.WithException(e) })
			}),
			t.clientCommand("remove", "remove an exception", "NAME", nil, func(ctx context.Context, s *session) error {
				return s.editConfig(ctx, func(c fulmarconfig.Config) ([]byte, error) { return c.WithoutException(s.arg(0)) })
			}),
		},
	}
}

// exceptionJSON is the JSON form of an exception.
type exceptionJSON struct {
	Name       string   `json:"name"`
	Service    string   `json:"service,omitempty"`
	Group      string   `json:"group,omitempty"`
	Weight     *float64 `json:"weight,omitempty"`
	Queue      *int     `json:"queue,omitempty"`
	Timeout    string   `json:"timeout,omitempty"`
	MaxTimeout string   `json:"maxtimeout,omitempty"`
	Body       *int64   `json:"body,omitempty"` // bytes
	Reason     string   `json:"reason"`
}

func exceptionsJSON(list []fulmarconfig.Exception) []exceptionJSON {
	vs := []exceptionJSON{}
	for _, e := range list {
		v := exceptionJSON{Name: e.Name, Service: e.Service, Group: e.Group, Weight: e.Weight, Queue: e.MaxQueue, Body: e.MaxBody, Reason: e.Reason}
		if e.Timeout != nil {
			v.Timeout = e.Timeout.String()
		}
		if e.MaxTimeout != nil {
			v.MaxTimeout = e.MaxTimeout.String()
		}
		vs = append(vs, v)
	}
	return vs
}

// exceptionFromFlags returns an exception that overrides only the limits whose flags are set.
func exceptionFromFlags(s *session) fulmarconfig.Exception {
	c := s.c
	e := fulmarconfig.Exception{Name: s.arg(0), Service: c.String("service"), Group: c.String("group"), Reason: c.String("reason")}
	if c.IsSet("weight") {
		v := c.Float64("weight")
		e.Weight = &v
	}
	if c.IsSet("queue") {
		v := c.Int("queue")
		e.MaxQueue = &v
	}
	if c.IsSet("default-timeout") {
		v := c.Duration("default-timeout")
		e.Timeout = &v
	}
	if c.IsSet("maxtimeout") {
		v := c.Duration("maxtimeout")
		e.MaxTimeout = &v
	}
	if c.IsSet("body") {
		v := c.Int64("body")
		e.MaxBody = &v
	}
	return e
}

func (t *app) drainCommand() *cli.Command {
	reason := &cli.StringFlag{Name: "reason", Required: true}
	return &cli.Command{
		Name: "drain", Usage: "take targets out of service and back", Action: requireSubcommand,
		Commands: []*cli.Command{
			t.clientCommand("add", "drain a target", "TARGET", []cli.Flag{reason}, func(ctx context.Context, s *session) error {
				return s.editConfig(ctx, func(c fulmarconfig.Config) ([]byte, error) {
					return c.WithDrain(s.arg(0), s.c.String("reason"))
				})
			}),
			t.clientCommand("remove", "end the drain of a target", "TARGET", nil, func(ctx context.Context, s *session) error {
				return s.editConfig(ctx, func(c fulmarconfig.Config) ([]byte, error) { return c.WithoutDrain(s.arg(0)) })
			}),
		},
	}
}
